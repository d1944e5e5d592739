//! Peer connections: bytes and processor time of heartbeats.

use std::time::Instant;

use agatesill_wire::peer::{Body, Frame, FrameCodec, Heartbeat, UpstreamLoad};
use bytes::BytesMut;
use tokio_util::codec::{Decoder, Encoder};

use super::result_for_role;
use super::slope::Line;
use crate::result::PolicyResult;

/// Upstreams with requests in flight that one heartbeat reports.
const LOADED_UPSTREAMS: [u32; 5] = [0, 10, 50, 100, 200];

/// Heartbeats encoded and decoded per measurement.
const ROUNDS: u32 = 20_000;

/// Measures one heartbeat at each number of loaded upstreams.
pub fn measure() -> PolicyResult {
    let mut result = result_for_role("peers: heartbeat");
    let mut bytes = Line::new("heartbeat_bytes", "loaded upstreams");
    let mut time = Line::new("encode_and_decode_us", "loaded upstreams");
    for upstreams in LOADED_UPSTREAMS {
        let frame = heartbeat(upstreams);
        let mut codec = FrameCodec::default();
        let mut buffer = BytesMut::new();
        let started = Instant::now();
        let mut length = 0;
        for _ in 0..ROUNDS {
            buffer.clear();
            if codec.encode(frame.clone(), &mut buffer).is_ok() {
                length = buffer.len();
                let _ = codec.decode(&mut buffer);
            }
        }
        bytes.add(f64::from(upstreams), length as f64);
        time.add(f64::from(upstreams), started.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS));
    }
    bytes.report(&mut result);
    time.report(&mut result);
    result
}

fn heartbeat(upstreams: u32) -> Frame {
    let loads = (1..=upstreams).map(|upstream| UpstreamLoad { upstream, in_flight: 3 }).collect();
    let heartbeat =
        Heartbeat { sequence: 1 << 20, config_version: 1 << 16, loads, ..Heartbeat::default() };
    Frame { body: Some(Body::Heartbeat(heartbeat)) }
}
