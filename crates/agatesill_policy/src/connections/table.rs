//! The connections to one listener: what each holds, which is overdue, and which one is closed when
//! room is short.

use std::collections::BTreeMap;

use super::ListenerShare;

/// Memory up to which a request is small. Small requests may use the whole share of a listener, larger
/// ones leave a part of it to them.
const SMALL_REQUEST_BYTES: u64 = 64 << 10;

/// Part of the share that is left to small requests and new connections.
const SMALL_REQUESTS_DIVISOR: u64 = 4;

/// Rate at which a request is expected to arrive. A body of the largest size takes four seconds.
const EXPECTED_BYTES_PER_S: u64 = 64 << 10;

/// Steps in which the memory of a request's head is counted.
const HEAD_STEP_BYTES: u64 = 4 << 10;

/// Memory of a head for each byte of it: the buffer doubles as it grows.
const HEAD_BUFFER_FACTOR: u64 = 2;

/// Identifies a connection to one listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(u64);

/// Limits of each connection to a listener. A timeout of `u64::MAX` never ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Memory of a connection without a request, with all that the kernel may have received for it.
    pub base_bytes: u64,
    /// How far behind a connection must be before it is closed for another one.
    pub min_behind_us: u64,
    /// Time from the first byte of a request to the end of its head, or to the end of a frame.
    pub head_timeout_us: u64,
    /// Time between two requests.
    pub idle_timeout_us: u64,
    /// Time for which a client may leave an answer unread.
    pub stall_timeout_us: u64,
}

/// Why a connection is refused or closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseReason {
    /// No room was left, and no other connection was behind.
    NoRoom,
    /// It was furthest behind when room was short.
    Behind,
    /// The head of its request took too long.
    HeadTimeout,
    /// The body of its request took too long.
    BodyTimeout,
    /// It sent no request for too long.
    IdleTimeout,
    /// Its client left an answer unread for too long.
    StallTimeout,
    /// The head of its request exceeded the limit.
    HeadTooLarge,
}

impl CloseReason {
    /// All reasons.
    pub const ALL: [Self; 7] = [
        Self::NoRoom,
        Self::Behind,
        Self::HeadTimeout,
        Self::BodyTimeout,
        Self::IdleTimeout,
        Self::StallTimeout,
        Self::HeadTooLarge,
    ];

    /// Name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoRoom => "no_room",
            Self::Behind => "behind",
            Self::HeadTimeout => "head_timeout",
            Self::BodyTimeout => "body_timeout",
            Self::IdleTimeout => "idle_timeout",
            Self::StallTimeout => "stall_timeout",
            Self::HeadTooLarge => "head_too_large",
        }
    }
}

/// Whether a connection gets what it needs, and which others are closed for it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Admission {
    /// Whether there is room.
    pub is_granted: bool,
    /// Connections that must be closed. They no longer count.
    pub closed: Vec<ConnectionId>,
}

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Its next request.
    Idle,
    /// The rest of a head, or of a frame.
    Head,
    /// The rest of a body, at the latest at this time.
    Body { deadline_us: u64 },
    /// This process.
    Serving,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    stage: Stage,
    /// When the stage began.
    since_us: u64,
    /// When the last byte was received.
    progress_us: u64,
    /// Bytes received in this stage.
    received_bytes: u64,
    /// Memory of the request.
    request_bytes: u64,
    /// Since when its client has not read an answer.
    stalled_since_us: Option<u64>,
}

impl Connection {
    /// Time for which a connection has held its room without making use of it; 0 if it waits for this
    /// process.
    fn behind_us(&self, now_us: u64) -> u64 {
        let stalled_us =
            self.stalled_since_us.map_or(0, |since_us| now_us.saturating_sub(since_us));
        let waits_us = match self.stage {
            Stage::Serving => 0,
            Stage::Idle => now_us.saturating_sub(self.since_us),
            Stage::Head | Stage::Body { .. } => {
                let expected_us = self.received_bytes * 1_000_000 / EXPECTED_BYTES_PER_S;
                let silent_us = now_us.saturating_sub(self.progress_us);
                silent_us.max(now_us.saturating_sub(self.since_us + expected_us))
            }
        };
        stalled_us.max(waits_us)
    }

    /// Whether its client owes something: the rest of a request, or the reading of an answer.
    fn is_unfinished(&self) -> bool {
        self.stalled_since_us.is_some() || matches!(self.stage, Stage::Head | Stage::Body { .. })
    }

    fn overdue(&self, limits: &ConnectionLimits, now_us: u64) -> Option<CloseReason> {
        let has_passed = |since_us: u64, timeout_us| now_us.saturating_sub(since_us) > timeout_us;
        let is_stalled = self
            .stalled_since_us
            .is_some_and(|since_us| has_passed(since_us, limits.stall_timeout_us));
        match self.stage {
            _ if is_stalled => Some(CloseReason::StallTimeout),
            Stage::Idle => has_passed(self.since_us, limits.idle_timeout_us)
                .then_some(CloseReason::IdleTimeout),
            Stage::Head => has_passed(self.since_us, limits.head_timeout_us)
                .then_some(CloseReason::HeadTimeout),
            Stage::Body { deadline_us } => {
                (now_us > deadline_us).then_some(CloseReason::BodyTimeout)
            }
            Stage::Serving => None,
        }
    }

    fn enter(&mut self, stage: Stage, now_us: u64) {
        (self.stage, self.since_us, self.progress_us) = (stage, now_us, now_us);
        self.received_bytes = 0;
    }
}

/// The connections to one listener.
#[derive(Debug)]
pub struct ConnectionTable {
    limits: ConnectionLimits,
    share: ListenerShare,
    connections: BTreeMap<ConnectionId, Connection>,
    held_bytes: u64,
    next_id: u64,
}

impl ConnectionTable {
    /// A table without connections.
    pub fn new(limits: ConnectionLimits, share: ListenerShare) -> Self {
        Self { limits, share, connections: BTreeMap::new(), held_bytes: 0, next_id: 0 }
    }

    /// Sets the limits of each connection.
    pub fn set_limits(&mut self, limits: ConnectionLimits) {
        let opened = self.connections.len() as u64;
        self.held_bytes -= opened * self.limits.base_bytes;
        self.held_bytes += opened * limits.base_bytes;
        self.limits = limits;
    }

    /// Sets the share of the listener. A share below what is held takes effect as connections end or
    /// fall behind.
    pub fn set_share(&mut self, share: ListenerShare) {
        self.share = share;
    }

    /// The share of the listener.
    pub fn share(&self) -> ListenerShare {
        self.share
    }

    /// Number of connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Memory that the connections hold, by their counts.
    pub fn held_bytes(&self) -> u64 {
        self.held_bytes
    }

    /// Adds a connection if there is room for it, or if connections that are behind can be closed.
    pub fn open(&mut self, now_us: u64) -> (Option<ConnectionId>, Vec<ConnectionId>) {
        let mut closed = Vec::new();
        while self.connections.len() >= self.share.connections {
            match self.close_furthest_behind(None, now_us) {
                Some(id) => closed.push(id),
                None => return (None, closed),
            }
        }
        let max_held_bytes = self.share.bytes.saturating_sub(self.limits.base_bytes);
        if !self.make_room(max_held_bytes, None, &mut closed, now_us) {
            return (None, closed);
        }
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        let connection = Connection {
            stage: Stage::Idle,
            since_us: now_us,
            progress_us: now_us,
            received_bytes: 0,
            request_bytes: 0,
            stalled_since_us: None,
        };
        self.connections.insert(id, connection);
        self.held_bytes += self.limits.base_bytes;
        (Some(id), closed)
    }

    /// Removes a connection that has ended.
    pub fn close(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.remove(&id) {
            self.held_bytes -= self.limits.base_bytes + connection.request_bytes;
        }
    }

    /// Records received bytes. The first ones after an answer begin a request; those of a head are
    /// counted as memory.
    pub fn received(&mut self, id: ConnectionId, bytes: u64, now_us: u64) -> Admission {
        let Some(connection) = self.connections.get_mut(&id) else { return Admission::default() };
        if connection.stage == Stage::Idle {
            connection.enter(Stage::Head, now_us);
        }
        connection.received_bytes += bytes;
        connection.progress_us = now_us;
        if connection.stage != Stage::Head {
            return Admission { is_granted: true, closed: Vec::new() };
        }
        let buffer_bytes = connection.received_bytes * HEAD_BUFFER_FACTOR;
        self.hold(id, buffer_bytes.next_multiple_of(HEAD_STEP_BYTES), now_us)
    }

    /// Records that the head of a request is complete and its body is awaited until `deadline_us`.
    pub fn body_begun(&mut self, id: ConnectionId, deadline_us: u64, now_us: u64) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.enter(Stage::Body { deadline_us }, now_us);
        }
    }

    /// Records that a request, or the part of it that is awaited, is complete.
    pub fn serving(&mut self, id: ConnectionId, now_us: u64) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.enter(Stage::Serving, now_us);
        }
    }

    /// Records that a request was answered, or a frame handled, and releases its memory.
    pub fn request_ended(&mut self, id: ConnectionId, now_us: u64) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.enter(Stage::Idle, now_us);
            self.held_bytes -= std::mem::take(&mut connection.request_bytes);
        }
    }

    /// Records whether the client leaves an answer unread.
    pub fn set_stalled(&mut self, id: ConnectionId, is_stalled: bool, now_us: u64) {
        if let Some(connection) = self.connections.get_mut(&id) {
            let since_us = connection.stalled_since_us.unwrap_or(now_us);
            connection.stalled_since_us = is_stalled.then_some(since_us);
        }
    }

    /// Sets the memory of a connection's request. If room is short, connections that are further behind
    /// are closed.
    pub fn hold(&mut self, id: ConnectionId, request_bytes: u64, now_us: u64) -> Admission {
        let Some(connection) = self.connections.get(&id) else { return Admission::default() };
        let held_bytes = connection.request_bytes;
        let mut closed = Vec::new();
        if request_bytes > held_bytes {
            let usable_bytes = match request_bytes <= SMALL_REQUEST_BYTES {
                true => self.share.bytes,
                false => self.share.bytes - self.share.bytes / SMALL_REQUESTS_DIVISOR,
            };
            let max_held_bytes = usable_bytes.saturating_sub(request_bytes - held_bytes);
            if !self.make_room(max_held_bytes, Some(id), &mut closed, now_us) {
                return Admission { is_granted: false, closed };
            }
        }
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.request_bytes = request_bytes;
        }
        self.held_bytes = self.held_bytes - held_bytes + request_bytes;
        Admission { is_granted: true, closed }
    }

    /// Connections that have exceeded a timeout.
    pub fn overdue(&self, now_us: u64) -> Vec<(ConnectionId, CloseReason)> {
        let reasons = self.connections.iter().map(|(id, connection)| {
            connection.overdue(&self.limits, now_us).map(|reason| (*id, reason))
        });
        reasons.flatten().collect()
    }

    /// Closes connections until the others hold at most `max_held_bytes`; false if none is left that is
    /// behind.
    fn make_room(
        &mut self,
        max_held_bytes: u64,
        except: Option<ConnectionId>,
        closed: &mut Vec<ConnectionId>,
        now_us: u64,
    ) -> bool {
        while self.held_bytes > max_held_bytes {
            match self.close_furthest_behind(except, now_us) {
                Some(id) => closed.push(id),
                None => return false,
            }
        }
        true
    }

    /// Closes the connection that is furthest behind, unfinished requests before idle connections.
    fn close_furthest_behind(
        &mut self,
        except: Option<ConnectionId>,
        now_us: u64,
    ) -> Option<ConnectionId> {
        let ranks = self.connections.iter().filter(|(id, _)| Some(**id) != except).map(
            |(id, connection)| (connection.is_unfinished(), connection.behind_us(now_us), *id),
        );
        let min_behind_us = self.limits.min_behind_us;
        let (_, _, id) = ranks.filter(|(_, behind_us, _)| *behind_us >= min_behind_us).max()?;
        self.close(id);
        Some(id)
    }
}
