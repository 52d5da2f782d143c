//! Loopback addresses that are unique across the processes of a test run.

use std::net::{IpAddr, Ipv4Addr};
use std::sync::atomic::{AtomicU32, Ordering};

/// Base-2 logarithm of the number of addresses that one process can take before they repeat.
const PROCESS_ADDR_BITS: u32 = 12;
/// The first address after `127.0.0.0/16`, which other programs use.
const FIRST_ADDR: u32 = 0x7f01_0000;
/// End of the loopback range, exclusive.
const END_ADDR: u32 = 0x7fff_ffff;

static NEXT_INDEX: AtomicU32 = AtomicU32::new(0);

/// Returns the next loopback address of this process.
///
/// Each stand-in and daemon gets its own address, so that ports can be fixed. If a test asked the
/// system for a free port and bound it later, another process could take the port in between.
pub fn next_loopback_ip() -> IpAddr {
    let index = NEXT_INDEX.fetch_add(1, Ordering::Relaxed) % (1 << PROCESS_ADDR_BITS);
    let offset = (std::process::id() << PROCESS_ADDR_BITS | index) % (END_ADDR - FIRST_ADDR);
    IpAddr::V4(Ipv4Addr::from_bits(FIRST_ADDR + offset))
}
