//! Tenants of the accepted configuration, their API keys and their quotas.
//!
//! API keys are kept only as keyed hashes under a secret of this process. A caller can't learn from response times
//! how much of a guessed key is right, and a memory dump or a debug output shows no key.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::LazyLock;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::name::Name;

/// Limit on the requests of one tenant, summed over all agents.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantQuota {
    /// Sustained number of requests per second.
    pub rate_per_s: f64,
    /// Number of requests allowed at once beyond that rate.
    pub burst: f64,
}

/// Settings of one tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantRule {
    /// Tenant name.
    pub name: Name,
    /// Priority of the tenant's requests, which takes precedence over that of the route; zero is the most urgent.
    pub priority: Option<u32>,
    /// Limit on the tenant's requests; `None` if there is none.
    pub quota: Option<TenantQuota>,
}

/// Secret of this process for the hashes of API keys.
static HASH_SECRET: LazyLock<[u8; blake3::KEY_LEN]> =
    LazyLock::new(|| StdRng::from_os_rng().random());

/// Keyed hash of an API key. It can be compared only within this process.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ApiKeyHash([u8; blake3::OUT_LEN]);

impl ApiKeyHash {
    /// Hashes an API key.
    #[must_use]
    pub fn new(api_key: &str) -> Self {
        Self(*blake3::keyed_hash(&HASH_SECRET, api_key.as_bytes()).as_bytes())
    }
}

impl fmt::Debug for ApiKeyHash {
    /// Formats the hash without its value.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ApiKeyHash")
    }
}

/// All tenants of a configuration, by name and by the hashes of their API keys.
#[derive(Clone, Default, PartialEq)]
pub struct TenantTable {
    tenants: BTreeMap<Name, TenantRule>,
    /// Tenant names by API key.
    names_by_key: BTreeMap<ApiKeyHash, Name>,
}

impl TenantTable {
    /// Creates a table without tenants, so that no API key is valid.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a tenant and its API keys.
    #[must_use]
    pub fn with_tenant(mut self, rule: TenantRule, api_keys: &[&str]) -> Self {
        for api_key in api_keys {
            self.names_by_key
                .insert(ApiKeyHash::new(api_key), Name::clone(&rule.name));
        }
        self.tenants.insert(Name::clone(&rule.name), rule);
        self
    }

    /// Returns the tenant that holds an API key.
    #[must_use]
    pub fn authenticate(&self, api_key: &str) -> Option<&TenantRule> {
        self.find_by_hash(ApiKeyHash::new(api_key))
    }

    /// Returns the tenant that holds the API key with this hash.
    #[must_use]
    pub fn find_by_hash(&self, hash: ApiKeyHash) -> Option<&TenantRule> {
        self.tenants.get(self.names_by_key.get(&hash)?)
    }

    /// Returns a tenant by its name.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<&TenantRule> {
        self.tenants.get(name)
    }

    /// Iterates over all tenants in order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &TenantRule> {
        self.tenants.values()
    }

    /// Returns the number of tenants.
    #[must_use]
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Returns the number of API keys of all tenants.
    #[must_use]
    pub fn key_count(&self) -> usize {
        self.names_by_key.len()
    }

    /// Returns whether there are no tenants.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }
}

impl fmt::Debug for TenantTable {
    /// Formats the tenants without their API keys.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_list().entries(self.iter()).finish()
    }
}
