//! Accept loop that the hyper ends share.

use std::future::Future;
use std::time::Duration;

use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Pause after a failed accept, so that an exhausted process does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

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
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stage.wait_for(|stage| *stage == "stopped") => break,
        };
        match accepted {
            Ok((socket, _)) => {
                if socket.set_nodelay(true).is_ok() {
                    tokio::spawn(serve(socket, &graceful));
                }
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
    graceful.shutdown().await;
}
