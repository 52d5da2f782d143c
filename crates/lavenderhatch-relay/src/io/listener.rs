//! Listening sockets.

use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::time::Duration;

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;
use tracing::warn;

/// Largest number of connections waiting to be accepted. Beyond it the kernel drops the SYN packet,
/// which the client sends again after 1 s.
const BACKLOG: i32 = 1024;
/// Receive buffer of each connection, in bytes. What the kernel has received counts as memory of
/// the daemon, and it would let the buffer grow to several megabytes while a client sends more than
/// is read. At a round trip of 5 ms it lets 100 Mbit/s through.
pub(super) const RECEIVE_BUFFER_BYTES: usize = 64 * 1024;
/// Pause after a failed accept. While no file descriptors are available, the next one fails at
/// once.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Idle time after which keep-alive probes are sent.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Time between keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which sent data and probes may stay unacknowledged before the connection is dropped.
pub(crate) const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2500);

/// Binds a listening socket.
pub fn bind_listener(addr: SocketAddr) -> io::Result<StdListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    // Lets a restarted daemon bind the port while connections of its predecessor linger.
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    // Connections inherit the size.
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.bind(&addr.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Configures a connection of a server: no delay for small writes, and the silent loss of the other
/// side is detected within seconds.
pub(crate) fn configure_stream(stream: &TcpStream) -> io::Result<()> {
    configure_stream_with(stream, UNACKNOWLEDGED_TIMEOUT)
}

/// Configures a connection whose sent data and probes may stay unacknowledged for `timeout`.
///
/// The kernel sends probes in whole seconds, the first one after [`KEEPALIVE_IDLE`], and drops the
/// connection at the first one that finds `timeout` passed.
pub(super) fn configure_stream_with(stream: &TcpStream, timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let probes = timeout.as_secs().max(1) as u32;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(probes);
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(timeout))
}

/// Accepts connections until the ports are closed, and those that the kernel has established by
/// then. They may already have sent a request.
pub(crate) async fn accept_loop<F: Future<Output = ()> + 'static>(
    listener: StdListener,
    mut closed: watch::Receiver<bool>,
    serve: impl Fn(TcpStream) -> F,
) -> io::Result<()> {
    let listener = TcpListener::from_std(listener)?;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closed.wait_for(|is_closed| *is_closed) => break,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve(stream));
            }
            Err(err) => {
                warn!(error = %err, "port: cannot accept a connection");
                sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
    let listener = listener.into_std()?;
    while let Ok((stream, _)) = listener.accept() {
        stream.set_nonblocking(true)?;
        tokio::task::spawn_local(serve(TcpStream::from_std(stream)?));
    }
    Ok(())
}
