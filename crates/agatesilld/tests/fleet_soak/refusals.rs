//! What callers were told when they submitted jobs, and the checks of refusals: one is true, says when
//! to return, follows no acceptance, and can be explained by the log of the daemon that sent it.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use crate::callers::RequestOutcome;

/// Time after an answer within which a daemon that is killed may not have written its log line.
const MAX_LOG_DELAY: Duration = Duration::from_secs(1);

/// Time after the end of the load in which refusals end: the longest for which a daemon asks callers to
/// return later, so that one that returns as told is accepted.
pub const MAX_REFUSAL_TAIL: Duration = Duration::from_secs(8);

/// What a caller was told of a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Told {
    Accepted,
    /// Refused for lack of capacity, with this Retry-After; 0 without one.
    Refused {
        retry_after_s: u64,
    },
    /// The request was not stored: it was not sent, or was refused for another reason.
    NotStored,
    /// The request may have been stored.
    Unknown,
}

/// One submission of a job and its answer. The submissions of one job do not overlap.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    pub daemon: usize,
    pub received: Instant,
    pub told: Told,
}

/// Answers to all submissions of a run, by job.
pub type Answers = BTreeMap<String, Vec<Answer>>;

impl From<&RequestOutcome> for Told {
    fn from(outcome: &RequestOutcome) -> Self {
        match outcome {
            RequestOutcome::Answer(200, _) => Self::Accepted,
            RequestOutcome::Refused(retry_after) => {
                let retry_after = retry_after.as_deref().and_then(|value| value.parse().ok());
                Self::Refused { retry_after_s: retry_after.unwrap_or(0) }
            }
            RequestOutcome::Answer(503, _) | RequestOutcome::NotSent => Self::NotStored,
            RequestOutcome::Answer(..) | RequestOutcome::NoAnswer => Self::Unknown,
        }
    }
}

fn is_refusal(answer: &&Answer) -> bool {
    matches!(answer.told, Told::Refused { .. })
}

/// Number of refusals that callers received.
pub fn count(answers: &Answers) -> usize {
    answers.values().flatten().filter(is_refusal).count()
}

/// Jobs that a caller takes for refused: the last answer that says whether the job may run is a
/// refusal.
fn refused_jobs(answers: &Answers) -> impl Iterator<Item = (&str, Instant)> {
    answers.iter().filter_map(|(id, answers)| {
        let last = answers.iter().rfind(|answer| answer.told != Told::NotStored)?;
        is_refusal(&last).then_some((id.as_str(), last.received))
    })
}

/// Starts of tasks, at any time, of jobs whose callers take them for refused.
pub fn runs_of_refused_jobs(answers: &Answers, starts: &[(Instant, String)]) -> Vec<String> {
    let refused: HashMap<&str, Instant> = refused_jobs(answers).collect();
    let violation = |(started, task): &(Instant, String)| {
        let refused = refused.get(task.split('.').next()?)?;
        let order = if started > refused { "after" } else { "before" };
        Some(format!("{task} started {order} its job was last refused, and not accepted since"))
    };
    starts.iter().filter_map(violation).collect()
}

/// Refusals of jobs that had been accepted.
pub fn refusals_after_acceptance(answers: &Answers) -> Vec<String> {
    let violation = |(id, answers): (&String, &Vec<Answer>)| {
        let mut later = answers.iter().skip_while(|answer| answer.told != Told::Accepted);
        let refusal = later.find(is_refusal)?;
        Some(format!("{id} was accepted and later refused by daemon {}", refusal.daemon))
    };
    answers.iter().filter_map(violation).collect()
}

/// Refusals without a Retry-After of at least a second.
pub fn refusals_without_delay(answers: &Answers) -> Vec<String> {
    let has_no_delay = |answer: &&Answer| answer.told == Told::Refused { retry_after_s: 0 };
    let of_job = |(id, answers): (&String, &Vec<Answer>)| {
        let daemon = answers.iter().find(has_no_delay)?.daemon;
        Some(format!("{id} was refused by daemon {daemon} without a Retry-After"))
    };
    answers.iter().filter_map(of_job).collect()
}

/// Refusals for which `daemon` has no line in its log. `logged` has the job of each line; the daemon
/// was killed at the times `kills`.
pub fn refusals_without_line(
    answers: &Answers,
    daemon: usize,
    logged: &[String],
    kills: &[Instant],
) -> Vec<String> {
    let may_lack_line = |answer: &Answer| {
        kills
            .iter()
            .any(|killed| *killed >= answer.received && *killed < answer.received + MAX_LOG_DELAY)
    };
    let of_job = |(id, answers): (&String, &Vec<Answer>)| {
        let sent = answers.iter().filter(|answer| answer.daemon == daemon).filter(is_refusal);
        let sent = sent.filter(|answer| !may_lack_line(answer)).count();
        let lines = logged.iter().filter(|job| *job == id).count();
        (lines < sent).then(|| {
            format!("daemon {daemon} refused {id} {sent} times and logged that {lines} times")
        })
    };
    answers.iter().filter_map(of_job).collect()
}

/// Daemons that accepted none of the jobs submitted after the load had ended, or too late.
pub fn daemons_that_do_not_accept(
    probes: &[Answer],
    daemons: usize,
    ended: Instant,
) -> Vec<String> {
    let accepts = |daemon: usize| {
        probes.iter().any(|answer| {
            answer.daemon == daemon
                && answer.told == Told::Accepted
                && answer.received <= ended + MAX_REFUSAL_TAIL
        })
    };
    let late = (0..daemons).filter(|daemon| !accepts(*daemon));
    let violation = |daemon: usize| {
        let last = probes.iter().rfind(|answer| answer.daemon == daemon).map(|answer| answer.told);
        format!("daemon {daemon} accepts no long-running job after the load: {last:?}")
    };
    late.map(violation).collect()
}

mod checks {
    use super::*;

    const REFUSED: Told = Told::Refused { retry_after_s: 2 };

    /// Answers to the submissions of job `a`, a second apart.
    fn answers(told: &[Told]) -> Answers {
        let start = Instant::now();
        let answer = |(second, told): (u64, &Told)| Answer {
            daemon: 0,
            received: start + Duration::from_secs(second),
            told: *told,
        };
        let answers = (0..).zip(told).map(answer).collect();
        Answers::from([("a".to_owned(), answers)])
    }

    fn start_after(answers: &Answers, delay: Duration) -> Vec<(Instant, String)> {
        vec![(answers["a"][0].received + delay, "a.0.0.1".to_owned())]
    }

    /// Guards against a check that overlooks a refused job that runs, or one that ran before.
    #[test]
    fn a_run_of_a_refused_job_is_a_violation() {
        for told in [
            &[REFUSED][..],
            &[Told::Unknown, REFUSED],
            &[Told::NotStored, REFUSED, Told::NotStored],
        ] {
            let answers = answers(told);
            for delay_ms in [0, 500, 9_000] {
                let starts = start_after(&answers, Duration::from_millis(delay_ms));
                assert_eq!(runs_of_refused_jobs(&answers, &starts).len(), 1, "{told:?}");
            }
        }
    }

    /// Guards against a check that reports the runs of jobs that were accepted, or may have been.
    #[test]
    fn a_run_of_a_job_that_returned_is_allowed() {
        for told in [&[REFUSED, Told::Accepted][..], &[REFUSED, Told::Unknown], &[Told::Unknown]] {
            let answers = answers(told);
            let starts = start_after(&answers, Duration::from_secs(9));
            assert_eq!(runs_of_refused_jobs(&answers, &starts), Vec::<String>::new(), "{told:?}");
        }
    }

    /// Guards against a check that overlooks the refusal of an accepted job.
    #[test]
    fn a_refusal_after_an_acceptance_is_a_violation() {
        let refused = answers(&[REFUSED, Told::Accepted, Told::Unknown, REFUSED]);
        assert_eq!(refusals_after_acceptance(&refused).len(), 1);
        let accepted = answers(&[REFUSED, Told::Accepted, Told::Unknown, Told::Accepted]);
        assert_eq!(refusals_after_acceptance(&accepted), Vec::<String>::new());
    }

    /// Guards against a check that overlooks a refusal that does not say when to return.
    #[test]
    fn a_refusal_without_a_delay_is_a_violation() {
        let without = RequestOutcome::Refused(None);
        assert_eq!(refusals_without_delay(&answers(&[REFUSED, (&without).into()])).len(), 1);
        let zero = RequestOutcome::Refused(Some("0".to_owned()));
        assert_eq!(refusals_without_delay(&answers(&[(&zero).into()])).len(), 1);
        assert_eq!(refusals_without_delay(&answers(&[REFUSED])), Vec::<String>::new());
    }

    /// Guards against a check that overlooks a daemon that goes on refusing, or accepts too late.
    #[test]
    fn a_daemon_that_refuses_after_the_load_is_a_violation() {
        let ended = Instant::now();
        let probe = |daemon: usize, after: Duration, told: Told| Answer {
            daemon,
            received: ended + after,
            told,
        };
        let soon = probe(0, Duration::from_secs(1), Told::Accepted);
        let late = |delay_ms| {
            let after = MAX_REFUSAL_TAIL + Duration::from_millis(delay_ms);
            [soon, probe(1, Duration::ZERO, REFUSED), probe(1, after, Told::Accepted)]
        };
        assert_eq!(daemons_that_do_not_accept(&late(0), 2, ended), Vec::<String>::new());
        assert_eq!(daemons_that_do_not_accept(&late(1), 2, ended).len(), 1);
        assert_eq!(daemons_that_do_not_accept(&late(0)[..2], 2, ended).len(), 1);
        assert_eq!(daemons_that_do_not_accept(&[soon], 2, ended).len(), 1);
    }

    /// Guards against a check that overlooks a missing log line, or excuses it by a kill at another
    /// time.
    #[test]
    fn a_refusal_without_a_line_is_a_violation() {
        let answers = answers(&[REFUSED, REFUSED]);
        let [first, second] = [0, 1].map(|index| answers["a"][index].received);
        let missing = |lines: usize, kills: &[Instant]| {
            refusals_without_line(&answers, 0, &vec!["a".to_owned(); lines], kills).len()
        };
        assert_eq!(missing(1, &[]), 1);
        assert_eq!(missing(2, &[]), 0);
        assert_eq!(missing(1, &[second + MAX_LOG_DELAY / 2]), 0);
        assert_eq!(missing(1, &[second + MAX_LOG_DELAY, first - MAX_LOG_DELAY]), 1);
        assert_eq!(refusals_without_line(&answers, 1, &[], &[]), Vec::<String>::new());
    }
}
