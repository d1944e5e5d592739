//! Loopback addresses for daemons that need one before they start.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};

/// First port given out; the address tells processes apart, so ports may repeat between them.
const FIRST_PORT: u16 = 20_000;

/// Hosts given out at one port before the next port.
const HOSTS_PER_PORT: u32 = 250;

static GIVEN: AtomicU32 = AtomicU32::new(0);

/// An address that nothing else in this process, nor another process of the tests, was given.
///
/// Guards against a port taken between choosing and listening, which showed as "address already in
/// use" on a busy machine: the kernel gives outgoing connections ports on 127.0.0.1 only, and these
/// addresses lie elsewhere in the loopback range, in a block that follows from the process's id.
pub fn fresh_address() -> SocketAddr {
    let nth = GIVEN.fetch_add(1, Ordering::Relaxed);
    let pid = std::process::id();
    let host = Ipv4Addr::new(
        127,
        64 + (pid % 128) as u8,
        (pid / 128 % 256) as u8,
        1 + (nth % HOSTS_PER_PORT) as u8,
    );
    (host, FIRST_PORT + (nth / HOSTS_PER_PORT) as u16).into()
}
