//! A buffer for a body whose bytes are reserved.

use bytes::Bytes;
use memmap2::MmapMut;

use crate::byte_holding::{ByteHolding, ReservationError};

/// Size up to which a body is kept on the heap. Larger ones have pages of their own, which go back
/// to the system as soon as the body is dropped and which take no memory before they are written.
/// The heap keeps freed blocks of that size between others that are in use.
const HEAP_BYTES: usize = 32 * 1024;
/// Bytes by which a body of unknown size reserves more.
const STEP_BYTES: usize = 256 * 1024;
/// First reservation of a body of unknown size.
const FIRST_STEP_BYTES: usize = 16 * 1024;
/// Bytes that arrive between two records of progress. Records for each chunk of one byte would take
/// more time than the bytes.
const PROGRESS_BYTES: usize = 4 * 1024;

#[derive(Debug)]
enum Storage {
    Heap(Vec<u8>),
    /// Pages for the largest possible body, of which the first bytes are written.
    Pages {
        map: MmapMut,
        len: usize,
    },
}

/// A body that arrives, held once and in one piece.
#[derive(Debug)]
pub(super) struct HeldBuffer {
    storage: Storage,
    holding: ByteHolding,
    /// Largest size of the body.
    limit: usize,
    reserved: usize,
    unrecorded: usize,
}

impl HeldBuffer {
    /// Creates the buffer of a body of at most `limit` bytes, of `known` bytes if that is known.
    /// Waits until its first bytes are reserved.
    pub(super) async fn open(
        holding: ByteHolding,
        known: Option<usize>,
        limit: usize,
    ) -> Result<Self, ReservationError> {
        let reserved = known.unwrap_or(FIRST_STEP_BYTES.min(limit));
        holding.reserve_with_connection(reserved).await?;
        let mut buf = Self {
            storage: Storage::Heap(Vec::new()),
            holding,
            limit: known.unwrap_or(limit),
            reserved,
            unrecorded: 0,
        };
        if reserved > HEAP_BYTES {
            buf.move_to_pages()?;
        }
        Ok(buf)
    }

    /// Returns the number of bytes that have arrived.
    pub(super) fn len(&self) -> usize {
        match &self.storage {
            Storage::Heap(bytes) => bytes.len(),
            Storage::Pages { len, .. } => *len,
        }
    }

    /// Appends bytes, and waits until they are reserved.
    pub(super) async fn append(&mut self, data: &[u8]) -> Result<(), ReservationError> {
        let needed = self.len() + data.len();
        if needed > self.reserved {
            let step = STEP_BYTES.min(needed.max(FIRST_STEP_BYTES));
            let step = step.max(needed - self.reserved);
            self.holding.reserve(step).await?;
            self.reserved += step;
        }
        self.unrecorded += data.len();
        if self.unrecorded >= PROGRESS_BYTES {
            self.holding.record_progress(self.unrecorded);
            self.unrecorded = 0;
        }
        if needed > HEAP_BYTES {
            self.move_to_pages()?;
        }
        match &mut self.storage {
            Storage::Heap(bytes) => {
                if bytes.capacity() == 0 {
                    bytes.reserve_exact(self.reserved.min(HEAP_BYTES));
                }
                bytes.extend_from_slice(data);
            }
            Storage::Pages { map, len } => {
                map[*len..needed].copy_from_slice(data);
                *len = needed;
            }
        }
        Ok(())
    }

    fn move_to_pages(&mut self) -> Result<(), ReservationError> {
        let Storage::Heap(bytes) = &self.storage else {
            return Ok(());
        };
        let map = MmapMut::map_anon(self.limit.max(HEAP_BYTES + 1));
        let mut map = map.map_err(|_| ReservationError::InUse)?;
        map[..bytes.len()].copy_from_slice(bytes);
        let len = bytes.len();
        self.storage = Storage::Pages { map, len };
        Ok(())
    }

    /// Waits until the bytes must be given back.
    pub(super) async fn taken_back(&self) -> ReservationError {
        self.holding.taken_back().await
    }

    /// Returns the whole body. Its bytes are given back when the last reference to it is dropped.
    pub(super) fn finish(self, keeps_connection: bool) -> Bytes {
        self.holding.complete();
        if !keeps_connection {
            self.holding.release_connection();
        }
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for HeldBuffer {
    fn as_ref(&self) -> &[u8] {
        match &self.storage {
            Storage::Heap(bytes) => bytes,
            Storage::Pages { map, len } => &map[..*len],
        }
    }
}
