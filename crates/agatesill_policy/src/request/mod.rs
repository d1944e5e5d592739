//! Admission control, queueing and routing of latency-critical requests.
//!
//! [`RequestPolicy`] is one daemon's view of one pool of upstreams, shared by all services of that
//! pool. It never blocks: it receives events with the current time and returns [`Action`]s.
//!
//! - [`peers`]: the other daemons and their reported load.
//! - [`shares`]: the upstream slots that each daemon owns.
//! - [`pool`]: load balancing over the upstreams with free capacity.
//! - [`health`]: ejection of slow or failing upstreams, and their gradual return.
//! - [`admission`] and [`fair_queue`]: queue length, service order and refusals.
//! - [`limit`]: fewer requests in flight while contention breaks the latency objective.
//! - [`retry`]: retryable outcomes and the retry budget.

pub mod admission;
pub mod fair_queue;
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

/// Limits of a service without settings of its own.
pub const DEFAULT_LIMITS: ServiceLimits =
    ServiceLimits { promise_us: 1_000_000, priority: 5, queue_requests: 0 };

/// Identifier of an upstream, unique within its pool.
pub type UpstreamId = u32;

/// Identifier of a request, unique within one daemon from arrival to outcome.
pub type Ticket = u64;

/// Index of a service within its pool, as passed to [`RequestPolicy::set_service`].
pub type ServiceIndex = u32;

value_type! {
    /// Limits from the profile of a service that apply to its requests.
    #[derive(Copy)]
    pub struct ServiceLimits {
        /// Latency objective: the promised 99th percentile of the response time.
        pub promise_us: u64,
        /// Priority from 0 (refused first) to 9 (refused last).
        pub priority: u8,
        /// Maximum requests queued in one daemon; 0 derives it from the measured drain rate.
        pub queue_requests: u32,
    }
}

value_type! {
    /// Description of one upstream, from the settings or the platform's list.
    pub struct UpstreamSpec {
        /// Identifier, stable across address changes.
        pub id: UpstreamId,
        /// Requests that the upstream runs concurrently.
        pub slots: u32,
        /// Availability zone of the upstream.
        pub zone: String,
    }
}

/// Attributes of an arriving request that the policy uses.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Identifier within this daemon.
    pub ticket: Ticket,
    /// Service that the request is for.
    pub service: ServiceIndex,
    /// Hash of the caller's identity.
    pub caller: u64,
    /// Hash of the key that the request refers to.
    pub key: u64,
    /// Time after which a response is useless, on the daemon's clock, in microseconds.
    pub deadline_us: u64,
    /// Whether the request may be sent again after it may have run.
    pub repeatable: bool,
}

value_type! {
    /// Reason for refusing a request that has not run.
    pub enum Refusal {
        /// The queue is full.
        QueueFull,
        /// The request cannot finish before its deadline.
        TooLate,
        /// No upstream accepts requests.
        NoUpstream,
    }
}

value_type! {
    /// Reason for choosing an upstream.
    pub enum Choice {
        /// A free slot that this daemon owns, by the load-balancing choice.
        OwnSlot,
        /// An idle slot that another daemon owns.
        Borrowed,
        /// A probe to an ejected upstream.
        Probe,
    }
}

/// Inputs of a routing decision, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Decision {
    /// Reason for the choice.
    pub choice: Choice,
    /// Attempt number, 1 for the first attempt.
    pub attempt: u8,
    /// This daemon's requests at the upstream, including this one.
    pub in_flight: u32,
    /// Slots of the upstream that this daemon owns.
    pub share: u32,
    /// The other daemons' requests at the upstream, as last reported.
    pub peer_in_flight: u32,
    /// Upstreams with a free slot of this daemon.
    pub candidates: u32,
    /// Upstreams ejected for failures or slowness.
    pub ejected: u32,
    /// Requests queued in this daemon.
    pub waiting: u32,
    /// Time that the request spent queued.
    pub waited_us: u64,
}

/// Action for the caller of the policy to carry out.
///
/// Each ticket gets any number of `Send`. It then ends with a final outcome, or with exactly one
/// `Refuse` or `GiveUp`.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to the upstream; a further `Send` for the same ticket is a retry.
    Send {
        /// Ticket of the request.
        ticket: Ticket,
        /// Upstream that receives the request.
        upstream: UpstreamId,
        /// Inputs of the decision.
        decision: Decision,
    },
    /// Refuse the request; no byte of it was sent.
    Refuse {
        /// Ticket of the request.
        ticket: Ticket,
        /// Reason of the refusal.
        refusal: Refusal,
        /// Delay after which the caller may retry.
        retry_after_ms: u32,
    },
    /// Respond with the failure of the attempts; the request is not retried.
    GiveUp {
        /// Ticket of the request.
        ticket: Ticket,
        /// `Broken` if any attempt was, otherwise the outcome of the last attempt.
        outcome: Outcome,
        /// Delay after which the caller may retry.
        retry_after_ms: u32,
    },
}

/// Result of an exchange with an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete response arrived.
    Answered,
    /// The upstream refused the request and states that it did not run it.
    Refused,
    /// The exchange failed before a byte of the request was sent.
    NotSent,
    /// The exchange failed after a byte of the request may have been sent.
    Broken,
    /// The caller disconnected or the deadline passed.
    Abandoned,
}
