//! Stand-in for a stateful network device, such as a NAT gateway, that loses track of open
//! connections.
//!
//! The relay passes bytes on until [`Relay::stall_connections`] is called: the connections that are
//! open then stay open but carry no more bytes, while new ones work.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Size of the buffer for one read, in bytes.
const CHUNK_BYTES: usize = 16 << 10;

/// TCP relay on a port of the loopback interface.
#[derive(Debug)]
pub struct Relay {
    /// Address that the relay listens on.
    pub address: SocketAddr,
    upstream: watch::Sender<Option<SocketAddr>>,
    /// Incremented by each stall; a connection that was opened in an earlier epoch is stalled.
    epoch: watch::Sender<u64>,
}

impl Relay {
    /// Starts a relay; it closes new connections at once until its upstream is set.
    pub async fn start() -> Result<Self, std::io::Error> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (upstream, to) = watch::channel(None);
        let epoch = watch::Sender::new(0);
        tokio::spawn(accept(listener, to, epoch.subscribe()));
        Ok(Self { address, upstream, epoch })
    }

    /// Sets the address to which new connections are relayed.
    pub fn set_upstream(&self, upstream: SocketAddr) {
        self.upstream.send_replace(Some(upstream));
    }

    /// Stalls every connection that is open now: it stays open but carries no more bytes.
    pub fn stall_connections(&self) {
        self.epoch.send_modify(|epoch| *epoch += 1);
    }
}

async fn accept(
    listener: TcpListener,
    upstream: watch::Receiver<Option<SocketAddr>>,
    epoch: watch::Receiver<u64>,
) {
    while let Ok((socket, _)) = listener.accept().await {
        let Some(to) = *upstream.borrow() else { continue };
        tokio::spawn(relay(socket, to, epoch.clone()));
    }
}

async fn relay(client: TcpStream, to: SocketAddr, epoch: watch::Receiver<u64>) {
    let Ok(server) = TcpStream::connect(to).await else { return };
    if client.set_nodelay(true).is_err() || server.set_nodelay(true).is_err() {
        return;
    }
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let opened_in = *epoch.borrow();
    let epoch = Arc::new(epoch);
    let to_server = copy_bytes(client_read, server_write, epoch.clone(), opened_in);
    let to_client = copy_bytes(server_read, client_write, epoch, opened_in);
    tokio::join!(to_server, to_client);
}

/// Copies bytes until an end closes. Once the connection is stalled, this never returns, which
/// holds both ends open.
async fn copy_bytes(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    epoch: Arc<watch::Receiver<u64>>,
    opened_in: u64,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let read = from.read(&mut chunk).await;
        if *epoch.borrow() != opened_in {
            std::future::pending::<()>().await;
        }
        match read {
            Ok(0) | Err(_) => break,
            Ok(len) => {
                if to.write_all(&chunk[..len]).await.is_err() {
                    break;
                }
            }
        }
    }
    // The other end may have closed already.
    let _ = to.shutdown().await;
}
