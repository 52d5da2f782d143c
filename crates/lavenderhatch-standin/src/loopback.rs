//! Loopback addresses that no other process of a test run uses.

use std::net::{IpAddr, Ipv4Addr};
use std::sync::atomic::{AtomicU32, Ordering};

/// Addresses that one process can take before they repeat, as a power of two.
const PROCESS_BITS: u32 = 12;
/// First address after `127.0.0.0/16`, which other programs use.
const FIRST: u32 = 0x7f01_0000;
/// End of the loopback range, exclusive.
const END: u32 = 0x7fff_ffff;

static TAKEN: AtomicU32 = AtomicU32::new(0);

/// The next loopback address of this process.
///
/// Each stand-in and daemon gets an address of its own, so that ports can be fixed. Asking the
/// system for a free port and binding it later lets another process take the port in between.
pub fn next_loopback_ip() -> IpAddr {
    let number = TAKEN.fetch_add(1, Ordering::Relaxed) % (1 << PROCESS_BITS);
    let offset = (std::process::id() << PROCESS_BITS | number) % (END - FIRST);
    IpAddr::V4(Ipv4Addr::from_bits(FIRST + offset))
}
