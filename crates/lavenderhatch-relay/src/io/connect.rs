//! Opens client connections.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::timeout;

use super::listener::configure_stream;

/// Timeouts of client connections.
#[derive(Clone, Copy, Debug)]
pub struct ClientTimeouts {
    /// Longest time for a connection to be established.
    pub connect: Duration,
    /// Longest time for which an idle connection is reused.
    pub idle: Duration,
}

pub(super) async fn connect(addr: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream = timeout(limit, TcpStream::connect(addr))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    configure_stream(&stream)?;
    Ok(stream)
}
