//! Questions to the advice service, one at a time, as the service takes them.

use std::sync::Arc;
use std::time::Duration;

use agatesill_coord::prelude::*;
use agatesill_platform::advice::AdviceChannel;
use agatesill_policy::fleet::AdviceQuestion;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::daemon_state::Site;
use super::planner::Event;

/// How long one answer may take: some milliseconds for each of thirty workers.
const LIMIT: Duration = Duration::from_millis(2_000);

/// Pause after a question without an answer.
const PAUSE: Duration = Duration::from_millis(100);

/// Questions that may wait.
pub const RING_QUESTIONS: usize = 512;

/// Asks until `stop` is cancelled.
pub async fn run(
    site: Arc<Site>,
    mut questions: mpsc::Receiver<AdviceQuestion>,
    events: mpsc::Sender<Event>,
    stop: CancellationToken,
) {
    let Some(addr) = site.settings.advice_addr else { return };
    let mut channel = AdviceChannel::new(addr);
    let service = Dependency::new("advice");
    loop {
        let question = tokio::select! {
            () = stop.cancelled() => return,
            question = questions.recv() => question,
        };
        let Some(question) = question else { return };
        let sent = Instant::now();
        let advised = match channel.ask(&question, LIMIT).await {
            Ok(advised) => {
                service.answered(sent);
                Some(advised)
            }
            Err(error) => {
                service.failed(&error.detail);
                log::warn!(event = "advice_failed", job = question.step.job.as_str(); "{error}");
                tokio::time::sleep(PAUSE).await;
                None
            }
        };
        if events.send(Event::Advised(Box::new(question), advised)).await.is_err() {
            return;
        }
    }
}
