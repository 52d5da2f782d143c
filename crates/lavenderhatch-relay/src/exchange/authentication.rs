//! Checks the API key of a caller.

use std::sync::Arc;

use hyper::HeaderMap;
use hyper::header::HeaderValue;
use lavenderhatch_core::ErrorKind;
use lavenderhatch_core::routing::{AccountTable, ClientAccount, HostRoute};

use super::attempt::Failure;
use crate::config::HeaderNames;

/// Finds the client account of a request, and removes its API key. `None` if its route allows
/// anonymous requests and it has no valid key.
///
/// The header with the name of the account is removed as well, because a caller may have sent one.
pub(super) fn authenticate(
    headers: &mut HeaderMap,
    names: &HeaderNames,
    route: &HostRoute,
    accounts: &AccountTable,
) -> Result<Option<Arc<ClientAccount>>, Failure> {
    headers.remove(&names.account);
    let mut keys = headers.get_all(&names.credential).iter();
    let key = keys.next();
    // With two keys it is not clear on whose behalf the request is sent.
    let key = key.filter(|_| keys.next().is_none());
    let account = key.and_then(|key| accounts.find(key.as_bytes())).cloned();
    headers.remove(&names.credential);
    if account.is_none() && !route.allows_anonymous {
        let reason = "no client account has the API key of the request";
        return Err(Failure::before_arrival(ErrorKind::Unauthenticated, reason));
    }
    Ok(account)
}

/// Adds the name of the client account, for the backend server.
pub(super) fn write_account(headers: &mut HeaderMap, names: &HeaderNames, account: &ClientAccount) {
    // Names of accounts are checked when the configuration is read.
    if let Ok(name) = HeaderValue::from_str(&account.name) {
        headers.insert(&names.account, name);
    }
}
