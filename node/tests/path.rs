//! Calls through a deployment of separate node processes.

mod support;

use std::time::Duration;

use support::{Deployment, is_complete};

#[tokio::test]
async fn a_call_through_a_chain_of_targets_returns_every_part_of_the_answer() {
    let deployment = Deployment::start("path", 1, Duration::from_millis(1)).await;
    let read = deployment.call("read-listing").await;
    assert!(is_complete(&read, "read-listing", 2), "{read:?}");
    let booked = deployment.call("book-reminder").await;
    assert!(is_complete(&booked, "book-reminder", 4), "{booked:?}");
    let corrected = deployment.call("correct-schedule").await;
    assert!(is_complete(&corrected, "correct-schedule", 3), "{corrected:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_graceful_stop_under_load_interrupts_no_call() {
    let mut deployment = Deployment::start("stop", 2, Duration::from_millis(20)).await;
    let client = deployment.client.clone();
    let load = tokio::spawn(async move {
        let mut calls = tokio::task::JoinSet::new();
        for number in 0..200 {
            let class = ["read-listing", "book-reminder", "submit-change"][number % 3];
            let call = poplar_client::Call::new("armor", class, Duration::from_secs(5));
            let call = call.with_body("{\"nonce\":7}");
            let client = client.clone();
            calls.spawn(async move { (class, client.call(call).await) });
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        calls.join_all().await
    });
    tokio::time::sleep(Duration::from_millis(500)).await;
    for index in [6, 4, 2, 0] {
        let mut member = deployment.members.remove(index);
        let stop = tokio::spawn(member.target.stop());
        assert_eq!(member.node.terminate().await, Some(0));
        stop.await.unwrap();
    }
    for (class, outcome) in load.await.unwrap() {
        let parts =
            if class == "book-reminder" { 4 } else { 3 - usize::from(class == "read-listing") };
        assert!(is_complete(&outcome, class, parts), "{class}: {outcome:?}");
    }
}
