//! A client returns an answer only if it is whole and carries the identifier of the request.

use std::time::Duration;

use poplar_client::{Answer, Call, Client, ErrorKind, Outcome, RequestId};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const REQUEST: RequestId = RequestId(7);

/// Outcome of a call to a node that sends `answer` to every call and then closes the connection.
async fn outcome(answer: String) -> Outcome<Answer> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port is free");
    let address = listener.local_addr().expect("the listener has a local address").to_string();
    tokio::spawn(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            let mut head = [0; 4096];
            let _ = socket.read(&mut head).await;
            let _ = socket.write_all(answer.as_bytes()).await;
        }
    });
    let call = Call::new("armor", "read-listing", Duration::from_secs(5)).with_request(REQUEST);
    Client::new(vec![address]).call(call).await
}

fn answer(request: RequestId, length: usize) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nconnection: close\r\npoplar-outcome: done\r\n\
         poplar-request-id: {request}\r\ncontent-length: {length}\r\n\r\nwhole"
    )
}

#[tokio::test]
async fn a_whole_answer_to_the_request_is_returned() {
    let whole = Answer { status: 200, body: "whole".into() };
    assert_eq!(outcome(answer(REQUEST, 5)).await, Outcome::Done(whole));
}

#[tokio::test]
async fn an_answer_to_another_request_is_unknown() {
    let other_request = outcome(answer(RequestId(8), 5)).await;
    assert_eq!(other_request, Outcome::Unknown { kind: ErrorKind::BadAnswer });
}

#[tokio::test]
async fn a_truncated_answer_is_unknown() {
    let truncated = outcome(answer(REQUEST, 50)).await;
    assert_eq!(truncated, Outcome::Unknown { kind: ErrorKind::Connection });
}

#[tokio::test]
async fn an_answer_without_an_outcome_is_unknown() {
    let without_outcome =
        format!("HTTP/1.1 200 OK\r\npoplar-request-id: {REQUEST}\r\ncontent-length: 0\r\n\r\n");
    assert_eq!(outcome(without_outcome).await, Outcome::Unknown { kind: ErrorKind::BadAnswer });
}
