//! Tests the request path with real daemons in this process, and verifies it by the audit logs of
//! the upstreams and by the responses that callers receive.

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

type TestResult = Result<(), Box<dyn std::error::Error>>;

struct RelayHarness {
    environment: Harness,
    caller: Caller,
    shutdown_tokens: Vec<CancellationToken>,
}

impl RelayHarness {
    async fn start(
        sizes: HarnessSizes,
        adjust: impl Fn(&mut Settings),
    ) -> Result<Self, Box<dyn std::error::Error>> {
        let environment = Harness::start(sizes, adjust).await?;
        let mut shutdown_tokens = Vec::new();
        for settings in &environment.settings {
            let stop = CancellationToken::new();
            start(settings, &stop)?;
            shutdown_tokens.push(stop);
        }
        environment.configure().await?;
        Ok(Self { environment, caller: Caller::default(), shutdown_tokens })
    }

    fn entry(&self, daemon: usize) -> SocketAddr {
        self.environment.settings[daemon].entry.addr
    }

    async fn send(&self, daemon: usize, ask: &CallerRequest) -> CallOutcome {
        self.caller.send(self.entry(daemon), ask).await
    }

    fn ran(&self, id: &str) -> u32 {
        self.environment.ran().get(id).copied().unwrap_or(0)
    }

    fn set_faults(&self, faults: &UpstreamFaults) {
        self.environment.upstreams.iter().for_each(|upstream| upstream.set_faults(faults.clone()));
    }
}

impl Drop for RelayHarness {
    fn drop(&mut self) {
        self.shutdown_tokens.iter().for_each(CancellationToken::cancel);
    }
}

fn read_request(id: &str) -> CallerRequest {
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

fn decision_request(id: &str, attempt: u32) -> CallerRequest {
    CallerRequest {
        method: "POST".to_owned(),
        path: NON_REPEATABLE_PATH.to_owned(),
        body: "buyer=7".to_owned(),
        attempt,
        ..read_request(id)
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

/// A broker's call times out just as the response is ready, and the load balancer sends the retry
/// to another daemon. The broker must receive the first decision, not a second one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn retry_at_another_daemon_receives_the_first_response() -> TestResult {
    let harness = RelayHarness::start(SIZES, |_| {}).await?;
    let first = harness.send(0, &decision_request("d1", 1)).await;
    assert_eq!(kind(&first), "answer");
    assert_eq!(harness.send(1, &decision_request("d1", 2)).await, first);
    assert_eq!(harness.send(0, &decision_request("d1", 3)).await, first);
    assert_eq!(harness.ran("d1"), 1);
    Ok(())
}

/// A retry overtakes the first attempt, which is delayed in the network, so that no daemon has a
/// record of it yet. The retry must not run, since the first attempt may still run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn retry_that_overtakes_its_first_attempt_does_not_run() -> TestResult {
    let harness = RelayHarness::start(SIZES, |_| {}).await?;
    assert_eq!(kind(&harness.send(1, &decision_request("d1", 2)).await), "outcome_unknown");
    assert_eq!(harness.ran("d1"), 0);
    assert_eq!(kind(&harness.send(0, &decision_request("d1", 1)).await), "answer");
    assert_eq!(kind(&harness.send(1, &decision_request("d1", 3)).await), "answer");
    assert_eq!(harness.ran("d1"), 1);
    Ok(())
}

/// Overloaded upstreams refuse the first attempt as not run. Its retry may run at another daemon,
/// but only one of two retries may.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn retries_of_a_request_that_did_not_run_run_it_once() -> TestResult {
    let harness = RelayHarness::start(SIZES, |_| {}).await?;
    harness.set_faults(&UpstreamFaults { overloaded: true, ..UpstreamFaults::default() });
    assert!(harness.send(0, &decision_request("d1", 1)).await.says_not_run());
    harness.set_faults(&UpstreamFaults::default());
    let (second, third) = (decision_request("d1", 2), decision_request("d1", 3));
    let (second_heard, third_heard) =
        tokio::join!(harness.send(1, &second), harness.send(0, &third));
    assert!(
        kind(&second_heard) == "answer" || kind(&third_heard) == "answer",
        "{second_heard:?} {third_heard:?}"
    );
    assert_eq!(harness.ran("d1"), 1);
    Ok(())
}

/// The upstream runs the decision and crashes before it responds, so that no daemon can know
/// whether the request ran. The caller must receive `outcome_unknown`, and no retry may run the
/// request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_with_a_lost_response_is_unknown_and_never_run_again() -> TestResult {
    let harness = RelayHarness::start(SIZES, |_| {}).await?;
    harness.set_faults(&UpstreamFaults { lose_answer_percent: 100, ..UpstreamFaults::default() });
    assert_eq!(kind(&harness.send(0, &decision_request("d1", 1)).await), "outcome_unknown");
    harness.set_faults(&UpstreamFaults::default());
    assert_eq!(kind(&harness.send(1, &decision_request("d1", 2)).await), "outcome_unknown");
    assert_eq!(kind(&harness.send(0, &decision_request("d1", 3)).await), "outcome_unknown");
    assert_eq!(harness.ran("d1"), 1);
    Ok(())
}

/// The caller disconnects while its decision runs. The run must continue, and a retry at another
/// daemon must receive its response, even during an outage of the store.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn retry_after_a_disconnect_receives_the_response() -> TestResult {
    let harness = RelayHarness::start(SIZES, |_| {}).await?;
    harness.environment.store.set_faults(StoreFaults { outage: true, ..StoreFaults::default() });
    harness.set_faults(&UpstreamFaults { service_us: 200_000, ..UpstreamFaults::default() });
    let impatient = Caller::default();
    let first = decision_request("d1", 1);
    let sent = impatient.send(harness.entry(0), &first);
    let _ = tokio::time::timeout(Duration::from_millis(50), sent).await;
    drop(impatient);
    assert_eq!(kind(&harness.send(1, &decision_request("d1", 2)).await), "answer");
    assert_eq!(harness.ran("d1"), 1);
    Ok(())
}

/// Two different requests use the same idempotency key. The second must not receive the response to
/// the first.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idempotency_key_of_another_request_is_a_conflict() -> TestResult {
    let harness = RelayHarness::start(SIZES, |_| {}).await?;
    assert_eq!(kind(&harness.send(0, &decision_request("d1", 1)).await), "answer");
    let other = CallerRequest { body: "buyer=8".to_owned(), ..decision_request("d1", 2) };
    assert_eq!(kind(&harness.send(1, &other).await), "conflict");
    Ok(())
}

/// Upstreams crash in the middle of a short or long response. The caller must see a broken exchange
/// or a typed failure, never a truncated response that looks complete.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn truncated_response_never_looks_complete() -> TestResult {
    let harness = RelayHarness::start(SIZES, |_| {}).await?;
    harness
        .set_faults(&UpstreamFaults { die_mid_answer_percent: 100, ..UpstreamFaults::default() });
    for (nth, path) in ["/limits", "/bytes/1000", "/bytes/300000"].iter().enumerate() {
        let ask = CallerRequest { path: (*path).to_owned(), ..read_request(&format!("r{nth}")) };
        let heard = harness.send(0, &ask).await;
        assert!(matches!(kind(&heard), "broken" | "upstream_failed"), "{path}: {heard:?}");
    }
    harness.set_faults(&UpstreamFaults { no_length: true, ..UpstreamFaults::default() });
    assert_ne!(kind(&harness.send(0, &read_request("r9")).await), "wrong");
    Ok(())
}

/// Long request and response bodies must arrive complete, and the connections must remain usable.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn long_bodies_are_streamed_completely() -> TestResult {
    let harness = RelayHarness::start(SIZES, |_| {}).await?;
    for nth in 0..5 {
        let body = "b".repeat(200_000);
        let path = "/bytes/1000000".to_owned();
        let ask = CallerRequest {
            method: "PUT".to_owned(),
            path,
            body,
            ..read_request(&format!("r{nth}"))
        };
        assert_eq!(kind(&harness.send(0, &ask).await), "answer");
    }
    Ok(())
}

/// Many callers disconnect during a request. Each exchange must be cancelled at the upstream and
/// its connection must not be reused, so that other callers still receive their own responses.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn disconnected_callers_release_their_slots() -> TestResult {
    let harness = RelayHarness::start(SIZES, |_| {}).await?;
    harness.set_faults(&UpstreamFaults { service_us: 500_000, ..UpstreamFaults::default() });
    for nth in 0..30 {
        let impatient = Caller::default();
        let ask = read_request(&format!("h{nth}"));
        let sent = impatient.send(harness.entry(0), &ask);
        let _ = tokio::time::timeout(Duration::from_millis(20), sent).await;
    }
    harness.set_faults(&UpstreamFaults::default());
    for nth in 0..50 {
        let heard = harness.send(0, &read_request(&format!("r{nth}"))).await;
        assert_eq!(kind(&heard), "answer", "{heard:?}");
    }
    wait_until(|| async {
        harness.environment.upstreams.iter().map(|upstream| upstream.audit().cancelled).sum::<u64>()
            > 0
    })
    .await?;
    Ok(())
}

/// An upstream refuses a request because it is leaving. The request must be sent to another
/// upstream immediately, and afterwards neither this daemon nor its peer may send requests to the
/// leaving one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_upstream_receives_no_new_requests_from_any_daemon() -> TestResult {
    let harness = RelayHarness::start(SIZES, |_| {}).await?;
    let leaving = UpstreamFaults { leaving: true, ..UpstreamFaults::default() };
    harness.environment.upstreams[0].set_faults(leaving);
    for nth in 0..40 {
        let heard = harness.send(0, &read_request(&format!("r{nth}"))).await;
        assert_eq!(kind(&heard), "answer", "{heard:?}");
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let refused = harness.environment.upstreams[0].audit().refused;
    assert!(refused >= 1);
    for nth in 0..40 {
        harness.send(nth % 2, &read_request(&format!("s{nth}"))).await;
    }
    assert_eq!(harness.environment.upstreams[0].audit().refused, refused);
    Ok(())
}

/// A daemon is stopped in a planned way while long requests run. All of them must complete.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn planned_stop_completes_the_requests_in_flight() -> TestResult {
    let harness = RelayHarness::start(SIZES, |_| {}).await?;
    harness.set_faults(&UpstreamFaults { service_us: 400_000, ..UpstreamFaults::default() });
    let sent: Vec<_> = (0..4)
        .map(|nth| {
            let (caller, entry) = (Caller::default(), harness.entry(0));
            tokio::spawn(async move { caller.send(entry, &read_request(&format!("r{nth}"))).await })
        })
        .collect();
    wait_until(|| async { harness.environment.ran().len() == sent.len() }).await?;
    harness.shutdown_tokens[0].cancel();
    for request in sent {
        assert_eq!(kind(&request.await?), "answer");
    }
    wait_until(|| async { TcpStream::connect(harness.entry(0)).await.is_err() }).await?;
    Ok(())
}

/// 200 requests arrive at two daemons at once. The connections to one upstream must stay within the
/// budget that all daemons share.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_stay_within_the_shared_budget() -> TestResult {
    let sizes = HarnessSizes { upstreams: 1, slots: 64, ..SIZES };
    let harness = RelayHarness::start(sizes, |settings| settings.upstreams.connections = 6).await?;
    let sent: Vec<_> = (0..200)
        .map(|nth| {
            let (caller, entry) = (harness.caller.clone(), harness.entry(nth % 2));
            tokio::spawn(async move { caller.send(entry, &read_request(&format!("r{nth}"))).await })
        })
        .collect();
    for request in sent {
        assert_eq!(kind(&request.await?), "answer");
    }
    assert!(harness.environment.upstreams[0].audit().most_connections <= 6);
    Ok(())
}

async fn send_raw(entry: SocketAddr, head: &[u8]) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(entry).await?;
    stream.write_all(head).await?;
    let mut response = Vec::new();
    let read_to_end =
        tokio::time::timeout(Duration::from_secs(20), stream.read_to_end(&mut response));
    let _ = read_to_end.await;
    Ok(String::from_utf8_lossy(&response).into_owned())
}

/// Invalid request heads: malformed, oversized, of the wrong HTTP version, incomplete, or for an
/// unknown service. Each must receive a typed response and its connection must be closed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_heads_receive_typed_responses() -> TestResult {
    let harness = RelayHarness::start(SIZES, |settings| settings.entry.head_ms = 300).await?;
    let entry = harness.entry(0);
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
        let response = send_raw(entry, head).await?;
        assert!(response.contains(expected), "expected {expected}, got {response:.200}");
    }
    Ok(())
}

fn upload_request(length: &str) -> String {
    format!(
        "PUT /limits HTTP/1.1\r\nhost: x\r\nx-agatesill-service: {SERVICE}\r\n\
         connection: close\r\ncontent-length: {length}\r\n\r\nbegun"
    )
}

/// Invalid request bodies: one that stalls, and one that exceeds the maximum size. Each must
/// receive a typed response, and neither request may run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_bodies_receive_typed_responses() -> TestResult {
    let harness = RelayHarness::start(SIZES, |settings| settings.entry.body_ms = 300).await?;
    let slow = send_raw(harness.entry(0), upload_request("1000").as_bytes()).await?;
    assert!(slow.contains("caller_timeout") && slow.contains("\"was_run\":\"no\""), "{slow}");
    let large = send_raw(harness.entry(0), upload_request("900000000").as_bytes()).await?;
    assert!(large.contains("too_large"), "{large}");
    assert!(harness.environment.ran().is_empty());
    Ok(())
}

/// Idle connections use up the connection limit. Further connections must be refused immediately,
/// the idle ones must be closed after the head timeout, and callers must then be served again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idle_connections_are_limited_and_closed() -> TestResult {
    let harness = RelayHarness::start(SIZES, |settings| {
        settings.entry.max_connections = 8;
        settings.entry.head_ms = 1_000;
    })
    .await?;
    let mut idle = Vec::new();
    for _ in 0..8 {
        idle.push(TcpStream::connect(harness.entry(0)).await?);
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    let refused = send_raw(harness.entry(0), b"").await?;
    assert!(refused.contains("overloaded"), "{refused}");
    wait_until(|| async { kind(&harness.send(0, &read_request("r1")).await) == "answer" }).await?;
    Ok(())
}

/// Idle connections use up the connection limit and stay. Guards against new callers that are refused for
/// as long as the idle ones are allowed to be idle.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idle_connections_make_way_for_new_callers() -> TestResult {
    let harness = RelayHarness::start(SIZES, |settings| {
        settings.entry.max_connections = 8;
        settings.entry.head_ms = 60_000;
    })
    .await?;
    let mut idle = Vec::new();
    for _ in 0..8 {
        idle.push(TcpStream::connect(harness.entry(0)).await?);
    }
    wait_until(|| async { kind(&harness.send(0, &read_request("r1")).await) == "answer" }).await?;
    Ok(())
}

/// A caller requests a long response and never reads it. After the stall timeout its connection
/// must be closed and its slot at the upstream released.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn caller_that_does_not_read_is_disconnected() -> TestResult {
    let sizes = HarnessSizes { upstreams: 1, slots: 1, ..SIZES };
    let harness = RelayHarness::start(sizes, |settings| settings.entry.stall_ms = 300).await?;
    let mut stream = TcpStream::connect(harness.entry(0)).await?;
    let head = format!(
        "GET /bytes/60000000 HTTP/1.1\r\nhost: x\r\nx-agatesill-service: {SERVICE}\r\n\
         x-agatesill-deadline-ms: 60000\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    wait_until(|| async { harness.environment.upstreams[0].audit().most_at_once > 0 }).await?;
    wait_until(|| async { kind(&harness.send(0, &read_request("r1")).await) == "answer" }).await?;
    Ok(())
}

/// One of two daemons does not run, as after a crash of both. Guards against its slots staying reserved
/// for it, so that callers wait or are refused at an upstream that has free ones.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slots_of_a_crashed_daemon_pass_to_the_live_one() -> TestResult {
    let sizes = HarnessSizes { upstreams: 1, service_us: 300_000, ..SIZES };
    let mut environment = Harness::start(sizes, |_| {}).await?;
    environment.settings.truncate(1);
    let stop = CancellationToken::new();
    start(&environment.settings[0], &stop)?;
    environment.configure().await?;
    let entry = environment.settings[0].entry.addr;
    let all_used = wait_until(|| async {
        let wave = (0..sizes.slots).map(|nth| {
            let caller = Caller::default();
            let ask = read_request(&format!("r{nth}"));
            async move { caller.send(entry, &ask).await }
        });
        futures::future::join_all(wave).await;
        environment.upstreams[0].audit().most_at_once == sizes.slots
    });
    drop(all_used.await);
    stop.cancel();
    assert_eq!(environment.upstreams[0].audit().most_at_once, sizes.slots);
    Ok(())
}
