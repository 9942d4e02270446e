//! Tries to make a once-only request run twice, against running nodes and targets.

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
    Graph, HttpClient, LogServer, Reply, Switches, TargetServer, TargetSettings,
};
use poplar_wire::header;
use serde_json::Value;

const CUSTOMER: &str = "vatuvale";
const SERVICE: &str = "claims-office";
const CLASS: &str = "payout";
const REQUEST: &str = "000000000000000000000000000000a1";

/// Node with the target beside it.
struct Instance {
    name: String,
    process: Child,
    caller: String,
    admin: String,
    target: Option<TargetServer>,
}

impl Drop for Instance {
    fn drop(&mut self) {
        // The process may have been killed before.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Deployment of one once-only class, with its own log.
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
        let log = LogServer::start("127.0.0.1:0", 1_000).await.expect("the log starts");
        let dir = std::env::temp_dir().join(format!("poplar-{test}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a directory for settings");
        let deployment = Self { log, dir, http: HttpClient::default() };
        deployment.publish(1, contract(false)).await;
        deployment
    }

    async fn publish(&self, number: u64, contract: Contract) {
        let (id, base) = (PublishId(number.into()), Revision(number - 1));
        let record = ContractRecord::Publish { id, base, contract: Arc::new(contract) };
        let log = self.log.address.to_string();
        let reply = self.http.post(&log, "/streams/contracts/records", &record).await;
        assert_eq!(reply.expect("the log answers").status, 200);
    }

    /// Starts a node with a new target, and waits until it serves.
    async fn instance(&self, name: &str) -> Instance {
        let mut instance = self.node(name);
        let settings = TargetSettings {
            listen: "127.0.0.1:0".to_owned(),
            service: SERVICE.into(),
            customer: CUSTOMER.into(),
            node_admin: Some(instance.admin.clone()),
            node_caller: None,
            slots: 8,
            connections: 64,
            service_time: Duration::from_millis(5),
            graph: Graph::default(),
        };
        instance.target = Some(TargetServer::start(settings).await.expect("the target starts"));
        instance
    }

    fn node(&self, name: &str) -> Instance {
        let path = self.dir.join(format!("{name}.yaml"));
        let any = "127.0.0.1:0";
        let settings = format!(
            "instance: {name}\ncustomer: {CUSTOMER}\nzone: nadi\ncaller_address: {any}\n\
             peer_address: {any}\nadmin_address: {any}\nlog_address: {}\n",
            self.log.address
        );
        std::fs::write(&path, settings).expect("the settings can be written");
        let mut process = Command::new(env!("CARGO_BIN_EXE_poplar-node"))
            .arg("--settings")
            .arg(path)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the node starts");
        let mut ready = String::new();
        let out = process.stdout.take().expect("the node's output");
        BufReader::new(out).read_line(&mut ready).expect("the node's first line");
        let field = |key: &str| {
            let value = ready.split_whitespace().find_map(|word| word.strip_prefix(key));
            value.expect("the address in the first line").to_owned()
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
        let request = request.body(body).expect("a valid request");
        self.http.send(request).await.expect("the node answers")
    }

    /// Sends until the node has contract and members, and gives the binding that it hands out.
    async fn binding(&self, at: &Instance, request: &str) -> String {
        for _ in 0..200 {
            let headers = [(header::REQUEST_ID, request), (header::FIRST_SEND, "true")];
            let reply = self.send(at, &headers).await;
            if let Some(binding) = reply.headers.get(header::BINDING) {
                assert_eq!(word(&reply, header::ERROR), "binding-needed");
                return binding.to_str().expect("a text").to_owned();
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("{} hands out no binding", at.name);
    }

    /// Waits until the node knows `count` members that serve.
    async fn await_members(&self, at: &Instance, count: usize) {
        for _ in 0..200 {
            let state = self.http.get(&at.admin, "/state").await.expect("the node answers");
            let state: Value = state.json().expect("a dump");
            let rows = state["directory"].as_array().expect("a list of members");
            if rows.iter().filter(|row| row["state"] == "serving").count() >= count {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("{} does not know {count} members", at.name);
    }

    /// Binding to the instance of that name, and the id of the request that it was given for.
    async fn binding_to(&self, at: &Instance, name: &str) -> (String, String) {
        for number in 0xa1..0xff_u128 {
            let request = format!("{number:032x}");
            let binding = self.binding(at, &request).await;
            if binding.starts_with(&format!("{name}/")) {
                return (request, binding);
            }
        }
        panic!("{} hands out no binding to {name}", at.name);
    }

    /// Waits until the node no longer counts `name` among those that take work.
    async fn await_left(&self, at: &Instance, name: &str) {
        for _ in 0..200 {
            let state = self.http.get(&at.admin, "/state").await.expect("the node answers");
            let state: Value = state.json().expect("a dump");
            let rows = state["directory"].as_array().expect("a list of members");
            if rows.iter().any(|row| row["instance"] == name && row["state"] != "serving") {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("{} still holds {name} for serving", at.name);
    }

    async fn runs(&self, at: &Instance) -> u64 {
        let target = at.target.as_ref().expect("a target").address.to_string();
        let runs = self.http.get(&target, "/control/runs").await.expect("the target answers");
        let runs: BTreeMap<String, Value> = runs.json().expect("a map of runs");
        runs.values().filter_map(|run| run["count"].as_u64()).sum()
    }
}

fn word<'a>(reply: &'a Reply, name: &str) -> &'a str {
    reply.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn copies_through_two_entries_at_once_and_later_run_once() {
    let deployment = Deployment::start("copies").await;
    let (a, b) = (deployment.instance("a").await, deployment.instance("b").await);
    let binding = deployment.binding(&a, REQUEST).await;
    deployment.binding(&b, "000000000000000000000000000000b2").await;
    let headers = [(header::REQUEST_ID, REQUEST), (header::BINDING, binding.as_str())];
    let copies = (0..16).map(|idx| deployment.send(if idx % 2 == 0 { &a } else { &b }, &headers));
    let mut copies: Vec<_> = copies.collect();
    let mut told = Vec::new();
    // Pairs of copies overlap; later ones find the kept answer.
    while let (Some(one), Some(two)) = (copies.pop(), copies.pop()) {
        let (one, two) = tokio::join!(one, two);
        told.extend([one, two]);
    }
    let done = told.iter().filter(|reply| word(reply, header::OUTCOME) == "done").count();
    assert_eq!(deployment.runs(&a).await + deployment.runs(&b).await, 1);
    assert!(done >= 1 && told.iter().all(|reply| word(reply, header::OUTCOME) != "not-run"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_binding_without_a_request_id_runs_nothing() {
    let deployment = Deployment::start("nameless").await;
    let a = deployment.instance("a").await;
    let binding = deployment.binding(&a, REQUEST).await;
    for _ in 0..3 {
        let reply = deployment.send(&a, &[(header::BINDING, binding.as_str())]).await;
        assert_eq!(word(&reply, header::ERROR), "bad-request");
    }
    let reply = deployment.send(&a, &[]).await;
    assert_eq!(word(&reply, header::ERROR), "bad-request");
    assert_eq!(deployment.runs(&a).await, 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_node_leaves_unknown_and_its_successor_in_name_runs_nothing() {
    let deployment = Deployment::start("killed").await;
    let mut a = deployment.instance("a").await;
    let binding = deployment.binding(&a, REQUEST).await;
    let headers = [(header::REQUEST_ID, REQUEST), (header::BINDING, binding.as_str())];
    let target = a.target.as_ref().expect("a target").address.to_string();
    let freeze = Switches { freeze: Some(true), ..Switches::default() };
    deployment.http.post(&target, "/control", &freeze).await.expect("the target answers");
    let pending = deployment.send(&a, &headers);
    assert!(tokio::time::timeout(Duration::from_millis(300), pending).await.is_err());
    a.process.kill().expect("the node can be killed");
    a.process.wait().expect("the node ends");
    let next = deployment.instance("a").await;
    deployment.binding(&next, "000000000000000000000000000000b2").await;
    for _ in 0..3 {
        let reply = deployment.send(&next, &headers).await;
        assert_eq!(word(&reply, header::OUTCOME), "unknown");
    }
    assert_eq!((deployment.runs(&a).await, deployment.runs(&next).await), (1, 0));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_binding_counts_whatever_the_contract_says_of_the_class_meanwhile() {
    let deployment = Deployment::start("revised").await;
    let a = deployment.instance("a").await;
    let binding = deployment.binding(&a, REQUEST).await;
    let headers = [(header::REQUEST_ID, REQUEST), (header::BINDING, binding.as_str())];
    deployment.publish(2, contract(true)).await;
    let fresh = [(header::REQUEST_ID, "000000000000000000000000000000b2")];
    let mut outcome = String::new();
    for _ in 0..200 {
        outcome = word(&deployment.send(&a, &fresh).await, header::OUTCOME).to_owned();
        if outcome == "done" {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(outcome, "done", "the class may be repeated now");
    let before = deployment.runs(&a).await;
    for _ in 0..3 {
        let reply = deployment.send(&a, &headers).await;
        assert_eq!(word(&reply, header::OUTCOME), "done");
    }
    assert_eq!(deployment.runs(&a).await, before + 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_lost_its_binding_gets_the_same_one_and_no_word_that_it_did_not_run() {
    let deployment = Deployment::start("forgetful").await;
    let (a, b) = (deployment.instance("a").await, deployment.instance("b").await);
    // The keeper of the id is the same for both only once they know each other.
    deployment.await_members(&a, 2).await;
    deployment.await_members(&b, 2).await;
    let binding = deployment.binding(&a, REQUEST).await;
    let headers = [(header::REQUEST_ID, REQUEST), (header::BINDING, binding.as_str())];
    assert_eq!(word(&deployment.send(&a, &headers).await, header::OUTCOME), "done");
    for entry in [&a, &b] {
        let again = [(header::REQUEST_ID, REQUEST), (header::FIRST_SEND, "false")];
        let reply = deployment.send(entry, &again).await;
        assert_eq!(word(&reply, header::OUTCOME), "unknown");
        assert_eq!(word(&reply, header::BINDING), binding);
    }
    assert_eq!(deployment.runs(&a).await + deployment.runs(&b).await, 1);
}

/// The target stops first and its node later, as on a busy machine. Its node still holds the table
/// of once-only requests, so no other node may call the binding lost meanwhile.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_node_of_a_target_that_left_answers_for_its_bindings_until_it_hands_them_over() {
    let deployment = Deployment::start("left").await;
    let (mut a, b) = (deployment.instance("a").await, deployment.instance("b").await);
    deployment.await_members(&a, 2).await;
    deployment.await_members(&b, 2).await;
    let (request, binding) = deployment.binding_to(&b, "a").await;
    a.target.take().expect("a target").stop().await;
    deployment.await_left(&b, "a").await;
    // Time for the word that the target left, which follows the one that it drains.
    tokio::time::sleep(Duration::from_millis(300)).await;
    let headers = [(header::REQUEST_ID, request.as_str()), (header::BINDING, binding.as_str())];
    let refused = deployment.send(&b, &headers).await;
    assert_eq!(word(&refused, header::OUTCOME), "not-run");
    assert_eq!(word(&refused, header::BINDING), "", "a node without a target is no place to go");
    let id = a.process.id().to_string();
    assert!(Command::new("kill").args(["-TERM", &id]).status().expect("kill runs").success());
    a.process.wait().expect("the node ends");
    let moved = deployment.send(&b, &headers).await;
    assert_eq!(word(&moved, header::OUTCOME), "not-run");
    let next = word(&moved, header::BINDING);
    assert!(next.starts_with("b/"), "the successor offers its own target: {next:?}");
    let headers = [(header::REQUEST_ID, request.as_str()), (header::BINDING, next)];
    assert_eq!(word(&deployment.send(&b, &headers).await, header::OUTCOME), "done");
    assert_eq!(deployment.runs(&b).await, 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_that_stops_leaves_the_caller_its_binding_and_denies_no_earlier_send() {
    let deployment = Deployment::start("closing").await;
    let (a, b) = (deployment.instance("a").await, deployment.instance("b").await);
    deployment.await_members(&a, 2).await;
    deployment.await_members(&b, 2).await;
    let (request, binding) = deployment.binding_to(&b, "b").await;
    // A run that does not end keeps the node from going.
    let (held, bound) = deployment.binding_to(&b, "a").await;
    let target = a.target.as_ref().expect("a target").address.to_string();
    let freeze = Switches { freeze: Some(true), ..Switches::default() };
    deployment.http.post(&target, "/control", &freeze).await.expect("the target answers");
    let headers = [(header::REQUEST_ID, held.as_str()), (header::BINDING, bound.as_str())];
    let pending = deployment.send(&b, &headers);
    assert!(tokio::time::timeout(Duration::from_millis(300), pending).await.is_err());
    let id = a.process.id().to_string();
    assert!(Command::new("kill").args(["-TERM", &id]).status().expect("kill runs").success());
    deployment.await_left(&b, "a").await;
    for (first, outcome) in [("true", "not-run"), ("false", "unknown")] {
        let headers = [
            (header::REQUEST_ID, request.as_str()),
            (header::BINDING, binding.as_str()),
            (header::FIRST_SEND, first),
        ];
        let refused = deployment.send(&a, &headers).await;
        assert_eq!(word(&refused, header::ERROR), "draining");
        assert_eq!(word(&refused, header::OUTCOME), outcome);
        assert_eq!(word(&refused, header::BINDING), binding);
    }
}
