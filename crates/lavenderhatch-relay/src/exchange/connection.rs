//! Serves the connection of a caller or of another daemon.

use std::future::Future;

use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::sync::watch;
use tokio::time::sleep;
use tracing::debug;

use super::ready_answer::ReadyAnswer;
use crate::io::ServerStream;
use crate::lifecycle::{LAST_REQUEST_TIME, Lifecycle};

/// The other side has closed the connection and does not expect an answer.
#[derive(Debug, thiserror::Error)]
#[error("the other side has closed the connection")]
pub(super) struct Disconnected;

/// An answer, or the end of the connection without one.
pub(super) type ServeResult = Result<ReadyAnswer, Disconnected>;

/// Serves the requests of a connection one after the other.
///
/// Once `shutdown` completes, the connection ends after the request in progress. A request is in
/// progress until its answer is delivered, or until the daemon gives up such answers.
pub(super) async fn serve_connection<F: Future<Output = ServeResult>>(
    builder: &http1::Builder,
    stream: ServerStream,
    lifecycle: &Lifecycle,
    shutdown: impl Future<Output = ()>,
    answer: impl Fn(Request<Incoming>) -> F,
) {
    let service_stream = stream.clone();
    let service = service_fn(move |req| {
        let answered = answer(req);
        let stream = service_stream.clone();
        async move {
            let res = answered.await;
            stream.finish_request();
            res.map(|answer| answer.send_on(&stream))
        }
    });
    let conn = builder.serve_connection(TokioIo::new(stream.clone()), service);
    let serve = async {
        let mut conn = std::pin::pin!(conn);
        let served = tokio::select! {
            served = conn.as_mut() => served,
            () = shutdown => {
                conn.as_mut().graceful_shutdown();
                conn.await
            }
        };
        if let Err(err) = served {
            debug!(error = %err, "port: connection failed");
        }
        stream.close().await;
    };
    tokio::select! {
        () = serve => {}
        () = lifecycle.answers_abandoned() => {}
    }
    stream.abandon_answers();
}

/// Waits until the ports are closed and no request is on its way.
pub(super) async fn wait_for_shutdown(stream: &ServerStream, closed: &mut watch::Receiver<bool>) {
    // An error means that the ports are gone, which ends the connection as well.
    let _ = closed.wait_for(|is_closed| *is_closed).await;
    stream.track_unacknowledged();
    if stream.has_undelivered_request() {
        sleep(LAST_REQUEST_TIME).await;
    }
}
