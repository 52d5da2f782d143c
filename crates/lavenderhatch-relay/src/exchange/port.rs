//! Code shared by the ports for callers and for other daemons.

use std::future::Future;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::interval;

use crate::blackboard::Blackboard;
use crate::connections::{ConnectionSlot, Connections};
use crate::io::accept_loop;

/// Time between two runs of [`Port::run_maintenance`].
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);

/// A port whose connections are served on one thread.
pub(crate) trait Port: Sized + 'static {
    /// Returns the blackboard that the port reads.
    fn blackboard(&self) -> &Blackboard;

    /// Performs periodic work, such as closing connections that have been idle for too long.
    fn run_maintenance(&self);

    /// Serves a connection until it ends.
    fn serve_stream(
        self: Rc<Self>,
        stream: TcpStream,
        slot: ConnectionSlot,
    ) -> impl Future<Output = ()> + 'static;
}

/// Accepts and serves connections on the current thread until the ports are closed.
pub(crate) async fn serve_port<P: Port>(
    port: Rc<P>,
    listener: TcpListener,
    connections: Rc<Connections>,
) -> io::Result<()> {
    let closed = port.blackboard().lifecycle.watch_ports_closed();
    tokio::task::spawn_local(run_maintenance(Rc::clone(&port)));
    accept_loop(listener, closed, move |stream| {
        let slot = connections.open();
        let port = Rc::clone(&port);
        async move {
            let Some(slot) = slot else {
                return;
            };
            tokio::select! {
                () = port.serve_stream(stream, slot.clone()) => {}
                () = slot.evicted() => {}
            }
        }
    })
    .await
}

async fn run_maintenance<P: Port>(port: Rc<P>) {
    let mut ticks = interval(MAINTENANCE_INTERVAL);
    loop {
        ticks.tick().await;
        port.run_maintenance();
    }
}
