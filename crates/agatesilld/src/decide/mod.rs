//! The deciding thread: one [`RequestPolicy`] for each pool, fed over a bounded ring.

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

/// Events that may wait for the deciding thread; one that finds no room is refused.
pub const DECIDE_RING_EVENTS: usize = 8_192;

/// What the policy said to one request: the upstream to send to, or why not.
pub type Verdict = Result<UpstreamId, Error>;

/// A request that asks where it may go.
#[derive(Debug)]
pub struct Arrival {
    /// Its service.
    pub service: String,
    /// Its identity in the logs of all processes.
    pub request_id: String,
    /// What the policy needs to know; the deciding thread fills in the service's index.
    pub head: RequestHead,
    /// Where the verdict goes.
    pub verdict: oneshot::Sender<Verdict>,
}

/// An event for the deciding thread.
#[derive(Debug)]
pub enum DecideEvent {
    /// A request arrived.
    Arrive(Arrival),
    /// An exchange ended, or the caller of a waiting request went away.
    Finish {
        /// The request.
        ticket: Ticket,
        /// How it ended.
        outcome: Outcome,
        /// Where to say whether it may be sent again; none when it is not wanted.
        again: Option<oneshot::Sender<Verdict>>,
    },
    /// Another configuration is in force.
    Config(Arc<VersionedConfig>),
    /// Another daemon's requests in flight, by upstream.
    PeerLoads {
        /// That daemon.
        instance: String,
        /// Its requests in flight.
        loads: Vec<(UpstreamId, u32)>,
    },
    /// Another daemon is stopping.
    PeerTerminated(String),
    /// An upstream gave a sign of leaving.
    Leaving {
        /// The upstream.
        upstream: UpstreamId,
        /// Whether the sign came to this daemon itself rather than by a peer's word.
        is_first_hand: bool,
    },
    /// Asks for this daemon's own requests in flight.
    LocalLoads(oneshot::Sender<Vec<(UpstreamId, u32)>>),
}

/// The sending end of the ring.
#[derive(Clone, Debug)]
pub struct Decider {
    ring: Sender<DecideEvent>,
    started: Instant,
    shared: Shared,
}

impl Decider {
    /// Starts the thread; it ends when every sender is gone.
    pub fn start(settings: &Settings, shared: &Shared) -> std::io::Result<Self> {
        let (ring, events) = bounded(DECIDE_RING_EVENTS);
        let started = Instant::now();
        let mut state = State::new(settings, shared.clone(), started);
        std::thread::Builder::new().name("decide".to_owned()).spawn(move || state.run(&events))?;
        Ok(Self { ring, started, shared: shared.clone() })
    }

    /// Time on the clock that deadlines are given in.
    pub fn now_us(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }

    /// The moment that `us` on that clock names.
    pub fn instant(&self, us: u64) -> Instant {
        self.started + std::time::Duration::from_micros(us)
    }

    /// Events that wait for the thread.
    pub fn waiting_events(&self) -> usize {
        self.ring.len()
    }

    /// Offers an event; a full ring is counted and a typed refusal.
    pub fn try_send(&self, event: DecideEvent) -> Result<(), Error> {
        self.ring.try_send(event).map_err(|error| match error {
            TrySendError::Full(_) => {
                self.shared.counters().decide_ring_full.add();
                Error::new(ErrorKind::RingFull, "ring to the deciding thread").retry_after(100)
            }
            TrySendError::Disconnected(_) => Error::new(ErrorKind::Stopping, "deciding thread"),
        })
    }

    /// Delivers an event that must not be lost; waits for room, which the deciding thread makes
    /// without waiting for anybody.
    pub fn send(&self, event: DecideEvent) {
        let _ = self.ring.send(event);
    }
}
