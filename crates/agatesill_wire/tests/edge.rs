//! What an edge counts for its connections.

#![allow(clippy::unwrap_used)] // A failed assumption of a test fails the test.

use std::net::SocketAddr;

use agatesill_policy::connections::{CloseReason, ListenerShare};
use agatesill_wire::listener::{Edge, EdgeLimits};

const SHARE: ListenerShare = ListenerShare { connections: 4, bytes: 1 << 20 };

fn addr() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9))
}

/// Guards against a crowd that raises its own share: bytes that the kernel may hold are no part of the
/// resident memory, so a process that subtracts them takes its own state for smaller than it is.
#[test]
fn receive_buffers_are_counted_but_are_not_resident() {
    let limits = EdgeLimits::default();
    let edge = Edge::new("test", limits, SHARE);
    let connections: Vec<_> = (0..3).map(|_| edge.open(addr()).unwrap()).collect();
    let (open, held_bytes) = edge.held();
    assert_eq!(open, 3);
    let kernel_bytes = 3 * limits.receive_buffer_bytes as u64;
    assert_eq!(edge.resident_bytes(), held_bytes - kernel_bytes);

    let larger = EdgeLimits { receive_buffer_bytes: 64 << 10, ..limits };
    edge.set_limits(&larger);
    assert_eq!(edge.resident_bytes(), held_bytes - kernel_bytes, "the resident part stays");
    assert_eq!(edge.held().1, held_bytes + kernel_bytes);
    drop(connections);
    assert_eq!((edge.held(), edge.resident_bytes()), ((0, 0), 0));
}

/// Guards against refused connections that nobody can see.
#[test]
fn refused_connections_are_counted() {
    let edge = Edge::new("test", EdgeLimits::default(), SHARE);
    let connections: Vec<_> = (0..4).map(|_| edge.open(addr()).unwrap()).collect();
    assert!(edge.open(addr()).is_none());
    assert_eq!(edge.closed(CloseReason::NoRoom), 1);
    drop(connections);
    assert!(edge.open(addr()).is_some());
}
