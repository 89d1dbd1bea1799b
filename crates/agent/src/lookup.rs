//! Looks up services and properties of requests in the accepted configuration.

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
/// Returns a refusal that names the workspace or the service if it is unknown.
pub fn find_service<'a>(
    view: &'a FleetView,
    service: &ServiceKey,
) -> Result<&'a ServiceSpec, Refusal> {
    let workspace = view.workspaces.get(&service.0).ok_or_else(|| {
        let detail = format!(
            "workspace {:?} is not accepted; see jyctl status",
            &*service.0
        );
        Refusal::new(RefusalKind::UnknownService, detail)
    })?;
    workspace.value.service(&service.1).ok_or_else(|| {
        let detail = format!(
            "workspace {:?} has no service {:?}",
            &*service.0, &*service.1
        );
        Refusal::new(RefusalKind::UnknownService, detail)
    })
}

/// Properties of a request by the configuration of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestProperties {
    /// Whether the request may safely run more than once.
    pub idempotent: bool,
    /// Priority while not all requests can be served.
    pub urgency: Urgency,
    /// Hash of the key whose owner must serve the request. In a service that is not divided by key, only
    /// non-idempotent requests have one: the hash of their key, or else of their idempotency key, so that the
    /// same gate receives every repeat.
    pub key: Option<KeyHash>,
}

/// Returns the properties of a request.
///
/// # Errors
///
/// Returns a refusal if the service is divided by key and the request has none.
pub fn request_properties(
    spec: &ServiceSpec,
    exchange: &RequestExchange,
) -> Result<RequestProperties, Refusal> {
    let rule = spec.rule(exchange.method.as_str(), exchange.bare_path());
    let idempotent = rule.is_some_and(|rule| rule.idempotent);
    let key = if spec.keyed {
        Some(exchange.key.as_ref().ok_or_else(|| key_missing(spec))?)
    } else {
        let key = exchange.key.as_ref().or(exchange.idempotency_key.as_ref());
        key.filter(|_| !idempotent)
    };
    Ok(RequestProperties {
        idempotent,
        urgency: rule.map(|rule| rule.urgency).unwrap_or_default(),
        key: key.map(|key| KeyHash::new(key)),
    })
}

/// Returns the refusal of a request without a key.
fn key_missing(spec: &ServiceSpec) -> Refusal {
    let detail = format!(
        "service {:?} is divided by key; send the header jy-key",
        &*spec.name
    );
    Refusal::new(RefusalKind::BadRequest, detail)
}
