//! Messages between daemons about non-repeatable requests.

use bytes::Bytes;
use prost::{Enumeration, Message};

/// Asks what became of a non-repeatable request, and for the permission to run it if it did not.
#[derive(Clone, PartialEq, Message)]
pub struct RecordWanted {
    /// Service, caller and idempotency key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Hash of method, path and body.
    #[prost(fixed64, tag = "2")]
    pub fingerprint: u64,
}

/// What the asked daemon knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum RecordState {
    /// Nothing.
    NoRecord = 0,
    /// The request waits or runs.
    Running = 1,
    /// It ran; the answer comes along.
    Answered = 2,
    /// It ran; the answer was too large to keep.
    Ran = 3,
    /// It may have run.
    Unknown = 4,
    /// Another attempt has the permission.
    HandedOver = 5,
    /// It did not run; the asker now has the permission.
    Granted = 6,
    /// The key was used for another request.
    Mismatch = 7,
}

/// What the asked daemon knows, with the answer where it is kept.
#[derive(Clone, PartialEq, Message)]
pub struct RecordKnown {
    /// The state.
    #[prost(enumeration = "RecordState", tag = "1")]
    pub state: i32,
    /// HTTP status of the answer.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// Headers of the answer.
    #[prost(message, repeated, tag = "3")]
    pub headers: Vec<RecordHeader>,
    /// Body of the answer.
    #[prost(bytes = "bytes", tag = "4")]
    pub body: Bytes,
}

/// One header of a kept answer.
#[derive(Clone, PartialEq, Message)]
pub struct RecordHeader {
    /// Name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Value.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: Bytes,
}
