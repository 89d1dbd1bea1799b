//! Tests of the controller's state machine.

#![expect(
    clippy::unwrap_used,
    clippy::missing_panics_doc,
    reason = "helpers of tests may panic"
)]

use std::collections::BTreeMap;

use googletest::prelude::*;
use jy_control::api::ControlAction;
use jy_control::api::ControlEvent;
use jy_control::api::ControlSettings;
use jy_control::api::WriteOutcome;
use jy_control::core::ControlState;
use jy_types::assign::Fence;
use jy_types::assign::PageRecord;
use jy_types::key::PAGES;
use jy_types::key::SliceId;
use jy_types::key::Unit;
use jy_types::member::AgentAddrs;
use jy_types::member::AgentId;
use jy_types::member::Endpoint;
use jy_types::member::MemberRecord;
use jy_types::member::MemberState;
use jy_types::member::Place;
use jy_types::name::Name;
use jy_types::peer::AgentReport;
use jy_types::peer::ReleaseNotice;
use jy_types::peer::ReleasedUnit;
use jy_types::record::Record;
use jy_types::record::RecordBatch;
use jy_types::record::member_key;
use jy_types::record::page_key;
use jy_types::record::workspace_key;
use jy_types::time::Millis;
use serde::de::DeserializeOwned;

/// A controller whose writes are applied to its records at once.
struct ControllerHarness {
    state: Option<ControlState>,
    records: BTreeMap<Name, Record>,
    revision: u64,
    now: u64,
    writes: usize,
}

impl ControllerHarness {
    fn new(term: u64) -> Self {
        let mut harness = Self {
            state: Some(ControlState::new(ControlSettings::default(), 1)),
            records: BTreeMap::new(),
            revision: 0,
            now: 1_000,
            writes: 0,
        };
        harness.put(workspace_key("w"), WORKSPACE);
        harness.send(ControlEvent::Elected { term });
        harness
    }

    fn put(&mut self, key: Name, text: &str) {
        self.revision += 1;
        let record = Record {
            key: key.clone(),
            revision: self.revision,
            value: Some(text.into()),
        };
        self.records.insert(key, record.clone());
        let batch = RecordBatch {
            records: vec![record],
            complete_to: self.revision,
            era: 0,
        };
        self.send(ControlEvent::Records(batch));
    }

    fn send(&mut self, event: ControlEvent) {
        let state = self.state.take().unwrap();
        let (state, actions) = state.step(Millis(self.now), event);
        self.state = Some(state);
        for ControlAction::Write { key, expect, value } in actions {
            self.writes += 1;
            let newest = self.records.get(&key).map_or(0, |record| record.revision);
            assert_eq!(
                newest, expect,
                "a write must expect the newest revision of its key"
            );
            self.put(key.clone(), &value.unwrap());
            let revision = self.revision;
            let end = WriteOutcome::Applied { revision };
            self.send(ControlEvent::Written { key, end });
        }
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis / 20 {
            self.now += 20;
            self.send(ControlEvent::Tick);
        }
    }

    fn read<T: DeserializeOwned>(&self, key: &str) -> Option<T> {
        let value = self.records.get(key)?.value.clone()?;
        Some(serde_json::from_str(&value).unwrap())
    }

    fn member(&self, name: &str) -> MemberRecord {
        self.read(&member_key(&AgentId::new(name, 1))).unwrap()
    }

    fn join(&mut self, name: &str, zone: &str) {
        self.join_as(AgentId::new(name, 1), zone, Vec::new());
    }

    fn join_as(&mut self, id: AgentId, zone: &str, replaces: Vec<AgentId>) {
        let addr = "127.0.0.1:1".parse().unwrap();
        let rack = id.name.clone();
        let record = MemberRecord {
            endpoint: Some(Endpoint {
                workspace: "w".into(),
                service: "s".into(),
                slots: 6,
                checks_fence: true,
            }),
            replaces,
            ..MemberRecord::new(id, Place::new("r", zone, rack), AgentAddrs::new(addr))
        };
        let text = serde_json::to_string(&record).unwrap();
        self.put(member_key(&record.id), &text);
    }

    /// Returns the number of slices by name of the owner, under the empty name for slices without one.
    fn slices_by_owner(&self) -> BTreeMap<String, usize> {
        let mut slices_by_owner = BTreeMap::new();
        for number in 0..PAGES {
            let page: PageRecord = self.read(&page_key("w", "s", number)).unwrap_or_default();
            for grant in &page.slices {
                let owner = grant.owner.map(|index| &page.owners[usize::from(index)]);
                let name = owner.map_or(String::new(), |owner| owner.name.to_string());
                *slices_by_owner.entry(name).or_default() += 1;
            }
        }
        slices_by_owner
    }

    fn report(&mut self, name: &str, leaving: bool) {
        let report = AgentReport {
            from: AgentId::new(name, 1),
            monitors_epoch: 1_000,
            leaving,
            revision: self.revision,
            slices: Vec::new(),
            keys: Vec::new(),
        };
        self.send(ControlEvent::Report(report));
    }

    /// Sends an owner's release of all slices in planned moves.
    fn release(&mut self, name: &str) {
        let mut units = Vec::new();
        for number in 0..PAGES {
            let page: PageRecord = self.read(&page_key("w", "s", number)).unwrap();
            for (offset, grant) in page.slices.iter().enumerate() {
                if grant.next_owner.is_some() {
                    units.push(ReleasedUnit {
                        unit: Unit::Slice(SliceId(number * 1024 + offset as u32)),
                        fence: grant.fence,
                    });
                }
            }
        }
        let notice = ReleaseNotice {
            from: AgentId::new(name, 1),
            workspace: "w".into(),
            service: "s".into(),
            units,
        };
        self.send(ControlEvent::Released(notice));
    }
}

const WORKSPACE: &str = r#"{"name":"w","zones":["a","b","c"],"services":[{"name":"s",
    "keyed":true,"slots":6,"connections":110,"timeout_ms":1000,"target":{
    "availability_percent":99.9,"latency_percent":99.0,"latency_ms":18,
    "key_unavailable_ms":5000}}]}"#;

/// Returns a controller with three live agents in three availability zones and all slices granted.
fn three_live_agents() -> ControllerHarness {
    let mut harness = ControllerHarness::new(1);
    for (name, zone) in [("x", "a"), ("y", "b"), ("z", "c")] {
        harness.join(name, zone);
    }
    harness.run(3_000);
    harness
}

#[gtest]
fn step_single_agent_stays_joining() {
    let mut harness = ControllerHarness::new(1);
    harness.join("x", "a");
    harness.run(3_000);
    expect_that!(harness.member("x").state, eq(MemberState::Joining));
}

#[gtest]
fn step_three_agents_own_even_shares() {
    let harness = three_live_agents();
    expect_that!(harness.member("x").state, eq(MemberState::Live));
    expect_that!(harness.member("x").monitors.monitors.len(), eq(1));
    let slice_counts: Vec<usize> = harness.slices_by_owner().into_values().collect();
    expect_that!(slice_counts, eq(&vec![5462, 5461, 5461]));
}

#[gtest]
fn step_settled_fleet_writes_nothing() {
    let mut harness = three_live_agents();
    let writes_before = harness.writes;
    harness.run(10_000);
    expect_that!(harness.writes, eq(writes_before));
}

#[gtest]
fn step_leaving_agent_hands_over_units() {
    let mut harness = three_live_agents();
    harness.report("x", true);
    harness.run(500);
    expect_that!(harness.member("x").state, eq(MemberState::Leaving));
    expect_that!(harness.slices_by_owner()["x"], eq(5462));
    harness.release("x");
    harness.run(1_000);
    expect_that!(harness.slices_by_owner().get("x"), none());
    expect_that!(harness.member("x").state, eq(MemberState::Left));
    expect_that!(harness.slices_by_owner()["y"], eq(8192));
}

#[gtest]
fn step_zone_out_moves_units_away() {
    let mut harness = three_live_agents();
    let out = WORKSPACE.replacen(r#""services""#, r#""zones_out":["b"],"services""#, 1);
    harness.put(workspace_key("w"), &out);
    harness.run(500);
    harness.release("y");
    harness.run(1_000);
    expect_that!(harness.slices_by_owner().get("y"), none());
    expect_that!(harness.member("y").state, eq(MemberState::Live));
}

#[gtest]
fn step_fleet_restarted_at_once_gets_verdicts_on_all() {
    let mut harness = three_live_agents();
    for (name, zone) in [("x", "a"), ("y", "b"), ("z", "c")] {
        let old = AgentId::new(name, 1);
        harness.join_as(AgentId::new(name, 2), zone, vec![old]);
    }
    harness.run(10_000);
    for name in ["x", "y", "z"] {
        expect_that!(harness.member(name).state, eq(MemberState::Dead));
    }
    let count: usize = harness.slices_by_owner().into_values().sum();
    expect_that!(harness.slices_by_owner().get(""), none());
    expect_that!(count, eq(16_384));
}

// A monitor that left may support others until its own lease ends, so its departure must not count as a vote.
#[gtest]
fn step_monitor_that_left_does_not_count_as_vote() {
    let mut harness = three_live_agents();
    let monitor = harness.member("x").monitors.monitors[0].clone();
    let mut left = harness.member(&monitor.name);
    left.state = MemberState::Left;
    let text = serde_json::to_string(&left).unwrap();
    harness.put(member_key(&monitor), &text);
    harness.run(15_000);
    expect_that!(harness.member("x").state, eq(MemberState::Live));
}

// A late release of an earlier grant must not end the present grant.
#[gtest]
fn step_release_under_older_fence_is_ignored() {
    let mut harness = three_live_agents();
    harness.report("x", true);
    harness.run(500);
    let unit = Unit::Slice(SliceId(0));
    let page: PageRecord = harness.read(&page_key("w", "s", 0)).unwrap();
    let owner_before = page.owners[usize::from(page.slices[0].owner.unwrap())].clone();
    let fence = Fence(page.slices[0].fence.0 - 1);
    let notice = ReleaseNotice {
        from: owner_before.clone(),
        workspace: "w".into(),
        service: "s".into(),
        units: vec![ReleasedUnit { unit, fence }],
    };
    harness.send(ControlEvent::Released(notice));
    harness.run(1_000);
    let page: PageRecord = harness.read(&page_key("w", "s", 0)).unwrap();
    let owner_after = page.owners[usize::from(page.slices[0].owner.unwrap())].clone();
    expect_that!(owner_after, eq(&owner_before));
}
