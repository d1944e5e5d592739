//! Peer protocol between daemons: protobuf messages in length-delimited frames.

use bytes::{Bytes, BytesMut};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::error::{Error, ErrorKind};

/// Version of the peer protocol; a peer with a different major version is rejected.
pub const PROTOCOL_VERSION: u32 = 1;

/// Maximum frame size: a configuration of the store's maximum value size plus its envelope.
pub const MAX_FRAME_BYTES: usize = 2 << 20;

/// Maximum frame size before the handshake, which bounds the memory that an unidentified client can
/// make a daemon allocate.
pub const MAX_HELLO_BYTES: usize = 4 << 10;

/// A frame of the peer protocol.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// Payload; absent if this release does not know the kind of body.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6, 20, 21, 30, 31, 40, 41")]
    pub body: Option<Body>,
}

/// Payload of a [`Frame`].
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Handshake, the first frame on a connection.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// Periodic state of the sender.
    #[prost(message, tag = "2")]
    Heartbeat(Heartbeat),
    /// The sender's active configuration.
    #[prost(message, tag = "3")]
    Config(ConfigPush),
    /// Requests the receiver's active configuration.
    #[prost(message, tag = "4")]
    ConfigWanted(ConfigWanted),
    /// Request that expects a [`PeerAnswer`].
    #[prost(message, tag = "5")]
    Call(PeerCall),
    /// Response to a [`PeerCall`].
    #[prost(message, tag = "6")]
    Answer(PeerAnswer),
    /// Queries the outcome of a non-repeatable request.
    #[prost(message, tag = "20")]
    RecordWanted(crate::record::RecordWanted),
    /// Response to a [`RecordWanted`](crate::record::RecordWanted).
    #[prost(message, tag = "21")]
    RecordKnown(crate::record::RecordKnown),
    /// Reads or changes a job.
    #[prost(message, tag = "30")]
    JobCall(crate::jobs::PeerJobCall),
    /// Response to a job call.
    #[prost(message, tag = "31")]
    JobAnswer(crate::jobs::PeerJobAnswer),
    /// Request to another daemon of the fleet.
    #[prost(message, tag = "40")]
    FleetCall(crate::fleet::FleetCall),
    /// Response to a fleet call.
    #[prost(message, tag = "41")]
    FleetAnswer(crate::fleet::FleetAnswer),
}

/// Handshake, the first frame on a connection.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// Protocol version of the sender.
    #[prost(uint32, tag = "1")]
    pub protocol_version: u32,
    /// Instance name of the sender.
    #[prost(string, tag = "2")]
    pub instance: String,
    /// Availability zone of the sender.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// Whether the connection carries only calls and their responses.
    #[prost(bool, tag = "4")]
    pub for_calls: bool,
}

/// Requests a newer configuration, the only kind of call at present.
#[derive(Clone, PartialEq, Message)]
pub struct PeerCall {
    /// Call ID, unique on its connection.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Time the caller waits for the response.
    #[prost(uint64, tag = "2")]
    pub limit_ms: u64,
    /// Configuration version of the caller.
    #[prost(uint64, tag = "3")]
    pub have_version: u64,
}

/// Response to a [`PeerCall`].
#[derive(Clone, PartialEq, Message)]
pub struct PeerAnswer {
    /// ID of the call.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The active configuration, if it is newer than the caller's.
    #[prost(message, optional, tag = "2")]
    pub config: Option<ConfigPush>,
    /// Reason why the call failed; empty on success.
    #[prost(string, tag = "3")]
    pub failure: String,
}

/// State that a daemon sends to its peers at the heartbeat interval.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    /// Sequence number, incremented by one with every heartbeat of a process.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Version of the sender's active configuration.
    #[prost(uint64, tag = "2")]
    pub config_version: u64,
    /// In-flight requests of the sender, per upstream.
    #[prost(message, repeated, tag = "3")]
    pub loads: Vec<UpstreamLoad>,
    /// Upstreams that the sender has observed leaving.
    #[prost(uint32, repeated, tag = "4")]
    pub leaving: Vec<u32>,
    /// Whether the sender is shutting down.
    #[prost(bool, tag = "5")]
    pub stopping: bool,
    /// Digest of the sender's active configuration; equal versions have equal digests.
    #[prost(uint64, tag = "6")]
    pub config_digest: u64,
    /// Peers whose heartbeats the sender receives.
    #[prost(string, repeated, tag = "7")]
    pub heard: Vec<String>,
    /// Cells that the sender owns.
    #[prost(string, repeated, tag = "30")]
    pub cells: Vec<String>,
}

/// The sender's in-flight requests at one upstream.
#[derive(Clone, PartialEq, Message)]
pub struct UpstreamLoad {
    /// Number of the upstream.
    #[prost(uint32, tag = "1")]
    pub upstream: u32,
    /// Number of in-flight requests.
    #[prost(uint32, tag = "2")]
    pub in_flight: u32,
}

/// The sender's active configuration.
#[derive(Clone, PartialEq, Message)]
pub struct ConfigPush {
    /// Version of the configuration.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// [`VersionedConfig`](crate::api::VersionedConfig) encoded as JSON.
    #[prost(string, tag = "2")]
    pub json: String,
}

/// Requests the receiver's active configuration.
#[derive(Clone, PartialEq, Message)]
pub struct ConfigWanted {
    /// Configuration version of the sender.
    #[prost(uint64, tag = "1")]
    pub have_version: u64,
}

/// Encodes and decodes [`Frame`]s on a byte stream.
#[derive(Debug)]
pub struct FrameCodec {
    frames: LengthDelimitedCodec,
}

impl Default for FrameCodec {
    fn default() -> Self {
        let frames = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
        Self { frames }
    }
}

impl FrameCodec {
    /// Returns a codec that rejects frames larger than [`MAX_HELLO_BYTES`] until
    /// [`FrameCodec::allow_full_frames`] is called.
    pub fn for_handshake() -> Self {
        let frames = LengthDelimitedCodec::builder().max_frame_length(MAX_HELLO_BYTES).new_codec();
        Self { frames }
    }

    /// Raises the frame size limit to [`MAX_FRAME_BYTES`] after a successful handshake.
    pub fn allow_full_frames(&mut self) {
        self.frames.set_max_frame_length(MAX_FRAME_BYTES);
    }
}

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = Error;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Frame>, Error> {
        let Some(bytes) = self.frames.decode(src)? else { return Ok(None) };
        let frame = Frame::decode(bytes)
            .map_err(|error| Error::new(ErrorKind::Protocol, format!("peer frame: {error}")))?;
        Ok(Some(frame))
    }
}

impl Encoder<Frame> for FrameCodec {
    type Error = Error;

    fn encode(&mut self, frame: Frame, dst: &mut BytesMut) -> Result<(), Error> {
        self.frames.encode(Bytes::from(frame.encode_to_vec()), dst)?;
        Ok(())
    }
}

impl From<std::io::Error> for Error {
    fn from(error: std::io::Error) -> Self {
        Error::new(ErrorKind::Protocol, format!("peer connection: {error}"))
    }
}
