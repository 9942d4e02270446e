//! Decoders of node messages never panic on arbitrary bytes, and encoded values decode to the same
//! values.

use poplar_core::{Binding, Incarnation, Message};
use poplar_wire::{
    CallReply, CallRequest, CodecError, HANDOVER_LIMIT_BYTES, RunStatusReply, RunStatusRequest,
    Sender, TargetBindingRequest, decode, encode, format_binding, parse_binding,
};
use quickcheck::{Gen, QuickCheck, Testable};

/// The seed and the number of cases are fixed, so that every run has the same result.
fn check<P: Testable>(property: P) {
    let rng = Gen::from_size_and_seed(200, 5);
    QuickCheck::new().rng(rng).tests(1_000).quickcheck(property);
}

fn decode_all(bytes: &[u8]) {
    let _ = decode::<CallRequest>(bytes);
    let _ = decode::<CallReply>(bytes);
    let _ = decode::<RunStatusRequest>(bytes);
    let _ = decode::<RunStatusReply>(bytes);
    let _ = decode::<TargetBindingRequest>(bytes);
    let _ = decode::<Message>(bytes);
}

fn request() -> TargetBindingRequest {
    let sender = Sender {
        instance: "archives-1".into(),
        incarnation: Incarnation(7),
        address: "127.0.0.1:7000".to_owned(),
    };
    TargetBindingRequest { sender }
}

#[test]
fn arbitrary_bytes_decode_to_a_message_or_an_error() {
    fn property(bytes: Vec<u8>) -> bool {
        decode_all(&bytes);
        true
    }
    check(property as fn(Vec<u8>) -> bool);
}

#[test]
fn a_truncated_message_is_an_error_and_a_whole_one_round_trips() {
    let whole = encode(&request()).unwrap();
    assert_eq!(decode::<TargetBindingRequest>(&whole).unwrap(), request());
    for len in 0..whole.len() {
        assert!(decode::<TargetBindingRequest>(&whole[..len]).is_err(), "{len} bytes");
        decode_all(&whole[..len]);
    }
}

#[test]
fn a_message_above_the_size_limit_is_not_decoded() {
    let error = decode::<TargetBindingRequest>(&vec![0; HANDOVER_LIMIT_BYTES + 1]).unwrap_err();
    assert!(matches!(error, CodecError::TooLarge(_)));
}

#[test]
fn a_binding_round_trips_through_its_text_and_no_text_panics() {
    fn any_text(text: String) -> bool {
        let _ = parse_binding(&text);
        true
    }
    fn round_trips(incarnation: u64, window: u64, serial: u32) -> bool {
        let incarnation = Incarnation(incarnation);
        let binding = Binding { instance: "archives-1".into(), incarnation, window, serial };
        parse_binding(&format_binding(&binding)) == Some(binding)
    }
    check(any_text as fn(String) -> bool);
    check(round_trips as fn(u64, u64, u32) -> bool);
}
