//! Settings of random schedules.

use jy_lease::rule::BrokenRule;
use jy_lease::timing::LeaseTiming;
use rand::rngs::StdRng;

use super::fault::TimedFault;
use super::fault::draw_isolated_monitor;
use super::fault::draw_mixed;
use super::network::NetworkProfile;

/// Whether dead monitors count as votes, and until when monitors may support other agents as a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndedMonitorRule {
    /// Dead monitors never count. Monitors support other agents without a lease of their own.
    NotCounted,
    /// Dead monitors count once all of their support must have expired. Monitors support other agents until
    /// [`LeaseTiming::monitor_grace_ms`] after the end of their own lease.
    Counted,
}

/// A function that draws the faults of a schedule.
pub type DrawFaults = fn(&CheckSettings, &mut StdRng) -> Vec<TimedFault>;

/// Settings of a schedule.
#[derive(Clone, Debug)]
pub struct CheckSettings {
    /// Draws the faults of a schedule.
    pub draw_faults: DrawFaults,
    /// Number of instances, each of which runs one agent at the start.
    pub agents: usize,
    /// Number of availability zones that the instances are distributed over.
    pub zones: usize,
    /// Number of racks in each zone.
    pub racks: usize,
    /// Number of monitors in each agent's set.
    pub monitors: usize,
    /// Number of controllers that are active at the same time.
    pub controllers: usize,
    /// How long a controller collects records, votes and reports before its first decision, in milliseconds.
    pub observation_ms: u64,
    /// Periods of the lease protocol.
    pub timing: LeaseTiming,
    /// Whether dead monitors count as votes.
    pub ended_monitor_rule: EndedMonitorRule,
    /// Whether an agent without a lease reads its own record, so that it can continue to support others.
    pub reads_own_record: bool,
    /// Network until `unreliable_until`; a reliable one follows.
    pub network: NetworkProfile,
    /// Maximum drift of a clock in either direction, in parts per million.
    pub drift_ppm: i64,
    /// Whether clocks on instances with an even number lose, and all other clocks gain, the maximum drift.
    pub opposed_drift: bool,
    /// Real time at which `network` gives way to a reliable network, in milliseconds.
    pub unreliable_until: u64,
    /// Duration of a schedule in real milliseconds.
    pub duration_ms: u64,
    /// The rule to break; none in a normal schedule.
    pub broken: Option<BrokenRule>,
}

/// Zone and rack of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotPlace {
    /// Number of the zone.
    pub zone: usize,
    /// Number of the rack within the zone.
    pub rack: usize,
}

/// See [`CheckSettings::observation_ms`].
const OBSERVATION_MS: u64 = 1_500;
/// Smallest fleet size in mixed schedules.
const MIN_AGENTS: u64 = 3;
/// Number of different fleet sizes in mixed schedules.
const FLEET_SIZES: u64 = 6;
/// Maximum drift that the default drift margin covers, in parts per million.
const MAX_DRIFT_PPM: i64 = 14_000;

impl CheckSettings {
    /// Returns settings with all kinds of faults in an unreliable network; the seed selects the fleet size.
    #[must_use]
    pub fn mixed(seed: u64) -> Self {
        let agents = MIN_AGENTS + seed % FLEET_SIZES;
        Self {
            agents: usize::try_from(agents).unwrap_or_default(),
            ..Self::new(draw_mixed)
        }
    }

    /// Returns settings in which a monitor leaves or is found dead while an agent still reaches it. Even
    /// seeds have opposed drifts.
    #[must_use]
    pub fn isolated_monitor(seed: u64) -> Self {
        Self {
            opposed_drift: seed.is_multiple_of(2),
            agents: 4,
            network: NetworkProfile::reliable(),
            drift_ppm: MAX_DRIFT_PPM,
            ..Self::new(draw_isolated_monitor)
        }
    }

    /// Returns settings with `rule` broken, under which some seeds give an unsafe schedule.
    ///
    /// Rules about monitors that are dead or left need a schedule with an isolated monitor; all others show in
    /// mixed schedules.
    #[must_use]
    pub fn with_broken_rule(rule: BrokenRule, seed: u64) -> Self {
        let settings = match rule {
            BrokenRule::SupportWithoutLease
            | BrokenRule::WaitWithoutGrace
            | BrokenRule::WaitWithoutDrift
            | BrokenRule::LeftCounted => Self::isolated_monitor(seed),
            _ => Self::mixed(seed),
        };
        Self {
            broken: Some(rule),
            opposed_drift: settings.opposed_drift || rule == BrokenRule::WaitWithoutDrift,
            ..settings
        }
    }

    /// Returns settings with one controller and a reliable network, to measure the effects of single faults.
    #[must_use]
    pub fn reliable(agents: usize, draw_faults: DrawFaults) -> Self {
        Self {
            agents,
            controllers: 1,
            network: NetworkProfile::reliable(),
            ..Self::new(draw_faults)
        }
    }

    /// Returns settings of seven agents in an unreliable network.
    #[must_use]
    fn new(draw_faults: DrawFaults) -> Self {
        Self {
            draw_faults,
            agents: 7,
            zones: 3,
            racks: 2,
            monitors: 3,
            controllers: 2,
            observation_ms: OBSERVATION_MS,
            timing: LeaseTiming::default(),
            ended_monitor_rule: EndedMonitorRule::Counted,
            reads_own_record: true,
            network: NetworkProfile::unreliable(),
            drift_ppm: 10_000,
            opposed_drift: false,
            unreliable_until: 20_000,
            duration_ms: 38_000,
            broken: None,
        }
    }

    /// Returns the zone and rack of an instance.
    #[must_use]
    pub const fn place_of(&self, slot: usize) -> SlotPlace {
        SlotPlace {
            zone: slot % self.zones,
            rack: slot / self.zones % self.racks,
        }
    }
}
