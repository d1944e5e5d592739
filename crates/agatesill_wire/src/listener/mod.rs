//! The listener of every edge: accepts connections within a share of the process's memory and
//! descriptors, limits each of them, and closes those that are behind when room is short.
//!
//! The decisions are those of [`agatesill_policy::connections`].

mod body;
mod edge;
mod server;
mod stream;

pub use body::{BodyError, collect, collect_body};
pub use edge::{ConnectionHandle, Edge, EdgeLimits, MAX_HEAD_BYTES};
pub use server::{Shutdown, accept, limit_receive_buffer, no_response, serve};
pub use stream::EdgeStream;
