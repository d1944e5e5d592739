//! Peer messages about the outcome of non-repeatable requests.

use bytes::Bytes;
use prost::{Enumeration, Message};

/// Queries the outcome of a non-repeatable request and claims permission to run it if it has not
/// run.
#[derive(Clone, PartialEq, Message)]
pub struct RecordWanted {
    /// Service, caller and idempotency key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Hash of method, path and body.
    #[prost(fixed64, tag = "2")]
    pub fingerprint: u64,
}

/// Record that the queried daemon holds for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum RecordState {
    /// The daemon has no record of the request.
    NoRecord = 0,
    /// The request is queued or running.
    Running = 1,
    /// The request ran; the response is included.
    Answered = 2,
    /// The request ran, but its response was too large to keep.
    Ran = 3,
    /// The request may have run.
    Unknown = 4,
    /// Permission to run was already granted to another attempt.
    HandedOver = 5,
    /// The request did not run; the querying daemon now has permission to run it.
    Granted = 6,
    /// The idempotency key was used for a different request.
    Mismatch = 7,
}

/// Response to a [`RecordWanted`], with the response to the request if it was kept.
#[derive(Clone, PartialEq, Message)]
pub struct RecordKnown {
    /// State of the request.
    #[prost(enumeration = "RecordState", tag = "1")]
    pub state: i32,
    /// HTTP status of the kept response.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// Headers of the kept response.
    #[prost(message, repeated, tag = "3")]
    pub headers: Vec<RecordHeader>,
    /// Body of the kept response.
    #[prost(bytes = "bytes", tag = "4")]
    pub body: Bytes,
}

/// A header of a kept response.
#[derive(Clone, PartialEq, Message)]
pub struct RecordHeader {
    /// Header name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Header value.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: Bytes,
}
