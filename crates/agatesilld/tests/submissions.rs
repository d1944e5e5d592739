//! Jobs that are refused for lack of capacity, at daemons that share a store which loses answers and
//! executes calls late.

#![allow(clippy::unwrap_used)] // A failed assumption of a test fails the test.

mod memory_store;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use agatesill_policy::admission::group_commit::{MAX_GROUP_CREATES, MAX_GROUPS_IN_FLIGHT};
use agatesill_policy::admission::{Refusal, RefusalCause, Return, Verdict};
use agatesill_policy::fleet::JobSpec;
use agatesill_wire::fleet::{FleetAnswer, FleetWrite};
use agatesilld::fleet::daemon_state::DaemonState;
use agatesilld::fleet::job_store;
use agatesilld::fleet::load_state::RefusedBecause;
use agatesilld::fleet::submission::{self, JobCreate, RefusedJob, Submission};
use agatesilld::fleet::submission_report;
use agatesilld::job_keys::record_lease::RecordLease;
use agatesilld::job_keys::refusal_record::RefusalRecord;
use memory_store::{ID, KEY, MemoryStore, WriteFault, daemon, job, wall_ms};
use tokio::task::JoinHandle;

/// Retry-After of the refusals.
const RETRY_AFTER_MS: u32 = 4_000;

/// When the first request arrives, far enough in the past for its caller to have returned since.
fn long_ago_ms() -> u64 {
    wall_ms() - 60_000
}

fn refuse() -> Verdict {
    Verdict::Refuse(Refusal {
        cause: RefusalCause::NoRoom,
        retry_after_ms: RETRY_AFTER_MS,
        forecast_ms: 9_000,
        needed_milli: 90_000,
        left_milli: 20_000,
    })
}

/// Submits the job as it arrived at `arrived_ms`, with a fixed verdict.
async fn submit(daemon: &DaemonState, arrived_ms: u64, verdict: Verdict) -> Submission {
    let spec = job(arrived_ms);
    let json = serde_json::to_string(&spec).unwrap();
    submission::submit(daemon, &spec, &json, JobCreate::Alone, &mut |_| verdict).await
}

fn is_refused(submission: &Submission) -> bool {
    matches!(submission, Submission::Refused(_))
}

/// Refuses the job as it arrived at `arrived_ms`; its record then has the times of that moment.
async fn refuse_at(store: &MemoryStore, daemon: &DaemonState, arrived_ms: u64) {
    assert!(is_refused(&submit(daemon, arrived_ms, refuse()).await));
    store.set_record_times(arrived_ms, RETRY_AFTER_MS);
}

/// Guards against a job that is stored after its caller was told that it is refused, by an earlier
/// write of another daemon that takes effect late.
#[tokio::test]
async fn a_late_write_of_a_refused_job_has_no_effect() {
    let store = MemoryStore::default();
    let (one, two) = (daemon(&store).await, daemon(&store).await);
    store.fail_writes(&[Some(WriteFault::IsLate)]);
    assert_eq!(submit(&one, wall_ms(), Verdict::Accept).await, Submission::Unknown);
    assert!(is_refused(&submit(&two, wall_ms(), refuse()).await));
    store.execute_late();
    assert!(!store.holds_job(), "a refused job must not be stored");
}

/// Guards against a refusal of a job that an earlier write has stored meanwhile.
#[tokio::test]
async fn a_late_write_before_the_refusal_makes_it_an_acceptance() {
    let store = MemoryStore::default();
    let (one, two) = (daemon(&store).await, daemon(&store).await);
    store.fail_writes(&[Some(WriteFault::IsLate)]);
    assert_eq!(submit(&one, wall_ms(), Verdict::Accept).await, Submission::Unknown);
    store.execute_late();
    assert_eq!(submit(&two, wall_ms(), refuse()).await, Submission::Existed);
}

/// Guards against a repeat of a stored job that is refused under load, at any daemon, also after the
/// job has ended.
#[tokio::test]
async fn repeats_of_stored_and_ended_jobs_are_accepted_under_load() {
    let store = MemoryStore::default();
    let (one, two) = (daemon(&store).await, daemon(&store).await);
    let stored = submit(&one, wall_ms(), Verdict::Accept).await;
    assert_eq!(stored, Submission::Stored { is_return: false });
    assert_eq!(submit(&two, wall_ms(), refuse()).await, Submission::Existed);
    assert_eq!(submit(&two, wall_ms(), Verdict::Accept).await, Submission::Existed);
    store.state.lock().unwrap().put(KEY, "{}", 0);
    assert_eq!(submit(&two, wall_ms(), refuse()).await, Submission::Existed);
    assert_eq!(submit(&two, wall_ms(), Verdict::Accept).await, Submission::Existed);
}

/// Guards against a job that is reported as refused because the record of another daemon's refusal
/// is read back in place of the job, and the reverse.
#[tokio::test]
async fn lost_answers_never_become_refusals_of_stored_jobs() {
    let store = MemoryStore::default();
    let one = daemon(&store).await;
    store.fail_writes(&[Some(WriteFault::LosesAnswer)]);
    let stored = submit(&one, wall_ms(), Verdict::Accept).await;
    assert_eq!(stored, Submission::Stored { is_return: false });

    let store = MemoryStore::default();
    let one = daemon(&store).await;
    store.fail_writes(&[Some(WriteFault::LosesAnswer)]);
    let refused = submit(&one, wall_ms(), refuse()).await;
    assert!(is_refused(&refused), "its second write was answered: {refused:?}");
    assert!(store.record().is_some());
}

/// Guards against a refusal that is told although its record may not have been written.
#[tokio::test]
async fn a_record_of_unknown_outcome_is_no_refusal() {
    let store = MemoryStore::default();
    let (one, two) = (daemon(&store).await, daemon(&store).await);
    store.fail_writes(&[Some(WriteFault::IsLate)]);
    assert_eq!(submit(&one, wall_ms(), refuse()).await, Submission::Unknown);
    let stored = submit(&two, wall_ms(), Verdict::Accept).await;
    assert_eq!(stored, Submission::Stored { is_return: false });
    store.execute_late();
    assert!(store.holds_job(), "the late record must not replace the job");
}

/// Guards against a caller that returns in vain: the record of its refusal must give way to the job, at
/// any daemon, and the job must keep its key when the lease of the record ends.
#[tokio::test]
async fn a_returning_job_replaces_the_record_of_its_refusal() {
    let store = MemoryStore::default();
    let (one, two) = (daemon(&store).await, daemon(&store).await);
    let refused_ms = long_ago_ms();
    refuse_at(&store, &one, refused_ms).await;
    let arrived_ms = refused_ms + u64::from(RETRY_AFTER_MS) + 30;
    let stored = submit(&two, arrived_ms, Verdict::Accept).await;
    assert_eq!(stored, Submission::Stored { is_return: true });
    store.end_leases();
    assert!(store.holds_job());
}

/// Guards against a decision on a returning job that takes it for a new one.
#[tokio::test]
async fn a_returning_job_is_decided_with_the_times_of_its_refusal() {
    let store = MemoryStore::default();
    let one = daemon(&store).await;
    let refused_ms = long_ago_ms();
    refuse_at(&store, &one, refused_ms).await;
    let spec = job(refused_ms + 4_250);
    let json = serde_json::to_string(&spec).unwrap();
    let mut asked = Vec::new();
    let outcome = submission::submit(&one, &spec, &json, JobCreate::Alone, &mut |returning| {
        asked.push(returning);
        refuse()
    })
    .await;
    let returning = Return { since_first_refusal_ms: 4_250, overdue_ms: 250, is_due: true };
    assert_eq!(asked, [None, Some(returning)]);
    let Submission::Refused(refused) = outcome else { panic!("{outcome:?}") };
    assert!(refused.is_return);
    assert_eq!(refused.retry_after_ms, RETRY_AFTER_MS);
    let record = store.record().unwrap().refused;
    assert_eq!(record.first_ms, refused_ms, "the first refusal must be remembered");
    assert!(record.return_ms > refused_ms + 4_250);
}

/// Guards against a request that another daemon holds while its caller is told elsewhere that the job
/// is refused, and that stores the job afterwards.
#[tokio::test]
async fn a_copy_of_a_refused_request_does_not_store_the_job() {
    let store = MemoryStore::default();
    let (one, two) = (daemon(&store).await, daemon(&store).await);
    let arrived_ms = wall_ms();
    assert!(is_refused(&submit(&one, arrived_ms, refuse()).await));
    let Submission::Refused(refused) = submit(&two, arrived_ms, Verdict::Accept).await else {
        panic!("the copy arrived before the refusal")
    };
    assert_eq!(refused.because, RefusedBecause::Early);
    assert!(refused.retry_after_ms <= RETRY_AFTER_MS, "{refused:?}");
    assert!(!store.holds_job());
}

/// Guards against a copy of a refused request that races with the record: the daemon decides to
/// accept, and finds the record only when it writes.
#[tokio::test]
async fn a_record_written_during_an_acceptance_wins() {
    let store = MemoryStore::default();
    let one = daemon(&store).await;
    let record = RefusalRecord::new(None, wall_ms(), RETRY_AFTER_MS);
    store.race_writes(&[Some(&serde_json::to_string(&record).unwrap())]);
    assert!(is_refused(&submit(&one, wall_ms(), Verdict::Accept).await));
    assert!(!store.holds_job());
}

/// Guards against a replacement of a record that takes effect after the job was refused again.
#[tokio::test]
async fn a_late_replacement_of_a_record_has_no_effect_after_the_next_refusal() {
    let store = MemoryStore::default();
    let (one, two) = (daemon(&store).await, daemon(&store).await);
    let refused_ms = long_ago_ms();
    refuse_at(&store, &one, refused_ms).await;
    let arrived_ms = refused_ms + 5_000;
    // The create finds the record, and both replacements are late.
    store.fail_writes(&[None, Some(WriteFault::IsLate), Some(WriteFault::IsLate)]);
    assert_eq!(submit(&one, arrived_ms, Verdict::Accept).await, Submission::Unknown);
    assert!(is_refused(&submit(&two, arrived_ms + 1_000, refuse()).await));
    store.execute_late();
    assert!(!store.holds_job(), "a refused job must not be stored");
}

/// Guards against a refusal by a daemon that the store turns away, which can't occupy the job's key.
#[tokio::test]
async fn a_daemon_that_the_store_turns_away_refuses_nothing() {
    let store = MemoryStore::default();
    let one = daemon(&store).await;
    store.fail_writes(&[Some(WriteFault::Rejects)]);
    assert_eq!(submit(&one, wall_ms(), refuse()).await, Submission::NotStored);
    store.fail_writes(&[Some(WriteFault::LosesAnswer), Some(WriteFault::Rejects)]);
    assert_eq!(submit(&one, wall_ms(), refuse()).await, Submission::Unknown);
}

/// Guards against a job whose caller is told that it exists or is cancelled although it was refused.
#[tokio::test]
async fn a_refused_job_has_no_state_and_can_not_be_cancelled() {
    let store = MemoryStore::default();
    let one = daemon(&store).await;
    assert!(is_refused(&submit(&one, wall_ms(), refuse()).await));
    assert_eq!(job_store::state(&one, ID).await.unwrap(), None);
    assert_eq!(job_store::store_cancel(&one, ID).await, FleetWrite::NoSuchJob);
    assert_eq!(store.value("in/cancel/00000000000000aa"), None);
}

/// Guards against a record that vanishes, and with it the protection from late writes, while such a write
/// may still take effect: a lease must serve only for half of its time.
#[tokio::test]
async fn records_live_for_longer_than_writes_are_late() {
    const S: u64 = 1_000_000;
    let (store, lease) = (MemoryStore::default().client(), RecordLease::default());
    let start_us = 3_600 * S;
    assert_eq!(lease.id(&store, start_us).await, Some(1));
    assert_eq!(lease.id(&store, start_us + 14 * S).await, Some(1));
    assert_eq!(lease.id(&store, start_us + 16 * S).await, Some(2));
    lease.forget(1);
    assert_eq!(lease.id(&store, start_us + 17 * S).await, Some(2));
    lease.forget(2);
    assert_eq!(lease.id(&store, start_us + 18 * S).await, Some(3), "it may have ended");
}

/// Guards against a job that is taken for a refusal, and the reverse.
#[test]
fn jobs_and_records_of_refusals_are_distinct() {
    let json = serde_json::to_string(&job(7)).unwrap();
    assert_eq!(RefusalRecord::decode(&json), None);
    assert_eq!(RefusalRecord::decode("{}"), None);
    let record = RefusalRecord::new(None, 1_000, 1_200);
    let value = serde_json::to_string(&record).unwrap();
    assert!(serde_json::from_str::<JobSpec>(&value).is_err());
    assert_eq!(RefusalRecord::decode(&value), Some(record));
    assert_eq!(record.refused.return_ms, 3_000, "Retry-After is in whole seconds, rounded up");
    assert_eq!(record.remaining_ms(1_000), 2_000);
}

/// Guards against clocks of machines that differ: a caller that returns is not taken for a copy of its
/// refused request, and a copy not for a caller that returns.
#[test]
fn clocks_may_differ_by_half_of_the_retry_after() {
    let record = RefusalRecord::new(None, 10_000, 2_000);
    assert!(record.may_precede(10_900) && !record.may_precede(11_100));
    assert!(!record.returning(11_100).is_due && record.returning(12_000).is_due);
    assert!(record.remaining_ms(0) <= 2_000, "a clock that was set back must not extend it");
}

/// Guards against an outcome that changes on its way from the planner's daemon to one that the store
/// turns away.
#[test]
fn outcomes_are_the_same_at_the_daemon_that_asked() {
    let Verdict::Refuse(refusal) = refuse() else { panic!("it refuses") };
    let refused = |because, refusal| {
        let retry_after_ms = RETRY_AFTER_MS;
        Submission::Refused(RefusedJob { because, retry_after_ms, refusal, is_return: true })
    };
    let outcomes = [
        Submission::Stored { is_return: false },
        Submission::Stored { is_return: true },
        Submission::Existed,
        refused(RefusedBecause::NoRoom, Some(refusal)),
        refused(RefusedBecause::Early, None),
        Submission::Unknown,
        Submission::NotStored,
    ];
    for outcome in outcomes {
        let mut answer = FleetAnswer::default();
        submission_report::encode(&outcome, &mut answer);
        assert_eq!(submission_report::decode(&answer), outcome);
    }
    let unanswered = FleetAnswer::default();
    assert_eq!(submission_report::decode(&unanswered), Submission::NotStored);
}

/// ID of the job with [`KEY`] among those of a group.
const FAULTY: u64 = 0xaa;

/// IDs of the jobs that keep all transactions in flight while a group forms.
const FIRST_FILLER: u64 = 0x1_0000;

/// Outcome for a job that was not submitted before.
const NEW: Submission = Submission::Stored { is_return: false };

/// Submits a job for storage in a group.
fn submit_grouped(daemon: &Arc<DaemonState>, id: u64, is_urgent: bool) -> JoinHandle<Submission> {
    let daemon = daemon.clone();
    let spec = JobSpec { id: format!("{id:016x}"), ..job(wall_ms()) };
    tokio::spawn(async move {
        let json = serde_json::to_string(&spec).unwrap();
        let create = JobCreate::Grouped { is_urgent };
        submission::submit(&daemon, &spec, &json, create, &mut |_| Verdict::Accept).await
    })
}

/// Lets all tasks run until each waits.
async fn settle() {
    for _ in 0..50 {
        tokio::task::yield_now().await;
    }
}

impl MemoryStore {
    /// Holds calls back and submits jobs until all transactions are in flight.
    async fn keep_busy(&self, daemon: &Arc<DaemonState>) -> Vec<JoinHandle<Submission>> {
        let before = self.state.lock().unwrap().writes;
        self.is_held.send_replace(true);
        let fillers = FIRST_FILLER..FIRST_FILLER + MAX_GROUPS_IN_FLIGHT as u64;
        let fillers = fillers.map(|id| submit_grouped(daemon, id, false)).collect();
        settle().await;
        assert_eq!(self.state.lock().unwrap().writes, before + MAX_GROUPS_IN_FLIGHT);
        fillers
    }

    fn release(&self) {
        self.is_held.send_replace(false);
    }

    fn job_ids(&self) -> Vec<u64> {
        let state = self.state.lock().unwrap();
        let ids = state.items.keys().filter_map(|key| key.strip_prefix("in/job/"));
        let ids = ids.map(|id| u64::from_str_radix(id, 16).unwrap());
        ids.filter(|id| *id < FIRST_FILLER).collect()
    }
}

/// Submits jobs that wait until they share a transaction, and returns their outcomes.
async fn submit_together(
    store: &MemoryStore,
    daemon: &Arc<DaemonState>,
    ids: &[u64],
) -> Vec<Submission> {
    let fillers = store.keep_busy(daemon).await;
    let together: Vec<_> = ids.iter().map(|id| submit_grouped(daemon, *id, true)).collect();
    settle().await;
    store.release();
    for filler in fillers {
        assert_eq!(filler.await.unwrap(), NEW);
    }
    let mut outcomes = Vec::new();
    for submission in together {
        outcomes.push(submission.await.unwrap());
    }
    outcomes
}

/// Guards against a burst during slow calls whose jobs each wait for a call of their own.
#[tokio::test]
async fn jobs_that_arrive_during_calls_share_the_next_ones() {
    let store = MemoryStore::default();
    let one = Arc::new(daemon(&store).await);
    let ids: Vec<u64> = (0..10 * MAX_GROUP_CREATES as u64).collect();
    let outcomes = submit_together(&store, &one, &ids).await;
    assert!(outcomes.iter().all(|outcome| *outcome == NEW));
    assert_eq!(store.job_ids(), ids);
    assert_eq!(store.state.lock().unwrap().writes, MAX_GROUPS_IN_FLIGHT + 10);
}

/// Guards against a group whose transaction takes effect late: each job is unknown, its repeat finds it
/// or stores it, and none is stored twice.
#[tokio::test]
async fn a_late_group_is_unknown_for_each_job() {
    for is_repeated_before in [false, true] {
        let store = MemoryStore::default();
        let (one, two) = (Arc::new(daemon(&store).await), Arc::new(daemon(&store).await));
        store.fail_writes(&[Some(WriteFault::IsLate)]);
        let outcomes = submit_together(&store, &one, &[1, FAULTY, 2]).await;
        assert_eq!(outcomes, vec![Submission::Unknown; 3]);
        assert!(store.job_ids().is_empty());
        if is_repeated_before {
            assert_eq!(submit_grouped(&two, 1, true).await.unwrap(), NEW);
        }
        store.execute_late();
        let expected = if is_repeated_before { NEW } else { Submission::Existed };
        assert_eq!(submit_grouped(&two, 2, true).await.unwrap(), expected);
        assert_eq!(submit_grouped(&two, FAULTY, true).await.unwrap(), expected);
        assert_eq!(submit_grouped(&two, 1, true).await.unwrap(), Submission::Existed);
        assert_eq!(store.job_ids(), [1, 2, FAULTY]);
    }
}

/// Guards against jobs that are reported as not stored because the answer to their group was lost.
#[tokio::test]
async fn jobs_of_a_group_whose_answer_is_lost_are_read_back() {
    let store = MemoryStore::default();
    let one = Arc::new(daemon(&store).await);
    store.fail_writes(&[Some(WriteFault::LosesAnswer)]);
    assert_eq!(submit_together(&store, &one, &[1, FAULTY, 2]).await, vec![NEW; 3]);
    assert_eq!(store.job_ids(), [1, 2, FAULTY]);
}

/// Guards against a stored or refused job that fails the others of its group, or is replaced.
#[tokio::test]
async fn existing_keys_of_a_group_are_answered_alone() {
    let store = MemoryStore::default();
    let (one, two) = (Arc::new(daemon(&store).await), daemon(&store).await);
    assert_eq!(submit(&two, wall_ms(), Verdict::Accept).await, NEW);
    let before = store.value(KEY);
    let outcomes = submit_together(&store, &one, &[1, FAULTY, 2]).await;
    assert_eq!(outcomes, [NEW, Submission::Existed, NEW]);
    assert_eq!(store.value(KEY), before);

    let store = MemoryStore::default();
    let (one, two) = (Arc::new(daemon(&store).await), daemon(&store).await);
    assert!(is_refused(&submit(&two, wall_ms(), refuse()).await));
    let outcomes = submit_together(&store, &one, &[1, FAULTY, 2]).await;
    assert!(is_refused(&outcomes[1]) && !store.holds_job());
    assert_eq!((&outcomes[0], &outcomes[2]), (&NEW, &NEW));

    let store = MemoryStore::default();
    let (one, two) = (Arc::new(daemon(&store).await), daemon(&store).await);
    refuse_at(&store, &two, long_ago_ms()).await;
    let outcomes = submit_together(&store, &one, &[1, FAULTY, 2]).await;
    assert_eq!(outcomes, [NEW, Submission::Stored { is_return: true }, NEW]);
}

/// Guards against two requests for one job at one daemon that both count as new, or that fail a group.
#[tokio::test]
async fn two_requests_for_one_job_store_it_once() {
    let store = MemoryStore::default();
    let one = Arc::new(daemon(&store).await);
    let mut outcomes = submit_together(&store, &one, &[FAULTY, 1, FAULTY]).await;
    outcomes.sort_by_key(|outcome| *outcome == Submission::Existed);
    assert_eq!(outcomes, [NEW, NEW, Submission::Existed]);
}

/// Guards against a job that the store rejects and that fails all others with it.
#[tokio::test]
async fn one_bad_job_of_a_group_fails_alone() {
    let store = MemoryStore::default();
    let one = Arc::new(daemon(&store).await);
    store.fail_writes(&[Some(WriteFault::IsInvalid); 8]);
    let ids: Vec<u64> = (0..7).chain([FAULTY]).collect();
    let outcomes = submit_together(&store, &one, &ids).await;
    assert!(outcomes[..7].iter().all(|outcome| *outcome == NEW), "{outcomes:?}");
    assert_eq!(outcomes[7], Submission::NotStored);
    assert_eq!(store.job_ids(), ids[..7]);
}

/// Guards against callers that wait for a store that turns the daemon away, and against jobs that are
/// stored after their callers were refused.
#[tokio::test]
async fn a_group_that_is_not_served_is_refused_at_once() {
    let store = MemoryStore::default();
    let one = Arc::new(daemon(&store).await);
    store.fail_writes(&[Some(WriteFault::Rejects)]);
    let outcomes = submit_together(&store, &one, &[1, FAULTY, 2]).await;
    assert_eq!(outcomes, vec![Submission::NotStored; 3]);
    settle().await;
    assert!(store.job_ids().is_empty());
}

/// Guards against a caller that goes away and takes the jobs of others with it, or whose job is stored
/// although it was not sent and nobody waits for it.
#[tokio::test]
async fn a_caller_that_goes_away_neither_loses_nor_delays_others() {
    let store = MemoryStore::default();
    let one = Arc::new(daemon(&store).await);
    let fillers = store.keep_busy(&one).await;
    let together: Vec<_> = [1, 2, 3].map(|id| submit_grouped(&one, id, true)).into();
    settle().await;
    together[1].abort();
    fillers[0].abort();
    settle().await;
    store.release();
    for (position, submission) in together.into_iter().enumerate() {
        match position {
            1 => assert!(submission.await.unwrap_err().is_cancelled()),
            _ => assert_eq!(submission.await.unwrap(), NEW),
        }
    }
    for filler in fillers.into_iter().skip(1) {
        assert_eq!(filler.await.unwrap(), NEW);
    }
    assert_eq!(store.job_ids(), [1, 3]);
    let first = format!("in/job/{FIRST_FILLER:016x}");
    assert!(store.value(&first).is_some(), "its transaction was sent");
}

/// Guards against a job that was answered or stored although its daemon was lost before it sent the
/// transaction.
#[test]
fn a_daemon_lost_before_sending_has_stored_and_answered_nothing() {
    let store = MemoryStore::default();
    let lost = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let mut waiting = None;
    lost.block_on(async {
        let one = Arc::new(daemon(&store).await);
        store.keep_busy(&one).await;
        let submission = waiting.insert(submit_grouped(&one, 1, true));
        settle().await;
        assert!(!submission.is_finished());
    });
    drop(lost);
    store.release();
    let successor = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    successor.block_on(async {
        assert!(waiting.unwrap().await.is_err(), "its caller has no answer");
        assert!(store.job_ids().is_empty());
        let two = Arc::new(daemon(&store).await);
        assert_eq!(submit_grouped(&two, 1, true).await.unwrap(), NEW);
    });
}

/// Guards against callers of an outage that all return in one second, urgent ones behind the others, and
/// against callers refused for another reason that count into an outage.
#[tokio::test]
async fn callers_refused_in_an_outage_are_spread_and_counted() {
    let store = MemoryStore::default();
    let one = daemon(&store).await;
    assert_eq!(one.store_outage.retry_after_ms(&one, &job(wall_ms())), 1_000);
    let refused = || {
        let load = |count: &AtomicU64| count.load(Ordering::Relaxed);
        (load(&one.store_outage.refused_urgent), load(&one.store_outage.refused_others))
    };
    assert_eq!(refused(), (0, 0), "the store is available, and the service has no load control");
    let mut by_second = [[0; 9]; 2];
    for id in 0..300_u64 {
        let is_urgent = id % 3 == 0;
        let after_ms = one.store_outage.refuse(&format!("{id:016x}"), is_urgent, 2_000, 100.0);
        by_second[usize::from(!is_urgent)][(after_ms / 1_000) as usize] += 1;
    }
    assert_eq!(refused(), (100, 200));
    let [urgent, others] = by_second;
    assert!(urgent.iter().zip(others).all(|(urgent, others)| urgent + others <= 150));
    let mean_s = |callers: [i32; 9]| {
        let sum_s: i32 = (0..).zip(callers).map(|(second, callers)| second * callers).sum();
        f64::from(sum_s) / f64::from(callers.iter().sum::<i32>())
    };
    assert!(mean_s(urgent) + 0.5 <= mean_s(others), "{urgent:?} {others:?}");
}
