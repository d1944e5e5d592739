//! The position at which a watch on the store continues.

use std::collections::VecDeque;
use std::time::Duration;

use agatesill_wire::platform::StoreReply;
use tokio::time::Instant;

/// Time for which the watches of the store may lag behind the revision that it reports. It is far
/// below the time for which the store keeps its history.
pub const MAX_WATCH_LAG: Duration = Duration::from_secs(5);

/// The revision after which the next watch call on a prefix asks for changes.
///
/// A reply without changes states the revision of the store, which may be ahead of what its watches
/// have seen. A watch from there on would never report the changes in between, and the process would
/// keep an outdated value for good while all calls succeed. Such a revision is therefore used only
/// once it is older than [`MAX_WATCH_LAG`]; a change that was skipped is in one of the replies until
/// then.
#[derive(Debug)]
pub struct WatchCursor {
    after_revision: u64,
    /// Revisions of replies without changes, with the times of their arrival.
    unconfirmed: VecDeque<(Instant, u64)>,
}

impl WatchCursor {
    /// Continues after a read of the prefix at `revision`.
    pub fn after_read(revision: u64) -> Self {
        Self { after_revision: revision, unconfirmed: VecDeque::new() }
    }

    /// Revision for the next watch call.
    pub fn after_revision(&self) -> u64 {
        self.after_revision
    }

    /// Continues after the reply to a watch call, which arrived at `now`.
    pub fn advance(&mut self, reply: &StoreReply, now: Instant) {
        if reply.event_revision > self.after_revision {
            self.after_revision = reply.event_revision;
            self.unconfirmed.clear();
        }
        self.unconfirmed.push_back((now, reply.revision));
        while let Some((arrived, revision)) = self.unconfirmed.front() {
            if now.duration_since(*arrived) < MAX_WATCH_LAG {
                break;
            }
            self.after_revision = self.after_revision.max(*revision);
            self.unconfirmed.pop_front();
        }
    }
}
