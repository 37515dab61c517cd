//! Authentication of workspaces and operators by bearer key, and parsing of request headers.

use std::time::Duration;

use http::HeaderMap;
use kernel::lists::Plan;
use kernel::outcome::Refusal;
use kernel::prelude::*;
use sha2::{Digest, Sha256};

use crate::shared::Shared;

/// An authenticated workspace and its plan.
pub(super) struct Caller {
    pub workspace: Workspace,
    pub plan: Plan,
}

/// Returns the key of the `Authorization: Bearer` header.
fn bearer_key(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(http::header::AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix("Bearer ")
}

/// Returns the workspace whose key the request carries, with its plan.
///
/// Fails with `Unavailable` until the node has read the plan and usage lists, and with
/// `Unauthorized` if the key is missing or unknown.
pub(super) fn authenticate(shared: &Shared, headers: &HeaderMap) -> Result<Caller, Refusal> {
    if !shared.tables.fold.lock().state().is_complete() {
        const RETRY_AFTER: Duration = Duration::from_secs(1);
        let what = "the node has no plan and usage lists yet".to_owned();
        return Err(Refusal::Unavailable(what, RETRY_AFTER));
    }
    let lists = shared.tables.lists();
    let key = bearer_key(headers).ok_or(Refusal::Unauthorized)?;
    let workspace = lists.workspace(key).ok_or(Refusal::Unauthorized)?;
    let plan = lists.plan(workspace).ok_or(Refusal::Unauthorized)?;
    Ok(Caller {
        workspace: workspace.clone(),
        plan: plan.clone(),
    })
}

/// Fails with `Forbidden` unless the request carries an operator's key.
pub(super) fn require_operator(shared: &Shared, headers: &HeaderMap) -> Result<(), Refusal> {
    let what = || "not an operator's key".to_owned();
    let remedy = || {
        "send a key whose hash is in operator_key_hashes as 'Authorization: Bearer KEY'".to_owned()
    };
    let refused = || Refusal::Forbidden(what(), remedy());
    let key = bearer_key(headers).ok_or_else(refused)?;
    let hash = hex::encode(Sha256::digest(key.as_bytes()));
    let known = &shared.settings.operator_key_hashes;
    let matching = known
        .iter()
        .filter(|known| constant_time_eq(known, &hash))
        .count();
    if matching > 0 { Ok(()) } else { Err(refused()) }
}

/// Compares two strings in constant time, so that response times reveal nothing about the keys.
fn constant_time_eq(left: &str, right: &str) -> bool {
    use subtle::ConstantTimeEq;
    left.as_bytes().ct_eq(right.as_bytes()).into()
}

/// Returns the integer in the header `name`, or `None` if the header is absent.
pub(super) fn header_number(headers: &HeaderMap, name: &str) -> Result<Option<u64>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let number = value.to_str().ok().and_then(|text| text.parse().ok());
    let invalid = || {
        let what = format!("header {name} is {value:?}, not a whole number");
        Refusal::Invalid(what, "send digits only".to_owned())
    };
    number.map(Some).ok_or_else(invalid)
}

/// Returns the value of the header `name`, or an empty string if it is absent or not ASCII.
pub(super) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}
