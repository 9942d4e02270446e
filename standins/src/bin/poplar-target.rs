//! The target stand-in as a process.

use std::io;
use std::path::PathBuf;
use std::time::Duration;

use bpaf::Bpaf;
use poplar_core::Name;
use poplar_standins::{
    ClassGraph, ContractOptionError, TargetServer, TargetSettings, read_contract, stop_signal,
};

/// Stand-in for a target, for tests and the demo.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Address to listen on
    #[bpaf(argument("IP:PORT"), fallback("127.0.0.1:0".to_owned()), display_fallback)]
    listen: String,
    /// Service that the target offers
    #[bpaf(argument("NAME"))]
    service: String,
    /// Customer of the child calls of a request that carries no customer header
    #[bpaf(argument("NAME"), fallback(String::new()))]
    customer: String,
    /// Admin address of its node, where it announces itself
    #[bpaf(argument("IP:PORT"))]
    node_admin: Option<String>,
    /// Caller address of its node, where it makes child calls
    #[bpaf(argument("IP:PORT"))]
    node_caller: Option<String>,
    /// Requests that run at once
    #[bpaf(argument("COUNT"), fallback(100), display_fallback)]
    slots: u32,
    /// Number of connections that the target announces it accepts
    #[bpaf(argument("COUNT"), fallback(1000), display_fallback)]
    connections: u32,
    /// Time that a run takes without its child calls, in milliseconds
    #[bpaf(argument("MS"), fallback(5), display_fallback)]
    service_time_ms: u64,
    /// Child calls of each class: CLASS=CHILD+CHILD,CLASS=CHILD
    #[bpaf(argument("GRAPH"), fallback(ClassGraph::default()))]
    children: ClassGraph,
    /// Contract file from which to take the customer and the child calls in place of the options
    #[bpaf(argument("FILE"))]
    contract: Option<PathBuf>,
}

/// Error that ends the process.
#[derive(Debug, thiserror::Error)]
enum TargetError {
    #[error(transparent)]
    Contract(#[from] ContractOptionError),
    #[error("{0}")]
    Io(#[from] io::Error),
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), TargetError> {
    let mut options = options().run();
    if let Some(path) = &options.contract {
        let contract = read_contract(path)?;
        options.customer = contract.customer.to_string();
        options.children = ClassGraph::from_contract(&contract);
    }
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
