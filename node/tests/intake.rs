//! Invalid input from the network gets a clear error or a closed connection, and affects no other
//! call.

mod support;

use std::time::Duration;

use support::{Deployment, Node, is_complete};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Maximum growth of a node's memory by invalid input, in bytes.
const GROWTH_BYTES: u64 = 96 << 20;

/// Sends `input` and returns all that was received until the connection closed.
async fn exchange(address: &str, input: &[u8]) -> String {
    let mut socket = TcpStream::connect(address).await.expect("connect to the node");
    // The node may close the connection before the whole input is written.
    let _ = socket.write_all(input).await;
    let mut answer = Vec::new();
    let _ = socket.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// Head of a call whose body has `length` bytes, without the blank line that ends the head.
fn call_head(length: usize) -> String {
    format!(
        "POST /call HTTP/1.1\r\nhost: node\r\nconnection: close\r\npoplar-class: read-listing\r\n\
         content-length: {length}\r\n"
    )
}

/// Asserts that an ordinary call still succeeds.
async fn assert_call_succeeds(deployment: &Deployment) {
    let read = deployment.call("read-listing").await;
    assert!(is_complete(&read, "read-listing", 2), "{read:?}");
}

fn node(deployment: &Deployment) -> &Node {
    &deployment.members[0].node
}

#[tokio::test]
async fn malformed_calls_get_a_clear_error() {
    let deployment = Deployment::start("malformed", 1, Duration::from_millis(1)).await;
    let caller = &node(&deployment).caller;
    let cases = [
        (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03".to_vec(), "HTTP/1.1 400"),
        (b"GET / HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n".to_vec(), "HTTP/1.1 404"),
        (format!("{}poplar-request-id: xyz\r\n\r\n{{}}", call_head(2)).into(), "poplar-request-id"),
        (
            format!("{}poplar-deadline-ms: -1\r\n\r\n{{}}", call_head(2)).into(),
            "poplar-deadline-ms",
        ),
        (format!("{}poplar-binding: ..\r\n\r\n{{}}", call_head(2)).into(), "poplar-binding"),
        (format!("{}poplar-parent: 12\r\n\r\n{{}}", call_head(2)).into(), "poplar-parent"),
        (
            format!("{}poplar-customer: nobody\r\n\r\n{{}}", call_head(2)).into(),
            "poplar-outcome: not-run",
        ),
        (format!("{}x: {}\r\n\r\n{{}}", call_head(2), "x".repeat(64 << 10)).into(), "HTTP/1.1 431"),
    ];
    for (input, expected) in cases {
        let answer = exchange(caller, &input).await;
        assert!(answer.contains(expected), "{expected}: {answer}");
    }
    assert_call_succeeds(&deployment).await;
}

#[tokio::test]
async fn an_oversized_body_is_refused_as_not_run() {
    let deployment = Deployment::start("oversized", 1, Duration::from_millis(1)).await;
    let head = format!("{}\r\n", call_head(8 << 20));
    let answer = exchange(&node(&deployment).caller, head.as_bytes()).await;
    assert!(
        answer.contains("HTTP/1.1 413") && answer.contains("poplar-outcome: not-run"),
        "{answer}"
    );
    assert_call_succeeds(&deployment).await;
}

#[tokio::test]
async fn truncated_and_slow_requests_use_bounded_memory_and_affect_no_other_call() {
    let deployment = Deployment::start("slow", 1, Duration::from_millis(1)).await;
    let node = node(&deployment);
    let before = node.memory();
    let truncated = format!("{}\r\n{}", call_head(1 << 20), "x".repeat(1 << 19));
    let slow = "POST /call HTTP/1.1\r\nhost: no";
    let mut held = Vec::new();
    for _ in 0..400 {
        for part in [truncated.as_bytes(), slow.as_bytes()] {
            let mut socket = TcpStream::connect(&node.caller).await.unwrap();
            let _ = tokio::time::timeout(Duration::from_millis(20), socket.write_all(part)).await;
            held.push(socket);
        }
    }
    assert_call_succeeds(&deployment).await;
    let grown = node.memory().saturating_sub(before);
    assert!(grown < GROWTH_BYTES, "memory grew by {grown} bytes");
    drop(held);
    assert_call_succeeds(&deployment).await;
}

/// All bodies grow at the same pace, as on a node too busy to read one body after the other.
#[tokio::test]
async fn bodies_received_concurrently_use_bounded_memory() {
    const ROUND: usize = 16 << 10;
    let deployment = Deployment::start("side", 1, Duration::from_millis(1)).await;
    let node = node(&deployment);
    let before = node.memory();
    let mut sockets = Vec::new();
    for _ in 0..400 {
        let mut socket = TcpStream::connect(&node.caller).await.unwrap();
        socket.write_all(format!("{}\r\n", call_head(1 << 20)).as_bytes()).await.unwrap();
        sockets.push(socket);
    }
    let part = "x".repeat(ROUND);
    for _ in 0..32 {
        for socket in &mut sockets {
            // Once the shared memory is used up, the node answers and stops reading.
            let write = socket.write_all(part.as_bytes());
            let _ = tokio::time::timeout(Duration::from_millis(1), write).await;
        }
    }
    assert_call_succeeds(&deployment).await;
    let grown = node.memory().saturating_sub(before);
    assert!(grown < GROWTH_BYTES, "memory grew by {grown} bytes");
}

#[tokio::test]
async fn garbage_on_the_peer_and_admin_ports_affects_no_call() {
    let deployment = Deployment::start("garbage", 1, Duration::from_millis(1)).await;
    let node = node(&deployment);
    let preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    let garbage = format!("{preface}{}", "\u{0}\u{1}garbage".repeat(1_000));
    exchange(&node.peer, garbage.as_bytes()).await;
    exchange(&node.peer, b"GET / HTTP/1.1\r\n\r\n").await;
    let announce = "POST /target/announce HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\
                    content-type: application/json\r\n";
    let broken = format!("{announce}content-length: 9\r\n\r\n{{\"slots\":");
    assert!(exchange(&node.admin, broken.as_bytes()).await.contains("HTTP/1.1 4"));
    let huge = format!("{announce}content-length: {}\r\n\r\n", 64 << 20);
    assert!(exchange(&node.admin, huge.as_bytes()).await.contains("HTTP/1.1 413"));
    assert_call_succeeds(&deployment).await;
}
