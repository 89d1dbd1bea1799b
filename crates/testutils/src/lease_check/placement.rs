//! Choice of monitors.

use jy_types::member::AgentId;
use jy_types::member::MemberRecord;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

/// Fills a set up to `count` from the candidates: one in the agent's own zone but another rack, then
/// zones that have the fewest monitors.
#[must_use]
pub fn fill_set(
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

/// Rank of a candidate, the lowest first: monitors already in its zone, its own zone before others,
/// its own rack last.
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
