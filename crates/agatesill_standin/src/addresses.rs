//! Allocates loopback addresses for daemons whose address must be known before they start.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};

/// First port allocated. Processes use different hosts, so their ports may coincide.
const FIRST_PORT: u16 = 20_000;

/// Hosts allocated at one port before moving to the next port.
const HOSTS_PER_PORT: u32 = 250;

static ALLOCATED: AtomicU32 = AtomicU32::new(0);

/// Returns an address that is unique within this process and across concurrent test processes.
///
/// A free port that is chosen first and bound later can be taken in between, which fails with
/// "address already in use" on a busy machine. The kernel assigns ports of outgoing connections on
/// 127.0.0.1 only, so these addresses use other hosts of the loopback range, in a block derived
/// from the process id.
pub fn fresh_address() -> SocketAddr {
    let index = ALLOCATED.fetch_add(1, Ordering::Relaxed);
    let pid = std::process::id();
    let host = Ipv4Addr::new(
        127,
        64 + (pid % 128) as u8,
        (pid / 128 % 256) as u8,
        1 + (index % HOSTS_PER_PORT) as u8,
    );
    (host, FIRST_PORT + (index / HOSTS_PER_PORT) as u16).into()
}
