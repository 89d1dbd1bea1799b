//! What the accepted configuration says of a request.

use jy_feed::view::FleetView;
use jy_feed::view::ServiceKey;
use jy_types::key::KeyHash;
use jy_types::request::Refusal;
use jy_types::request::RefusalKind;
use jy_types::workspace::ServiceSpec;
use jy_types::workspace::Urgency;

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

/// What the configuration says of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestTraits {
    /// Whether a second run does no harm.
    pub idempotent: bool,
    /// Class of urgency.
    pub urgency: Urgency,
    /// The key whose owner must serve it. Outside of services divided by key that is the key, or
    /// else the id, of a non-idempotent request: so one gate sees every repeat of it.
    pub key: Option<KeyHash>,
}

/// Finds out what the configuration says of a request.
///
/// # Errors
///
/// A refusal if the key is missing.
pub fn read_traits(
    spec: &ServiceSpec,
    exchange: &RequestExchange,
) -> Result<RequestTraits, Refusal> {
    let rule = spec.rule(exchange.method.as_str(), exchange.bare_path());
    let idempotent = rule.is_some_and(|rule| rule.idempotent);
    let key = if spec.keyed {
        Some(exchange.key.as_ref().ok_or_else(|| key_missing(spec))?)
    } else {
        let id = exchange.key.as_ref().or(exchange.idempotency_key.as_ref());
        id.filter(|_| !idempotent)
    };
    Ok(RequestTraits {
        idempotent,
        urgency: rule.map(|rule| rule.urgency).unwrap_or_default(),
        key: key.map(|key| KeyHash::new(key)),
    })
}

/// Refuses a request without a key.
fn key_missing(spec: &ServiceSpec) -> Refusal {
    let detail = format!(
        "service {:?} is divided by key; send the header jy-key",
        &*spec.name
    );
    Refusal::new(RefusalKind::BadRequest, detail)
}
