//! Accept loop that the hyper ends share.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};

/// Pause after a failed accept, so that an exhausted process does not spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Connections that one end holds at once; further ones wait in the system's backlog.
const CONNECTIONS_MAX: usize = 4_096;

/// Accepts connections until the process stops, then lets the open ones finish their answers.
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
                    let served = serve(socket, &graceful);
                    tokio::spawn(async move {
                        served.await;
                        drop(permit);
                    });
                }
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    graceful.shutdown().await;
}

/// Next connection, with its place among those that the end holds.
async fn accept_one(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> std::io::Result<(TcpStream, OwnedSemaphorePermit)> {
    let permit = permits.clone().acquire_owned().await.map_err(std::io::Error::other)?;
    let (socket, _) = listener.accept().await?;
    Ok((socket, permit))
}
