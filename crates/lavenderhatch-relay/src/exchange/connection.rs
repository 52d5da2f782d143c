//! Serves the connection of a caller or of another daemon.

use std::future::Future;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::sync::watch;
use tokio::time::sleep;
use tracing::debug;

use crate::io::ServerStream;
use crate::lifecycle::LAST_REQUEST_TIME;

/// The other side has closed the connection and does not expect an answer.
#[derive(Debug, thiserror::Error)]
#[error("the other side has closed the connection")]
pub(super) struct Disconnected;

/// An answer, or the end of the connection without one.
pub(super) type ServeResult = Result<Response<Full<Bytes>>, Disconnected>;

/// Serves the requests of a connection one after the other.
///
/// Once `shutdown` completes, the connection ends after the request in progress.
pub(super) async fn serve_connection<F: Future<Output = ServeResult>>(
    builder: &http1::Builder,
    stream: ServerStream,
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
            res
        }
    });
    let conn = builder.serve_connection(TokioIo::new(stream), service);
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
}

/// Waits until the ports are closed and no request is on its way.
pub(super) async fn wait_for_shutdown(stream: &ServerStream, closed: &mut watch::Receiver<bool>) {
    // An error means that the ports are gone, which ends the connection as well.
    let _ = closed.wait_for(|is_closed| *is_closed).await;
    if stream.has_undelivered_request() {
        sleep(LAST_REQUEST_TIME).await;
    }
}
