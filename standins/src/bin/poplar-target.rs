//! Stand-in for a target as a process.

use std::io;
use std::time::Duration;

use bpaf::Bpaf;
use poplar_core::Name;
use poplar_standins::{Graph, TargetServer, TargetSettings, stop_signal};

/// Stand-in for a target, for tests and the demo.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Address to listen on
    #[bpaf(argument("IP:PORT"), fallback("127.0.0.1:0".to_owned()), display_fallback)]
    listen: String,
    /// Service that it offers
    #[bpaf(argument("NAME"))]
    service: String,
    /// Customer for child calls if its node tells none
    #[bpaf(argument("NAME"), fallback(String::new()))]
    customer: String,
    /// Admin address of its node
    #[bpaf(argument("IP:PORT"))]
    node_admin: Option<String>,
    /// Caller address of its node
    #[bpaf(argument("IP:PORT"))]
    node_caller: Option<String>,
    /// Requests that it runs at once
    #[bpaf(argument("COUNT"), fallback(100), display_fallback)]
    slots: u32,
    /// Connections that it announces
    #[bpaf(argument("COUNT"), fallback(1000), display_fallback)]
    connections: u32,
    /// Time that a run takes, child calls not counted
    #[bpaf(argument("MS"), fallback(5), display_fallback)]
    service_time_ms: u64,
    /// Child calls of each class: CLASS=CHILD+CHILD,CLASS=CHILD
    #[bpaf(argument("GRAPH"), fallback(Graph::default()))]
    children: Graph,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), io::Error> {
    let options = options().run();
    let settings = TargetSettings {
        listen: options.listen,
        service: Name::new(&options.service),
        customer: Name::new(&options.customer),
        node_admin: options.node_admin,
        node_caller: options.node_caller,
        slots: options.slots,
        connections: options.connections,
        service_time: Duration::from_millis(options.service_time_ms),
        graph: options.children,
    };
    let server = TargetServer::start(settings).await?;
    println!("ready address={}", server.address);
    stop_signal().await?;
    server.stop().await;
    Ok(())
}
