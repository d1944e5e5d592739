//! Messages between daemons: prost bodies in length-delimited frames.

use bytes::{Bytes, BytesMut};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::error::{Error, ErrorKind};

/// Version of the peer protocol; a peer with another major version is refused.
pub const PROTOCOL_VERSION: u32 = 1;

/// Largest frame: a configuration of the store's value limit and its envelope.
pub const MAX_FRAME_BYTES: usize = 2 << 20;

/// Largest frame before the handshake: a stranger may not make a daemon allocate more.
pub const MAX_HELLO_BYTES: usize = 4 << 10;

/// One frame from one daemon to another.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// What it carries.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6, 20, 21, 30, 31, 40, 41")]
    pub body: Option<Body>,
}

/// What a frame carries.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// First frame on a connection.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// Sent at the heartbeat interval.
    #[prost(message, tag = "2")]
    Heartbeat(Heartbeat),
    /// A configuration that the sender has in force.
    #[prost(message, tag = "3")]
    Config(ConfigPush),
    /// Asks for the configuration in force.
    #[prost(message, tag = "4")]
    ConfigWanted(ConfigWanted),
    /// A call that expects an answer.
    #[prost(message, tag = "5")]
    Call(PeerCall),
    /// The answer to a call.
    #[prost(message, tag = "6")]
    Answer(PeerAnswer),
    /// Asks what became of a non-repeatable request.
    #[prost(message, tag = "20")]
    RecordWanted(crate::record::RecordWanted),
    /// Says so.
    #[prost(message, tag = "21")]
    RecordKnown(crate::record::RecordKnown),
    /// Asks about or changes a job.
    #[prost(message, tag = "30")]
    JobCall(crate::jobs::PeerJobCall),
    /// Answers that.
    #[prost(message, tag = "31")]
    JobAnswer(crate::jobs::PeerJobAnswer),
    /// Asks another daemon of the fleet.
    #[prost(message, tag = "40")]
    FleetCall(crate::fleet::FleetCall),
    /// Answers that.
    #[prost(message, tag = "41")]
    FleetAnswer(crate::fleet::FleetAnswer),
}

/// First frame on a connection.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// Version of the sender's protocol.
    #[prost(uint32, tag = "1")]
    pub protocol_version: u32,
    /// Sender.
    #[prost(string, tag = "2")]
    pub instance: String,
    /// Sender's availability zone.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// Whether the connection carries calls and answers only.
    #[prost(bool, tag = "4")]
    pub for_calls: bool,
}

/// A call that expects an answer; so far there is one kind, for a newer configuration.
#[derive(Clone, PartialEq, Message)]
pub struct PeerCall {
    /// Identity of the call on its connection.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// How long the caller waits.
    #[prost(uint64, tag = "2")]
    pub limit_ms: u64,
    /// Version that the caller has.
    #[prost(uint64, tag = "3")]
    pub have_version: u64,
}

/// The answer to a call.
#[derive(Clone, PartialEq, Message)]
pub struct PeerAnswer {
    /// Identity of the call.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The configuration in force, if it is newer.
    #[prost(message, optional, tag = "2")]
    pub config: Option<ConfigPush>,
    /// Why the call was not answered; empty otherwise.
    #[prost(string, tag = "3")]
    pub failure: String,
}

/// Sent at the heartbeat interval.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    /// Rises by one with every heartbeat of a process.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Version of the configuration in force at the sender.
    #[prost(uint64, tag = "2")]
    pub config_version: u64,
    /// Requests of the sender in flight.
    #[prost(message, repeated, tag = "3")]
    pub loads: Vec<UpstreamLoad>,
    /// Upstreams that the sender saw leaving.
    #[prost(uint32, repeated, tag = "4")]
    pub leaving: Vec<u32>,
    /// Whether the sender is stopping.
    #[prost(bool, tag = "5")]
    pub stopping: bool,
    /// Digest of the document in force at the sender; equal versions have equal digests.
    #[prost(uint64, tag = "6")]
    pub config_digest: u64,
    /// Peers that the sender hears.
    #[prost(string, repeated, tag = "7")]
    pub heard: Vec<String>,
    /// Cells that the sender owns.
    #[prost(string, repeated, tag = "30")]
    pub cells: Vec<String>,
}

/// The sender's requests in flight at one upstream.
#[derive(Clone, PartialEq, Message)]
pub struct UpstreamLoad {
    /// The upstream.
    #[prost(uint32, tag = "1")]
    pub upstream: u32,
    /// Requests in flight.
    #[prost(uint32, tag = "2")]
    pub in_flight: u32,
}

/// A configuration that the sender has in force.
#[derive(Clone, PartialEq, Message)]
pub struct ConfigPush {
    /// Its version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The versioned configuration as JSON.
    #[prost(string, tag = "2")]
    pub json: String,
}

/// Asks for the configuration in force.
#[derive(Clone, PartialEq, Message)]
pub struct ConfigWanted {
    /// Version that the asker has.
    #[prost(uint64, tag = "1")]
    pub have_version: u64,
}

/// Frames on a byte stream.
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
    /// A codec that takes frames up to [`MAX_HELLO_BYTES`] until [`FrameCodec::allow_full_frames`].
    pub fn for_handshake() -> Self {
        let frames = LengthDelimitedCodec::builder().max_frame_length(MAX_HELLO_BYTES).new_codec();
        Self { frames }
    }

    /// Takes frames up to [`MAX_FRAME_BYTES`] from now on.
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
