//! Runs a schedule: nodes, controllers, store and network in virtual time.

use std::sync::Arc;

use jy_types::member::AgentId;
use jy_types::member::MemberState;
use jy_types::time::Millis;
use rand::Rng;
use rand::rngs::StdRng;

use super::clock::DriftClock;
use super::controller::ControllerInput;
use super::controller::ModelController;
use super::effects::SAMPLE_INTERVAL_MS;
use super::fault::Fault;
use super::fault::TimedFault;
use super::network::Machine;
use super::network::NetworkPartition;
use super::network::NetworkProfile;
use super::node::ModelNode;
use super::node::NodeInput;
use super::node::NodeOutput;
use super::outcome::CheckOutcome;
use super::queue::EventQueue;
use super::recorder::TraceRecorder;
use super::settings::CheckSettings;
use super::store::ModelStore;
use super::store::StoreWrite;
use super::store::StoredRecord;
use super::store::index_of;
use super::store::joining_record;
use crate::seeds;

/// An event at a real time.
#[derive(Debug)]
pub(super) enum WorldEvent {
    /// A tick of a node is due.
    NodeTick(usize),
    /// An input reaches a node.
    Node(usize, NodeInput),
    /// An input reaches a controller.
    Controller(usize, ControllerInput),
    /// A tick of a controller is due.
    ControllerTick(usize),
    /// A write reaches the store.
    Write(StoreWrite),
    /// A node's read of its own record, with the local time of sending, reaches the store.
    ReadOwnRecord(usize, Millis),
    /// A fault begins.
    Fault(Fault),
    /// A new incarnation starts on an instance.
    Start(usize),
    /// Agents report to the controllers, and the outcome is sampled.
    Sample,
}

/// Interval between a controller's decisions, in real milliseconds.
const CONTROLLER_TICK_MS: u64 = 100;
/// Real time after which an agent that exited because of a verdict starts again as a new incarnation.
const REJOIN_DELAY_MS: u64 = 200;

/// State of a running schedule. Vectors of nodes are indexed by incarnation number.
#[derive(Debug)]
pub struct World {
    pub(super) settings: CheckSettings,
    pub(super) rng: StdRng,
    pub(super) now: u64,
    pub(super) queue: EventQueue<WorldEvent>,
    pub(super) nodes: Vec<ModelNode>,
    pub(super) killed_at: Vec<Option<u64>>,
    pub(super) verdict_at: Vec<Option<u64>>,
    pub(super) controllers: Vec<ModelController>,
    pub(super) store: ModelStore,
    pub(super) store_down_until: u64,
    pub(super) partitions: Vec<NetworkPartition>,
    pub(super) outcome: CheckOutcome,
    pub(super) is_unsafe: bool,
    pub(super) recorded_slot: Option<usize>,
    pub(super) recorder: Option<TraceRecorder>,
}

/// Runs a schedule of random faults.
#[must_use]
pub fn run_random(settings: &CheckSettings, seed: u64) -> CheckOutcome {
    let mut rng = seeds::rng(seed);
    let faults = (settings.draw_faults)(settings, &mut rng);
    let mut outcome = World::new(settings.clone(), faults, rng).run();
    outcome.unsafe_seed = (outcome.unsafe_schedules > 0).then_some(seed);
    outcome
}

impl World {
    /// Prepares a schedule.
    pub(super) fn new(settings: CheckSettings, faults: Vec<TimedFault>, rng: StdRng) -> Self {
        let mut world = Self {
            settings,
            rng,
            now: 0,
            queue: EventQueue::new(),
            nodes: Vec::new(),
            killed_at: Vec::new(),
            verdict_at: Vec::new(),
            controllers: Vec::new(),
            store: ModelStore::default(),
            store_down_until: 0,
            partitions: Vec::new(),
            outcome: CheckOutcome {
                schedules: 1,
                ..CheckOutcome::default()
            },
            is_unsafe: false,
            recorded_slot: None,
            recorder: None,
        };
        for controller in 0..world.settings.controllers {
            let clock = DriftClock::draw(&world.settings, false, &mut world.rng);
            let model = ModelController::new(&world.settings, clock);
            world.controllers.push(model);
            world.queue.push(1, WorldEvent::ControllerTick(controller));
        }
        for slot in 0..world.settings.agents {
            let start = world.rng.random_range(0..300);
            world.queue.push(start, WorldEvent::Start(slot));
        }
        world.queue.push(SAMPLE_INTERVAL_MS, WorldEvent::Sample);
        for fault in faults {
            world.queue.push(fault.at, WorldEvent::Fault(fault.fault));
        }
        world
    }

    /// Runs the schedule and returns its outcome.
    fn run(mut self) -> CheckOutcome {
        self.run_events();
        self.finish()
    }

    /// Handles all events up to the end of the schedule.
    pub(super) fn run_events(&mut self) {
        while let Some((at, event)) = self.queue.pop() {
            if at > self.settings.duration_ms {
                break;
            }
            self.now = at;
            self.handle_event(event);
        }
    }

    fn handle_event(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::NodeTick(index) => self.tick_node(index),
            WorldEvent::Node(index, input) => self.deliver_to_node(index, input),
            WorldEvent::Controller(index, input) => self.deliver_to_controller(index, input),
            WorldEvent::ControllerTick(index) => self.tick_controller(index),
            WorldEvent::Write(write) => self.apply_write(write),
            WorldEvent::ReadOwnRecord(index, sent) => self.read_own_record(index, sent),
            WorldEvent::Fault(fault) => self.inject_fault(fault),
            WorldEvent::Start(slot) => self.start(slot),
            WorldEvent::Sample => self.sample(),
        }
    }

    /// Starts a new incarnation on an instance. It writes its own record and receives all others.
    fn start(&mut self, slot: usize) {
        let index = self.nodes.len();
        let id = AgentId::new(format!("a{slot}"), index as u64);
        let place = self.settings.place_of(slot);
        let record = Arc::new(joining_record(id, place));
        self.store.add_incarnation(record.clone());
        let is_slow = slot.is_multiple_of(2);
        let clock = DriftClock::draw(&self.settings, is_slow, &mut self.rng);
        let node = ModelNode::new(&self.settings, record, slot, clock, self.now);
        self.nodes.push(node);
        self.record_node(index);
        self.killed_at.push(None);
        self.verdict_at.push(None);
        for known in 0..index {
            let stored = self.store.record(known).clone();
            self.send_record_to_node(index, stored);
        }
        self.queue_tick(index);
    }

    /// Queues a node's next tick unless an earlier one is queued.
    fn queue_tick(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let at = node.next_tick().max(self.now + 1);
        if node.queued_tick_at.is_none_or(|queued| at < queued) {
            node.queued_tick_at = Some(at);
            self.queue.push(at, WorldEvent::NodeTick(index));
        }
    }

    fn tick_node(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if node.queued_tick_at != Some(self.now) {
            return;
        }
        node.queued_tick_at = None;
        self.deliver_to_node(index, NodeInput::Tick);
    }

    /// Delivers an input to a node, or queues it again if the process is frozen or its records are delayed.
    pub(super) fn deliver_to_node(&mut self, index: usize, input: NodeInput) {
        let node = &mut self.nodes[index];
        if !node.is_alive {
            return;
        }
        let is_record = matches!(input, NodeInput::Record(_));
        let records_delayed_until = if is_record {
            node.records_delayed_until
        } else {
            0
        };
        let blocked_until = node.frozen_until.max(records_delayed_until);
        if self.now < blocked_until {
            let at = blocked_until + self.rng.random_range(0..3);
            self.queue.push(at, WorldEvent::Node(index, input));
            return;
        }
        let outputs = node.handle_input(self.now, input);
        self.record_steps(index);
        self.check_invariant(index);
        for output in outputs {
            self.handle_output(index, output);
        }
        self.queue_tick(index);
    }

    fn handle_output(&mut self, index: usize, output: NodeOutput) {
        let from = Machine::Slot(self.nodes[index].slot);
        match output {
            NodeOutput::Send { to, input } => {
                self.outcome.messages += 1;
                let to = index_of(&to);
                let machine = Machine::Slot(self.nodes[to].slot);
                self.send(from, machine, WorldEvent::Node(to, input));
            }
            NodeOutput::Vote { target } => {
                let voter = self.nodes[index].id.clone();
                let input = ControllerInput::Vote {
                    from: voter,
                    target,
                };
                self.notify_controllers(from, &input);
            }
            NodeOutput::ReadOwnRecord { sent } => {
                self.send(from, Machine::Store, WorldEvent::ReadOwnRecord(index, sent));
            }
            NodeOutput::Write(write) => self.send_write(from, write),
            NodeOutput::Exit => self.exit(index),
        }
    }

    /// Ends a process whose incarnation has ended; after a verdict, a new incarnation starts later.
    fn exit(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.is_alive = false;
        let slot = node.slot;
        if self.store.record(index).record.state == MemberState::Dead {
            let at = self.now + REJOIN_DELAY_MS;
            self.queue.push(at, WorldEvent::Start(slot));
        }
    }

    /// Sends an input to all controllers.
    pub(super) fn notify_controllers(&mut self, from: Machine, input: &ControllerInput) {
        for controller in 0..self.controllers.len() {
            let event = WorldEvent::Controller(controller, input.clone());
            self.send(from, Machine::Controller(controller), event);
        }
    }

    /// Delivers an input to a controller, or queues it again if the process is frozen.
    pub(super) fn deliver_to_controller(&mut self, index: usize, input: ControllerInput) {
        let controller = &mut self.controllers[index];
        if self.now < controller.frozen_until {
            let at = controller.frozen_until + self.rng.random_range(0..3);
            self.queue.push(at, WorldEvent::Controller(index, input));
            return;
        }
        self.record_controller(index, &input);
        let controller = &mut self.controllers[index];
        let writes = controller.handle_input(self.now, input, &mut self.rng);
        for write in writes {
            self.send_write(Machine::Controller(index), write);
        }
    }

    fn tick_controller(&mut self, index: usize) {
        self.deliver_to_controller(index, ControllerInput::Tick);
        let frozen = self.controllers[index].frozen_until;
        let at = frozen.max(self.now) + CONTROLLER_TICK_MS;
        self.queue.push(at, WorldEvent::ControllerTick(index));
    }

    fn send_write(&mut self, from: Machine, write: StoreWrite) {
        self.send(from, Machine::Store, WorldEvent::Write(write));
    }

    /// Sends a message through the network, which may delay or lose it.
    fn send(&mut self, from: Machine, to: Machine, event: WorldEvent) {
        let is_dropped_by = |partition: &NetworkPartition| {
            let in_force = partition.begin <= self.now && self.now < partition.end;
            in_force && partition.from.contains(from) && partition.to.contains(to)
        };
        if self.partitions.iter().any(is_dropped_by) {
            return;
        }
        let delay = self.profile().draw(&mut self.rng);
        if let Some(delay) = delay {
            self.queue.push(self.now + delay, event);
        }
    }

    fn profile(&self) -> NetworkProfile {
        if self.now < self.settings.unreliable_until {
            self.settings.network
        } else {
            NetworkProfile::reliable()
        }
    }

    fn is_store_down(&self) -> bool {
        self.now < self.store_down_until
    }

    /// Applies a write and distributes the new record. The writer gets no reply and only learns the result
    /// from the record, as if every reply were lost.
    fn apply_write(&mut self, write: StoreWrite) {
        if self.is_store_down() {
            return;
        }
        let index = index_of(&write.record.id);
        let before = self.store.record(index).record.clone();
        let Some(stored) = self.store.apply(write).cloned() else {
            return;
        };
        let is_next_promoted = before.next_monitors.is_some()
            && stored.record.next_monitors.is_none()
            && !stored.record.state.has_ended();
        self.outcome.promotions += u64::from(is_next_promoted);
        if stored.record.state == MemberState::Dead && self.verdict_at[index].is_none() {
            self.verdict_at[index] = Some(self.now);
            self.count_verdict(index);
            self.check_invariant(index);
        }
        self.distribute(&stored);
    }

    fn read_own_record(&mut self, index: usize, sent: Millis) {
        let stored = self.store.record(index).clone();
        if self.is_store_down() || stored.revision == 0 {
            return;
        }
        let to = Machine::Slot(self.nodes[index].slot);
        let input = NodeInput::OwnRecordRead { sent, stored };
        self.send(Machine::Store, to, WorldEvent::Node(index, input));
    }

    /// Distributes a record to all nodes and controllers, with delays but without losses.
    fn distribute(&mut self, stored: &StoredRecord) {
        for index in 0..self.nodes.len() {
            self.send_record_to_node(index, stored.clone());
        }
        for controller in 0..self.controllers.len() {
            let delay = self.record_delay();
            let input = ControllerInput::Record(stored.clone());
            let event = WorldEvent::Controller(controller, input);
            self.queue.push(self.now + delay, event);
        }
    }

    fn send_record_to_node(&mut self, index: usize, stored: StoredRecord) {
        if self.nodes[index].is_alive && stored.revision > 0 {
            let delay = self.record_delay();
            let event = WorldEvent::Node(index, NodeInput::Record(stored));
            self.queue.push(self.now + delay, event);
        }
    }

    fn record_delay(&mut self) -> u64 {
        let profile = self.profile();
        profile.draw(&mut self.rng).unwrap_or(profile.max_slow_ms)
    }

    fn finish(mut self) -> CheckOutcome {
        let is_undetected = |index: &usize| {
            let stored = self.store.record(*index);
            let is_undecided = stored.revision > 0 && !stored.record.state.has_ended();
            self.killed_at[*index].is_some() && is_undecided
        };
        self.outcome.undetected_losses = (0..self.nodes.len()).filter(is_undetected).count() as u64;
        self.outcome.unsafe_schedules = u64::from(self.is_unsafe);
        self.outcome
    }
}
