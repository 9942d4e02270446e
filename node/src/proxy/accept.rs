//! Accept loop of the HTTP/1.1 servers.

use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, warn};
use tokio::net::{TcpListener, TcpStream};

/// Pause after a failed accept, so that the loop does not spin while file descriptors are
/// exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections forever, and serves each one in its own task.
pub async fn accept<S, F>(
    listener: TcpListener,
    server: Arc<S>,
    serve: fn(Arc<S>, TcpStream) -> F,
    logger: Logger,
) where
    S: Send + Sync + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                // An error is ignored because without this option answers are only slower.
                let _ = socket.set_nodelay(true);
                tokio::spawn(serve(server.clone(), socket));
            }
            Err(error) => {
                warn!(logger, "listen: connection not accepted"; "error" => %error);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
