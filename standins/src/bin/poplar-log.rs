//! The log stand-in as a process.

use std::io;

use bpaf::Bpaf;
use poplar_standins::{LogServer, stop_signal};

/// Stand-in for the platform's append-only log, for tests and the demo.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Address to listen on
    #[bpaf(argument("IP:PORT"), fallback("127.0.0.1:0".to_owned()), display_fallback)]
    listen: String,
    /// Number of newest records kept in each stream
    #[bpaf(argument("COUNT"), fallback(100_000), display_fallback)]
    retain: usize,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), io::Error> {
    let options = options().run();
    let server = LogServer::start(&options.listen, options.retain).await?;
    println!("ready address={}", server.address);
    stop_signal().await?;
    server.stop().await;
    Ok(())
}
