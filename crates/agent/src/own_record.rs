//! Reads the agent's own record while it has no lease, to prove that there is no verdict on it.
//!
//! A monitor supports other agents only until one grace period after the latest time before which it knows
//! that there was no verdict on itself. Its lease normally shows that, but in a fleet that starts slowly no
//! agent has a lease yet.

use std::rc::Rc;
use std::time::Duration;

use jy_kernel::clock;
use jy_store::client::StoreClient;
use jy_store::protocol::RecordsAnswer;
use jy_types::member::AgentId;
use jy_types::member::MemberRecord;
use jy_types::record::member_key;
use tokio::time::sleep;

use crate::lease::LeaseService;

/// Interval between reads while the agent has no lease, in milliseconds.
const READ_INTERVAL_MS: u64 = 1_000;

/// Reads the agent's own record regularly while the agent has no lease. Never returns.
pub async fn watch(leases: Rc<LeaseService>, store: StoreClient, id: AgentId) {
    let key = member_key(&id);
    loop {
        sleep(Duration::from_millis(READ_INTERVAL_MS)).await;
        let sent = clock::now();
        if sent < leases.lease_until() {
            continue;
        }
        let answer = store.list(&key).await;
        if answer.is_ok_and(|answer| is_present(&answer, &id)) {
            leases.record_no_verdict(sent);
        }
    }
}

/// Returns whether an answer contains the record of the incarnation `id` and that incarnation has not ended.
#[must_use]
pub fn is_present(answer: &RecordsAnswer, id: &AgentId) -> bool {
    let key = member_key(id);
    let own = answer.records.iter().find(|record| record.key == key);
    let text = own.and_then(|record| record.value.as_deref());
    let member = text.and_then(|text| serde_json::from_str::<MemberRecord>(text).ok());
    member.is_some_and(|member| !member.state.has_ended())
}
