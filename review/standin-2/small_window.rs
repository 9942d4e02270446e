//! Connections with a small receive window, as the platform's links have.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsRawFd;

/// Receive buffer of a connection, in bytes; the kernel doubles it for its own overhead.
const RECEIVE_BYTES: i32 = 16 << 10;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
}

/// Opens a connection whose window does not grow beyond [`RECEIVE_BYTES`].
pub fn connect(to: SocketAddr) -> io::Result<TcpStream> {
    let socket = TcpStream::connect(to)?;
    set(&socket)?;
    Ok(socket)
}

/// Limits the window of a connection.
pub fn set(socket: &TcpStream) -> io::Result<()> {
    // SAFETY: the descriptor is open, and the value is an `int` of the stated length.
    let set = unsafe { setsockopt(socket.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &RECEIVE_BYTES, 4) };
    if set == 0 { Ok(()) } else { Err(io::Error::last_os_error()) }
}
