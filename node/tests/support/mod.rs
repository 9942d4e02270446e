//! Small deployment of node processes on loopback, with stand-ins for the log and the targets.

#![allow(dead_code)]

use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;

use poplar_client::{Answer, Call, Client, Outcome};
use poplar_core::Name;
use poplar_standins::{ClassGraph, HttpClient, LogServer, TargetServer, TargetSettings, Usage};
use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};

const CONTRACT: &str = include_str!("../../../examples/armor.yaml");
const LOOPBACK: &str = "127.0.0.1:0";

/// Node process, with the addresses from its ready line.
pub(crate) struct Node {
    pub(crate) process: Child,
    pub(crate) caller: String,
    pub(crate) peer: String,
    pub(crate) admin: String,
}

/// Node with its target.
pub(crate) struct Member {
    pub(crate) node: Node,
    pub(crate) target: TargetServer,
}

/// Log, nodes and targets of one customer, with its example contract in force.
pub(crate) struct Deployment {
    pub(crate) log: LogServer,
    pub(crate) members: Vec<Member>,
    pub(crate) client: Client,
    http: HttpClient,
    dir: PathBuf,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl Deployment {
    /// Starts `count` targets, each with its node, for every service of the contract.
    pub(crate) async fn start(name: &str, count: usize, service_time: Duration) -> Self {
        let dir = std::env::temp_dir().join(format!("poplar-node-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("create a directory for settings");
        let contract = poplar_wire::parse_contract(CONTRACT).expect("parse the contract");
        let log = LogServer::start(LOOPBACK, 10_000).await.expect("start the log");
        let http = HttpClient::default();
        let record = json!({
            "kind": "publish", "id": "00000000000000000000000000000001", "base": 0,
            "contract": contract
        });
        let address = log.address.to_string();
        http.post(&address, "/streams/contracts/records", &record)
            .await
            .expect("append to the log");
        let mut members = Vec::new();
        for service in &contract.services {
            for number in 1..=count {
                let instance = format!("{service}-{number}");
                let node = Node::start(&dir, &instance, &address).await;
                let settings = TargetSettings {
                    listen: LOOPBACK.to_owned(),
                    service: service.clone(),
                    customer: contract.customer.clone(),
                    node_admin: Some(node.admin.clone()),
                    node_caller: Some(node.caller.clone()),
                    slots: 100,
                    connections: 1_000,
                    service_time,
                    graph: ClassGraph::from_contract(&contract),
                };
                let target = TargetServer::start(settings).await.expect("start the target");
                members.push(Member { node, target });
            }
        }
        let nodes = members.iter().map(|member| member.node.caller.clone()).collect();
        let deployment = Self { log, members, client: Client::new(nodes), http, dir };
        deployment.await_ready().await;
        deployment
    }

    /// State dump of a node.
    pub(crate) async fn state(&self, node: &Node) -> Value {
        let reply = self.http.get(&node.admin, "/state").await.expect("the node answers");
        reply.json().expect("decode the state dump")
    }

    /// Calls `class` and returns the outcome.
    pub(crate) async fn call(&self, class: &str) -> Outcome<Answer> {
        let call = Call::new("armor", class, Duration::from_secs(5)).with_body("{\"nonce\":7}");
        self.client.call(call).await
    }

    /// Waits until every node knows the contract and all members as serving.
    async fn await_ready(&self) {
        for member in &self.members {
            loop {
                let state = self.state(&member.node).await.to_string();
                let known = state.matches("\"state\":\"serving\"").count();
                if known >= self.members.len() && state.contains("\"revision\":1") {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

impl Node {
    async fn start(dir: &std::path::Path, instance: &str, log: &str) -> Self {
        let file = dir.join(format!("{instance}.yaml"));
        let settings = format!(
            "instance: {instance}\ncustomer: armor\nzone: brest\ncaller_address: {LOOPBACK}\n\
             peer_address: {LOOPBACK}\nadmin_address: {LOOPBACK}\nlog_address: {log}\n"
        );
        std::fs::write(&file, settings).expect("write the settings");
        let mut process = Command::new(env!("CARGO_BIN_EXE_poplar-node"))
            .arg("--settings")
            .arg(&file)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .kill_on_drop(true)
            .spawn()
            .expect("start the node");
        let stdout = process.stdout.take().expect("standard output of the node");
        let line = BufReader::new(stdout).lines().next_line().await.expect("read the ready line");
        let line = line.expect("a ready line before the end of output");
        let field = |key: &str| {
            let found = line.split(' ').find_map(|part| part.strip_prefix(key));
            found.expect("an address in the ready line").to_owned()
        };
        let (caller, peer, admin) = (field("caller="), field("peer="), field("admin="));
        Self { process, caller, peer, admin }
    }

    /// Resident memory of the process, in bytes.
    pub(crate) fn memory(&self) -> u64 {
        let id = self.process.id().expect("a running process");
        Usage::of(id).expect("read the memory usage").resident_kib << 10
    }

    /// Sends SIGTERM, waits until the process has ended and returns its exit code.
    pub(crate) async fn terminate(&mut self) -> Option<i32> {
        let id = self.process.id().expect("a running process").to_string();
        let status = Command::new("kill").args(["-TERM", &id]).status().await.expect("run kill");
        assert!(status.success());
        self.process.wait().await.expect("the process ends").code()
    }
}

/// Whether the answer is complete: of its class, with the caller's nonce in each of `parts` parts.
pub(crate) fn is_complete(outcome: &Outcome<Answer>, class: &str, parts: usize) -> bool {
    let Outcome::Done(answer) = outcome else { return false };
    let text = String::from_utf8_lossy(&answer.body);
    let root = serde_json::from_str::<Value>(&text).unwrap_or_default();
    answer.status == 200
        && root["class"] == Name::new(class).as_str()
        && text.matches("\"nonce\":7").count() == parts
}
