//! What a check runs under.

use jy_lease::rule::BrokenRule;
use jy_lease::timing::LeaseTiming;
use rand::rngs::StdRng;

use super::fault::TimedFault;
use super::fault::draw_isolations;
use super::fault::draw_mixed;
use super::network::NetworkProfile;

/// Whether monitors that are over count as votes, and what that asks of monitors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndedMonitorRule {
    /// They never count; monitors support without a lease of their own.
    Plain,
    /// They count after a wait; monitors support for the grace of the timing after their own lease.
    Counted,
}

/// Draws the faults of a schedule.
pub type FaultDraw = fn(&CheckSettings, &mut StdRng) -> Vec<TimedFault>;

/// Settings of a schedule.
#[derive(Clone, Debug)]
pub struct CheckSettings {
    /// Draws the faults.
    pub draw: FaultDraw,
    /// Agents at the start.
    pub agents: usize,
    /// Availability zones they are spread over.
    pub zones: usize,
    /// Racks in each zone.
    pub racks: usize,
    /// Monitors of each agent.
    pub monitors: usize,
    /// Controllers that act at once.
    pub controllers: usize,
    /// A controller gets to know the fleet for this long before it appoints anybody.
    pub gather_ms: u64,
    /// Periods.
    pub timing: LeaseTiming,
    /// What monitors that are over count for.
    pub ended_monitor_rule: EndedMonitorRule,
    /// Whether an agent without a lease reads its own record to go on supporting others.
    pub reads_own_record: bool,
    /// Network during the faults; calm before and after.
    pub network: NetworkProfile,
    /// Largest drift of a clock either way, in parts per million.
    pub drift_ppm: i64,
    /// Whether instances of even number are as slow as allowed, all else as fast.
    pub opposed_drift: bool,
    /// Real time at which the rough network ends, in milliseconds.
    pub unreliable_until: u64,
    /// Length of a schedule in real milliseconds.
    pub length: u64,
    /// A rule left out.
    pub broken: Option<BrokenRule>,
}

/// Zone and rack of an instance, by number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotPlace {
    /// Zone.
    pub zone: usize,
    /// Rack within the zone.
    pub rack: usize,
}

/// See [`CheckSettings::gather_ms`].
const GATHER_MS: u64 = 1_500;
/// Fewest agents of a mixed schedule.
const FEWEST_AGENTS: u64 = 3;
/// Sizes of mixed schedules.
const AGENT_SIZES: u64 = 6;
/// The largest drift that the default margin covers, in parts per million.
const LARGEST_DRIFT_PPM: i64 = 14_000;

impl CheckSettings {
    /// Settings of a small fleet in a rough network, of a size that depends on the seed.
    #[must_use]
    pub fn mixed(seed: u64) -> Self {
        let agents = FEWEST_AGENTS + seed % AGENT_SIZES;
        Self {
            agents: usize::try_from(agents).unwrap_or_default(),
            ..Self::new(draw_mixed)
        }
    }

    /// Settings in which monitors are found over while an agent still reaches them; for even seeds
    /// with opposed drifts.
    #[must_use]
    pub fn isolating(seed: u64) -> Self {
        Self {
            opposed_drift: seed.is_multiple_of(2),
            agents: 4,
            network: NetworkProfile::reliable(),
            drift_ppm: LARGEST_DRIFT_PPM,
            ..Self::new(draw_isolations)
        }
    }

    /// Settings of a mixed schedule, or of one that a broken rule of over monitors shows in.
    #[must_use]
    pub fn provoking(rule: BrokenRule, seed: u64) -> Self {
        let settings = match rule {
            BrokenRule::SupportWithoutLease
            | BrokenRule::WaitWithoutGrace
            | BrokenRule::WaitWithoutDrift
            | BrokenRule::LeftCounted => Self::isolating(seed),
            _ => Self::mixed(seed),
        };
        Self {
            broken: Some(rule),
            opposed_drift: settings.opposed_drift || rule == BrokenRule::WaitWithoutDrift,
            ..settings
        }
    }

    /// Settings of a reliable network, to see what single faults do.
    #[must_use]
    pub fn reliable(agents: usize, draw: FaultDraw) -> Self {
        Self {
            agents,
            controllers: 1,
            network: NetworkProfile::reliable(),
            ..Self::new(draw)
        }
    }

    /// Settings of a small fleet in a rough network.
    #[must_use]
    fn new(draw: FaultDraw) -> Self {
        Self {
            draw,
            agents: 7,
            zones: 3,
            racks: 2,
            monitors: 3,
            controllers: 2,
            gather_ms: GATHER_MS,
            timing: LeaseTiming::default(),
            ended_monitor_rule: EndedMonitorRule::Counted,
            reads_own_record: true,
            network: NetworkProfile::unreliable(),
            drift_ppm: 10_000,
            opposed_drift: false,
            unreliable_until: 20_000,
            length: 38_000,
            broken: None,
        }
    }

    /// Where an instance stands.
    #[must_use]
    pub const fn place_of(&self, slot: usize) -> SlotPlace {
        SlotPlace {
            zone: slot % self.zones,
            rack: slot / self.zones % self.racks,
        }
    }
}
