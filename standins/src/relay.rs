//! Stand-in for something between two ends that loses track of open connections.
//!
//! Bytes pass through until the relay is told to silence what is open: those connections stay
//! open and carry nothing any more, while new ones work.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Bytes that are read at once.
const CHUNK_BYTES: usize = 16 << 10;

/// Running relay.
#[derive(Debug)]
pub struct Relay {
    /// Address that it listens on.
    pub address: SocketAddr,
    upstream: watch::Sender<Option<SocketAddr>>,
    /// Connections of an earlier epoch are silent.
    epoch: watch::Sender<u64>,
}

impl Relay {
    /// Starts a relay that passes nothing before it knows its upstream.
    pub async fn start() -> Result<Self, std::io::Error> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (upstream, to) = watch::channel(None);
        let epoch = watch::Sender::new(0);
        tokio::spawn(accept(listener, to, epoch.subscribe()));
        Ok(Self { address, upstream, epoch })
    }

    /// Sets where connections lead.
    pub fn set_upstream(&self, upstream: SocketAddr) {
        self.upstream.send_replace(Some(upstream));
    }

    /// Silences every connection that is open now.
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

async fn relay(near: TcpStream, to: SocketAddr, epoch: watch::Receiver<u64>) {
    let Ok(far) = TcpStream::connect(to).await else { return };
    if near.set_nodelay(true).is_err() || far.set_nodelay(true).is_err() {
        return;
    }
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    let born = *epoch.borrow();
    let epoch = Arc::new(epoch);
    let there = copy_bytes(near_in, far_out, epoch.clone(), born);
    let back = copy_bytes(far_in, near_out, epoch, born);
    tokio::join!(there, back);
}

/// Passes bytes on until an end closes; once silenced it holds both ends open for good.
async fn copy_bytes(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    epoch: Arc<watch::Receiver<u64>>,
    born: u64,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let read = from.read(&mut chunk).await;
        if *epoch.borrow() != born {
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
    // The other end may be gone already.
    let _ = to.shutdown().await;
}
