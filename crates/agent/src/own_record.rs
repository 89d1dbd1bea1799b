//! Proof, without a lease, that there is no verdict on this agent: a read of its own record.
//!
//! A monitor supports others only until one grace after the newest point before which it knows that
//! there was no verdict on it. In a fleet that starts slowly nobody has a lease to know it from.

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

/// Time between reads while there is no lease.
const READ_EVERY_MS: u64 = 1_000;

/// Reads the own record for as long as the agent has no lease. Never returns.
pub async fn watch(leases: Rc<LeaseService>, store: StoreClient, id: AgentId) {
    let key = member_key(&id);
    loop {
        sleep(Duration::from_millis(READ_EVERY_MS)).await;
        let sent = clock::now();
        if sent < leases.lease_until() {
            continue;
        }
        let answer = store.list(&key).await;
        if answer.is_ok_and(|answer| is_present(&answer, &id)) {
            leases.note_no_verdict(sent);
        }
    }
}

/// Whether an answer holds the record of an incarnation that is not over.
#[must_use]
pub fn is_present(answer: &RecordsAnswer, id: &AgentId) -> bool {
    let key = member_key(id);
    let own = answer.records.iter().find(|record| record.key == key);
    let text = own.and_then(|record| record.value.as_deref());
    let member = text.and_then(|text| serde_json::from_str::<MemberRecord>(text).ok());
    member.is_some_and(|member| !member.state.has_ended())
}
