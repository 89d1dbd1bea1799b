//! Distinguishes calls of requests that run at the backend server beside the agent from requests of callers, and
//! callers that return from those that come first.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::Ipv6Addr;

use jy_http::message::HttpRequest;
use jy_types::routing::RouteRule;
use jy_types::routing::RouteTable;
use jy_types::time::Millis;

use super::CallerGateway;

impl CallerGateway {
    /// Whether a request is certainly a call of a request that runs at the backend server beside the agent: it
    /// comes from that server's own address, on a public route of a configuration with tenants, and the server
    /// has announced itself. Callers on the instance share the address, but need a key and so another route.
    ///
    /// All requests of one connection have the same peer, so a connection that the backend server opened before
    /// its first announcement is marked from then on. Marking only later connections would leave a pooled
    /// connection unmarked for as long as it is used after a restart of the agent.
    pub(super) fn is_call(
        &self,
        request: &HttpRequest,
        routes: &RouteTable,
        rule: &RouteRule,
    ) -> bool {
        let backend = self.gate.address.get().ip().to_canonical();
        let is_from_backend = request
            .peer
            .is_some_and(|peer| peer.ip().to_canonical() == backend);
        is_from_backend
            && routes.tenants.is_some()
            && rule.public
            && !is_shared(backend)
            && self.gate.backend.read(|state| state.is_some())
    }

    /// Returns the age of the first attempt of a request that states the time limit `stated_ms`, in milliseconds. It
    /// is zero in a configuration without tenants.
    pub(super) fn first_attempt_age_ms(
        &self,
        received_at: Millis,
        routes: &RouteTable,
        rule: &RouteRule,
        stated_ms: Option<u64>,
    ) -> u64 {
        let stated_ms = stated_ms.filter(|_| routes.tenants.is_some());
        stated_ms.map_or(0, |stated_ms| {
            let mut caller_ages = self.caller_ages.borrow_mut();
            caller_ages.observe(received_at, rule, stated_ms)
        })
    }
}

/// Whether connections of other processes may come from an address too. Connections to any loopback address come
/// from 127.0.0.1 or `::1` unless the process chooses another source.
fn is_shared(address: IpAddr) -> bool {
    address.is_unspecified() || address == Ipv4Addr::LOCALHOST || address == Ipv6Addr::LOCALHOST
}
