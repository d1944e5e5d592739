//! Passing a long answer on to the caller, piece by piece.

use agatesill_policy::prelude::*;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

use super::body::Piece;
use super::record::MAX_ANSWER_BYTES;
use super::upstream::Connection;

/// What a pump passes on.
#[derive(Debug)]
pub struct Pump {
    /// The rest of the answer.
    pub body: Incoming,
    /// The connection that it comes over.
    pub connection: Connection,
    /// Whether the connection may be kept.
    pub may_keep: bool,
    /// When to stop.
    pub deadline: Instant,
    /// Whether to go on when the caller is gone, and keep a copy.
    pub must_finish: bool,
}

/// Passes the answer on; returns how the exchange ended, and the copy if one was asked for and it
/// was short enough.
///
/// Pieces in flight are bounded by the channel: a slow caller slows the reading of its upstream.
pub async fn pump(pump: Pump, pieces: mpsc::Sender<Piece>) -> (Outcome, Option<Bytes>) {
    let Pump { mut body, connection, may_keep, deadline, must_finish } = pump;
    let mut copy = must_finish.then(BytesMut::new);
    let mut is_heard = true;
    loop {
        let frame = tokio::select! {
            frame = timeout_at(deadline, body.frame()) => frame,
            () = pieces.closed(), if !must_finish => return (Outcome::Abandoned, None),
        };
        let data = match frame {
            Err(_) => return (Outcome::Abandoned, None),
            Ok(Some(Err(_))) => return (Outcome::Broken, None),
            Ok(None) => break,
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
        };
        if copy.as_ref().is_some_and(|copy| copy.len() + data.len() > MAX_ANSWER_BYTES) {
            copy = None;
        }
        if let Some(copy) = &mut copy {
            copy.extend_from_slice(&data);
        }
        if is_heard {
            is_heard =
                matches!(timeout_at(deadline, pieces.send(Piece::Data(data))).await, Ok(Ok(())));
        }
        if !is_heard && !must_finish {
            return (Outcome::Abandoned, None);
        }
    }
    if may_keep {
        connection.keep();
    }
    if is_heard {
        let _ = timeout_at(deadline, pieces.send(Piece::End)).await;
    }
    (Outcome::Answered, copy.map(BytesMut::freeze))
}
