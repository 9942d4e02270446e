//! Tests of the commands against the log stand-in and a fake node, which answers every request with
//! the same publication status.

use std::path::PathBuf;
use std::process::Output;

use poplar_standins::{HttpClient, LogFaults, LogServer, LoseAcks};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::process::Command;

const STREAM: &str = "/streams/contracts/records";

fn example(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../examples").join(name)
}

async fn poplarctl(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_poplarctl"));
    command.args(args).kill_on_drop(true).output().await.expect("poplarctl starts")
}

fn code_and_error(output: &Output) -> (Option<i32>, String) {
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}

/// Starts a fake node and returns its address. It reports revision `current` in force and every
/// publication as accepted as revision `accepted`, or as unknown if that is `None`.
async fn fake_node(current: u64, accepted: Option<u64>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port on 127.0.0.1");
    let address = listener.local_addr().expect("the listener's address").to_string();
    let status = json!({ "current": current, "accepted": accepted }).to_string();
    tokio::spawn(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            let mut head = [0; 4096];
            let _ = socket.read(&mut head).await;
            let length = status.len();
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n");
            let _ = socket
                .write_all(format!("{head}connection: close\r\n\r\n{status}").as_bytes())
                .await;
        }
    });
    address
}

/// Offset that the next record on the stream of contracts gets.
async fn next_offset(log: &LogServer) -> u64 {
    let page = HttpClient::default().get(&log.address.to_string(), STREAM).await;
    page.expect("an answer").json::<Value>().expect("a JSON page")["next"]
        .as_u64()
        .expect("an offset")
}

async fn publish(log: &LogServer, node: &str, options: &[&str]) -> Output {
    let (log, file) = (log.address.to_string(), example("armor.yaml"));
    let file = file.to_str().expect("a path in UTF-8");
    let args = ["publish", file, "--log", &log, "--node", node];
    poplarctl(&[&args, options].concat()).await
}

#[tokio::test]
async fn an_accepted_publication_is_shown_and_listed_in_the_history() {
    let log = LogServer::start("127.0.0.1:0", 100).await.unwrap();
    let node = fake_node(1, Some(1)).await;
    let output = publish(&log, &node, &["--format", "json"]).await;
    assert_eq!(code_and_error(&output), (Some(0), String::new()));
    let accepted: Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!((&accepted["customer"], &accepted["revision"]), (&json!("armor"), &json!(1)));

    let address = log.address.to_string();
    let shown = poplarctl(&["show", "--log", &address, "armor"]).await;
    let shown = String::from_utf8(shown.stdout).unwrap();
    let published = std::fs::read_to_string(example("armor.yaml")).unwrap();
    let parse = poplar_wire::parse_contract;
    assert_eq!(parse(&shown), parse(&published));

    let history = poplarctl(&["history", "--log", &address, "--format", "json", "armor"]).await;
    let history: Value = serde_json::from_slice(&history.stdout).unwrap();
    assert_eq!(history[0]["verdict"], "accepted as revision 1");
    let missing = poplarctl(&["show", "--log", &address, "vatuvale"]).await;
    assert_eq!(missing.status.code(), Some(6));
    let watched = poplarctl(&["watch", "--log", &address, "--lines", "1"]).await;
    assert!(String::from_utf8(watched.stdout).unwrap().starts_with("customer armor revision 1"));
}

#[tokio::test]
async fn repeating_a_publish_command_appends_nothing() {
    let log = LogServer::start("127.0.0.1:0", 100).await.unwrap();
    let node = fake_node(1, Some(1)).await;
    publish(&log, &node, &[]).await;
    assert_eq!(publish(&log, &node, &[]).await.status.code(), Some(0));
    assert_eq!(next_offset(&log).await, 1);
}

#[tokio::test]
async fn a_lost_acknowledgement_does_not_publish_twice() {
    let log = LogServer::start("127.0.0.1:0", 100).await.unwrap();
    let node = fake_node(1, Some(1)).await;
    let faults = LogFaults { lose_acks: Some(LoseAcks::All(true)), ..LogFaults::default() };
    HttpClient::default().post(&log.address.to_string(), "/control", &faults).await.unwrap();
    assert_eq!(publish(&log, &node, &[]).await.status.code(), Some(0));
    let address = log.address.to_string();
    let history = poplarctl(&["history", "--log", &address, "--format", "json", "armor"]).await;
    let history: Value = serde_json::from_slice(&history.stdout).unwrap();
    let accepted = history.as_array().unwrap().iter();
    let accepted = accepted.filter(|line| line["verdict"] == "accepted as revision 1");
    assert_eq!(accepted.count(), 1);
}

#[tokio::test]
async fn a_publication_without_its_base_does_not_replace_the_revision_in_force() {
    let log = LogServer::start("127.0.0.1:0", 100).await.unwrap();
    let node = fake_node(1, Some(1)).await;
    publish(&log, &node, &[]).await;
    let dir = std::env::temp_dir().join(format!("poplarctl-commands-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let file = dir.join("revised.yaml");
    let original = std::fs::read_to_string(example("armor.yaml")).unwrap();
    std::fs::write(&file, original.replacen("importance: 90", "importance: 95", 1)).unwrap();
    let (address, path) = (log.address.to_string(), file.to_str().unwrap());
    let node = fake_node(1, None).await;
    let args = ["publish", path, "--log", &address, "--node", &node];
    let refused = poplarctl(&args).await;
    assert_eq!(refused.status.code(), Some(3), "{:?}", code_and_error(&refused));
    assert_eq!(next_offset(&log).await, 1);

    let node = fake_node(2, Some(2)).await;
    let args = ["publish", path, "--log", &address, "--node", &node, "--base", "1"];
    let accepted = poplarctl(&args).await;
    std::fs::remove_dir_all(&dir).unwrap();
    assert_eq!(code_and_error(&accepted), (Some(0), String::new()));
}

#[tokio::test]
async fn accepted_is_not_reported_without_confirmation_by_a_node() {
    let log = LogServer::start("127.0.0.1:0", 100).await.unwrap();
    let node = fake_node(0, None).await;
    let output = publish(&log, &node, &["--timeout", "1"]).await;
    assert_eq!(output.status.code(), Some(5));
    assert!(output.stdout.is_empty());
}

#[tokio::test]
async fn an_outage_of_the_log_is_reported_as_not_sent() {
    let log = LogServer::start("127.0.0.1:0", 100).await.unwrap();
    let node = fake_node(1, Some(1)).await;
    let outage = LogFaults { outage: Some(true), ..LogFaults::default() };
    HttpClient::default().post(&log.address.to_string(), "/control", &outage).await.unwrap();
    let (code, error) = code_and_error(&publish(&log, &node, &["--timeout", "1"]).await);
    assert_eq!(code, Some(4), "{error}");
    assert!(error.contains("not sent") && error.contains("503"), "{error}");
}
