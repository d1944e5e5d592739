//! Admission decisions of one daemon by the newest view that it has.

use crate::fleet::JobSpec;

use super::{HeldView, LoadView, Return, Verdict};

/// What one daemon knows of the load, and what it has accepted since.
#[derive(Debug, Default)]
pub struct Door {
    held: Option<HeldView>,
}

impl Door {
    /// Takes a view that answered a call sent at `as_of_us`. An older view changes nothing.
    pub fn view_received(&mut self, view: LoadView, as_of_us: u64) {
        let is_newer = self.held.as_ref().is_none_or(|held| view.is_newer_than(&held.view));
        if is_newer {
            self.held = Some(HeldView { view, as_of_us });
        }
    }

    /// The newest view.
    pub fn held(&self) -> Option<&HeldView> {
        self.held.as_ref()
    }

    /// Decides on a job; `returning` describes a job that was refused before. Without a view, or with
    /// an old one, every job is accepted.
    pub fn decide(&mut self, _job: &JobSpec, _returning: Option<Return>, _now_us: u64) -> Verdict {
        Verdict::Accept
    }

    /// Records that a job was stored, so that it counts before the next view includes it.
    pub fn accepted(&mut self, _job: &JobSpec, _now_us: u64) {}
}
