//! Client of the advice service. It sends one question at a time because the service handles only
//! one at a time.

use std::sync::Arc;
use std::time::Duration;

use agatesill_coord::prelude::*;
use agatesill_platform::advice::AdviceChannel;
use agatesill_policy::advice::MIN_SHORTLIST;
use agatesill_policy::fleet::AdviceQuestion;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::daemon_state::DaemonState;
use super::planner::Event;

/// Timeout of the answer to a question about [`MIN_SHORTLIST`] workers, for each of which the service
/// takes a few milliseconds; it is longer in proportion for more workers.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Delay after a question that got no answer.
const RETRY_BACKOFF: Duration = Duration::from_millis(100);

/// Capacity of the queue of questions.
pub const QUESTION_QUEUE_CAPACITY: usize = 512;

/// Sends queued questions until `stop` is cancelled.
pub async fn run(
    daemon: Arc<DaemonState>,
    mut questions: mpsc::Receiver<AdviceQuestion>,
    events: mpsc::Sender<Event>,
    stop: CancellationToken,
) {
    let Some(addr) = daemon.settings.advice_addr else { return };
    let mut channel = AdviceChannel::new(addr);
    let service = Dependency::new("advice");
    loop {
        let question = tokio::select! {
            () = stop.cancelled() => return,
            question = questions.recv() => question,
        };
        let Some(question) = question else { return };
        let sent = Instant::now();
        let shortlists = question.workers.len().div_ceil(MIN_SHORTLIST) as u32;
        let advised = match channel.ask(&question, ANSWER_TIMEOUT * shortlists).await {
            Ok(advised) => {
                service.answered(sent);
                Some(advised)
            }
            Err(error) => {
                service.failed(&error.detail);
                log::warn!(event = "advice_failed", job = question.step.job.as_str(); "{error}");
                tokio::time::sleep(RETRY_BACKOFF).await;
                None
            }
        };
        if events.send(Event::Advised(Box::new(question), advised)).await.is_err() {
            return;
        }
    }
}
