//! Pool of persistent connections to upstreams, limited by a budget that all daemons share.

use std::collections::HashMap;
use std::fmt::Display;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agatesill_wire::prelude::*;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use super::body::UpstreamBody;

/// Retry-After if an upstream could not be reached.
const CONNECT_RETRY_AFTER_MS: u32 = 100;

/// The connections to all upstreams; clones share one state.
#[derive(Clone, Debug)]
pub struct ConnectionPool {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    state: Mutex<State>,
    connect_timeout: Duration,
    max_per_upstream: usize,
}

#[derive(Debug)]
struct State {
    upstreams: HashMap<SocketAddr, Upstream>,
    budget: usize,
}

#[derive(Debug, Default)]
struct Upstream {
    idle: Vec<SendRequest<UpstreamBody>>,
    open: usize,
    freed: Arc<Notify>,
}

/// A connection checked out of the pool. It is closed if dropped without
/// [`Connection::return_to_pool`].
///
/// Only a complete exchange returns its connection. After an exchange that was interrupted,
/// cancelled or timed out, the rest of its response may still arrive, and would otherwise be
/// delivered to another caller.
#[derive(Debug)]
pub struct Connection {
    addr: SocketAddr,
    sender: Option<SendRequest<UpstreamBody>>,
    pool: Arc<Inner>,
    is_returned: bool,
    /// Whether the connection has carried an exchange before.
    pub is_reused: bool,
}

impl ConnectionPool {
    /// Creates a pool. All live daemons share `max_per_upstream` connections to each upstream.
    pub fn new(max_per_upstream: usize, connect_timeout: Duration) -> Self {
        let state = State { upstreams: HashMap::new(), budget: max_per_upstream.max(1) };
        let inner = Inner { state: Mutex::new(state), connect_timeout, max_per_upstream };
        Self { inner: Arc::new(inner) }
    }

    /// Divides the budget among `live_daemons`, including this one. Idle connections beyond the
    /// share are closed immediately, busy ones when their exchange ends.
    pub fn share_among(&self, live_daemons: usize) {
        let mut state = self.inner.lock();
        let budget = (self.inner.max_per_upstream / live_daemons.max(1)).max(1);
        if budget == state.budget {
            return;
        }
        state.budget = budget;
        for upstream in state.upstreams.values_mut() {
            let excess = upstream.open.saturating_sub(budget).min(upstream.idle.len());
            upstream.idle.truncate(upstream.idle.len() - excess);
            upstream.open -= excess;
            upstream.freed.notify_waiters();
        }
    }

    /// Number of open connections to all upstreams.
    pub fn open(&self) -> usize {
        self.inner.lock().upstreams.values().map(|upstream| upstream.open).sum()
    }

    /// Checks out an idle connection or opens a new one. Waits for another exchange to release its
    /// connection while the budget is used up.
    ///
    /// An error means that no byte of the request was sent.
    pub async fn acquire(&self, addr: SocketAddr) -> Result<Connection, Error> {
        loop {
            let freed = {
                let mut state = self.inner.lock();
                let budget = state.budget;
                let upstream = state.upstreams.entry(addr).or_default();
                while let Some(sender) = upstream.idle.pop() {
                    if !sender.is_closed() {
                        return Ok(self.checkout(addr, Some(sender)));
                    }
                    upstream.open -= 1;
                }
                if upstream.open < budget {
                    upstream.open += 1;
                    None
                } else {
                    Some(upstream.freed.clone().notified_owned())
                }
            };
            match freed {
                None => break,
                Some(freed) => freed.await,
            }
        }
        let mut connection = self.checkout(addr, None);
        connection.sender = Some(self.connect(addr).await?);
        Ok(connection)
    }

    fn checkout(&self, addr: SocketAddr, sender: Option<SendRequest<UpstreamBody>>) -> Connection {
        let is_reused = sender.is_some();
        Connection { addr, sender, pool: self.inner.clone(), is_returned: false, is_reused }
    }

    async fn connect(&self, addr: SocketAddr) -> Result<SendRequest<UpstreamBody>, Error> {
        let refused = |message: &dyn Display| {
            Error::new(ErrorKind::NoUpstream, format!("{addr}: {message}"))
                .retry_after(CONNECT_RETRY_AFTER_MS)
        };
        let stream = tokio::time::timeout(self.inner.connect_timeout, TcpStream::connect(addr))
            .await
            .map_err(|_| refused(&"connect timed out"))?
            .map_err(|error| refused(&error))?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) =
            handshake(TokioIo::new(stream)).await.map_err(|error| refused(&error))?;
        tokio::spawn(connection);
        Ok(sender)
    }
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Connection {
    /// The sender of requests; `None` only while the connection is not yet established.
    pub fn sender(&mut self) -> Option<&mut SendRequest<UpstreamBody>> {
        self.sender.as_mut()
    }

    /// Returns the connection to the pool after a complete exchange.
    pub fn return_to_pool(mut self) {
        let Some(sender) = self.sender.take() else { return };
        let mut state = self.pool.lock();
        let budget = state.budget;
        let Some(upstream) = state.upstreams.get_mut(&self.addr) else { return };
        if upstream.open <= budget && !sender.is_closed() {
            upstream.idle.push(sender);
            upstream.freed.notify_one();
            self.is_returned = true;
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.is_returned {
            return;
        }
        self.sender = None;
        let mut state = self.pool.lock();
        if let Some(upstream) = state.upstreams.get_mut(&self.addr) {
            upstream.open = upstream.open.saturating_sub(1);
            upstream.freed.notify_one();
        }
    }
}
