//! Messages, error kinds and codecs shared by all Agatesill processes.

pub mod api;
pub mod channel;
pub mod error;
pub mod fleet;
pub mod http;
pub mod jobs;
pub mod line_limit;
pub mod listener;
pub mod peer;
pub mod platform;
pub mod record;

/// Commonly used types of this crate.
pub mod prelude {
    pub use crate::api::{ErrorBody, JobStatus, StatusReport};
    pub use crate::error::{Error, ErrorKind, WasRun};
}
