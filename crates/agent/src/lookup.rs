//! What the accepted configuration says of a request.

use jy_feed::view::FleetView;
use jy_feed::view::ServiceKey;
use jy_types::key::KeyHash;
use jy_types::name::Name;
use jy_types::request::Refusal;
use jy_types::request::RefusalKind;
use jy_types::workspace::ServiceSpec;

use crate::exchange::RequestExchange;

/// Finds the configuration of a service.
///
/// # Errors
///
/// A refusal that names what is unknown.
pub fn find_service<'a>(
    view: &'a FleetView,
    name: &ServiceKey,
) -> Result<&'a ServiceSpec, Refusal> {
    let workspace = view.workspaces.get(&name.0).ok_or_else(|| {
        let detail = format!("workspace {:?} is not accepted; see jyctl status", &*name.0);
        Refusal::new(RefusalKind::UnknownService, detail)
    })?;
    workspace.value.service(&name.1).ok_or_else(|| {
        let detail = format!("workspace {:?} has no service {:?}", &*name.0, &*name.1);
        Refusal::new(RefusalKind::UnknownService, detail)
    })
}

/// Reads the key whose owner must serve a request. Outside of services divided by key that is the
/// key, or else the id, of a non-idempotent request: so one gate sees every repeat of it.
///
/// # Errors
///
/// A refusal if the key is missing.
pub fn read_key(
    spec: &ServiceSpec,
    exchange: &RequestExchange,
) -> Result<Option<KeyHash>, Refusal> {
    let hash = |key: &Name| KeyHash::new(key);
    if !spec.keyed {
        let id = exchange.key.as_ref().or(exchange.idempotency_key.as_ref());
        return Ok(id.filter(|_| !is_idempotent(spec, exchange)).map(hash));
    }
    let key = exchange.key.as_ref().ok_or_else(|| {
        let detail = format!(
            "service {:?} is divided by key; send the header jy-key",
            &*spec.name
        );
        Refusal::new(RefusalKind::BadRequest, detail)
    })?;
    Ok(Some(hash(key)))
}

/// Whether a second run of a request does no harm, by the workspace's configuration.
pub fn is_idempotent(spec: &ServiceSpec, exchange: &RequestExchange) -> bool {
    spec.rule(exchange.method.as_str(), exchange.bare_path())
        .is_some_and(|rule| rule.idempotent)
}
