//! Closed list of error kinds, and the table that maps each kind to its HTTP response, log level
//! and exit code.

use agatesill_policy::value_type;
use log::Level;
use snafu::Snafu;

value_type! {
    /// Kinds of errors reported to callers, operators and peers.
    pub enum ErrorKind {
        /// The request or document is malformed.
        BadRequest,
        /// The caller is not permitted to perform the action.
        Forbidden,
        /// No object of that name exists.
        NotFound,
        /// The object was changed concurrently.
        Conflict,
        /// The object is in use and cannot be removed.
        InUse,
        /// The workers of this cluster can never satisfy the request.
        Impossible,
        /// A request head, body or frame exceeds the size limit.
        TooLarge,
        /// The caller did not send its request in time.
        CallerTimeout,
        /// The queue is full.
        Overloaded,
        /// The request cannot finish before its deadline.
        TooLate,
        /// No upstream is eligible to receive the request.
        NoUpstream,
        /// The process is shutting down.
        Stopping,
        /// An internal ring buffer is full.
        RingFull,
        /// The platform's store does not respond.
        StoreUnavailable,
        /// The connection failed after part of the request may have been sent.
        OutcomeUnknown,
        /// The upstream did not respond in time; the request may be repeated.
        UpstreamTimeout,
        /// The upstream failed; the request may be repeated.
        UpstreamFailed,
        /// A peer or the platform sent an invalid message.
        Protocol,
        /// The settings are invalid.
        Settings,
        /// The process cannot be reached.
        Unreachable,
        /// The request already ran, and its response is no longer available.
        AlreadyRun,
    }
}

value_type! {
    /// Whether the request ran, as far as the responding process can tell.
    pub enum WasRun {
        /// The request did not run; no byte of it was sent on.
        No,
        /// The request may have run.
        Unknown,
        /// The request ran.
        Yes,
    }
}

/// Properties of an [`ErrorKind`].
#[derive(Clone, Copy, Debug)]
pub struct ErrorRow {
    /// The error kind.
    pub kind: ErrorKind,
    /// Name in response bodies, logs and metric labels.
    pub name: &'static str,
    /// HTTP status.
    pub status: u16,
    /// Whether the request ran, as stated in the response body.
    pub was_run: WasRun,
    /// Level at which the error is logged.
    pub level: Level,
    /// Exit code of the command-line tool.
    pub exit_code: u8,
}

const fn row(
    kind: ErrorKind,
    name: &'static str,
    status: u16,
    was_run: WasRun,
    level: Level,
    exit_code: u8,
) -> ErrorRow {
    ErrorRow { kind, name, status, was_run, level, exit_code }
}

/// Properties of all error kinds, indexed by discriminant of [`ErrorKind`].
pub const ERROR_TABLE: [ErrorRow; 21] = [
    row(ErrorKind::BadRequest, "bad_request", 400, WasRun::No, Level::Info, 2),
    row(ErrorKind::Forbidden, "forbidden", 403, WasRun::No, Level::Warn, 1),
    row(ErrorKind::NotFound, "not_found", 404, WasRun::No, Level::Info, 1),
    row(ErrorKind::Conflict, "conflict", 409, WasRun::No, Level::Info, 1),
    row(ErrorKind::InUse, "in_use", 409, WasRun::No, Level::Info, 1),
    row(ErrorKind::Impossible, "impossible", 422, WasRun::No, Level::Info, 1),
    row(ErrorKind::TooLarge, "too_large", 413, WasRun::No, Level::Info, 1),
    row(ErrorKind::CallerTimeout, "caller_timeout", 408, WasRun::No, Level::Info, 1),
    row(ErrorKind::Overloaded, "overloaded", 429, WasRun::No, Level::Warn, 1),
    row(ErrorKind::TooLate, "too_late", 503, WasRun::No, Level::Warn, 1),
    row(ErrorKind::NoUpstream, "no_upstream", 503, WasRun::No, Level::Warn, 1),
    row(ErrorKind::Stopping, "stopping", 503, WasRun::No, Level::Info, 1),
    row(ErrorKind::RingFull, "ring_full", 503, WasRun::No, Level::Warn, 1),
    row(ErrorKind::StoreUnavailable, "store_unavailable", 503, WasRun::No, Level::Warn, 1),
    row(ErrorKind::OutcomeUnknown, "outcome_unknown", 502, WasRun::Unknown, Level::Warn, 1),
    row(ErrorKind::UpstreamTimeout, "upstream_timeout", 504, WasRun::Unknown, Level::Warn, 1),
    row(ErrorKind::UpstreamFailed, "upstream_failed", 502, WasRun::Unknown, Level::Warn, 1),
    row(ErrorKind::Protocol, "protocol", 500, WasRun::Unknown, Level::Error, 1),
    row(ErrorKind::Settings, "settings", 500, WasRun::No, Level::Error, 2),
    row(ErrorKind::Unreachable, "unreachable", 503, WasRun::Unknown, Level::Error, 1),
    row(ErrorKind::AlreadyRun, "already_run", 409, WasRun::Yes, Level::Info, 1),
];

impl ErrorKind {
    /// Returns the properties of this kind.
    pub fn row(self) -> &'static ErrorRow {
        &ERROR_TABLE[self as usize]
    }

    /// Returns the kind with this name, if there is one.
    pub fn from_name(name: &str) -> Option<ErrorKind> {
        ERROR_TABLE.iter().find(|row| row.name == name).map(|row| row.kind)
    }
}

/// An error of a known kind with details of the specific case.
#[derive(Clone, Debug, Snafu, PartialEq)]
#[snafu(display("{}: {detail}", kind.row().name))]
pub struct Error {
    /// The error kind.
    pub kind: ErrorKind,
    /// Description of the cause, including names and limits.
    pub detail: String,
    /// Delay before a retry; 0 means that a retry is pointless.
    pub retry_after_ms: u32,
}

impl Error {
    /// Creates an error for which a retry is pointless.
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self { kind, detail: detail.into(), retry_after_ms: 0 }
    }

    /// Sets the delay before a retry.
    pub fn retry_after(mut self, retry_after_ms: u32) -> Self {
        self.retry_after_ms = retry_after_ms;
        self
    }
}
