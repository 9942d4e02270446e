//! How long a connection waits for the other end to close it.

use std::time::Duration;

use poplar_core::{Linger, LingerLimits, Moment};

const LIMITS: LingerLimits =
    LingerLimits { total: Duration::from_secs(30), quiet: Duration::from_secs(2) };

fn at(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

/// Guards against a caller that reads slowly and whose answer is cut off after the quiet time.
#[test]
fn unsent_bytes_are_waited_for_until_the_total_limit() {
    let mut linger = Linger::new(LIMITS, at(1_000), at(900));
    assert_eq!(linger.deadline(false), at(31_000));
    assert_eq!(linger.deadline(true), at(31_000));
    linger.record_sent(at(9_000));
    assert_eq!(linger.deadline(false), at(11_000));
}

/// Guards against idle connections that hold up a stop: what was sent before the wait began needs no
/// further time.
#[test]
fn connection_that_has_been_quiet_is_closed_at_once() {
    let mut linger = Linger::new(LIMITS, at(20_000), at(1_000));
    linger.record_sent(at(20_000));
    assert_eq!(linger.deadline(false), at(3_000));
}

#[test]
fn received_bytes_extend_the_wait_up_to_the_total_limit() {
    let mut linger = Linger::new(LIMITS, at(0), at(0));
    linger.record_sent(at(0));
    linger.record_received(at(1_500));
    assert_eq!(linger.deadline(false), at(3_500));
    linger.record_received(at(29_000));
    assert_eq!(linger.deadline(false), at(30_000));
}

/// Guards against a caller that sends without end and holds up a stop.
#[test]
fn received_bytes_do_not_extend_the_wait_of_a_stopping_process() {
    let mut linger = Linger::new(LIMITS, at(0), at(0));
    linger.record_sent(at(0));
    linger.record_received(at(1_500));
    assert_eq!(linger.deadline(true), at(2_000));
}

#[test]
fn only_the_first_time_at_which_all_was_sent_counts() {
    let mut linger = Linger::new(LIMITS, at(0), at(0));
    linger.record_sent(at(500));
    linger.record_sent(at(1_500));
    assert_eq!(linger.deadline(true), at(2_500));
}
