//! Asks every daemon, over open and new connections, for queues that were just added, just removed
//! or never there, and compares the answers with the versions that the operator wrote.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hyper::Method;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::daemon::Daemon;
use crate::history::FaultHistory;
use crate::operator::{ABSENT_QUEUE, IDLE_QUEUES, Operator, WrittenVersion, idle_queue};
use crate::support::caller::{Connection, Outcome};

/// Time from the acknowledgement of a version within which every daemon in contact applies it, and
/// every daemon that the store turns away while another one is in contact.
const MAX_ACTIVATION_DELAY: Duration = Duration::from_millis(2_000);

/// Additional time for a daemon that the store turns away while no other daemon is in contact.
const MAX_ACTIVATION_SKEW: Duration = Duration::from_millis(5_000);

/// Time after a daemon has shown a version within which it may still answer by an older one.
const MAX_REGRESSION: Duration = Duration::from_millis(250);

/// Timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause between two requests on one connection, in milliseconds, with up to ten daemons. With more
/// it grows in proportion, because the planner's daemon takes part in each answer.
const PAUSE_MS: std::ops::Range<u64> = 50..120;
const DAEMONS_AT_FULL_RATE: usize = 10;

/// Versions whose changes are asked for most.
const RECENT_VERSIONS: usize = 4;

/// Time after the last fault for which the daemons are asked: until they count as in contact again,
/// and until a version written then has to be active.
pub const CALM_PERIOD: Duration = Duration::from_secs(8);

/// Probes of one run.
pub struct ConfigProbe {
    operator: Arc<Operator>,
    history: Arc<FaultHistory>,
    daemons: Vec<(Arc<Daemon>, Mutex<Shown>)>,
    pub violations: Mutex<Vec<String>>,
    seed: u64,
}

/// The lowest version that a daemon's answers so far allow it to hold.
#[derive(Clone, Debug, Default)]
struct Shown {
    lifetime: u64,
    /// Lower bounds in the order in which they were shown.
    versions: Vec<(Instant, u64)>,
}

/// One answer of a daemon about a queue.
struct Probe {
    daemon: usize,
    lifetime: u64,
    queue: usize,
    sent: Instant,
    is_known: bool,
    connection: &'static str,
}

impl ConfigProbe {
    pub fn new(
        seed: u64,
        daemons: &[Arc<Daemon>],
        operator: Arc<Operator>,
        history: Arc<FaultHistory>,
    ) -> Self {
        let daemons = daemons.iter().map(|daemon| (daemon.clone(), Mutex::default())).collect();
        Self { operator, history, daemons, violations: Mutex::default(), seed }
    }

    /// Asks until the run is over.
    pub fn spawn(self: &Arc<Self>) {
        for daemon in 0..self.daemons.len() {
            for connection in ["open", "new"] {
                tokio::spawn(self.clone().ask_repeatedly(daemon, connection));
            }
        }
    }

    async fn ask_repeatedly(self: Arc<Self>, daemon: usize, connection_kind: &'static str) {
        let stream = (daemon as u64) << 1 | u64::from(connection_kind == "new");
        let mut random = Pcg64Mcg::seed_from_u64(self.seed << 8 | stream);
        let target = self.daemons[daemon].0.clone();
        let mut connection = Connection::new(target.listen_addrs.entry);
        while !self.history.is_finished() {
            if connection_kind == "new" {
                connection = Connection::new(target.listen_addrs.entry);
            }
            let queue = self.draw_queue(&mut random);
            let name = idle_queue(queue);
            let (host, path) = (format!("{name}.example"), format!("/{name}/"));
            let (sent, lifetime) = (Instant::now(), target.lifetime());
            let call = connection.call(Method::GET, &host, &path, "");
            let outcome = tokio::time::timeout(REQUEST_TIMEOUT, call).await;
            if let Ok(Outcome::Answered((status @ (200 | 404), ..))) = outcome {
                let is_known = status == 200;
                let connection = connection_kind;
                self.check(&Probe { daemon, lifetime, queue, sent, is_known, connection });
            } else if outcome.is_err() {
                connection = Connection::new(target.listen_addrs.entry);
            }
            let pause = Duration::from_millis(random.random_range(PAUSE_MS));
            let slowdown = self.daemons.len().div_ceil(DAEMONS_AT_FULL_RATE) as u32;
            tokio::time::sleep(pause * slowdown).await;
        }
    }

    fn draw_queue(&self, random: &mut Pcg64Mcg) -> usize {
        let recent = self.operator.recently_changed(RECENT_VERSIONS);
        match random.random_range(0..10) {
            0 => ABSENT_QUEUE,
            1 | 2 => random.random_range(0..IDLE_QUEUES),
            _ if recent.is_empty() => random.random_range(0..IDLE_QUEUES),
            _ => recent[random.random_range(0..recent.len())],
        }
    }

    /// Time within which the version acknowledged before has to be active at `sent`, if there is one.
    fn activation_bound(&self, daemon: usize, sent: Instant) -> Option<Duration> {
        if self.history.is_in_contact(daemon, sent) {
            return Some(MAX_ACTIVATION_DELAY);
        }
        if !self.history.is_only_turned_away(daemon, sent) {
            return None;
        }
        match self.history.is_another_in_contact(daemon, self.daemons.len(), sent) {
            true => Some(MAX_ACTIVATION_DELAY),
            false => Some(MAX_ACTIVATION_DELAY + MAX_ACTIVATION_SKEW),
        }
    }

    fn check(&self, probe: &Probe) {
        let bound = self.activation_bound(probe.daemon, probe.sent);
        let agrees = |version: &&WrittenVersion| {
            version.idle_queues.contains(&probe.queue) == probe.is_known
        };
        let due = bound.and_then(|bound| probe.sent.checked_sub(bound));
        let allowed = self.operator.allowed_versions(due);
        let (daemon, shown) = &self.daemons[probe.daemon];
        let answer = if probe.is_known { "served" } else { "refused" };
        let what = format!(
            "{} {answer} {} on a connection ({})",
            daemon.name,
            idle_queue(probe.queue),
            probe.connection
        );
        if !allowed.iter().any(|version| agrees(&version)) {
            let oldest = &allowed[0];
            let late_ms = (probe.sent - oldest.acknowledged).as_millis();
            self.add_violation(format!(
                "{what}, as only versions older than {} allow, {late_ms} ms after its \
                 acknowledgement",
                oldest.number
            ));
            return;
        }
        let mut shown = shown.lock().unwrap();
        if shown.lifetime != probe.lifetime || daemon.lifetime() != probe.lifetime {
            *shown = Shown { lifetime: daemon.lifetime(), versions: Vec::new() };
            return;
        }
        let settled = shown.versions.iter().rev();
        let floor = settled
            .clone()
            .find(|(at, _)| *at + MAX_REGRESSION < probe.sent)
            .map_or(0, |(_, version)| *version);
        let all = self.operator.allowed_versions(None);
        let possible =
            all.iter().filter(|version| version.number >= floor).find(|version| agrees(version));
        match possible {
            Some(version) => {
                let newest = shown.versions.last().map_or(0, |(_, version)| *version);
                if version.number > newest {
                    shown.versions.push((Instant::now(), version.number));
                }
            }
            None => self.add_violation(format!("{what}, after it had shown version {floor}")),
        }
    }

    fn add_violation(&self, what: String) {
        self.violations.lock().unwrap().push(what);
    }
}
