//! Tests of the calls between two daemons, over a loopback connection.

#![allow(clippy::unwrap_used)]

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use agatesill_coord::peer_calls::{fetch_config, serve_peer_calls};
use agatesill_wire::peer::{Body, ConfigPush, Frame, FrameCodec, Hello, PROTOCOL_VERSION};
use agatesill_wire::prelude::*;
use futures::StreamExt;
use tokio::net::TcpListener;
use tokio_util::codec::Framed;

const TIMEOUT: Duration = Duration::from_secs(20);

fn hello() -> Hello {
    Hello {
        protocol_version: PROTOCOL_VERSION,
        instance: "a".to_owned(),
        zone: "east".to_owned(),
        for_calls: false,
    }
}

/// Starts a peer whose active configuration has version 7.
async fn peer() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut connection = Framed::new(stream, FrameCodec::for_handshake());
                let Some(Ok(Frame { body: Some(Body::Hello(hello)) })) = connection.next().await
                else {
                    return;
                };
                assert!(hello.for_calls);
                connection.codec_mut().allow_full_frames();
                let push = ConfigPush { version: 7, json: "x".repeat(100_000) };
                serve_peer_calls(connection, move |have_version| {
                    (have_version < 7).then(|| push.clone())
                })
                .await;
            });
        }
    });
    addr
}

/// A daemon that starts during an outage of the store fetches the configuration from a peer. It
/// must receive the complete newest version, or none if it already has that version.
#[tokio::test]
async fn newest_configuration_is_fetched_from_a_peer() {
    let addr = peer().await;
    let fetched = fetch_config(addr, hello(), 3, TIMEOUT).await.unwrap().unwrap();
    assert_eq!((fetched.version, fetched.json.len()), (7, 100_000));
    assert_eq!(fetch_config(addr, hello(), 7, TIMEOUT).await.unwrap(), None);
}

/// A paused peer accepts the connection and never answers. The call must fail at its timeout.
#[tokio::test]
async fn call_to_a_paused_peer_times_out() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let addr = listener.local_addr().unwrap();
    let error = fetch_config(addr, hello(), 0, Duration::from_millis(50)).await.unwrap_err();
    assert_eq!(error.kind, ErrorKind::Unreachable);
}
