//! Issues idempotency keys to callers.

use std::sync::Arc;

use lavenderhatch_core::call::{CallResponse, Header, StoredCall};
use lavenderhatch_core::error_kind::Outcome;
use lavenderhatch_core::{Error, ErrorKind};

use super::backend::Backend;
use super::path::{CallForwarder, IncomingRequest, RequestPath, path_without_query};

/// Path of requests for a key.
const KEYS_PATH: &str = "/.well-known/lavenderhatch/keys";

/// Returns whether a request asks for a key.
pub(super) fn is_key_request(method: &str, target: &str) -> bool {
    method == "POST" && path_without_query(target) == KEYS_PATH
}

impl<B: Backend, L: CallForwarder> RequestPath<B, L> {
    /// Creates the call that requests a key from a backend server of the service of a route.
    pub(super) fn prepare_key_request(
        &self,
        req: &IncomingRequest<'_>,
    ) -> Result<Arc<StoredCall>, Error> {
        let config = self.board.config.load();
        let Some(config) = config.as_ref() else {
            let message = "no configuration is in force yet";
            return Err(Error::new(ErrorKind::NotReady, message));
        };
        let query = req.target.split_once('?').map_or("", |(_, query)| query);
        let name = query
            .split('&')
            .find_map(|pair| pair.strip_prefix("route="));
        let Some(name) = name else {
            let message = "name the route: POST /.well-known/lavenderhatch/keys?route=NAME";
            return Err(Error::new(ErrorKind::BadRequest, message));
        };
        let mut routes = config.mesh.routes().iter();
        let Some((known, route)) = routes.find(|(known, _)| known.as_str() == name) else {
            return Err(Error::new(ErrorKind::NoRoute, format!("no route {name}")));
        };
        if route.idempotent {
            let message = format!("route {name} is idempotent and needs no key");
            return Err(Error::new(ErrorKind::BadRequest, message));
        }
        Ok(Arc::new(self.build_call(req, known, route)))
    }

    pub(super) fn issue_key(&self, call: &StoredCall) -> Result<CallResponse, Error> {
        if self.board.drains.load().is_leaving() {
            return Err(self.leaving_error());
        }
        self.check_service(&self.node, call)?;
        Ok(CallResponse {
            status: 200,
            headers: vec![Header {
                name: "content-type".to_owned(),
                value: "text/plain".to_owned(),
            }],
            body: self.orders.issue().to_string().into_bytes(),
            outcome: Outcome::Ran,
            error: None,
            retry_after_ms: None,
            is_retry_exhausted: false,
        })
    }
}
