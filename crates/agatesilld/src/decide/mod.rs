//! The decision thread, which admits and routes requests. It runs one [`RequestPolicy`] for each
//! upstream pool and receives its events over a bounded ring.

mod state;

use std::sync::Arc;
use std::time::Instant;

use agatesill_policy::prelude::*;
use agatesill_wire::api::VersionedConfig;
use agatesill_wire::prelude::*;
use crossbeam_channel::{Sender, TrySendError, bounded};
use tokio::sync::oneshot;

use crate::settings::Settings;
use crate::shared::Shared;
use state::State;

/// Capacity of the ring to the decision thread, in events; [`Decider::try_send`] fails when it is
/// full.
pub const DECIDE_RING_EVENTS: usize = 8_192;

/// Decision on one request: the upstream to send it to, or the reason for a refusal.
pub type RouteResult = Result<UpstreamId, Error>;

/// An arriving request that needs a routing decision.
#[derive(Debug)]
pub struct Arrival {
    /// Name of the requested service.
    pub service: String,
    /// Request ID in the logs of all processes.
    pub request_id: String,
    /// Input of the request policy; the decision thread sets the service index.
    pub head: RequestHead,
    /// Receives the decision.
    pub reply: oneshot::Sender<RouteResult>,
}

/// An event for the decision thread.
#[derive(Debug)]
pub enum DecideEvent {
    /// A request arrived.
    Arrive(Arrival),
    /// An exchange ended, or the caller of a queued request disconnected.
    Finish {
        /// Ticket of the request.
        ticket: Ticket,
        /// Outcome of the exchange.
        outcome: Outcome,
        /// Receives the decision on a retry; `None` if no retry is wanted.
        retry_reply: Option<oneshot::Sender<RouteResult>>,
    },
    /// Another configuration became active.
    Config(Arc<VersionedConfig>),
    /// Another daemon reported its load.
    PeerLoads {
        /// Instance name of that daemon.
        instance: String,
        /// Its requests in flight, by upstream.
        loads: Vec<(UpstreamId, u32)>,
    },
    /// Another daemon reported that it is stopping, or is dead.
    PeerTerminated(String),
    /// An upstream indicated that it is leaving.
    Leaving {
        /// The upstream.
        upstream: UpstreamId,
        /// Whether this daemon observed the indication itself rather than receiving it from a peer.
        is_first_hand: bool,
    },
    /// Queries this daemon's own requests in flight, by upstream.
    LocalLoads(oneshot::Sender<Vec<(UpstreamId, u32)>>),
}

/// Handle that sends events to the decision thread.
#[derive(Clone, Debug)]
pub struct Decider {
    ring: Sender<DecideEvent>,
    started: Instant,
    shared: Shared,
}

impl Decider {
    /// Starts the thread; it ends when all clones of the handle are dropped.
    pub fn start(settings: &Settings, shared: &Shared) -> std::io::Result<Self> {
        let (ring, events) = bounded(DECIDE_RING_EVENTS);
        let started = Instant::now();
        let mut state = State::new(settings, shared.clone(), started);
        std::thread::Builder::new().name("decide".to_owned()).spawn(move || state.run(&events))?;
        Ok(Self { ring, started, shared: shared.clone() })
    }

    /// Microseconds since the start, on the clock of the request deadlines.
    pub fn now_us(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }

    /// Converts a time of [`Decider::now_us`] to an instant.
    pub fn instant(&self, us: u64) -> Instant {
        self.started + std::time::Duration::from_micros(us)
    }

    /// Number of events queued in the ring.
    pub fn waiting_events(&self) -> usize {
        self.ring.len()
    }

    /// Sends an event without blocking. A full ring is counted and returned as an error of the kind
    /// [`ErrorKind::RingFull`].
    pub fn try_send(&self, event: DecideEvent) -> Result<(), Error> {
        self.ring.try_send(event).map_err(|error| match error {
            TrySendError::Full(_) => {
                self.shared.counters().decide_ring_full.add();
                Error::new(ErrorKind::RingFull, "ring to the decision thread is full")
                    .retry_after(100)
            }
            TrySendError::Disconnected(_) => {
                Error::new(ErrorKind::Stopping, "decision thread has stopped")
            }
        })
    }

    /// Sends an event that must not be lost. Blocks while the ring is full, which cannot deadlock:
    /// the decision thread drains the ring without waiting for any other thread.
    pub fn send(&self, event: DecideEvent) {
        let _ = self.ring.send(event);
    }
}
