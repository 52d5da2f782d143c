//! The limits of the configuration in force.

use std::sync::Arc;

use lavenderhatch_core::routing::{AccountLimit, ClientAccount, HostRouteTable};
use lavenderhatch_decide::quota::AccountId;

/// Returns the accounts of `table` that have a limit.
pub(super) fn limited_accounts(table: &Option<HostRouteTable>) -> &[Arc<ClientAccount>] {
    let accounts = table.as_ref().and_then(HostRouteTable::accounts);
    accounts.map_or(&[], |accounts| accounts.limited())
}

/// Returns the limits of `table`, by the identity of their accounts.
pub(super) fn limits(
    table: &Option<HostRouteTable>,
) -> impl Iterator<Item = (AccountId, AccountLimit)> {
    let accounts = limited_accounts(table).iter();
    accounts.filter_map(|account| Some((AccountId::of(&account.name), account.limit?)))
}
