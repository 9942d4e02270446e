//! Tests of the target stand-in: running, shedding, freezing and stopping with injected faults.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use poplar_core::Name;
use poplar_standins::{ClassGraph, HttpClient, Reply, TargetFaults, TargetServer, TargetSettings};
use poplar_wire::header;
use serde_json::{Value, json};

fn settings(slots: u32) -> TargetSettings {
    TargetSettings {
        listen: "127.0.0.1:0".to_owned(),
        service: Name::new("archives"),
        customer: Name::new("armor"),
        node_admin: None,
        node_caller: None,
        slots,
        connections: 10,
        service_time: Duration::ZERO,
        graph: ClassGraph::default(),
    }
}

async fn send_request(client: &HttpClient, target: &TargetServer, request: &str) -> Reply {
    let http = http::Request::post(format!("http://{}/", target.address))
        .header(header::REQUEST_ID, request)
        .header(header::CLASS, "read-archive");
    let body = Full::new(Bytes::from_static(br#"{"nonce":7}"#));
    client.send(http.body(body).expect("a valid request")).await.expect("an answer")
}

async fn set_faults(client: &HttpClient, target: &TargetServer, faults: TargetFaults) {
    let address = target.address.to_string();
    assert_eq!(client.post(&address, "/control", &faults).await.expect("an answer").status, 200);
}

#[tokio::test]
async fn an_answer_contains_its_request_id_and_the_run_is_counted() {
    let target = TargetServer::start(settings(4)).await.unwrap();
    let client = HttpClient::default();
    let answer: Value = send_request(&client, &target, "r1").await.json().unwrap();
    let expected = json!({
        "service": "archives", "class": "read-archive", "request": "r1", "nonce": 7, "children": []
    });
    assert_eq!(answer, expected);
    send_request(&client, &target, "r1").await;
    let address = target.address.to_string();
    let runs: Value = client.get(&address, "/control/runs").await.unwrap().json().unwrap();
    assert_eq!(runs, json!({"r1": {"class": "read-archive", "count": 2}}));
}

#[tokio::test]
async fn a_draining_target_sheds_requests_as_not_run_and_runs_nothing() {
    let target = TargetServer::start(settings(4)).await.unwrap();
    let client = HttpClient::default();
    set_faults(&client, &target, TargetFaults { drain: Some(true), ..TargetFaults::default() })
        .await;
    let reply = send_request(&client, &target, "r1").await;
    assert_eq!(reply.status, 503);
    assert_eq!(reply.headers[header::SHED], "not-run");
    let address = target.address.to_string();
    let runs: Value = client.get(&address, "/control/runs").await.unwrap().json().unwrap();
    assert_eq!(runs, json!({}));
}

#[tokio::test]
async fn a_frozen_target_answers_after_the_freeze_and_a_stop_waits_for_it() {
    let target = TargetServer::start(settings(4)).await.unwrap();
    let client = HttpClient::default();
    set_faults(&client, &target, TargetFaults { freeze: Some(true), ..TargetFaults::default() })
        .await;
    let status = tokio::spawn({
        let (client, address) = (client.clone(), target.address);
        async move {
            let http = http::Request::post(format!("http://{address}/"));
            let body = Full::new(Bytes::from_static(b"{}"));
            client.send(http.body(body).unwrap()).await.unwrap().status
        }
    });
    while client.get(&target.address.to_string(), "/health").await.unwrap().json::<Value>().unwrap()
        ["load"]
        == 0.0
    {}
    let unfreeze = TargetFaults { freeze: Some(false), ..TargetFaults::default() };
    set_faults(&client, &target, unfreeze).await;
    target.stop().await;
    assert_eq!(status.await.unwrap(), 200);
}

#[tokio::test]
async fn a_lying_target_reports_healthy_without_load() {
    let target = TargetServer::start(settings(4)).await.unwrap();
    let client = HttpClient::default();
    let lie = TargetFaults { lie: Some(true), drain: Some(true), ..TargetFaults::default() };
    set_faults(&client, &target, lie).await;
    let health: Value =
        client.get(&target.address.to_string(), "/health").await.unwrap().json().unwrap();
    assert_eq!(health, json!({"healthy": true, "load": 0.0}));
}
