//! Connections to upstreams: kept open, counted against a budget that all daemons share.

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

/// When a caller may come back after an upstream could not be reached.
const CONNECT_RETRY_AFTER_MS: u32 = 100;

/// The connections to all upstreams; clones share one state.
#[derive(Clone, Debug)]
pub struct Connections {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    state: Mutex<State>,
    connect_limit: Duration,
    total_per_upstream: usize,
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

/// One connection on loan. Dropped without [`Connection::keep`], it is closed.
///
/// Guards against an answer that reaches another caller: a connection whose exchange was cut,
/// cancelled or timed out may still receive the rest of that answer, so only a whole exchange
/// puts it back.
#[derive(Debug)]
pub struct Connection {
    addr: SocketAddr,
    sender: Option<SendRequest<UpstreamBody>>,
    home: Arc<Inner>,
    is_kept: bool,
    /// Whether it has carried an exchange before.
    pub is_reused: bool,
}

impl Connections {
    /// `total_per_upstream` connections to each upstream are shared by all live daemons.
    pub fn new(total_per_upstream: usize, connect_limit: Duration) -> Self {
        let state = State { upstreams: HashMap::new(), budget: total_per_upstream.max(1) };
        let inner = Inner { state: Mutex::new(state), connect_limit, total_per_upstream };
        Self { inner: Arc::new(inner) }
    }

    /// Divides the budget among `live_daemons`, this one included; idle connections beyond the
    /// share are closed at once, busy ones when their exchange ends.
    pub fn share_among(&self, live_daemons: usize) {
        let mut state = self.inner.lock();
        let budget = (self.inner.total_per_upstream / live_daemons.max(1)).max(1);
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

    /// Open connections to all upstreams.
    pub fn open(&self) -> usize {
        self.inner.lock().upstreams.values().map(|upstream| upstream.open).sum()
    }

    /// A kept connection, a new one, or one that another exchange frees; waits for room.
    ///
    /// An error means that no byte of the request has left.
    pub async fn take(&self, addr: SocketAddr) -> Result<Connection, Error> {
        loop {
            let freed = {
                let mut state = self.inner.lock();
                let budget = state.budget;
                let upstream = state.upstreams.entry(addr).or_default();
                while let Some(sender) = upstream.idle.pop() {
                    if !sender.is_closed() {
                        return Ok(self.lend(addr, Some(sender)));
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
        let mut loan = self.lend(addr, None);
        loan.sender = Some(self.connect(addr).await?);
        Ok(loan)
    }

    fn lend(&self, addr: SocketAddr, sender: Option<SendRequest<UpstreamBody>>) -> Connection {
        let is_reused = sender.is_some();
        Connection { addr, sender, home: self.inner.clone(), is_kept: false, is_reused }
    }

    async fn connect(&self, addr: SocketAddr) -> Result<SendRequest<UpstreamBody>, Error> {
        let refused = |what: &dyn Display| {
            Error::new(ErrorKind::NoUpstream, format!("{addr}: {what}"))
                .retry_after(CONNECT_RETRY_AFTER_MS)
        };
        let stream = tokio::time::timeout(self.inner.connect_limit, TcpStream::connect(addr))
            .await
            .map_err(|_| refused(&"no connection in time"))?
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
    /// The sending half.
    pub fn sender(&mut self) -> Option<&mut SendRequest<UpstreamBody>> {
        self.sender.as_mut()
    }

    /// Puts the connection back after a whole exchange.
    pub fn keep(mut self) {
        let Some(sender) = self.sender.take() else { return };
        let mut state = self.home.lock();
        let budget = state.budget;
        let Some(upstream) = state.upstreams.get_mut(&self.addr) else { return };
        if upstream.open <= budget && !sender.is_closed() {
            upstream.idle.push(sender);
            upstream.freed.notify_one();
            self.is_kept = true;
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.is_kept {
            return;
        }
        self.sender = None;
        let mut state = self.home.lock();
        if let Some(upstream) = state.upstreams.get_mut(&self.addr) {
            upstream.open = upstream.open.saturating_sub(1);
            upstream.freed.notify_one();
        }
    }
}
