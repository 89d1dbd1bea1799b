//! Tests of the controller's decision.

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

/// A controller on records that change as it writes.
struct ControlBench {
    state: Option<ControlState>,
    records: BTreeMap<Name, Record>,
    revision: u64,
    now: u64,
    writes: usize,
}

impl ControlBench {
    fn new(term: u64) -> Self {
        let mut bench = Self {
            state: Some(ControlState::new(ControlSettings::default(), 1)),
            records: BTreeMap::new(),
            revision: 0,
            now: 1_000,
            writes: 0,
        };
        bench.put(workspace_key("w"), WORKSPACE);
        bench.send(ControlEvent::Elected { term });
        bench
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
        };
        self.send(ControlEvent::Records(batch));
    }

    fn send(&mut self, event: ControlEvent) {
        let state = self.state.take().unwrap();
        let (state, actions) = state.step(Millis(self.now), event);
        self.state = Some(state);
        for ControlAction::Write { key, expect, value } in actions {
            self.writes += 1;
            let found = self.records.get(&key).map_or(0, |record| record.revision);
            assert_eq!(found, expect, "a write expects the newest revision");
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

    /// Slices by owner name, those without one under the empty name.
    fn counts(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for number in 0..PAGES {
            let page: PageRecord = self.read(&page_key("w", "s", number)).unwrap_or_default();
            for grant in &page.slices {
                let owner = grant.owner.map(|index| &page.owners[usize::from(index)]);
                let name = owner.map_or(String::new(), |owner| owner.name.to_string());
                *counts.entry(name).or_default() += 1;
            }
        }
        counts
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

    /// Lets an owner release everything that is to move.
    fn release(&mut self, name: &str) {
        let mut units = Vec::new();
        for number in 0..PAGES {
            let page: PageRecord = self.read(&page_key("w", "s", number)).unwrap();
            for (place, grant) in page.slices.iter().enumerate() {
                if grant.next.is_some() {
                    units.push(ReleasedUnit {
                        unit: Unit::Slice(SliceId(number * 1024 + place as u32)),
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

fn three() -> ControlBench {
    let mut bench = ControlBench::new(1);
    for (name, zone) in [("x", "a"), ("y", "b"), ("z", "c")] {
        bench.join(name, zone);
    }
    bench.run(3_000);
    bench
}

#[gtest]
fn step_agent_alone_waits() {
    let mut bench = ControlBench::new(1);
    bench.join("x", "a");
    bench.run(3_000);
    expect_that!(bench.member("x").state, eq(MemberState::Joining));
}

#[gtest]
fn step_three_agents_own_even_shares() {
    let bench = three();
    expect_that!(bench.member("x").state, eq(MemberState::Live));
    expect_that!(bench.member("x").monitors.monitors.len(), eq(1));
    let counts: Vec<usize> = bench.counts().into_values().collect();
    expect_that!(counts, eq(&vec![5462, 5461, 5461]));
}

#[gtest]
fn step_settled_fleet_writes_nothing() {
    let mut bench = three();
    let before = bench.writes;
    bench.run(10_000);
    expect_that!(bench.writes, eq(before));
}

#[gtest]
fn step_leaving_agent_hands_over_and_left() {
    let mut bench = three();
    bench.report("x", true);
    bench.run(500);
    expect_that!(bench.member("x").state, eq(MemberState::Leaving));
    expect_that!(bench.counts()["x"], eq(5462));
    bench.release("x");
    bench.run(1_000);
    expect_that!(bench.counts().get("x"), none());
    expect_that!(bench.member("x").state, eq(MemberState::Left));
    expect_that!(bench.counts()["y"], eq(8192));
}

#[gtest]
fn step_zone_out_drains() {
    let mut bench = three();
    let out = WORKSPACE.replacen(r#""services""#, r#""zones_out":["b"],"services""#, 1);
    bench.put(workspace_key("w"), &out);
    bench.run(500);
    bench.release("y");
    bench.run(1_000);
    expect_that!(bench.counts().get("y"), none());
    expect_that!(bench.member("y").state, eq(MemberState::Live));
}

#[gtest]
fn step_fleet_restarted_at_once_gets_verdicts_on_all() {
    let mut bench = three();
    for (name, zone) in [("x", "a"), ("y", "b"), ("z", "c")] {
        let old = AgentId::new(name, 1);
        bench.join_as(AgentId::new(name, 2), zone, vec![old]);
    }
    bench.run(10_000);
    for name in ["x", "y", "z"] {
        expect_that!(bench.member(name).state, eq(MemberState::Dead));
    }
    let count: usize = bench.counts().into_values().sum();
    expect_that!(bench.counts().get(""), none());
    expect_that!(count, eq(16_384));
}

#[gtest]
fn step_monitor_that_left_is_no_vote() {
    let mut bench = three();
    let monitor = bench.member("x").monitors.monitors[0].clone();
    let mut left = bench.member(&monitor.name);
    left.state = MemberState::Left;
    let text = serde_json::to_string(&left).unwrap();
    bench.put(member_key(&monitor), &text);
    bench.run(15_000);
    expect_that!(bench.member("x").state, eq(MemberState::Live));
}

#[gtest]
fn step_release_of_an_older_grant_ends_nothing() {
    let mut bench = three();
    bench.report("x", true);
    bench.run(500);
    let unit = Unit::Slice(SliceId(0));
    let page: PageRecord = bench.read(&page_key("w", "s", 0)).unwrap();
    let owner = page.owners[usize::from(page.slices[0].owner.unwrap())].clone();
    let fence = Fence(page.slices[0].fence.0 - 1);
    let notice = ReleaseNotice {
        from: owner.clone(),
        workspace: "w".into(),
        service: "s".into(),
        units: vec![ReleasedUnit { unit, fence }],
    };
    bench.send(ControlEvent::Released(notice));
    bench.run(1_000);
    let page: PageRecord = bench.read(&page_key("w", "s", 0)).unwrap();
    let after = page.owners[usize::from(page.slices[0].owner.unwrap())].clone();
    expect_that!(after, eq(&owner));
}
