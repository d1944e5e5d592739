//! Calls between two daemons over one loopback connection.

#![allow(clippy::unwrap_used)]

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use agatesill_coord::peer_calls::{fetch_config, serve_peer_calls};
use agatesill_wire::peer::{Body, ConfigPush, Frame, FrameCodec, Hello, PROTOCOL_VERSION};
use agatesill_wire::prelude::*;
use futures::StreamExt;
use tokio::net::TcpListener;
use tokio_util::codec::Framed;

const LIMIT: Duration = Duration::from_secs(20);

fn hello() -> Hello {
    Hello {
        protocol_version: PROTOCOL_VERSION,
        instance: "a".to_owned(),
        zone: "east".to_owned(),
        for_calls: false,
    }
}

/// A peer that has version 7 in force.
async fn peer() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut link = Framed::new(stream, FrameCodec::for_stranger());
                let Some(Ok(Frame { body: Some(Body::Hello(hello)) })) = link.next().await else {
                    return;
                };
                assert!(hello.for_calls);
                link.codec_mut().trust();
                let push = ConfigPush { version: 7, json: "x".repeat(100_000) };
                serve_peer_calls(link, move |have| (have < 7).then(|| push.clone())).await;
            });
        }
    });
    addr
}

/// A daemon born in an outage of the store asks a peer. It must get the newest version whole, and
/// nothing when it already has it.
#[tokio::test]
async fn the_newest_configuration_is_fetched() {
    let addr = peer().await;
    let fetched = fetch_config(addr, hello(), 3, LIMIT).await.unwrap().unwrap();
    assert_eq!((fetched.version, fetched.json.len()), (7, 100_000));
    assert_eq!(fetch_config(addr, hello(), 7, LIMIT).await.unwrap(), None);
}

/// The peer is paused: it takes the connection and never answers. The caller hears in time.
#[tokio::test]
async fn a_paused_peer_is_given_up() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let addr = listener.local_addr().unwrap();
    let error = fetch_config(addr, hello(), 0, Duration::from_millis(50)).await.unwrap_err();
    assert_eq!(error.kind, ErrorKind::Unreachable);
}
