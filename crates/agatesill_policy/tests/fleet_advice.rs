//! Queues whose steps only run on workers approved by the advice service.

mod fleet_support;

use std::collections::HashSet;

use agatesill_policy::advice::{MAX_WORKERS_PER_QUESTION, MIN_SHORTLIST};
use agatesill_policy::fleet::{
    AdviceQuestion, EndCause, JobSpec, OrderKind, OrderOutcome, Step, WorkerEntry,
};
use fleet_support::{Harness, MS, entry, job, step};

fn advised_job(count: u32) -> JobSpec {
    advised("j", step(count))
}

fn advised(id: &str, step: Step) -> JobSpec {
    let mut spec = job(id, vec![step]);
    spec.terms.needs_advice = true;
    spec
}

/// Workers of racks of eight.
fn workers(count: u32) -> Vec<WorkerEntry> {
    let worker = |number: u32| WorkerEntry {
        address: format!("10.0.{}.{}:80", number / 250, number % 250),
        ..entry(&format!("w{number}"), &rack(number / 8))
    };
    (0..count).map(worker).collect()
}

fn rack(number: u32) -> String {
    format!("r1-{number}")
}

/// The advice service: it serves one question at a time, and its tickets are valid for three seconds.
#[derive(Default)]
struct Service {
    questions: usize,
    asked: HashSet<String>,
    /// The only workers that it approves; all, if empty.
    approved: HashSet<String>,
}

const VALID_MS: u64 = 3_000;

impl Service {
    /// Answers a question after 20 ms and 2 ms for each worker.
    fn answer(&mut self, harness: &mut Harness, question: &AdviceQuestion) {
        assert!(question.workers.len() <= MAX_WORKERS_PER_QUESTION);
        harness.advance_ms(20 + 2 * question.workers.len() as u64);
        self.questions += 1;
        self.asked.extend(question.workers.iter().cloned());
        let is_good = |id: &&String| self.approved.is_empty() || self.approved.contains(*id);
        let ticket = |id: &String| (id.clone(), format!("leave for {id}"));
        let good: Vec<_> = question.workers.iter().filter(is_good).map(ticket).collect();
        harness.fleet.advice_answered(question, Some(&good), VALID_MS, harness.now_us);
    }

    /// Lets the fleet plan and the service answer for a time.
    fn serve(&mut self, harness: &mut Harness, for_ms: u64) {
        let until_us = harness.now_us + for_ms * MS;
        while harness.now_us < until_us {
            harness.settle();
            let runs = harness.workers.values_mut().flat_map(|worker| worker.running.values_mut());
            runs.for_each(|run| run.percent = 100);
            harness.poll_all();
            let questions = harness.fleet.take_questions();
            questions.iter().for_each(|question| self.answer(harness, question));
            harness.advance_ms(10);
        }
    }
}

/// Starts on workers that are not approved, or without the ticket, are rejected and still cost a
/// call.
#[test]
fn starts_wait_for_advice_and_carry_its_ticket() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1"), entry("w22", "r1-1")]);
    harness.fleet.accept(advised_job(2), harness.now_us);
    assert!(harness.plan().is_empty());
    let questions = harness.fleet.take_questions();
    assert_eq!(questions.len(), 1);
    assert_eq!(questions[0].workers.len(), 2);
    assert!(harness.plan().is_empty());
    assert!(harness.fleet.take_questions().is_empty(), "no second question while one is pending");
    let good = [("w22".to_owned(), "leave".to_owned())];
    harness.fleet.advice_answered(&questions[0], Some(&good), 3_000, harness.now_us);
    let orders = harness.plan();
    assert_eq!(orders.len(), 2);
    for order in &orders {
        assert_eq!(harness.fleet.worker(order.worker).entry.id, "w22");
        assert!(matches!(&order.kind, OrderKind::Start { ticket, .. } if ticket == "leave"));
    }
}

/// A step would never run if it used an expired ticket or waited forever for a lost answer. The
/// question must be asked again in both cases.
#[test]
fn expired_ticket_and_lost_answer_are_requested_again() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1")]);
    harness.fleet.accept(advised_job(1), harness.now_us);
    harness.plan();
    let lost = harness.fleet.take_questions().remove(0);
    harness.fleet.advice_answered(&lost, None, 0, harness.now_us);
    harness.plan();
    let question = harness.fleet.take_questions().remove(0);
    let good = [("w1".to_owned(), "leave".to_owned())];
    harness.fleet.advice_answered(&question, Some(&good), 1_000, harness.now_us);
    harness.advance_ms(900);
    assert!(harness.plan().is_empty(), "the ticket is too close to its expiry");
    let renewal = harness.fleet.take_questions().remove(0);
    harness.fleet.advice_answered(&renewal, Some(&good), 1_000, harness.now_us);
    let start = harness.plan().remove(0);
    harness.fleet.order_answered(&start, OrderOutcome::Done, harness.now_us);
}

/// Guards against a job that never runs because the workers named again and again, those with tickets,
/// lack the label that it needs.
#[test]
fn after_a_rack_is_replaced_only_its_workers_are_asked_about() {
    let mut harness = Harness::new(workers(48));
    let mut service = Service::default();
    let on_rack = Step { label: rack(0), ..step(4) };
    harness.fleet.accept(advised("j1", Step { is_lasting: true, ..on_rack }), harness.now_us);
    service.serve(&mut harness, 500);
    assert_eq!(harness.present("j1").len(), 4);
    for (number, entry) in workers(8).into_iter().enumerate() {
        let new = WorkerEntry { address: format!("10.1.0.{number}:80"), ..entry.clone() };
        harness.list(WorkerEntry { id: format!("new{number}"), ..new });
        let index = harness.list(WorkerEntry { is_leaving: true, leaves_in_ms: 500, ..entry });
        service.serve(&mut harness, 500);
        harness.workers.remove(&index);
    }
    let on_rack = Step { label: rack(0), ..step(2) };
    harness.fleet.accept(advised("j2", on_rack), harness.now_us);
    service.serve(&mut harness, 500);
    assert_eq!((harness.present("j1").len(), harness.present("j2").len()), (4, 2));
    assert_eq!(service.asked.len(), 16, "{:?}", service.asked);
}

/// Guards against tasks that never run because their step needs more workers than one question names.
#[test]
fn a_step_runs_on_more_workers_than_one_question_names() {
    for is_gang in [false, true] {
        let mut harness = Harness::new(workers(350));
        let mut service = Service::default();
        let wide = Step { max_per_worker: 1, is_gang, is_lasting: !is_gang, ..step(200) };
        harness.fleet.accept(advised("j", wide), harness.now_us);
        service.serve(&mut harness, 3_000);
        assert_eq!(harness.present("j").len(), 200, "gang: {is_gang}");
        assert!(service.questions <= 3, "{} questions", service.questions);
    }
}

/// Guards against jobs that starve beside others on the same rack: the tickets of all expire, and each
/// must have those renewed that it needs.
#[test]
fn jobs_on_one_rack_all_run() {
    let mut harness = Harness::new(workers(48));
    let mut service = Service::default();
    for (id, count) in [("a", 2), ("b", 2), ("c", 2), ("d", 2), ("e", 8)] {
        let on_rack = Step { label: rack(5), is_lasting: true, ..step(count) };
        harness.fleet.accept(advised(id, on_rack), harness.now_us);
    }
    service.serve(&mut harness, 1_000);
    let present = ["a", "b", "c", "d", "e"].map(|id| harness.present(id).len());
    assert_eq!(present, [2, 2, 2, 2, 8]);
    assert!(service.questions <= 5, "{} questions", service.questions);
}

/// Guards against questions about workers that were declined: the answer does not change, and the others
/// would be asked about later.
#[test]
fn declined_workers_are_asked_about_once_in_a_long_time() {
    let mut harness = Harness::new(workers(48));
    let approved = ["w17", "w30", "w45"].map(str::to_owned).into();
    let mut service = Service { approved, ..Service::default() };
    let wide = Step { max_per_worker: 1, is_lasting: true, ..step(4) };
    harness.fleet.accept(advised("j", wide), harness.now_us);
    service.serve(&mut harness, 20_000);
    assert_eq!(harness.present("j").len(), 3);
    assert_eq!((service.questions, service.asked.len()), (2, 48));
    service.approved.insert("w1".to_owned());
    service.serve(&mut harness, 20_000);
    assert_eq!(harness.present("j").len(), 4, "an answer that was wrong must not hold for ever");
}

/// Guards against a restart that waits for the renewal of tickets that it does not need.
#[test]
fn a_lost_task_has_one_ticket_renewed() {
    let mut harness = Harness::new(workers(48));
    let mut service = Service::default();
    harness.fleet.accept(advised("j", Step { is_lasting: true, ..step(4) }), harness.now_us);
    service.serve(&mut harness, 6_000);
    let (worker, task, run) = harness.present("j").remove(0);
    harness.end(worker, &task, run, EndCause::Failed);
    harness.poll_all();
    harness.settle();
    let question = harness.fleet.take_questions().remove(0);
    assert_eq!(question.workers.len(), 1, "{:?}", question.workers);
    service.answer(&mut harness, &question);
    harness.settle();
    assert_eq!(harness.present("j").len(), 4);
}

/// Guards against a start that is rejected again and again with the same ticket.
#[test]
fn a_rejected_ticket_is_not_used_again() {
    let mut harness = Harness::new(workers(1));
    let mut service = Service::default();
    harness.fleet.accept(advised_job(1), harness.now_us);
    harness.settle();
    let question = harness.fleet.take_questions().remove(0);
    service.answer(&mut harness, &question);
    let start = harness.plan().remove(0);
    harness.fleet.order_answered(&start, OrderOutcome::NoTicket, harness.now_us);
    harness.advance_ms(1_100);
    harness.poll_all();
    assert!(harness.plan().is_empty());
    assert_eq!(harness.fleet.take_questions().len(), 1);
}

/// Guards against questions that become longer for steps that need few workers.
#[test]
fn a_question_for_a_few_tasks_names_a_few_workers() {
    let mut harness = Harness::new(workers(350));
    harness.fleet.accept(advised_job(2), harness.now_us);
    harness.settle();
    assert_eq!(harness.fleet.take_questions()[0].workers.len(), MIN_SHORTLIST);
}
