//! Requests: whom to serve, who waits, who is refused and where each goes.
//!
//! [`RequestPolicy`] is one daemon's view of one pool of upstreams, shared by all services of that
//! pool. It never blocks: events go in with the current time, [`Action`]s come out.
//!
//! - [`peers`]: the other daemons and what they reported.
//! - [`shares`]: which slots of which upstream are this daemon's.
//! - [`pool`]: the choice among upstreams that have room.
//! - [`health`]: slow or failing upstreams leave the choice and come back slowly.
//! - [`admission`] and [`fair`]: how many may wait, who is next and who is refused.
//! - [`limit`]: fewer requests in flight while contention breaks the promise.
//! - [`retry`]: which failures are tried again, and how often.

pub mod admission;
pub mod fair;
pub mod health;
pub mod histogram;
pub mod limit;
pub mod peers;
pub mod policy;
pub mod pool;
pub mod retry;
pub mod shares;

pub use policy::RequestPolicy;

use crate::value_type;

/// What holds for a service that nothing was set for.
pub const DEFAULT_LIMITS: ServiceLimits =
    ServiceLimits { promise_us: 1_000_000, priority: 5, queue_requests: 0 };

/// Identifies an upstream within a pool.
pub type UpstreamId = u32;

/// Identifies a request inside one daemon, from arrival to outcome.
pub type Ticket = u64;

/// Position of a service among those of the pool, as given to [`RequestPolicy::set_service`].
pub type ServiceIndex = u32;

value_type! {
    /// What a service was sold, as far as requests go.
    #[derive(Copy)]
    pub struct ServiceLimits {
        /// Promised 99th percentile of the answer time.
        pub promise_us: u64,
        /// From 0 (first to be refused) to 9 (last to be refused).
        pub priority: u8,
        /// Requests that may wait in one daemon; 0 means derived from the measured drain rate.
        pub queue_requests: u32,
    }
}

value_type! {
    /// What the settings or the platform's list say of one upstream.
    pub struct UpstreamSpec {
        /// Identity, stable over address changes.
        pub id: UpstreamId,
        /// Requests that it runs at once.
        pub slots: u32,
        /// Availability zone.
        pub zone: String,
    }
}

/// What the policy needs to know of an arriving request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Identifies the request inside this daemon.
    pub ticket: Ticket,
    /// Its service.
    pub service: ServiceIndex,
    /// Hash of the caller's identity.
    pub caller: u64,
    /// Hash of the key that the request is about.
    pub key: u64,
    /// Latest useful answer time on the daemon's clock, in microseconds.
    pub deadline_us: u64,
    /// Whether it may be sent again after a failure.
    pub repeatable: bool,
}

value_type! {
    /// Why a request is refused without having run.
    pub enum Refusal {
        /// The queue is full.
        QueueFull,
        /// It cannot finish before its deadline.
        TooLate,
        /// No upstream may receive work.
        NoUpstream,
    }
}

value_type! {
    /// Why an upstream was chosen.
    pub enum Choice {
        /// Least loaded of the daemon's own free slots.
        OwnSlot,
        /// A slot that another daemon owns and leaves idle.
        Borrowed,
        /// A trial request to an upstream that was out.
        Probe,
    }
}

/// What the decision was made on, for the log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Decision {
    /// Why the upstream was chosen.
    pub choice: Choice,
    /// 1 for the first attempt.
    pub attempt: u8,
    /// This daemon's requests at the upstream, this one included.
    pub in_flight: u32,
    /// What this daemon may have there at once.
    pub share: u32,
    /// What the other daemons reported there.
    pub peer_in_flight: u32,
    /// Upstreams that had room.
    pub candidates: u32,
    /// Upstreams that are out because of failures or slowness.
    pub ejected: u32,
    /// Requests waiting in this daemon.
    pub waiting: u32,
    /// How long the request waited.
    pub waited_us: u64,
}

/// What the caller of the policy has to do next.
///
/// Each ticket gets any number of `Send`, and then either ends by an outcome that is final or gets
/// exactly one `Refuse` or `GiveUp`.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to this upstream; a second one for the same ticket is a retry.
    Send {
        /// The request.
        ticket: Ticket,
        /// Where it goes.
        upstream: UpstreamId,
        /// What the decision was made on.
        decision: Decision,
    },
    /// Refuse the request; no byte of it has left.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// The reason.
        refusal: Refusal,
        /// When the caller may come back.
        retry_after_ms: u32,
    },
    /// Answer with the failure of the last attempt: no retry is left.
    GiveUp {
        /// The request.
        ticket: Ticket,
        /// How the last attempt ended.
        outcome: Outcome,
        /// When the caller may come back.
        retry_after_ms: u32,
    },
}

/// How an exchange with an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer arrived.
    Answered,
    /// The upstream refused and says that it did not run the request.
    Refused,
    /// The exchange failed before a byte of the request left.
    NotSent,
    /// The exchange failed after a byte may have left.
    Broken,
    /// The caller went away or the deadline passed.
    Abandoned,
}
