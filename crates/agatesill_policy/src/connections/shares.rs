//! Division of a process's memory and descriptors among its listeners.

/// Descriptors that stay free for files.
const FILE_DESCRIPTORS: usize = 200;

/// Descriptors for the store and calls to peers.
const OUTGOING_DESCRIPTORS: usize = 64;

/// Descriptors for the connections to one worker: one for polls and up to two for orders.
const DESCRIPTORS_PER_WORKER: usize = 3;

/// Connections of load balancers to the readiness endpoint.
const READY_CONNECTIONS: usize = 32;

/// Connections of monitoring systems and operators to the metrics endpoint.
const METRICS_CONNECTIONS: usize = 32;

/// Part of the descriptors that peers may use.
const PEER_DESCRIPTOR_DIVISOR: usize = 4;

/// Part of the descriptors that callers get however many workers there are.
const MIN_CALLER_DESCRIPTOR_DIVISOR: usize = 16;

/// Part of the memory that no listener gets. It is for what is held only during one turn of the
/// process, such as a job while it is decoded, and for what the allocator holds back.
const SPARE_MEMORY_DIVISOR: u64 = 8;

/// Most of the memory that callers get.
const MAX_CALLER_MEMORY_DIVISOR: u64 = 2;

/// Part of the memory that callers get however much the process needs itself.
const MIN_CALLER_MEMORY_DIVISOR: u64 = 16;

/// Part of the memory that connections of peers get.
const PEER_MEMORY_DIVISOR: u64 = 8;

/// Part of the memory that each of the small endpoints gets.
const ENDPOINT_MEMORY_DIVISOR: u64 = 32;

/// Limits of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Memory, including bytes that were received and not read.
    pub memory_bytes: u64,
    /// Descriptors of files, sockets and pipes.
    pub descriptors: usize,
}

/// What a process uses apart from the connections to its listeners.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessUse {
    /// Memory for its own state.
    pub own_bytes: u64,
    /// Workers that it calls.
    pub workers: usize,
}

/// Most connections to one listener, and the memory that they may hold together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenerShare {
    /// Open connections.
    pub connections: usize,
    /// Memory of the connections, of what they have sent, and of what they have yet to read.
    pub bytes: u64,
}

/// The shares of all listeners of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shares {
    /// Callers. They get what nobody else needs.
    pub callers: ListenerShare,
    /// Other daemons.
    pub peers: ListenerShare,
    /// The readiness endpoint.
    pub ready: ListenerShare,
    /// The metrics endpoint.
    pub metrics: ListenerShare,
}

impl Shares {
    /// Divides the limits of a process with this use.
    pub fn new(limits: ProcessLimits, used: ProcessUse) -> Self {
        let sockets = limits.descriptors.saturating_sub(FILE_DESCRIPTORS);
        let peers = ListenerShare {
            connections: sockets / PEER_DESCRIPTOR_DIVISOR,
            bytes: limits.memory_bytes / PEER_MEMORY_DIVISOR,
        };
        let endpoint_bytes = limits.memory_bytes / ENDPOINT_MEMORY_DIVISOR;
        let ready = ListenerShare { connections: READY_CONNECTIONS, bytes: endpoint_bytes };
        let metrics = ListenerShare { connections: METRICS_CONNECTIONS, bytes: endpoint_bytes };

        let others = peers.connections + ready.connections + metrics.connections;
        let outgoing = OUTGOING_DESCRIPTORS + used.workers * DESCRIPTORS_PER_WORKER;
        let min_connections = sockets / MIN_CALLER_DESCRIPTOR_DIVISOR;
        let connections = sockets.saturating_sub(others + outgoing).max(min_connections);

        let reserved_bytes = limits.memory_bytes / SPARE_MEMORY_DIVISOR
            + peers.bytes
            + ready.bytes
            + metrics.bytes
            + used.own_bytes;
        let bytes = limits.memory_bytes.saturating_sub(reserved_bytes).clamp(
            limits.memory_bytes / MIN_CALLER_MEMORY_DIVISOR,
            limits.memory_bytes / MAX_CALLER_MEMORY_DIVISOR,
        );
        Self { callers: ListenerShare { connections, bytes }, peers, ready, metrics }
    }
}
