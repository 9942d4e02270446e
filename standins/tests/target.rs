//! The target stand-in runs, sheds, freezes and stops as its switches say.

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

async fn order(client: &HttpClient, target: &TargetServer, request: &str) -> Reply {
    let http = http::Request::post(format!("http://{}/", target.address))
        .header(header::REQUEST_ID, request)
        .header(header::CLASS, "read-archive");
    let body = Full::new(Bytes::from_static(br#"{"nonce":7}"#));
    client.send(http.body(body).expect("a valid request")).await.expect("an answer")
}

async fn switch(client: &HttpClient, target: &TargetServer, switches: TargetFaults) {
    let address = target.address.to_string();
    assert_eq!(client.post(&address, "/control", &switches).await.expect("an answer").status, 200);
}

#[tokio::test]
async fn an_answer_names_its_request_and_the_run_is_counted() {
    let target = TargetServer::start(settings(4)).await.unwrap();
    let client = HttpClient::default();
    let answer: Value = order(&client, &target, "r1").await.json().unwrap();
    let expected = json!({
        "service": "archives", "class": "read-archive", "request": "r1", "nonce": 7, "children": []
    });
    assert_eq!(answer, expected);
    order(&client, &target, "r1").await;
    let address = target.address.to_string();
    let runs: Value = client.get(&address, "/control/runs").await.unwrap().json().unwrap();
    assert_eq!(runs, json!({"r1": {"class": "read-archive", "count": 2}}));
}

#[tokio::test]
async fn a_draining_target_sheds_with_the_signal_and_runs_nothing() {
    let target = TargetServer::start(settings(4)).await.unwrap();
    let client = HttpClient::default();
    switch(&client, &target, TargetFaults { drain: Some(true), ..TargetFaults::default() }).await;
    let reply = order(&client, &target, "r1").await;
    assert_eq!(reply.status, 503);
    assert_eq!(reply.headers[header::SHED], "not-run");
    let address = target.address.to_string();
    let runs: Value = client.get(&address, "/control/runs").await.unwrap().json().unwrap();
    assert_eq!(runs, json!({}));
}

#[tokio::test]
async fn a_frozen_target_answers_once_it_thaws_and_a_stop_waits_for_it() {
    let target = TargetServer::start(settings(4)).await.unwrap();
    let client = HttpClient::default();
    switch(&client, &target, TargetFaults { freeze: Some(true), ..TargetFaults::default() }).await;
    let asked = tokio::spawn({
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
    let thaw = TargetFaults { freeze: Some(false), ..TargetFaults::default() };
    switch(&client, &target, thaw).await;
    target.stop().await;
    assert_eq!(asked.await.unwrap(), 200);
}

#[tokio::test]
async fn a_lying_target_says_it_is_idle_and_well() {
    let target = TargetServer::start(settings(4)).await.unwrap();
    let client = HttpClient::default();
    let lie = TargetFaults { lie: Some(true), drain: Some(true), ..TargetFaults::default() };
    switch(&client, &target, lie).await;
    let health: Value =
        client.get(&target.address.to_string(), "/health").await.unwrap().json().unwrap();
    assert_eq!(health, json!({"healthy": true, "load": 0.0}));
}
