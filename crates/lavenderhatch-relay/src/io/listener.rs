//! Listening ports.

use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::time::Duration;

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;
use tracing::warn;

/// Connections that wait to be accepted. When they are more, the opening packet is dropped and sent
/// again after a second.
const BACKLOG: i32 = 1024;
/// Wait after a failed accept, which fails again at once while file descriptors are short.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Idle time after which the other side is probed.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which sent bytes and probes may stay unconfirmed before the connection is given up.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2500);

/// Binds a listening socket.
pub fn bind_listener(addr: SocketAddr) -> io::Result<StdListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    // A daemon that restarts takes over the port while connections of its predecessor linger.
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&addr.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Finds out within seconds when the other side of a connection is gone without a word.
pub(crate) fn configure_stream(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}

/// Accepts connections until the ports are closed.
pub(crate) async fn accept_loop<F: Future<Output = ()> + 'static>(
    listener: StdListener,
    mut closed: watch::Receiver<bool>,
    serve: impl Fn(TcpStream) -> F,
) -> io::Result<()> {
    let listener = TcpListener::from_std(listener)?;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closed.wait_for(|is_closed| *is_closed) => return Ok(()),
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
}
