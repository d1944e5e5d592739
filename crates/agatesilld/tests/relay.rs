//! The request path with real daemons in this process, judged by the upstreams' books and by what
//! callers receive.

use std::net::SocketAddr;
use std::time::Duration;

use agatesill_standin::caller::{CallOutcome, Caller, CallerRequest};
use agatesill_standin::harness::{Harness, HarnessSizes, NON_REPEATABLE_PATH, SERVICE, wait_until};
use agatesill_standin::store::StoreFaults;
use agatesill_standin::upstreams::UpstreamFaults;
use agatesilld::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

const SIZES: HarnessSizes = HarnessSizes { daemons: 2, upstreams: 3, slots: 4, service_us: 1_000 };

type Outcome = Result<(), Box<dyn std::error::Error>>;

struct World {
    rig: Harness,
    caller: Caller,
    stops: Vec<CancellationToken>,
}

impl World {
    async fn start(
        sizes: HarnessSizes,
        adjust: impl Fn(&mut Settings),
    ) -> Result<Self, Box<dyn std::error::Error>> {
        let rig = Harness::start(sizes, adjust).await?;
        let mut stops = Vec::new();
        for settings in &rig.settings {
            let stop = CancellationToken::new();
            start(settings, &stop)?;
            stops.push(stop);
        }
        rig.configure().await?;
        Ok(Self { rig, caller: Caller::default(), stops })
    }

    fn entry(&self, daemon: usize) -> SocketAddr {
        self.rig.settings[daemon].entry.addr
    }

    async fn send(&self, daemon: usize, ask: &CallerRequest) -> CallOutcome {
        self.caller.send(self.entry(daemon), ask).await
    }

    fn ran(&self, id: &str) -> u32 {
        self.rig.ran().get(id).copied().unwrap_or(0)
    }

    fn set_faults(&self, faults: &UpstreamFaults) {
        self.rig.upstreams.iter().for_each(|one| one.set_faults(faults.clone()));
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.stops.iter().for_each(CancellationToken::cancel);
    }
}

fn read(id: &str) -> CallerRequest {
    CallerRequest {
        id: id.to_owned(),
        service: SERVICE.to_owned(),
        caller: "broker".to_owned(),
        key: "buyer".to_owned(),
        method: "GET".to_owned(),
        path: "/limits".to_owned(),
        deadline_ms: 5_000,
        body: String::new(),
        attempt: 0,
        idempotency_key: String::new(),
    }
}

fn decide(id: &str, attempt: u32) -> CallerRequest {
    CallerRequest {
        method: "POST".to_owned(),
        path: NON_REPEATABLE_PATH.to_owned(),
        body: "buyer=7".to_owned(),
        attempt,
        ..read(id)
    }
}

fn kind(heard: &CallOutcome) -> &str {
    match heard {
        CallOutcome::Failed(body) => &body.kind,
        CallOutcome::Answer(..) => "answer",
        CallOutcome::Broken => "broken",
        CallOutcome::Wrong(..) => "wrong",
    }
}

/// A broker's call times out just as the answer is ready and is sent again; the balancer hands it
/// to another daemon. The broker must see the first decision, not a second one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_repeat_at_another_daemon_gets_the_first_answer_whole() -> Outcome {
    let world = World::start(SIZES, |_| {}).await?;
    let first = world.send(0, &decide("d1", 1)).await;
    assert_eq!(kind(&first), "answer");
    assert_eq!(world.send(1, &decide("d1", 2)).await, first);
    assert_eq!(world.send(0, &decide("d1", 3)).await, first);
    assert_eq!(world.ran("d1"), 1);
    Ok(())
}

/// The re-sent call overtakes the first one, which sits in a slow network: no daemon knows the
/// first attempt yet. The second must not run, since the first still may.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_repeat_that_overtakes_its_first_attempt_does_not_run() -> Outcome {
    let world = World::start(SIZES, |_| {}).await?;
    assert_eq!(kind(&world.send(1, &decide("d1", 2)).await), "outcome_unknown");
    assert_eq!(world.ran("d1"), 0);
    assert_eq!(kind(&world.send(0, &decide("d1", 1)).await), "answer");
    assert_eq!(kind(&world.send(1, &decide("d1", 3)).await), "answer");
    assert_eq!(world.ran("d1"), 1);
    Ok(())
}

/// The first attempt was refused as not run, by upstreams that are full. Its repeat at another
/// daemon may run, and only one of two repeats.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_repeat_of_one_that_did_not_run_runs_once() -> Outcome {
    let world = World::start(SIZES, |_| {}).await?;
    world.set_faults(&UpstreamFaults { overloaded: true, ..UpstreamFaults::default() });
    assert!(world.send(0, &decide("d1", 1)).await.says_not_run());
    world.set_faults(&UpstreamFaults::default());
    let (second, third) = (decide("d1", 2), decide("d1", 3));
    let (one, other) = tokio::join!(world.send(1, &second), world.send(0, &third));
    assert!(kind(&one) == "answer" || kind(&other) == "answer", "{one:?} {other:?}");
    assert_eq!(world.ran("d1"), 1);
    Ok(())
}

/// The upstream runs the decision and dies before it answers. Nobody can know whether it ran:
/// the caller hears so, and a repeat never runs it again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lost_answer_is_unknown_and_never_run_again() -> Outcome {
    let world = World::start(SIZES, |_| {}).await?;
    world.set_faults(&UpstreamFaults { lose_answer_percent: 100, ..UpstreamFaults::default() });
    assert_eq!(kind(&world.send(0, &decide("d1", 1)).await), "outcome_unknown");
    world.set_faults(&UpstreamFaults::default());
    assert_eq!(kind(&world.send(1, &decide("d1", 2)).await), "outcome_unknown");
    assert_eq!(kind(&world.send(0, &decide("d1", 3)).await), "outcome_unknown");
    assert_eq!(world.ran("d1"), 1);
    Ok(())
}

/// The caller hangs up while its decision runs. The run goes on, and the repeat at another daemon
/// gets its answer, also while the store is out.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_hangs_up_finds_the_answer_later() -> Outcome {
    let world = World::start(SIZES, |_| {}).await?;
    world.rig.store.set_faults(StoreFaults { outage: true, ..StoreFaults::default() });
    world.set_faults(&UpstreamFaults { service_us: 200_000, ..UpstreamFaults::default() });
    let hasty = Caller::default();
    let first = decide("d1", 1);
    let sent = hasty.send(world.entry(0), &first);
    let _ = tokio::time::timeout(Duration::from_millis(50), sent).await;
    drop(hasty);
    assert_eq!(kind(&world.send(1, &decide("d1", 2)).await), "answer");
    assert_eq!(world.ran("d1"), 1);
    Ok(())
}

/// Two requests under one idempotency key: the second must not get the first one's answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_used_for_another_request_is_a_conflict() -> Outcome {
    let world = World::start(SIZES, |_| {}).await?;
    assert_eq!(kind(&world.send(0, &decide("d1", 1)).await), "answer");
    let other = CallerRequest { body: "buyer=8".to_owned(), ..decide("d1", 2) };
    assert_eq!(kind(&world.send(1, &other).await), "conflict");
    Ok(())
}

/// Upstreams die in the middle of an answer, short or long. The caller must see a broken exchange
/// or a typed failure, never half an answer that looks whole.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_cut_off_is_never_short_but_complete() -> Outcome {
    let world = World::start(SIZES, |_| {}).await?;
    world.set_faults(&UpstreamFaults { die_mid_answer_percent: 100, ..UpstreamFaults::default() });
    for (nth, path) in ["/limits", "/bytes/1000", "/bytes/300000"].iter().enumerate() {
        let ask = CallerRequest { path: (*path).to_owned(), ..read(&format!("r{nth}")) };
        let heard = world.send(0, &ask).await;
        assert!(matches!(kind(&heard), "broken" | "upstream_failed"), "{path}: {heard:?}");
    }
    world.set_faults(&UpstreamFaults { no_length: true, ..UpstreamFaults::default() });
    assert_ne!(kind(&world.send(0, &read("r9")).await), "wrong");
    Ok(())
}

/// Long bodies pass both ways whole, and the connections stay in use afterwards.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn long_bodies_are_streamed_whole() -> Outcome {
    let world = World::start(SIZES, |_| {}).await?;
    for nth in 0..5 {
        let body = "b".repeat(200_000);
        let path = "/bytes/1000000".to_owned();
        let ask =
            CallerRequest { method: "PUT".to_owned(), path, body, ..read(&format!("r{nth}")) };
        assert_eq!(kind(&world.send(0, &ask).await), "answer");
    }
    Ok(())
}

/// Callers hang up on reads all the time. Each exchange is cancelled at the upstream, its
/// connection is not used again, and others keep getting their own answers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_that_hang_up_free_their_slots() -> Outcome {
    let world = World::start(SIZES, |_| {}).await?;
    world.set_faults(&UpstreamFaults { service_us: 500_000, ..UpstreamFaults::default() });
    for nth in 0..30 {
        let hasty = Caller::default();
        let ask = read(&format!("h{nth}"));
        let sent = hasty.send(world.entry(0), &ask);
        let _ = tokio::time::timeout(Duration::from_millis(20), sent).await;
    }
    world.set_faults(&UpstreamFaults::default());
    for nth in 0..50 {
        let heard = world.send(0, &read(&format!("r{nth}"))).await;
        assert_eq!(kind(&heard), "answer", "{heard:?}");
    }
    wait_until(|| async {
        world.rig.upstreams.iter().map(|one| one.audit().cancelled).sum::<u64>() > 0
    })
    .await?;
    Ok(())
}

/// An upstream refuses because it is leaving. The request goes elsewhere at once, and from then on
/// neither this daemon nor its peer sends it anything.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_upstream_gets_no_new_work_from_any_daemon() -> Outcome {
    let world = World::start(SIZES, |_| {}).await?;
    let leaving = UpstreamFaults { leaving: true, ..UpstreamFaults::default() };
    world.rig.upstreams[0].set_faults(leaving);
    for nth in 0..40 {
        let heard = world.send(0, &read(&format!("r{nth}"))).await;
        assert_eq!(kind(&heard), "answer", "{heard:?}");
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let refused = world.rig.upstreams[0].audit().refused;
    assert!(refused >= 1);
    for nth in 0..40 {
        world.send(nth % 2, &read(&format!("s{nth}"))).await;
    }
    assert_eq!(world.rig.upstreams[0].audit().refused, refused);
    Ok(())
}

/// A daemon is stopped as planned while long requests run. All of them finish.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_cuts_nothing_off() -> Outcome {
    let world = World::start(SIZES, |_| {}).await?;
    world.set_faults(&UpstreamFaults { service_us: 400_000, ..UpstreamFaults::default() });
    let sent: Vec<_> = (0..4)
        .map(|nth| {
            let (caller, entry) = (Caller::default(), world.entry(0));
            tokio::spawn(async move { caller.send(entry, &read(&format!("r{nth}"))).await })
        })
        .collect();
    wait_until(|| async { world.rig.ran().len() == sent.len() }).await?;
    world.stops[0].cancel();
    for one in sent {
        assert_eq!(kind(&one.await?), "answer");
    }
    wait_until(|| async { TcpStream::connect(world.entry(0)).await.is_err() }).await?;
    Ok(())
}

/// Eight daemons' worth of callers arrive at once: the connections to one upstream stay within
/// the budget that all daemons share.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_stay_within_the_shared_budget() -> Outcome {
    let sizes = HarnessSizes { upstreams: 1, slots: 64, ..SIZES };
    let world = World::start(sizes, |settings| settings.upstreams.connections = 6).await?;
    let sent: Vec<_> = (0..200)
        .map(|nth| {
            let (caller, entry) = (world.caller.clone(), world.entry(nth % 2));
            tokio::spawn(async move { caller.send(entry, &read(&format!("r{nth}"))).await })
        })
        .collect();
    for one in sent {
        assert_eq!(kind(&one.await?), "answer");
    }
    assert!(world.rig.upstreams[0].audit().most_connections <= 6);
    Ok(())
}

async fn raw(entry: SocketAddr, head: &[u8]) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(entry).await?;
    stream.write_all(head).await?;
    let mut answer = Vec::new();
    let read = tokio::time::timeout(Duration::from_secs(20), stream.read_to_end(&mut answer));
    let _ = read.await;
    Ok(String::from_utf8_lossy(&answer).into_owned())
}

/// Hostile heads: malformed, oversized, of the wrong version, and one that never ends. Each gets
/// a typed answer and its connection is closed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hostile_heads_get_typed_answers() -> Outcome {
    let world = World::start(SIZES, |settings| settings.entry.head_ms = 300).await?;
    let entry = world.entry(0);
    let big = format!("GET / HTTP/1.1\r\nhost: x\r\nx-big: {}\r\n\r\n", "y".repeat(100_000));
    let many: String = (0..200).map(|nth| format!("h{nth}: v\r\n")).collect();
    let cases: [(&[u8], &str); 6] = [
        (b"nonsense\r\n\r\n", "HTTP/1.1 400"),
        (big.as_bytes(), "HTTP/1.1 431"),
        (format!("GET / HTTP/1.1\r\n{many}\r\n").leak().as_bytes(), "HTTP/1.1 431"),
        (b"GET / HTTP/1.0\r\n\r\n", "bad_request"),
        (b"GET / HTTP/1.1\r\nhost", "caller_timeout"),
        (
            b"GET / HTTP/1.1\r\nhost: x\r\nx-agatesill-service: none\r\nconnection: close\r\n\r\n",
            "not_found",
        ),
    ];
    for (head, expected) in cases {
        let answer = raw(entry, head).await?;
        assert!(answer.contains(expected), "expected {expected}, got {answer:.200}");
    }
    Ok(())
}

fn upload(length: &str) -> String {
    format!(
        "PUT /limits HTTP/1.1\r\nhost: x\r\nx-agatesill-service: {SERVICE}\r\n\
         connection: close\r\ncontent-length: {length}\r\n\r\nbegun"
    )
}

/// Hostile bodies: one that stops coming, and one that is larger than any may be.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hostile_bodies_get_typed_answers() -> Outcome {
    let world = World::start(SIZES, |settings| settings.entry.body_ms = 300).await?;
    let slow = raw(world.entry(0), upload("1000").as_bytes()).await?;
    assert!(slow.contains("caller_timeout") && slow.contains("\"was_run\":\"no\""), "{slow}");
    let large = raw(world.entry(0), upload("900000000").as_bytes()).await?;
    assert!(large.contains("too_large"), "{large}");
    assert!(world.rig.ran().is_empty());
    Ok(())
}

/// A crowd of idle connections fills the entry. Newcomers are told so at once, the idle ones are
/// closed after their time, and then callers are served again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idle_connections_are_capped_and_closed() -> Outcome {
    let world = World::start(SIZES, |settings| {
        settings.entry.max_connections = 8;
        settings.entry.head_ms = 1_000;
    })
    .await?;
    let mut idle = Vec::new();
    for _ in 0..8 {
        idle.push(TcpStream::connect(world.entry(0)).await?);
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    let refused = raw(world.entry(0), b"").await?;
    assert!(refused.contains("overloaded"), "{refused}");
    wait_until(|| async { kind(&world.send(0, &read("r1")).await) == "answer" }).await?;
    Ok(())
}

/// A caller asks for a long answer and never reads it. After the stall limit its connection is
/// closed and the upstream's slot is free again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_does_not_read_is_cut_off() -> Outcome {
    let sizes = HarnessSizes { upstreams: 1, slots: 1, ..SIZES };
    let world = World::start(sizes, |settings| settings.entry.stall_ms = 300).await?;
    let mut stream = TcpStream::connect(world.entry(0)).await?;
    let head = format!(
        "GET /bytes/60000000 HTTP/1.1\r\nhost: x\r\nx-agatesill-service: {SERVICE}\r\n\
         x-agatesill-deadline-ms: 60000\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    wait_until(|| async { world.rig.upstreams[0].audit().most_at_once > 0 }).await?;
    wait_until(|| async { kind(&world.send(0, &read("r1")).await) == "answer" }).await?;
    Ok(())
}
