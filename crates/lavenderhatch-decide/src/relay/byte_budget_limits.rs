//! Sizes of the byte budget and of the connections of a daemon.

use super::byte_holder::ByteUse;

/// Bytes in a megabyte of the settings.
const MEGABYTE: usize = 1024 * 1024;
/// Memory that is kept for everything else: code, stacks, routes, records of backend servers. A
/// daemon without requests has 5 MB resident, and routes and records of the full scale are worked
/// out as 13 MB.
const BASE_RESERVE_BYTES: usize = 24 * MEGABYTE;
/// Part of the memory that is kept for what the allocator does not return at once.
const RESERVE_DIVISOR: usize = 8;
/// Memory for each connection whose request is read or waits: 56 to 71 KB were measured for its
/// buffers, and up to 64 KB that the kernel has received count as memory of the daemon.
pub const CONNECTION_BYTES: usize = 128 * 1024;
/// Reservations up to this size, [`CONNECTION_BYTES`] included, are never held behind larger ones:
/// they skip the queue and may use the part of the budget that is kept for them.
pub const SMALL_BYTES: usize = CONNECTION_BYTES + 64 * 1024;

/// Sizes that are worked out from the memory of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ByteBudgetLimits {
    /// Bytes that may be reserved.
    pub capacity: usize,
    /// Reservations that may wait at the same time.
    pub max_waiting: usize,
}

/// The memory of a machine leaves no room for requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "limits.memory_mb is {memory_mb}, but the daemon needs {needed_mb} MB before it can hold requests"
)]
pub struct MemoryTooSmall {
    memory_mb: usize,
    needed_mb: usize,
}

impl ByteBudgetLimits {
    /// Works out the limits of a machine with this much memory.
    pub fn of_memory(memory_mb: usize) -> Result<Self, MemoryTooSmall> {
        let memory = memory_mb * MEGABYTE;
        let reserve = BASE_RESERVE_BYTES + memory / RESERVE_DIVISOR;
        let capacity = memory.saturating_sub(reserve);
        if capacity < BASE_RESERVE_BYTES / 4 {
            let needed = (BASE_RESERVE_BYTES + BASE_RESERVE_BYTES / 4) * 8 / 7;
            return Err(MemoryTooSmall {
                memory_mb,
                needed_mb: needed.div_ceil(MEGABYTE),
            });
        }
        Ok(Self::of_capacity(capacity))
    }

    /// Returns the limits with this capacity.
    pub fn of_capacity(capacity: usize) -> Self {
        Self {
            capacity,
            max_waiting: capacity / 4 / CONNECTION_BYTES,
        }
    }

    /// Returns the most bytes that one use may reserve; `is_small` for a small reservation.
    ///
    /// Callers leave a quarter, which other daemons and answers need to make progress. An answer
    /// gives its bytes back once its reader has taken it, so answers need no more than a half.
    pub(super) fn max_of(&self, byte_use: ByteUse, is_small: bool) -> usize {
        let part = match byte_use {
            ByteUse::CallerBody => self.capacity / 4 * 3,
            ByteUse::PeerBody => self.max_bodies(),
            ByteUse::Answer => self.capacity / 2,
        };
        part.min(self.max_total(is_small))
    }

    /// Whether a reservation of so many bytes fits if there is no other one.
    pub fn can_hold(&self, bytes: usize) -> bool {
        bytes <= self.max_of(ByteUse::CallerBody, false)
    }

    /// Returns the most bytes of bodies of requests. The rest is kept for answers.
    pub(super) fn max_bodies(&self) -> usize {
        self.capacity / 8 * 7
    }

    /// Returns the most bytes that may be reserved in total by a reservation of this size.
    pub(super) fn max_total(&self, is_small: bool) -> usize {
        match is_small {
            true => self.capacity,
            false => self.capacity - self.capacity / 16,
        }
    }
}
