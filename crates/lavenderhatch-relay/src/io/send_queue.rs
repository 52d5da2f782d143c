//! The bytes of a connection that the kernel has not delivered.

use std::io;
use std::os::fd::{AsRawFd, RawFd};

use nix::libc::{TIOCOUTQ, c_int};
use tokio::net::TcpStream;

/// The bytes of a connection that the kernel has not delivered.
#[derive(Clone, Copy, Debug)]
pub(super) struct SendQueue {
    /// Bytes that were written and that the other side has not acknowledged. The end of the
    /// connection counts as one byte. A failed connection keeps its last value.
    pub(super) unacknowledged_bytes: usize,
    /// Whether the connection has failed, so that nothing more of it is delivered.
    has_failed: bool,
}

impl SendQueue {
    /// Reads the state of a connection.
    pub(super) fn read(stream: &TcpStream) -> Self {
        // A connection that has ended or failed has no address of the other side.
        let has_failed = stream.peer_addr().is_err();
        let bytes = read_counter(stream.as_raw_fd()).unwrap_or(0);
        Self {
            unacknowledged_bytes: usize::try_from(bytes).unwrap_or(0),
            has_failed,
        }
    }

    /// Whether the kernel is still delivering bytes.
    pub(super) fn is_delivering(&self) -> bool {
        self.unacknowledged_bytes > 0 && !self.has_failed
    }
}

/// Reads SIOCOUTQ, which has the number of TIOCOUTQ. No library wraps it without `unsafe`.
#[allow(unsafe_code)]
fn read_counter(fd: RawFd) -> io::Result<c_int> {
    nix::ioctl_read_bad!(read_output_queue, TIOCOUTQ, c_int);
    let mut bytes = 0;
    // SAFETY: the descriptor is open while its stream is borrowed, and the request writes one
    // `c_int` to the address.
    unsafe { read_output_queue(fd, &raw mut bytes) }?;
    Ok(bytes)
}
