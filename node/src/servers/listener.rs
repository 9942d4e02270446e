//! Accept loop that the servers for callers and for other nodes share.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};

/// Delay after a failed accept, so that a process that is out of descriptors does not spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum number of open connections of one server; further ones wait in the system's backlog.
const CONNECTIONS_MAX: usize = 4_096;

/// Accepts connections until the stage is `stopped`, then waits until the open ones have finished
/// their responses.
pub(crate) async fn accept<F, C>(
    listener: TcpListener,
    mut stage: watch::Receiver<&'static str>,
    serve: F,
) where
    F: Fn(TcpStream, &GracefulShutdown) -> C,
    C: Future<Output = ()> + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    let permits = Arc::new(Semaphore::new(CONNECTIONS_MAX));
    loop {
        let accepted = tokio::select! {
            accepted = accept_one(&listener, &permits) => accepted,
            _ = stage.wait_for(|stage| *stage == "stopped") => break,
        };
        match accepted {
            Ok((socket, permit)) => {
                if socket.set_nodelay(true).is_ok() {
                    let connection = serve(socket, &graceful);
                    tokio::spawn(async move {
                        connection.await;
                        drop(permit);
                    });
                }
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    graceful.shutdown().await;
}

/// Next connection, with its permit of those that bound the open connections.
async fn accept_one(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> std::io::Result<(TcpStream, OwnedSemaphorePermit)> {
    let permit = permits.clone().acquire_owned().await.map_err(std::io::Error::other)?;
    let (socket, _) = listener.accept().await?;
    Ok((socket, permit))
}
