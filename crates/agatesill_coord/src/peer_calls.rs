//! Calls between daemons that expect an answer: tarpc over the peers' own frames.
//!
//! tarpc matches answers to calls and keeps deadlines; the bytes are the frames of
//! [`agatesill_wire::peer`], so that limits, handshake and tolerance of unknown fields are those of
//! every other peer connection. A connection says in its handshake that it carries calls.

use std::future::ready;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use agatesill_wire::peer::{Body, ConfigPush, Frame, FrameCodec, Hello, PeerAnswer, PeerCall};
use agatesill_wire::prelude::*;
use futures::{SinkExt, StreamExt};
use tarpc::server::{BaseChannel, Channel};
use tarpc::{ClientMessage, Request, Response, ServerError, Transport, context};
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

/// Longest time that a call may ask to be kept for.
const MOST_LIMIT_MS: u64 = 10_000;

/// A peer connection.
pub type PeerConnection = Framed<TcpStream, FrameCodec>;

/// What daemons ask one another.
#[tarpc::service]
pub trait PeerCalls {
    /// The configuration in force, if it is newer than `have_version`.
    async fn config(have_version: u64) -> Option<ConfigPush>;
}

#[derive(Clone)]
struct Answers {
    newer: Arc<dyn Fn(u64) -> Option<ConfigPush> + Send + Sync>,
}

impl PeerCalls for Answers {
    async fn config(self, _context: context::Context, have_version: u64) -> Option<ConfigPush> {
        (self.newer)(have_version)
    }
}

/// Answers the calls on `link`, whose handshake is done, until the peer closes it. `newer` returns
/// the configuration in force if its version is above the one given.
pub async fn serve_peer_calls(
    link: PeerConnection,
    newer: impl Fn(u64) -> Option<ConfigPush> + Send + Sync + 'static,
) {
    let answers = Answers { newer: Arc::new(newer) };
    let calls = BaseChannel::with_defaults(server_end(link)).execute(answers.serve());
    calls.for_each(|answering| answering).await;
}

/// Asks the peer at `addr` for a configuration newer than `have_version`.
pub async fn fetch_config(
    addr: SocketAddr,
    hello: Hello,
    have_version: u64,
    limit: Duration,
) -> Result<Option<ConfigPush>, Error> {
    let call = async {
        let stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        let mut link = Framed::new(stream, FrameCodec::default());
        link.send(frame(Body::Hello(Hello { for_calls: true, ..hello }))).await?;
        let client = PeerCallsClient::new(tarpc::client::Config::default(), client_end(link));
        let mut context = context::current();
        context.deadline = Instant::now() + limit;
        let answer = client.spawn().config(context, have_version).await;
        answer.map_err(|error| Error::new(ErrorKind::Unreachable, error.to_string()))
    };
    let late = |_| Error::new(ErrorKind::Unreachable, format!("{addr}: no answer in time"));
    tokio::time::timeout(limit, call).await.map_err(late)?
}

fn client_end(
    link: PeerConnection,
) -> impl Transport<ClientMessage<PeerCallsRequest>, Response<PeerCallsResponse>> {
    link.filter_map(|received| ready(received.map(answer_of).transpose())).with(
        |message: ClientMessage<PeerCallsRequest>| {
            ready(Ok::<_, Error>(Frame { body: call_body(message) }))
        },
    )
}

fn server_end(
    link: PeerConnection,
) -> impl Transport<Response<PeerCallsResponse>, ClientMessage<PeerCallsRequest>> {
    link.filter_map(|received| ready(received.map(call_of).transpose())).with(
        |response: Response<PeerCallsResponse>| ready(Ok::<_, Error>(frame(answer_body(response)))),
    )
}

/// A cancelled call has no frame of its own: its answer comes and is thrown away.
fn call_body(message: ClientMessage<PeerCallsRequest>) -> Option<Body> {
    let ClientMessage::Request(Request { context, id, message }) = message else { return None };
    let left = context.deadline.saturating_duration_since(Instant::now());
    let PeerCallsRequest::Config { have_version } = message;
    Some(Body::Call(PeerCall { id, limit_ms: left.as_millis() as u64, have_version }))
}

fn call_of(frame: Frame) -> Option<ClientMessage<PeerCallsRequest>> {
    let Some(Body::Call(call)) = frame.body else { return None };
    let mut context = context::current();
    // A peer's clock plays no part: what is sent is how long it waits.
    let limit = Duration::from_millis(call.limit_ms.min(MOST_LIMIT_MS));
    context.deadline = Instant::now() + limit;
    let message = PeerCallsRequest::Config { have_version: call.have_version };
    Some(ClientMessage::Request(Request { context, id: call.id, message }))
}

fn answer_body(response: Response<PeerCallsResponse>) -> Body {
    let (config, failure) = match response.message {
        Ok(PeerCallsResponse::Config(config)) => (config, String::new()),
        Err(error) => (None, error.to_string()),
    };
    Body::Answer(PeerAnswer { id: response.request_id, config, failure })
}

fn answer_of(frame: Frame) -> Option<Response<PeerCallsResponse>> {
    let Some(Body::Answer(answer)) = frame.body else { return None };
    let message = if answer.failure.is_empty() {
        Ok(PeerCallsResponse::Config(answer.config))
    } else {
        Err(ServerError::new(std::io::ErrorKind::Other, answer.failure))
    };
    Some(Response { request_id: answer.id, message })
}

fn frame(body: Body) -> Frame {
    Frame { body: Some(body) }
}
