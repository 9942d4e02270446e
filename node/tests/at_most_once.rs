//! Checks that a once-only request runs at most once, against running nodes and targets.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use poplar_core::{
    ClassTerms, Contract, ContractRecord, Goal, Importance, Name, PublishId, Revision,
};
use poplar_standins::{
    ClassGraph, HttpClient, LogServer, Reply, TargetFaults, TargetServer, TargetSettings,
};
use poplar_wire::header;
use serde_json::Value;

const CUSTOMER: &str = "vatuvale";
const SERVICE: &str = "claims-office";
const CLASS: &str = "payout";
const REQUEST: &str = "000000000000000000000000000000a1";

/// Node process with its target.
struct Instance {
    name: String,
    process: Child,
    caller: String,
    admin: String,
    target: Option<TargetServer>,
}

impl Drop for Instance {
    fn drop(&mut self) {
        // A kill fails if the test has already ended the process.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Log and settings of a deployment whose only class is once-only at first.
struct Deployment {
    log: LogServer,
    dir: PathBuf,
    http: HttpClient,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

fn contract(repeatable: bool) -> Contract {
    let terms = ClassTerms {
        service: SERVICE.into(),
        importance: Importance(9),
        repeatable,
        deadline: Duration::from_secs(5),
        retries: 2,
        repeat_window: Duration::from_secs(600),
        largest_answer: 4_096,
        calls: Vec::new(),
    };
    Contract {
        customer: CUSTOMER.into(),
        goal: Goal::Recovery,
        services: vec![SERVICE.into()],
        classes: BTreeMap::from([(Name::new(CLASS), terms)]),
    }
}

impl Deployment {
    async fn start(test: &str) -> Self {
        let log = LogServer::start("127.0.0.1:0", 1_000).await.expect("start the log");
        let dir = std::env::temp_dir().join(format!("poplar-{test}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("create a directory for settings");
        let deployment = Self { log, dir, http: HttpClient::default() };
        deployment.publish(1, contract(false)).await;
        deployment
    }

    async fn publish(&self, number: u64, contract: Contract) {
        let (id, base) = (PublishId(number.into()), Revision(number - 1));
        let record = ContractRecord::Publish { id, base, contract: Arc::new(contract) };
        let log = self.log.address.to_string();
        let reply = self.http.post(&log, "/streams/contracts/records", &record).await;
        assert_eq!(reply.expect("append to the log").status, 200);
    }

    /// Starts a node with a new target, and waits until the target has announced itself.
    async fn start_instance(&self, name: &str) -> Instance {
        let mut instance = self.start_node(name);
        let settings = TargetSettings {
            listen: "127.0.0.1:0".to_owned(),
            service: SERVICE.into(),
            customer: CUSTOMER.into(),
            node_admin: Some(instance.admin.clone()),
            node_caller: None,
            slots: 8,
            connections: 64,
            service_time: Duration::from_millis(5),
            graph: ClassGraph::default(),
        };
        instance.target = Some(TargetServer::start(settings).await.expect("start the target"));
        instance
    }

    fn start_node(&self, name: &str) -> Instance {
        let path = self.dir.join(format!("{name}.yaml"));
        let any = "127.0.0.1:0";
        let settings = format!(
            "instance: {name}\ncustomer: {CUSTOMER}\nzone: nadi\ncaller_address: {any}\n\
             peer_address: {any}\nadmin_address: {any}\nlog_address: {}\n",
            self.log.address
        );
        std::fs::write(&path, settings).expect("write the settings");
        let mut process = Command::new(env!("CARGO_BIN_EXE_poplar-node"))
            .arg("--settings")
            .arg(path)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("start the node");
        let mut ready = String::new();
        let out = process.stdout.take().expect("standard output of the node");
        BufReader::new(out).read_line(&mut ready).expect("read the ready line");
        let field = |key: &str| {
            let value = ready.split_whitespace().find_map(|field| field.strip_prefix(key));
            value.expect("an address in the ready line").to_owned()
        };
        let (caller, admin) = (field("caller="), field("admin="));
        Instance { name: name.to_owned(), process, caller, admin, target: None }
    }

    async fn send(&self, at: &Instance, headers: &[(&str, &str)]) -> Reply {
        let mut request = Request::post(format!("http://{}/call", at.caller))
            .header(header::CUSTOMER, CUSTOMER)
            .header(header::CLASS, CLASS);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let body = Full::new(Bytes::from_static(br#"{"nonce":7}"#));
        let request = request.body(body).expect("build the request");
        self.http.send(request).await.expect("the node answers the call")
    }

    /// Sends the request until the node has the contract and members, and returns the binding that
    /// it offers.
    async fn binding(&self, at: &Instance, request: &str) -> String {
        for _ in 0..200 {
            let headers = [(header::REQUEST_ID, request), (header::FIRST_SEND, "true")];
            let reply = self.send(at, &headers).await;
            if let Some(binding) = reply.headers.get(header::BINDING) {
                assert_eq!(header_text(&reply, header::ERROR), "binding-needed");
                return binding.to_str().expect("a binding header of ASCII text").to_owned();
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("{} offers no binding", at.name);
    }

    /// Waits until the node knows at least `count` serving members.
    async fn await_members(&self, at: &Instance, count: usize) {
        for _ in 0..200 {
            let state = self.http.get(&at.admin, "/state").await.expect("the node answers");
            let state: Value = state.json().expect("decode the state dump");
            let rows = state["directory"].as_array().expect("a list of members");
            if rows.iter().filter(|row| row["state"] == "serving").count() >= count {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("{} does not know {count} members", at.name);
    }

    /// Request id for which the node offers a binding to the instance `name`, and that binding.
    async fn binding_to(&self, at: &Instance, name: &str) -> (String, String) {
        for number in 0xa1..0xff_u128 {
            let request = format!("{number:032x}");
            let binding = self.binding(at, &request).await;
            if binding.starts_with(&format!("{name}/")) {
                return (request, binding);
            }
        }
        panic!("{} offers no binding to {name}", at.name);
    }

    /// Waits until the node knows `name` as draining or left.
    async fn await_left(&self, at: &Instance, name: &str) {
        for _ in 0..200 {
            let state = self.http.get(&at.admin, "/state").await.expect("the node answers");
            let state: Value = state.json().expect("decode the state dump");
            let rows = state["directory"].as_array().expect("a list of members");
            if rows.iter().any(|row| row["instance"] == name && row["state"] != "serving") {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("{} still knows {name} as serving", at.name);
    }

    /// Number of runs that the instance's target has counted.
    async fn runs(&self, at: &Instance) -> u64 {
        let target = at.target.as_ref().expect("a target").address.to_string();
        let runs = self.http.get(&target, "/control/runs").await.expect("the target answers");
        let runs: BTreeMap<String, Value> = runs.json().expect("decode the runs");
        runs.values().filter_map(|run| run["count"].as_u64()).sum()
    }
}

/// Value of a reply's header, or an empty text.
fn header_text<'a>(reply: &'a Reply, name: &str) -> &'a str {
    reply.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn concurrent_and_later_copies_through_two_entries_run_once() {
    let deployment = Deployment::start("copies").await;
    let (a, b) = (deployment.start_instance("a").await, deployment.start_instance("b").await);
    let binding = deployment.binding(&a, REQUEST).await;
    deployment.binding(&b, "000000000000000000000000000000b2").await;
    let headers = [(header::REQUEST_ID, REQUEST), (header::BINDING, binding.as_str())];
    let copies = (0..16).map(|idx| deployment.send(if idx % 2 == 0 { &a } else { &b }, &headers));
    let mut copies: Vec<_> = copies.collect();
    let mut replies = Vec::new();
    // The two copies of a pair overlap; later pairs find the kept answer.
    while let (Some(one), Some(two)) = (copies.pop(), copies.pop()) {
        let (one, two) = tokio::join!(one, two);
        replies.extend([one, two]);
    }
    let done = replies.iter().filter(|reply| header_text(reply, header::OUTCOME) == "done").count();
    assert_eq!(deployment.runs(&a).await + deployment.runs(&b).await, 1);
    assert!(
        done >= 1 && replies.iter().all(|reply| header_text(reply, header::OUTCOME) != "not-run")
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_binding_without_a_request_id_runs_nothing() {
    let deployment = Deployment::start("nameless").await;
    let a = deployment.start_instance("a").await;
    let binding = deployment.binding(&a, REQUEST).await;
    for _ in 0..3 {
        let reply = deployment.send(&a, &[(header::BINDING, binding.as_str())]).await;
        assert_eq!(header_text(&reply, header::ERROR), "bad-request");
    }
    let reply = deployment.send(&a, &[]).await;
    assert_eq!(header_text(&reply, header::ERROR), "bad-request");
    assert_eq!(deployment.runs(&a).await, 0);
}

/// The replacement has the killed node's name but not its table of once-only requests, so it cannot
/// know whether the request ran.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_node_leaves_unknown_and_its_replacement_of_the_same_name_runs_nothing() {
    let deployment = Deployment::start("killed").await;
    let mut a = deployment.start_instance("a").await;
    let binding = deployment.binding(&a, REQUEST).await;
    let headers = [(header::REQUEST_ID, REQUEST), (header::BINDING, binding.as_str())];
    let target = a.target.as_ref().expect("a target").address.to_string();
    let freeze = TargetFaults { freeze: Some(true), ..TargetFaults::default() };
    deployment.http.post(&target, "/control", &freeze).await.expect("the target answers");
    let pending = deployment.send(&a, &headers);
    assert!(tokio::time::timeout(Duration::from_millis(300), pending).await.is_err());
    a.process.kill().expect("kill the node");
    a.process.wait().expect("the node ends");
    let next = deployment.start_instance("a").await;
    deployment.binding(&next, "000000000000000000000000000000b2").await;
    for _ in 0..3 {
        let reply = deployment.send(&next, &headers).await;
        assert_eq!(header_text(&reply, header::OUTCOME), "unknown");
    }
    assert_eq!((deployment.runs(&a).await, deployment.runs(&next).await), (1, 0));
}

/// The contract makes the class repeatable while a request holds a binding.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_bound_request_runs_once_even_if_its_class_becomes_repeatable() {
    let deployment = Deployment::start("revised").await;
    let a = deployment.start_instance("a").await;
    let binding = deployment.binding(&a, REQUEST).await;
    let headers = [(header::REQUEST_ID, REQUEST), (header::BINDING, binding.as_str())];
    deployment.publish(2, contract(true)).await;
    let fresh = [(header::REQUEST_ID, "000000000000000000000000000000b2")];
    let mut outcome = String::new();
    for _ in 0..200 {
        outcome = header_text(&deployment.send(&a, &fresh).await, header::OUTCOME).to_owned();
        if outcome == "done" {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(outcome, "done", "the class is repeatable now");
    let before = deployment.runs(&a).await;
    for _ in 0..3 {
        let reply = deployment.send(&a, &headers).await;
        assert_eq!(header_text(&reply, header::OUTCOME), "done");
    }
    assert_eq!(deployment.runs(&a).await, before + 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_lost_its_binding_gets_the_same_one_and_unknown_rather_than_not_run() {
    let deployment = Deployment::start("forgetful").await;
    let (a, b) = (deployment.start_instance("a").await, deployment.start_instance("b").await);
    // Both nodes choose the same owner of the request id only once they know each other.
    deployment.await_members(&a, 2).await;
    deployment.await_members(&b, 2).await;
    let binding = deployment.binding(&a, REQUEST).await;
    let headers = [(header::REQUEST_ID, REQUEST), (header::BINDING, binding.as_str())];
    assert_eq!(header_text(&deployment.send(&a, &headers).await, header::OUTCOME), "done");
    for entry in [&a, &b] {
        let again = [(header::REQUEST_ID, REQUEST), (header::FIRST_SEND, "false")];
        let reply = deployment.send(entry, &again).await;
        assert_eq!(header_text(&reply, header::OUTCOME), "unknown");
        assert_eq!(header_text(&reply, header::BINDING), binding);
    }
    assert_eq!(deployment.runs(&a).await + deployment.runs(&b).await, 1);
}

/// The target stops before its node, as on a busy machine. The node still holds the table of
/// once-only requests, so no other node may report the binding as lost in the meantime.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_node_of_a_target_that_left_answers_for_its_bindings_until_handover() {
    let deployment = Deployment::start("left").await;
    let (mut a, b) = (deployment.start_instance("a").await, deployment.start_instance("b").await);
    deployment.await_members(&a, 2).await;
    deployment.await_members(&b, 2).await;
    let (request, binding) = deployment.binding_to(&b, "a").await;
    a.target.take().expect("a target").stop().await;
    deployment.await_left(&b, "a").await;
    // Time for the record that follows the target's leave request, after that of its drain.
    tokio::time::sleep(Duration::from_millis(300)).await;
    let headers = [(header::REQUEST_ID, request.as_str()), (header::BINDING, binding.as_str())];
    let refused = deployment.send(&b, &headers).await;
    assert_eq!(header_text(&refused, header::OUTCOME), "not-run");
    assert_eq!(
        header_text(&refused, header::BINDING),
        "",
        "a node without a target must not offer a binding"
    );
    let id = a.process.id().to_string();
    assert!(Command::new("kill").args(["-TERM", &id]).status().expect("run kill").success());
    a.process.wait().expect("the node ends");
    let moved = deployment.send(&b, &headers).await;
    assert_eq!(header_text(&moved, header::OUTCOME), "not-run");
    let next = header_text(&moved, header::BINDING);
    assert!(next.starts_with("b/"), "the successor offers its own target: {next:?}");
    let headers = [(header::REQUEST_ID, request.as_str()), (header::BINDING, next)];
    assert_eq!(header_text(&deployment.send(&b, &headers).await, header::OUTCOME), "done");
    assert_eq!(deployment.runs(&b).await, 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_draining_entry_returns_the_callers_binding_and_does_not_deny_an_earlier_send() {
    let deployment = Deployment::start("closing").await;
    let (a, b) = (deployment.start_instance("a").await, deployment.start_instance("b").await);
    deployment.await_members(&a, 2).await;
    deployment.await_members(&b, 2).await;
    let (request, binding) = deployment.binding_to(&b, "b").await;
    // A run that does not end keeps the draining node from stopping.
    let (held, bound) = deployment.binding_to(&b, "a").await;
    let target = a.target.as_ref().expect("a target").address.to_string();
    let freeze = TargetFaults { freeze: Some(true), ..TargetFaults::default() };
    deployment.http.post(&target, "/control", &freeze).await.expect("the target answers");
    let headers = [(header::REQUEST_ID, held.as_str()), (header::BINDING, bound.as_str())];
    let pending = deployment.send(&b, &headers);
    assert!(tokio::time::timeout(Duration::from_millis(300), pending).await.is_err());
    let id = a.process.id().to_string();
    assert!(Command::new("kill").args(["-TERM", &id]).status().expect("run kill").success());
    deployment.await_left(&b, "a").await;
    for (first, outcome) in [("true", "not-run"), ("false", "unknown")] {
        let headers = [
            (header::REQUEST_ID, request.as_str()),
            (header::BINDING, binding.as_str()),
            (header::FIRST_SEND, first),
        ];
        let refused = deployment.send(&a, &headers).await;
        assert_eq!(header_text(&refused, header::ERROR), "draining");
        assert_eq!(header_text(&refused, header::OUTCOME), outcome);
        assert_eq!(header_text(&refused, header::BINDING), binding);
    }
}
