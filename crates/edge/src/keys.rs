//! Checks the API keys of callers' requests against the configuration in force.

use std::cell::Cell;
use std::rc::Rc;

use actix_http::StatusCode;
use actix_http::header::HeaderMap;
use jy_http::message::HttpResponse;
use jy_platform::headers;
use jy_platform::headers::PresentedKey;
use jy_policy::key_check::ConfigurationAge;
use jy_policy::key_check::KeyDecision;
use jy_policy::key_check::NEXT_PROOF_RETRY_MS;
use jy_types::routing::RouteRule;
use jy_types::routing::RouteTable;
use jy_types::tenant::ApiKeyHash;
use jy_types::tenant::TenantRule;
use jy_types::time::Millis;

use crate::refusal;

/// Result of checking a key.
pub type Result<T> = std::result::Result<T, KeyRefusal>;

/// Why a request may not run with the key that it has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyRefusal {
    /// The request has no key.
    NoKey,
    /// `Authorization` has another scheme.
    OtherScheme,
    /// The request has several `Authorization` headers.
    RepeatedHeader,
    /// No tenant holds the key.
    UnknownKey,
    /// The configuration may be too old to tell whether a tenant holds the key.
    Outdated,
    /// The name of the tenant that holds the key can't be sent to backend servers.
    UnsendableTenant,
}

/// The key of a request that may run.
#[derive(Clone, Debug)]
pub struct CheckedKey {
    /// Hash of the key, to check it again.
    pub hash: ApiKeyHash,
    /// The tenant that holds the key.
    pub tenant: TenantRule,
    /// The request must be dispatched before this point.
    pub valid_until: Millis,
}

/// Checks keys with the age of the configuration in force.
#[derive(Clone, Debug)]
pub struct KeyChecker {
    /// Time up to which no record of operators is missing.
    proved_until: Rc<Cell<Millis>>,
    /// Time after which a withdrawn key must be refused, in milliseconds; `None` if there is no such limit.
    revoke_ms: Option<u64>,
}

impl KeyRefusal {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::NoKey => "no-api-key",
            Self::OtherScheme => "other-scheme",
            Self::RepeatedHeader => "repeated-authorization",
            Self::UnknownKey => "unknown-api-key",
            Self::Outdated => "configuration-outdated",
            Self::UnsendableTenant => "unsendable-tenant",
        }
    }

    /// Builds the response to the caller.
    #[must_use]
    pub fn response(self, now: Millis, deadline: Millis) -> HttpResponse {
        let reason = match self {
            Self::NoKey => "the request has no API key; send one in Authorization: Token KEY",
            Self::OtherScheme => "the scheme of Authorization is not Token",
            Self::RepeatedHeader => "the request has more than one Authorization header",
            Self::UnknownKey => "no tenant has this API key",
            Self::Outdated => {
                let reason = "the configuration may be too old to check the API key";
                return refusal::not_run(reason, NEXT_PROOF_RETRY_MS, now, deadline);
            }
            Self::UnsendableTenant => {
                let reason = "the name of the tenant can't be sent to backend servers";
                return refusal::rejected(StatusCode::SERVICE_UNAVAILABLE, reason);
            }
        };
        refusal::rejected(StatusCode::UNAUTHORIZED, reason)
            .with_header("www-authenticate", headers::API_KEY_SCHEME)
    }
}

impl KeyChecker {
    /// Creates a checker. `proved_until` is updated by the feed of operators' records.
    #[must_use]
    pub const fn new(proved_until: Rc<Cell<Millis>>, revoke_ms: Option<u64>) -> Self {
        Self {
            proved_until,
            revoke_ms,
        }
    }

    /// Returns the age of the proof that there is no newer configuration, in milliseconds.
    #[must_use]
    pub fn proof_age_ms(&self, now: Millis) -> u64 {
        now.since(self.proved_until.get())
    }

    /// Checks the key in the headers of a request. Returns `None` if the request needs none.
    ///
    /// # Errors
    ///
    /// Returns why the request may not run.
    pub fn check(
        &self,
        now: Millis,
        routes: &RouteTable,
        rule: &RouteRule,
        headers: &HeaderMap,
    ) -> Result<Option<CheckedKey>> {
        let Some(tenants) = routes.tenants.as_ref().filter(|_| !rule.public) else {
            return Ok(None);
        };
        let hash = match headers::read_api_key(headers) {
            PresentedKey::Key(api_key) => Some(ApiKeyHash::new(api_key)),
            PresentedKey::NotText => None,
            PresentedKey::Absent => return Err(KeyRefusal::NoKey),
            PresentedKey::OtherScheme => return Err(KeyRefusal::OtherScheme),
            PresentedKey::Repeated => return Err(KeyRefusal::RepeatedHeader),
        };
        let known = hash.and_then(|hash| Some((hash, tenants.find_by_hash(hash)?)));
        match (self.age().decide(now, known.is_some()), known) {
            (KeyDecision::Allowed { .. }, Some((_, tenant)))
                if !headers::is_sendable_tenant(&tenant.name) =>
            {
                Err(KeyRefusal::UnsendableTenant)
            }
            (KeyDecision::Allowed { valid_until }, Some((hash, tenant))) => Ok(Some(CheckedKey {
                hash,
                tenant: tenant.clone(),
                valid_until,
            })),
            (KeyDecision::Outdated, _) => Err(KeyRefusal::Outdated),
            _ => Err(KeyRefusal::UnknownKey),
        }
    }

    /// Checks a key again with the present configuration. Returns the later point until which it is valid, or `None`
    /// if there is no newer proof or the tenant does not hold the key any more.
    #[must_use]
    pub fn renew(&self, now: Millis, routes: &RouteTable, key: &CheckedKey) -> Option<Millis> {
        let tenant = routes.tenants.as_ref()?.find_by_hash(key.hash)?;
        match self.age().decide(now, tenant.name == key.tenant.name) {
            KeyDecision::Allowed { valid_until } if valid_until > key.valid_until => {
                Some(valid_until)
            }
            _ => None,
        }
    }

    /// Returns how recent the configuration is.
    fn age(&self) -> ConfigurationAge {
        ConfigurationAge {
            proved_until: self.proved_until.get(),
            revoke_ms: self.revoke_ms,
        }
    }
}
