//! Request-response calls between daemons: tarpc over the frames of the peer protocol.
//!
//! tarpc matches responses to requests and enforces deadlines. The encoding is that of
//! [`agatesill_wire::peer`], so that size limits, handshake and tolerance of unknown fields are the
//! same as on every other peer connection. A connection declares in its handshake that it carries
//! calls.

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

/// Maximum deadline that the server accepts from a caller.
const MAX_CALL_TIMEOUT_MS: u64 = 10_000;

/// A TCP connection to a peer that carries frames.
pub type PeerConnection = Framed<TcpStream, FrameCodec>;

/// Calls that a daemon serves to its peers.
#[tarpc::service]
pub trait PeerCalls {
    /// The active configuration, if it is newer than `have_version`.
    async fn config(have_version: u64) -> Option<ConfigPush>;
}

#[derive(Clone)]
struct PeerCallsServer {
    newer_config: Arc<dyn Fn(u64) -> Option<ConfigPush> + Send + Sync>,
}

impl PeerCalls for PeerCallsServer {
    async fn config(self, _context: context::Context, have_version: u64) -> Option<ConfigPush> {
        (self.newer_config)(have_version)
    }
}

/// Serves the calls on `connection`, whose handshake is complete, until the peer closes it.
/// `newer_config` returns the active configuration if its version is above the given one.
pub async fn serve_peer_calls(
    connection: PeerConnection,
    newer_config: impl Fn(u64) -> Option<ConfigPush> + Send + Sync + 'static,
) {
    let server = PeerCallsServer { newer_config: Arc::new(newer_config) };
    let calls = BaseChannel::with_defaults(server_transport(connection)).execute(server.serve());
    calls.for_each(|handler| handler).await;
}

/// Asks the peer at `addr` for a configuration newer than `have_version`.
pub async fn fetch_config(
    addr: SocketAddr,
    hello: Hello,
    have_version: u64,
    timeout: Duration,
) -> Result<Option<ConfigPush>, Error> {
    let call = async {
        let stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        let mut connection = Framed::new(stream, FrameCodec::default());
        connection.send(frame(Body::Hello(Hello { for_calls: true, ..hello }))).await?;
        let client =
            PeerCallsClient::new(tarpc::client::Config::default(), client_transport(connection));
        let mut context = context::current();
        context.deadline = Instant::now() + timeout;
        let response = client.spawn().config(context, have_version).await;
        response.map_err(|error| Error::new(ErrorKind::Unreachable, error.to_string()))
    };
    let late = |_| Error::new(ErrorKind::Unreachable, format!("{addr}: the call timed out"));
    tokio::time::timeout(timeout, call).await.map_err(late)?
}

fn client_transport(
    connection: PeerConnection,
) -> impl Transport<ClientMessage<PeerCallsRequest>, Response<PeerCallsResponse>> {
    connection.filter_map(|received| ready(received.map(decode_response).transpose())).with(
        |message: ClientMessage<PeerCallsRequest>| {
            ready(Ok::<_, Error>(Frame { body: encode_request(message) }))
        },
    )
}

fn server_transport(
    connection: PeerConnection,
) -> impl Transport<Response<PeerCallsResponse>, ClientMessage<PeerCallsRequest>> {
    connection.filter_map(|received| ready(received.map(decode_request).transpose())).with(
        |response: Response<PeerCallsResponse>| {
            ready(Ok::<_, Error>(frame(encode_response(response))))
        },
    )
}

/// A cancellation has no frame: the response still arrives and is discarded.
fn encode_request(message: ClientMessage<PeerCallsRequest>) -> Option<Body> {
    let ClientMessage::Request(Request { context, id, message }) = message else { return None };
    let remaining = context.deadline.saturating_duration_since(Instant::now());
    let PeerCallsRequest::Config { have_version } = message;
    Some(Body::Call(PeerCall { id, limit_ms: remaining.as_millis() as u64, have_version }))
}

fn decode_request(frame: Frame) -> Option<ClientMessage<PeerCallsRequest>> {
    let Some(Body::Call(call)) = frame.body else { return None };
    let mut context = context::current();
    // The caller sends the remaining time instead of a deadline, so that its clock does not matter.
    let timeout = Duration::from_millis(call.limit_ms.min(MAX_CALL_TIMEOUT_MS));
    context.deadline = Instant::now() + timeout;
    let message = PeerCallsRequest::Config { have_version: call.have_version };
    Some(ClientMessage::Request(Request { context, id: call.id, message }))
}

fn encode_response(response: Response<PeerCallsResponse>) -> Body {
    let (config, failure) = match response.message {
        Ok(PeerCallsResponse::Config(config)) => (config, String::new()),
        Err(error) => (None, error.to_string()),
    };
    Body::Answer(PeerAnswer { id: response.request_id, config, failure })
}

fn decode_response(frame: Frame) -> Option<Response<PeerCallsResponse>> {
    let Some(Body::Answer(response)) = frame.body else { return None };
    let message = if response.failure.is_empty() {
        Ok(PeerCallsResponse::Config(response.config))
    } else {
        Err(ServerError::new(std::io::ErrorKind::Other, response.failure))
    };
    Some(Response { request_id: response.id, message })
}

fn frame(body: Body) -> Frame {
    Frame { body: Some(body) }
}
