//! Feeds random and corrupted input to the decoders of peer frames, store responses and operator
//! requests.
//!
//! `PROPTEST_CASES=1000000 cargo test --release -p agatesill_wire --test decoders` generates a
//! million inputs per test. The default is a short run with a fixed seed.

#![allow(clippy::unwrap_used)]

use agatesill_wire::api::{ConfigChange, VersionedConfig};
use agatesill_wire::peer::{
    Body, ConfigPush, Frame, FrameCodec, Heartbeat, Hello, MAX_FRAME_BYTES, MAX_HELLO_BYTES,
    PeerAnswer, PeerCall, UpstreamLoad,
};
use agatesill_wire::platform::{StoreCall, StoreReply};
use bytes::{BufMut, BytesMut};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder};

fn runner() -> TestRunner {
    let cases = std::env::var("PROPTEST_CASES").ok().and_then(|cases| cases.parse().ok());
    TestRunner::new(Config {
        cases: cases.unwrap_or(512),
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    })
}

fn frame() -> impl Strategy<Value = Frame> {
    let loads = prop::collection::vec(any::<(u32, u32)>(), 0..8);
    let heartbeat = (any::<(u64, u64, bool, u64)>(), loads, prop::collection::vec(".{0,8}", 0..4))
        .prop_map(|((sequence, config_version, stopping, config_digest), loads, heard)| {
            let loads =
                loads.into_iter().map(|(upstream, in_flight)| UpstreamLoad { upstream, in_flight });
            Body::Heartbeat(Heartbeat {
                sequence,
                config_version,
                stopping,
                cells: vec!["north".to_owned()],
                config_digest,
                loads: loads.collect(),
                leaving: Vec::new(),
                heard,
            })
        });
    let hello = (any::<u32>(), ".{0,16}", ".{0,16}").prop_map(|(version, instance, zone)| {
        Body::Hello(Hello { protocol_version: version, instance, zone, for_calls: false })
    });
    let push = (any::<u64>(), ".{0,64}")
        .prop_map(|(version, json)| Body::Config(ConfigPush { version, json }));
    let call = any::<(u64, u64, u64)>().prop_map(|(id, limit_ms, have_version)| {
        Body::Call(PeerCall { id, limit_ms, have_version })
    });
    let answer = (any::<u64>(), any::<bool>(), ".{0,16}").prop_map(|(id, is_newer, failure)| {
        let config = is_newer.then(|| ConfigPush { version: id, json: failure.clone() });
        Body::Answer(PeerAnswer { id, config, failure })
    });
    prop_oneof![hello, heartbeat, push, call, answer].prop_map(|body| Frame { body: Some(body) })
}

/// Decodes frames until the input ends or is rejected, and checks that the buffer stays within the
/// limit.
fn drain(mut codec: FrameCodec, bytes: &[u8], limit_bytes: usize) -> Vec<Frame> {
    let mut buffer = BytesMut::from(bytes);
    let mut frames = Vec::new();
    while let Ok(Some(frame)) = codec.decode(&mut buffer) {
        frames.push(frame);
    }
    assert!(buffer.capacity() <= 2 * (limit_bytes + bytes.len() + 64), "{}", buffer.capacity());
    frames
}

#[test]
fn peer_decoder_tolerates_random_bytes() {
    let bytes = prop::collection::vec(any::<u8>(), 0..256);
    runner()
        .run(&bytes, |bytes| {
            drain(FrameCodec::for_handshake(), &bytes, MAX_HELLO_BYTES);
            drain(FrameCodec::default(), &bytes, MAX_FRAME_BYTES);
            let mut framed = BytesMut::new();
            framed.put_u32(bytes.len() as u32);
            framed.put_slice(&bytes);
            drain(FrameCodec::default(), &framed, MAX_FRAME_BYTES);
            Ok(())
        })
        .unwrap();
}

#[test]
fn peer_frames_round_trip_and_tolerate_corruption() {
    let corruption = prop::option::of(any::<(prop::sample::Index, u8)>());
    runner()
        .run(&(frame(), corruption), |(frame, corruption)| {
            let mut bytes = BytesMut::new();
            FrameCodec::default().encode(frame.clone(), &mut bytes).unwrap();
            if let Some((index, value)) = corruption {
                let index = index.index(bytes.len());
                bytes[index] = value;
                drain(FrameCodec::default(), &bytes, MAX_FRAME_BYTES);
            } else {
                prop_assert_eq!(drain(FrameCodec::default(), &bytes, MAX_FRAME_BYTES), [frame]);
            }
            Ok(())
        })
        .unwrap();
}

/// Guards against rejecting frames of a later release, which may contain unknown fields and kinds
/// of body.
#[test]
fn unknown_fields_are_ignored() {
    runner()
        .run(&(frame(), 100..2_000_u32, any::<u64>()), |(frame, tag, value)| {
            let mut bytes = frame.encode_to_vec();
            prost::encoding::uint64::encode(tag, &value, &mut bytes);
            prop_assert_eq!(Frame::decode(&bytes[..]).unwrap(), frame);
            Ok(())
        })
        .unwrap();
}

#[test]
fn json_decoders_tolerate_random_text() {
    let entry = "\\{\"key\":\"[a-z/]{0,6}\",\"value\":\".{0,6}\",\"version\":[0-9]{1,22}\\}";
    let reply = format!(
        "\\{{\"revision\":[0-9]{{1,22}},\"applied\":(true|false|1),\"entries\":\\[({entry})?\\],\
         \"lease_id\":-?[0-9]{{1,4}}\\}}"
    );
    let config =
        "\\{\"version\":[0-9]{1,22},\"doc\":\\{(\"teams\":\\{\\})?\\},\"history\":\\[.{0,8}\\]\\}";
    let text = prop_oneof![".{0,64}", "[\\[\\]{}\":,0-9a-z]{0,64}", reply.as_str(), config];
    runner()
        .run(&text, |text| {
            let _ = serde_json::from_str::<StoreReply>(&text);
            let _ = serde_json::from_str::<StoreCall>(&text);
            let _ = serde_json::from_str::<VersionedConfig>(&text);
            let _ = serde_json::from_str::<ConfigChange>(&text);
            Ok(())
        })
        .unwrap();
}
