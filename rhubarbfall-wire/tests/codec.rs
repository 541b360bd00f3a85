//! Handshake and frame codec with wrong keys and damaged frames: each fault must end the connection
//! with its result code and yield no message.

use bytes::{BufMut, BytesMut};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rhubarbfall_core::{Incarnation, ResultCode};
use rhubarbfall_wire::{
    Envelope, FleetKey, FrameCodec, Handshake, HandshakeRole, PeerIdentity, WireError,
};
use tokio_util::codec::{Decoder, Encoder};

const MAX_FRAME_BYTES: usize = 4096;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 128,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn identity(name: &str) -> PeerIdentity {
    PeerIdentity {
        entry: name.parse().expect("valid identifier"),
        zone: "zone-a".parse().expect("valid identifier"),
        incarnation: Incarnation::new(7),
        address: ([127, 0, 0, 1], 7000).into(),
    }
}

fn complete_handshake(
    initiator_key: &str,
    responder_key: &str,
) -> Result<(FrameCodec, FrameCodec), WireError> {
    let initiator = Handshake::new(
        HandshakeRole::Initiator,
        &identity("entry-1"),
        [1; 32],
        FleetKey::new(initiator_key),
    );
    let responder = Handshake::new(
        HandshakeRole::Responder,
        &identity("entry-2"),
        [2; 32],
        FleetKey::new(responder_key),
    );
    let (initiator_hello, responder_hello) = (initiator.hello().clone(), responder.hello().clone());
    let initiator = initiator.receive(responder_hello)?;
    let responder = responder.receive(initiator_hello)?;
    responder.verify(&initiator.proof())?;
    initiator.verify(&responder.proof())?;
    Ok((
        initiator.codec(MAX_FRAME_BYTES),
        responder.codec(MAX_FRAME_BYTES),
    ))
}

fn codecs() -> (FrameCodec, FrameCodec) {
    complete_handshake("secret", "secret").expect("handshake with equal keys succeeds")
}

fn decode_error_code(result: Result<Option<Envelope>, WireError>) -> Option<ResultCode> {
    result
        .expect_err("the damaged frame is rejected")
        .result_code()
}

#[test]
fn wrong_key_and_reflected_proof_are_refused() {
    let error =
        complete_handshake("secret", "other").expect_err("handshake with different keys fails");
    assert_eq!(
        error.result_code(),
        Some(ResultCode::PeerAuthenticationFailed)
    );
    let initiator = Handshake::new(
        HandshakeRole::Initiator,
        &identity("entry-1"),
        [1; 32],
        FleetKey::new("secret"),
    );
    let reflected = initiator.hello().clone();
    let initiator = initiator
        .receive(reflected)
        .expect("the reflected hello is well-formed");
    let error = initiator
        .verify(&initiator.proof())
        .expect_err("a reflected proof is bound to the other role");
    assert_eq!(
        error.result_code(),
        Some(ResultCode::PeerAuthenticationFailed)
    );
}

#[test]
fn another_version_is_refused() {
    let responder = Handshake::new(
        HandshakeRole::Responder,
        &identity("entry-2"),
        [2; 32],
        FleetKey::new("secret"),
    );
    let mut hello = responder.hello().clone();
    hello.version = 9;
    let error = responder
        .receive(hello)
        .expect_err("version 9 is unsupported");
    assert_eq!(
        error.result_code(),
        Some(ResultCode::PeerVersionUnsupported)
    );
}

#[test]
fn oversized_frames_are_refused_before_they_are_read() {
    let (mut initiator, mut responder) = codecs();
    let large = Envelope::new(3, vec![0; MAX_FRAME_BYTES]);
    let error = initiator
        .encode(large, &mut BytesMut::new())
        .expect_err("the envelope exceeds the maximum frame size");
    assert_eq!(error.result_code(), Some(ResultCode::FrameTooLarge));
    let mut header = BytesMut::new();
    header.put_u32(MAX_FRAME_BYTES as u32 + 1);
    assert_eq!(
        decode_error_code(responder.decode(&mut header)),
        Some(ResultCode::FrameTooLarge)
    );
}

#[test]
fn repeated_frames_are_refused() {
    let (mut initiator, mut responder) = codecs();
    let mut buffer = BytesMut::new();
    initiator
        .encode(Envelope::new(3, &b"once"[..]), &mut buffer)
        .expect("the frame is below the maximum size");
    let mut repeated = buffer.clone();
    assert!(
        responder
            .decode(&mut buffer)
            .expect("the first copy is valid")
            .is_some()
    );
    assert_eq!(
        decode_error_code(responder.decode(&mut repeated)),
        Some(ResultCode::PeerAuthenticationFailed)
    );
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn envelopes_survive_any_split(
        kind in 0_u32..100,
        payload in proptest::collection::vec(any::<u8>(), 0..2000),
        split in any::<prop::sample::Index>(),
    ) {
        let (mut initiator, mut responder) = codecs();
        let mut whole = BytesMut::new();
        initiator.encode(Envelope::new(kind, payload.clone()), &mut whole)?;
        let mut first = whole.split_to(split.index(whole.len()));
        prop_assert!(responder.decode(&mut first)?.is_none());
        first.unsplit(whole);
        let envelope = responder.decode(&mut first)?.expect("the frame is complete");
        prop_assert_eq!(envelope.kind, kind);
        prop_assert_eq!(envelope.payload.as_ref(), payload.as_slice());
        prop_assert_eq!(envelope.sender.as_str(), "entry-1");
        prop_assert_eq!(envelope.incarnation, 7);
    }

    #[test]
    fn a_changed_byte_is_refused(
        payload in proptest::collection::vec(any::<u8>(), 0..200),
        position in any::<prop::sample::Index>(),
        change in 1_u8..,
    ) {
        let (mut initiator, mut responder) = codecs();
        let mut frame = BytesMut::new();
        initiator.encode(Envelope::new(3, payload), &mut frame)?;
        let position = 4 + position.index(frame.len() - 4);
        frame[position] ^= change;
        prop_assert_eq!(
            decode_error_code(responder.decode(&mut frame)),
            Some(ResultCode::PeerAuthenticationFailed)
        );
    }

    #[test]
    fn arbitrary_bytes_never_yield_a_message(
        bytes in proptest::collection::vec(any::<u8>(), 0..200),
    ) {
        let (_, mut responder) = codecs();
        let decoded = responder.decode(&mut BytesMut::from(bytes.as_slice()));
        prop_assert!(!matches!(decoded, Ok(Some(_))));
    }
}
