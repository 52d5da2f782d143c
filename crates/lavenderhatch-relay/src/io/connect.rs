//! Opens client connections.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::listener::{RECEIVE_BUFFER_BYTES, configure_stream_with};

/// Timeouts of client connections.
#[derive(Clone, Copy, Debug)]
pub struct ClientTimeouts {
    /// Longest time for a connection to be established.
    pub connect: Duration,
    /// Longest time for which an idle connection is reused.
    pub idle: Duration,
    /// Longest time for which sent data and keep-alive probes may stay unacknowledged. A silent
    /// connection is dropped up to a second later.
    pub unacknowledged: Duration,
}

/// Connects to a server.
pub(super) async fn connect(addr: SocketAddr, timeouts: &ClientTimeouts) -> io::Result<TcpStream> {
    let stream = timeout(timeouts.connect, TcpStream::connect(addr))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    configure_stream_with(&stream, timeouts.unacknowledged)?;
    SockRef::from(&stream).set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    Ok(stream)
}
