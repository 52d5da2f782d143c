//! Loopback addresses that no other process of a test run uses.

use std::net::{IpAddr, Ipv4Addr};
use std::sync::atomic::{AtomicU32, Ordering};

/// Addresses that one process can take before they repeat, as a power of two.
const PROCESS_ADDR_BITS: u32 = 12;
/// First address after `127.0.0.0/16`, which other programs use.
const FIRST_ADDR: u32 = 0x7f01_0000;
/// End of the loopback range, exclusive.
const END_ADDR: u32 = 0x7fff_ffff;

static NEXT_INDEX: AtomicU32 = AtomicU32::new(0);

/// The next loopback address of this process.
///
/// Each stand-in and daemon gets an address of its own, so that ports can be fixed. Asking the
/// system for a free port and binding it later lets another process take the port in between.
pub fn next_loopback_ip() -> IpAddr {
    let index = NEXT_INDEX.fetch_add(1, Ordering::Relaxed) % (1 << PROCESS_ADDR_BITS);
    let offset = (std::process::id() << PROCESS_ADDR_BITS | index) % (END_ADDR - FIRST_ADDR);
    IpAddr::V4(Ipv4Addr::from_bits(FIRST_ADDR + offset))
}
