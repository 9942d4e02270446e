//! Connections that a node ends while their other end still sends.

mod support;

use std::io::ErrorKind;
use std::time::{Duration, Instant};

use poplar_kernel::Clock;
use poplar_node::proxy::Closer;
use support::{Deployment, Node};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// More than the kernel buffers of both ends hold, and than the limit on bodies.
const LONG_BYTES: usize = 8 << 20;
/// Time after the last answer from which a connection counts as idle, with some slack.
const IDLE_TIME: Duration = Duration::from_millis(2_200);
/// Longest time for which a stopping node waits for clients that have received everything, in
/// addition to the 0.7 s for which it refuses calls and to a second for a machine under load.
const STOP_LIMIT: Duration = Duration::from_millis(2_000 + 700 + 1_000);

/// Sends the whole of `input`, and then reads until the connection ends.
async fn exchange(address: &str, input: &[u8]) -> std::io::Result<String> {
    let mut socket = TcpStream::connect(address).await?;
    socket.write_all(input).await?;
    let mut answer = Vec::new();
    socket.read_to_end(&mut answer).await?;
    Ok(String::from_utf8_lossy(&answer).into_owned())
}

fn node(deployment: &mut Deployment) -> &mut Node {
    &mut deployment.members[0].node
}

/// Guards against the answer to a call beyond the limit that is cut off while its body is sent.
#[tokio::test]
async fn body_beyond_the_limit_gets_its_answer() {
    let mut deployment = Deployment::start("long-body", 1, Duration::from_millis(1)).await;
    let caller = node(&mut deployment).caller.clone();
    for path in ["/call", "/unknown"] {
        let mut input = format!(
            "POST {path} HTTP/1.1\r\nhost: node\r\npoplar-class: read-listing\r\n\
             content-length: {LONG_BYTES}\r\n\r\n"
        )
        .into_bytes();
        input.resize(input.len() + LONG_BYTES, b'x');
        let answer = exchange(&caller, &input).await.expect("the connection is not reset");
        let status = if path == "/call" { "HTTP/1.1 413" } else { "HTTP/1.1 404" };
        assert!(answer.starts_with(status), "{path}: {answer}");
    }
}

/// Guards against an answer that is cut off by what is sent behind a malformed head, or behind a
/// call that ends the connection.
#[tokio::test]
async fn bytes_behind_the_last_answer_do_not_cut_it() {
    let mut deployment = Deployment::start("behind", 1, Duration::from_millis(1)).await;
    let caller = node(&mut deployment).caller.clone();
    let heads = [
        ("NO HTTP\r\n\r\n", "HTTP/1.1 400"),
        ("GET / HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n", "HTTP/1.1 404"),
    ];
    for (head, status) in heads {
        let mut input = head.as_bytes().to_vec();
        input.resize(input.len() + LONG_BYTES, b'x');
        let answer = exchange(&caller, &input).await.expect("the connection is not reset");
        assert!(answer.starts_with(status), "{answer}");
    }
}

/// As above, on the port for other nodes.
#[tokio::test]
async fn bytes_behind_a_protocol_error_of_a_peer_do_not_reset_its_connection() {
    let mut deployment = Deployment::start("peer", 1, Duration::from_millis(1)).await;
    let peer = node(&mut deployment).peer.clone();
    exchange(&peer, &vec![b'x'; LONG_BYTES]).await.expect("the connection is not reset");
}

/// Guards against a request that arrives on an idle connection while the server closes it, and that
/// is read and discarded: its client cannot tell it from one that was run.
#[tokio::test]
async fn request_on_an_idle_connection_that_is_closed_stays_unread() {
    let logger = slog::Logger::root(slog::Discard, slog::o!());
    let closer = Closer::new(Clock::start(), logger);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let mut client = TcpStream::connect(address).await.expect("the listener accepts");
    let (socket, _) = listener.accept().await.expect("the client connects");
    let mut server = closer.client(socket);
    server.write_all(b"answer").await.expect("the client reads");
    let mut answer = [0; 6];
    client.read_exact(&mut answer).await.expect("the answer arrives");
    tokio::time::sleep(IDLE_TIME).await;
    client.write_all(b"request").await.expect("the connection is open");
    drop(server);
    let end = client.read(&mut answer).await;
    let kind = end.expect_err("the client learns that its request was not read").kind();
    assert_eq!(kind, ErrorKind::ConnectionReset);
}

/// Guards against clients that never close their connections and hold up a stop.
#[tokio::test]
async fn clients_that_never_close_do_not_hold_up_a_stop() {
    let mut deployment = Deployment::start("stop", 1, Duration::from_millis(1)).await;
    let node = node(&mut deployment);
    let mut clients = Vec::new();
    for _ in 0..50 {
        let mut socket = TcpStream::connect(&node.caller).await.expect("connect to the node");
        socket.write_all(b"GET / HTTP/1.1\r\nhost: node\r\n\r\n").await.expect("send a call");
        let read = socket.read(&mut [0; 64]).await.expect("an answer arrives");
        assert!(read > 0);
        clients.push(socket);
    }
    let stopped = Instant::now();
    assert_eq!(node.terminate().await, Some(0));
    assert!(stopped.elapsed() < STOP_LIMIT, "the stop took {:?}", stopped.elapsed());
}
