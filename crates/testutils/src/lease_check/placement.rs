//! Selection of monitors.

use jy_types::member::AgentId;
use jy_types::member::MemberRecord;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

/// Adds candidates to `kept` until the set has `count` monitors.
///
/// The first one comes from another rack of the agent's own availability zone if possible, each further one
/// from a zone that has the fewest monitors of the set.
#[must_use]
pub fn select_monitors(
    member: &MemberRecord,
    kept: Vec<&MemberRecord>,
    mut candidates: Vec<&MemberRecord>,
    count: usize,
    rng: &mut StdRng,
) -> Vec<AgentId> {
    candidates.shuffle(rng);
    let mut chosen = kept;
    while chosen.len() < count && !candidates.is_empty() {
        let rank = |candidate: &&&MemberRecord| rank_of(member, &chosen, candidate);
        let best = candidates.iter().min_by_key(rank).copied();
        let Some(best) = best else { break };
        candidates.retain(|candidate| candidate.id != best.id);
        chosen.push(best);
    }
    chosen.iter().map(|record| record.id.clone()).collect()
}

/// Returns the rank of a candidate; the lowest rank is chosen.
///
/// Candidates in the agent's own rack come last. The others are ordered by the number of chosen monitors in
/// their zone; of those with equal numbers, candidates in the agent's own zone come first.
fn rank_of(
    member: &MemberRecord,
    chosen: &[&MemberRecord],
    candidate: &MemberRecord,
) -> (bool, usize, bool) {
    let zone = &candidate.place.zone;
    let in_zone = chosen.iter().filter(|other| other.place.zone == *zone);
    let is_own_zone = *zone == member.place.zone;
    let is_own_rack = is_own_zone && candidate.place.rack == member.place.rack;
    (is_own_rack, in_zone.count(), !is_own_zone)
}
