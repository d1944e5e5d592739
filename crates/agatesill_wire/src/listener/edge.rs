//! One edge of a process: the connections to one listener and the limits on them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use agatesill_policy::connections::{
    CloseReason, ConnectionId, ConnectionLimits, ConnectionTable, ListenerShare,
};
use tokio_util::sync::CancellationToken;

use crate::line_limit::LineLimit;

/// Default of the maximum size of a request's head.
pub const MAX_HEAD_BYTES: usize = 32 << 10;

/// Memory of a connection without a request: hyper's buffers and the state of its task.
const CONNECTION_BYTES: u64 = 20 << 10;

/// Bytes that the kernel may have received for a connection that is not read, unless the edge knows
/// better.
const RECEIVE_BUFFER_BYTES: usize = 32 << 10;

/// Default of the time for the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Default of the time between two requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Time for which a client may leave an answer unread.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Default of how far behind a connection must be before it is closed for another one.
const MIN_BEHIND: Duration = Duration::from_millis(250);

/// Maximum number of lines a second about closed connections of one edge.
const MAX_LINES_PER_S: u32 = 5;

/// Limits of each connection to an edge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EdgeLimits {
    /// Maximum size of a request's head.
    pub max_head_bytes: usize,
    /// Bytes that the kernel may have received for a connection that is not read.
    pub receive_buffer_bytes: usize,
    /// How far behind a connection must be before it is closed for another one.
    pub min_behind: Duration,
    /// Time for the head of a request, or for a frame.
    pub head_timeout: Duration,
    /// Time between two requests; `None` if connections may be idle for as long as there is room.
    pub idle_timeout: Option<Duration>,
    /// Time for which a client may leave an answer unread.
    pub stall_timeout: Duration,
}

impl Default for EdgeLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: MAX_HEAD_BYTES,
            receive_buffer_bytes: RECEIVE_BUFFER_BYTES,
            min_behind: MIN_BEHIND,
            head_timeout: HEAD_TIMEOUT,
            idle_timeout: Some(IDLE_TIMEOUT),
            stall_timeout: STALL_TIMEOUT,
        }
    }
}

impl EdgeLimits {
    fn of_connection(&self) -> ConnectionLimits {
        let us = |duration: Duration| duration.as_micros() as u64;
        ConnectionLimits {
            base_bytes: CONNECTION_BYTES + self.receive_buffer_bytes as u64,
            min_behind_us: us(self.min_behind),
            head_timeout_us: us(self.head_timeout),
            idle_timeout_us: self.idle_timeout.map_or(u64::MAX, us),
            stall_timeout_us: us(self.stall_timeout),
        }
    }
}

/// The connections to one listener; clones share them.
#[derive(Clone, Debug)]
pub struct Edge {
    state: Arc<EdgeState>,
}

#[derive(Debug)]
struct EdgeState {
    name: &'static str,
    started: Instant,
    max_head_bytes: AtomicUsize,
    receive_buffer_bytes: AtomicUsize,
    table: Mutex<OpenConnections>,
    closed: [AtomicU64; CloseReason::ALL.len()],
    lines: LineLimit,
}

#[derive(Debug)]
struct OpenConnections {
    table: ConnectionTable,
    closers: HashMap<ConnectionId, Closer>,
}

/// Closes a connection from outside of its task.
#[derive(Clone, Debug)]
struct Closer {
    addr: SocketAddr,
    reason: Arc<Mutex<Option<CloseReason>>>,
    token: CancellationToken,
}

impl Edge {
    /// An edge without connections; `name` is the one in logs and metrics.
    pub fn new(name: &'static str, limits: EdgeLimits, share: ListenerShare) -> Self {
        let table = ConnectionTable::new(limits.of_connection(), share);
        let state = EdgeState {
            name,
            started: Instant::now(),
            max_head_bytes: AtomicUsize::new(limits.max_head_bytes),
            receive_buffer_bytes: AtomicUsize::new(limits.receive_buffer_bytes),
            table: Mutex::new(OpenConnections { table, closers: HashMap::new() }),
            closed: Default::default(),
            lines: LineLimit::new(MAX_LINES_PER_S),
        };
        Self { state: Arc::new(state) }
    }

    /// Name in logs and metrics.
    pub fn name(&self) -> &'static str {
        self.state.name
    }

    /// Sets the limits of each connection. The maximum size of a head applies to new connections.
    pub fn set_limits(&self, limits: &EdgeLimits) {
        self.state.max_head_bytes.store(limits.max_head_bytes, Ordering::Relaxed);
        self.state.receive_buffer_bytes.store(limits.receive_buffer_bytes, Ordering::Relaxed);
        self.lock().table.set_limits(limits.of_connection());
    }

    /// Sets the share of the process's memory and descriptors.
    pub fn set_share(&self, share: ListenerShare) {
        self.lock().table.set_share(share);
    }

    /// Number of open connections, and the memory that they hold by their counts.
    pub fn held(&self) -> (usize, u64) {
        let open = self.lock();
        (open.table.len(), open.table.held_bytes())
    }

    /// The part of that memory which is the process's own: all but the kernel's receive buffers.
    pub fn resident_bytes(&self) -> u64 {
        let (connections, held_bytes) = self.held();
        let kernel_bytes = connections * self.state.receive_buffer_bytes.load(Ordering::Relaxed);
        held_bytes.saturating_sub(kernel_bytes as u64)
    }

    /// The share of the process's memory and descriptors.
    pub fn share(&self) -> ListenerShare {
        self.lock().table.share()
    }

    /// Connections refused or closed for this reason.
    pub fn closed(&self, reason: CloseReason) -> u64 {
        self.state.closed[reason as usize].load(Ordering::Relaxed)
    }

    /// Maximum size of the head of a request on a new connection.
    pub(super) fn max_head_bytes(&self) -> usize {
        self.state.max_head_bytes.load(Ordering::Relaxed)
    }

    /// Admits a connection; `None` if there is no room for it.
    pub fn open(&self, addr: SocketAddr) -> Option<ConnectionHandle> {
        let now_us = self.now_us();
        let mut open = self.lock();
        let (id, closed) = open.table.open(now_us);
        let closed = open.take_closers(&closed);
        let closer = Closer { addr, reason: Arc::default(), token: CancellationToken::new() };
        if let Some(id) = id {
            open.closers.insert(id, closer.clone());
        }
        drop(open);
        self.close_all(closed, CloseReason::Behind);
        let Some(id) = id else {
            self.count(CloseReason::NoRoom, addr);
            return None;
        };
        Some(ConnectionHandle {
            guard: Arc::new(ConnectionGuard { edge: self.clone(), id, closer }),
        })
    }

    /// Closes the connections that have exceeded a timeout.
    pub fn close_overdue(&self) {
        let now_us = self.now_us();
        let mut open = self.lock();
        if open.table.is_empty() {
            return;
        }
        let overdue = open.table.overdue(now_us);
        let closed: Vec<(Option<Closer>, CloseReason)> = overdue
            .into_iter()
            .map(|(id, reason)| {
                open.table.close(id);
                (open.closers.remove(&id), reason)
            })
            .collect();
        drop(open);
        for (closer, reason) in closed {
            self.close_all(closer.into_iter().collect(), reason);
        }
    }

    fn close_all(&self, closers: Vec<Closer>, reason: CloseReason) {
        for closer in closers {
            self.count(reason, closer.addr);
            closer.close(reason);
        }
    }

    /// Counts a closed connection, and logs it unless there are too many lines already. The end of an
    /// idle connection is ordinary and not logged.
    pub(super) fn count(&self, reason: CloseReason, addr: SocketAddr) {
        self.state.closed[reason as usize].fetch_add(1, Ordering::Relaxed);
        if reason == CloseReason::IdleTimeout {
            return;
        }
        let Some(suppressed) = self.state.lines.admit(self.now_us()) else { return };
        let (connections, held_bytes) = self.held();
        log::warn!(event = "connection_closed", edge = self.name(), reason = reason.name(),
            address = addr.to_string(), connections = connections, held_bytes = held_bytes,
            suppressed = suppressed; "");
    }

    fn now_us(&self) -> u64 {
        self.state.started.elapsed().as_micros() as u64
    }

    fn lock(&self) -> MutexGuard<'_, OpenConnections> {
        self.state.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl OpenConnections {
    fn take_closers(&mut self, ids: &[ConnectionId]) -> Vec<Closer> {
        ids.iter().filter_map(|id| self.closers.remove(id)).collect()
    }
}

impl Closer {
    fn close(&self, reason: CloseReason) {
        *self.reason.lock().unwrap_or_else(PoisonError::into_inner) = Some(reason);
        self.token.cancel();
    }
}

/// An open connection. It counts until the last clone is dropped, or until it is closed to make room.
#[derive(Clone, Debug)]
pub struct ConnectionHandle {
    guard: Arc<ConnectionGuard>,
}

#[derive(Debug)]
struct ConnectionGuard {
    edge: Edge,
    id: ConnectionId,
    closer: Closer,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let mut open = self.edge.lock();
        open.table.close(self.id);
        open.closers.remove(&self.id);
    }
}

impl ConnectionHandle {
    /// Address of the client.
    pub fn addr(&self) -> SocketAddr {
        self.guard.closer.addr
    }

    /// The edge that admitted the connection.
    pub fn edge(&self) -> &Edge {
        &self.guard.edge
    }

    /// Waits until the connection has to be closed.
    pub async fn closed(&self) -> Option<CloseReason> {
        self.guard.closer.token.cancelled().await;
        *self.guard.closer.reason.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Closes the connection.
    pub fn close(&self, reason: CloseReason) {
        self.edge().close_all(vec![self.guard.closer.clone()], reason);
    }

    /// Sets the memory of the request. If there is no room for it, the connection is closed.
    pub fn hold(&self, bytes: u64) -> bool {
        self.admit(|table, id, now_us| table.hold(id, bytes, now_us))
    }

    /// Records received bytes. If there is no room for them, the connection is closed.
    pub(super) fn received(&self, bytes: u64) -> bool {
        self.admit(|table, id, now_us| table.received(id, bytes, now_us))
    }

    fn admit(
        &self,
        decide: impl FnOnce(
            &mut ConnectionTable,
            ConnectionId,
            u64,
        ) -> agatesill_policy::connections::Admission,
    ) -> bool {
        let now_us = self.edge().now_us();
        let mut open = self.edge().lock();
        let admission = decide(&mut open.table, self.guard.id, now_us);
        let closed = open.take_closers(&admission.closed);
        drop(open);
        self.edge().close_all(closed, CloseReason::Behind);
        if !admission.is_granted && !self.guard.closer.token.is_cancelled() {
            self.close(CloseReason::NoRoom);
        }
        admission.is_granted
    }

    /// Records that the body of the request is awaited for this time.
    pub fn body_begun(&self, timeout: Duration) {
        let now_us = self.edge().now_us();
        let deadline_us = now_us.saturating_add(timeout.as_micros() as u64);
        self.edge().lock().table.body_begun(self.guard.id, deadline_us, now_us);
    }

    /// Records that nothing more of the request is awaited.
    pub fn serving(&self) {
        let now_us = self.edge().now_us();
        self.edge().lock().table.serving(self.guard.id, now_us);
    }

    /// Records that the request was answered, or a frame handled.
    pub fn request_ended(&self) {
        let now_us = self.edge().now_us();
        self.edge().lock().table.request_ended(self.guard.id, now_us);
    }

    pub(super) fn set_stalled(&self, is_stalled: bool) {
        let now_us = self.edge().now_us();
        self.edge().lock().table.set_stalled(self.guard.id, is_stalled, now_us);
    }
}
