//! Authenticates callers by their API keys.

use jy_http::message::HttpRequest;
use jy_http::message::HttpResponse;
use jy_kernel::clock;
use jy_platform::headers;
use jy_types::routing::RouteRule;
use jy_types::routing::RouteTable;
use jy_types::time::Millis;

use super::CallState;
use super::CallerGateway;
use crate::keys::CheckedKey;

impl CallerGateway {
    /// Checks the API key of a request, and removes it if the configuration has tenants. Returns `None` if the request
    /// needs no key.
    ///
    /// # Errors
    ///
    /// Returns the response to the caller if the request may not run.
    pub(super) fn authenticate(
        &self,
        request: &mut HttpRequest,
        routes: &RouteTable,
        rule: &RouteRule,
        deadline: Millis,
    ) -> Result<Option<CheckedKey>, HttpResponse> {
        // The clock is read again, since the agent may have been frozen after it read the request.
        let now = clock::now();
        let result = self.keys.check(now, routes, rule, &request.headers);
        if routes.tenants.is_some() {
            headers::remove_credentials(&mut request.headers);
        }
        result.map_err(|refusal| {
            let response = refusal.response(now, deadline);
            self.metrics.count(&rule.name, refusal.name());
            self.request_log.write(now, false, || {
                let id = headers::read_caller_headers(&request.headers).request_id;
                format!(
                    "id={} route={} status={} outcome={} configuration={} proof_age_ms={}",
                    id.unwrap_or_default(),
                    rule.name,
                    response.status.as_u16(),
                    refusal.name(),
                    routes.version,
                    self.keys.proof_age_ms(now),
                )
            });
            response
        })
    }

    /// Formats the tenant and the age of the proof of its key for the log; empty if the request needed no key.
    pub(super) fn key_log_text(&self, now: Millis, call: &CallState) -> String {
        match &call.job.tenant {
            Some(tenant) => format!(
                " tenant={tenant:?} proof_age_ms={}",
                self.keys.proof_age_ms(now)
            ),
            None => String::new(),
        }
    }

    /// Extends the time for which the key of a request is valid. Returns whether there is a newer proof and the tenant
    /// still holds the key.
    pub(super) fn renew_key(&self, call: &mut CallState) -> bool {
        let snapshot = self.snapshot.borrow();
        let (Some(routes), Some(key)) = (&snapshot.routes, &mut call.api_key) else {
            return false;
        };
        let Some(valid_until) = self.keys.renew(clock::now(), routes, key) else {
            return false;
        };
        key.valid_until = valid_until;
        call.job.key_valid_until = valid_until;
        true
    }
}
