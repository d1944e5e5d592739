//! Messages, error kinds and codecs shared by all processes.

pub mod api;
pub mod error;
pub mod fleet;
pub mod http;
pub mod jobs;
pub mod peer;
pub mod platform;
pub mod record;

/// The types that most users of this crate need.
pub mod prelude {
    pub use crate::api::{ErrorBody, JobStatus, StatusReport};
    pub use crate::error::{Error, ErrorKind, WasRun};
}
