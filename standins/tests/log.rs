//! Tests of the log stand-in: order, waiting reads, retention and injected faults behave as nodes
//! and operators' commands expect of the platform's log.

use poplar_standins::{HttpClient, LogFaults, LogServer, LoseAcks};
use serde_json::{Value, json};

const STREAM: &str = "/streams/contracts/records";

async fn append(client: &HttpClient, log: &LogServer, body: Value) -> Option<u64> {
    let reply = client.post(&log.address.to_string(), STREAM, &body).await.ok()?;
    reply.json::<Value>().ok()?["offset"].as_u64()
}

async fn read(client: &HttpClient, log: &LogServer, query: &str) -> Value {
    let path = format!("{STREAM}?{query}");
    client
        .get(&log.address.to_string(), &path)
        .await
        .expect("an answer")
        .json()
        .expect("a JSON page")
}

async fn set_faults(client: &HttpClient, log: &LogServer, faults: LogFaults) {
    let reply =
        client.post(&log.address.to_string(), "/control", &faults).await.expect("an answer");
    assert_eq!(reply.status, 200);
}

#[tokio::test]
async fn records_are_read_in_order_from_an_offset() {
    let (log, client) =
        (LogServer::start("127.0.0.1:0", 100).await.unwrap(), HttpClient::default());
    for number in 0..5 {
        assert_eq!(append(&client, &log, json!({ "n": number })).await, Some(number));
    }
    let page = read(&client, &log, "from=3&limit=10").await;
    let records = json!([{"offset": 3, "body": {"n": 3}}, {"offset": 4, "body": {"n": 4}}]);
    assert_eq!(page, json!({"start": 0, "next": 5, "records": records}));
    log.stop().await;
}

#[tokio::test]
async fn a_waiting_read_returns_the_next_record() {
    let (log, client) =
        (LogServer::start("127.0.0.1:0", 100).await.unwrap(), HttpClient::default());
    let (page, offset) = tokio::join!(
        read(&client, &log, "from=0&wait_ms=30000"),
        append(&client, &log, json!("late")),
    );
    assert_eq!(offset, Some(0));
    assert_eq!(page["records"][0]["body"], "late");
}

#[tokio::test]
async fn expired_records_move_the_start_of_the_stream() {
    let (log, client) = (LogServer::start("127.0.0.1:0", 2).await.unwrap(), HttpClient::default());
    for number in 0..5 {
        append(&client, &log, json!(number)).await;
    }
    let page = read(&client, &log, "from=0").await;
    assert_eq!((page["start"].as_u64(), page["next"].as_u64()), (Some(3), Some(5)));
    assert_eq!(page["records"][0], json!({"offset": 3, "body": 3}));
}

#[tokio::test]
async fn an_append_takes_effect_although_its_acknowledgement_is_lost() {
    let (log, client) =
        (LogServer::start("127.0.0.1:0", 100).await.unwrap(), HttpClient::default());
    let lose = |lost| LogFaults { lose_acks: Some(lost), ..LogFaults::default() };
    set_faults(&client, &log, lose(LoseAcks::All(true))).await;
    assert_eq!(append(&client, &log, json!(1)).await, None);
    set_faults(&client, &log, lose(LoseAcks::OneIn(2))).await;
    assert_eq!(append(&client, &log, json!(2)).await, None);
    assert_eq!(append(&client, &log, json!(3)).await, Some(2));
    assert_eq!(read(&client, &log, "from=0").await["next"], 3);
}

#[tokio::test]
async fn an_outage_refuses_appends_and_reads_and_loses_nothing() {
    let (log, client) =
        (LogServer::start("127.0.0.1:0", 100).await.unwrap(), HttpClient::default());
    append(&client, &log, json!(1)).await;
    let outage = |outage| LogFaults { outage: Some(outage), ..LogFaults::default() };
    set_faults(&client, &log, outage(true)).await;
    assert_eq!(append(&client, &log, json!(2)).await, None);
    let address = log.address.to_string();
    assert_eq!(client.get(&address, STREAM).await.unwrap().status, 503);
    set_faults(&client, &log, outage(false)).await;
    assert_eq!(read(&client, &log, "from=0").await["next"], 1);
}
