//! Tests of accepting configurations with concurrent changes and lost answers.

use std::rc::Rc;

use futures_util::FutureExt;
use googletest::prelude::*;
use jy_ctl::accept;
use jy_ctl::accept::AcceptOutcome;
use jy_ctl::accept::ChangeAuthor;
use jy_ctl::accept::PauseFn;
use jy_ctl::command::CommandOutcome;
use jy_ctl::configure;
use jy_ctl::error::CtlError;
use jy_ctl::error::EXIT_FINDINGS;
use jy_ctl::error::EXIT_OK;
use jy_ctl::error::EXIT_UNREACHABLE;
use jy_ctl::files;
use jy_ctl::zone;
use jy_ctl::zone::ZoneChange;
use jy_ctl::zone::ZoneOutcome;
use jy_store::memory::FakeStore;
use jy_store::memory::StoreFault;
use jy_types::workspace::WorkspaceRecord;

const EXAMPLE_PATH: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../../examples/seal-registry.jsonc"
);

fn pause() -> PauseFn {
    Rc::new(|_| Box::pin(async {}))
}

fn author(name: &str) -> ChangeAuthor {
    ChangeAuthor {
        name: name.into(),
        note: None,
    }
}

/// Runs a future that uses only the in-memory store, which answers without waiting.
///
/// # Panics
///
/// If the future has to wait.
fn run_ready<T>(future: impl Future<Output = T>) -> T {
    future
        .now_or_never()
        .expect("the in-memory store answers without waiting")
}

/// Renders the example workspace with a given number of slots for each service.
///
/// # Panics
///
/// If the example has findings.
fn example_record(slots: u32) -> WorkspaceRecord {
    let mut record = files::render(EXAMPLE_PATH).expect("the example has no findings");
    record
        .services
        .iter_mut()
        .for_each(|service| service.slots = slots);
    record
}

/// Writes a record that is based on revision `base`.
///
/// # Panics
///
/// If the write fails.
fn write(store: &FakeStore, base: u64, record: WorkspaceRecord, by: &str) -> AcceptOutcome {
    let record = accept::prepare_record(record, base, &author(by));
    run_ready(accept::write(&store.client(), &pause(), base, &record)).expect("the write succeeds")
}

/// Accepts the example workspace with a given number of slots for each service.
///
/// # Errors
///
/// As [`configure::accept_record`].
fn accept_example(
    store: &FakeStore,
    slots: u32,
    base: Option<u64>,
) -> jy_ctl::error::Result<CommandOutcome> {
    let author = author("ada");
    run_ready(configure::accept_record(
        &store.client(),
        &pause(),
        EXAMPLE_PATH,
        base,
        example_record(slots),
        &author,
    ))
}

#[gtest]
fn write_same_base_rejects_second_and_returns_first() -> Result<()> {
    let store = FakeStore::new();
    verify_that!(
        write(&store, 0, example_record(6), "ada"),
        eq(&AcceptOutcome::Accepted { revision: 1 })
    )?;
    let AcceptOutcome::Rejected { current } = write(&store, 0, example_record(9), "bo") else {
        return fail!("the second write must be rejected");
    };
    verify_that!(current.revision, eq(1))?;
    verify_that!(accept::author_text(&current), starts_with("by ada at "))?;
    verify_that!(store.writes().len(), eq(1))
}

#[gtest]
fn write_stale_base_is_rejected() -> Result<()> {
    let store = FakeStore::new();
    write(&store, 0, example_record(6), "ada");
    write(&store, 1, example_record(7), "bo");
    verify_that!(
        write(&store, 1, example_record(6), "ada"),
        matches_pattern!(AcceptOutcome::Rejected { .. })
    )?;
    verify_that!(store.writes().len(), eq(2))
}

#[gtest]
fn write_lost_answer_takes_effect_once() -> Result<()> {
    for fault in [
        StoreFault::LostAnswer,
        StoreFault::LostCall,
        StoreFault::DelayedCall,
    ] {
        let store = FakeStore::new();
        store.fail_writes(&[fault]);
        verify_that!(
            write(&store, 0, example_record(6), "ada"),
            eq(&AcceptOutcome::Accepted { revision: 1 })
        )?;
        verify_that!(store.writes().len(), eq(1))?;
    }
    Ok(())
}

/// A write must not replace a change that another operator made since the base revision, even if that change
/// arrives late. The faults hit the other operator's write, which runs first: its call arrives late and its
/// repetition is lost.
#[gtest]
fn write_after_other_delayed_call_is_rejected() -> Result<()> {
    let store = FakeStore::new();
    store.fail_writes(&[StoreFault::DelayedCall, StoreFault::LostCall]);
    let other = store.clone();
    store.before_write(move || {
        write(&other, 0, example_record(9), "bo");
    });
    verify_that!(
        write(&store, 0, example_record(6), "ada"),
        matches_pattern!(AcceptOutcome::Rejected { .. })
    )?;
    let values: Vec<_> = store
        .writes()
        .iter()
        .map(|record| record.value.clone())
        .collect();
    verify_that!(
        values,
        elements_are![some(displays_as(contains_substring("\"by\":\"bo\"")))]
    )
}

#[gtest]
fn write_lost_answer_then_replaced_is_superseded() -> Result<()> {
    let store = FakeStore::new();
    store.fail_writes(&[StoreFault::LostAnswer]);
    let other = store.clone();
    store.before_list(move || {
        write(&other, 1, example_record(9), "bo");
    });
    let outcome = write(&store, 0, example_record(6), "ada");
    verify_that!(outcome, matches_pattern!(AcceptOutcome::Superseded { .. }))?;
    verify_that!(store.writes().len(), eq(2))
}

#[gtest]
fn write_store_down_leaves_outcome_unknown() -> Result<()> {
    let store = FakeStore::new();
    store.set_down(true);
    let record = accept::prepare_record(example_record(6), 0, &author("ada"));
    let outcome = run_ready(accept::write(&store.client(), &pause(), 0, &record));
    let error = outcome.expect_err("the store is down");
    verify_that!(error.exit_code(), eq(EXIT_UNREACHABLE))?;
    verify_that!(
        error,
        displays_as(contains_substring("may still take effect"))
    )
}

#[gtest]
fn accept_record_existing_workspace_requires_newest_base() -> Result<()> {
    let store = FakeStore::new();
    verify_that!(
        accept_example(&store, 6, None).map(|outcome| outcome.exit),
        ok(eq(&EXIT_OK))
    )?;
    verify_that!(
        accept_example(&store, 7, None),
        err(matches_pattern!(CtlError::Refused { .. }))
    )?;
    verify_that!(
        accept_example(&store, 7, Some(1)).map(|outcome| outcome.exit),
        ok(eq(&EXIT_OK))
    )?;
    let stale = accept_example(&store, 8, Some(1)).expect("the command returns an outcome");
    verify_that!(stale.exit, eq(EXIT_FINDINGS))?;
    verify_that!(
        stale.text,
        contains_substring("revision 2 is now in force, accepted by ada")
    )?;
    verify_that!(store.writes().len(), eq(2))
}

#[gtest]
fn accept_record_conflict_reports_other_change() -> Result<()> {
    let store = FakeStore::new();
    accept_example(&store, 6, None).expect("the first accept succeeds");
    let other = store.clone();
    store.before_write(move || {
        write(&other, 1, example_record(9), "bo");
    });
    let rejected = accept_example(&store, 7, Some(1)).expect("the command returns an outcome");
    verify_that!(rejected.exit, eq(EXIT_FINDINGS))?;
    verify_that!(rejected.text, contains_substring("accepted by bo"))?;
    verify_that!(
        rejected.text,
        contains_substring("~ services.verifier.slots: 6 -> 9")
    )?;
    verify_that!(
        rejected.text,
        contains_substring("then accept with --base 2")
    )
}

#[gtest]
fn accept_record_unchanged_writes_nothing() -> Result<()> {
    let store = FakeStore::new();
    accept_example(&store, 6, None).expect("the first accept succeeds");
    let again = accept_example(&store, 6, None).expect("the command returns an outcome");
    verify_that!(
        again.text,
        contains_substring("in force at revision 1 already")
    )?;
    verify_that!(store.writes().len(), eq(1))
}

#[gtest]
fn change_zone_keeps_concurrent_change() -> Result<()> {
    let store = FakeStore::new();
    write(&store, 0, example_record(6), "ada");
    let other = store.clone();
    store.before_write(move || {
        write(&other, 1, example_record(9), "bo");
    });
    let (client, pause, author) = (store.client(), pause(), author("ada"));
    let (zone, change) = ("kingston-b", ZoneChange::Out);
    let zone_change = zone::change_zone(&client, &pause, &author, "seal-registry", zone, change);
    verify_that!(
        run_ready(zone_change),
        ok(eq(&ZoneOutcome::Changed { revision: 3 }))
    )?;
    let state =
        run_ready(accept::read(&store.client(), "seal-registry")).expect("the read succeeds");
    let record = state.record.expect("the workspace exists");
    verify_that!(record.services[0].slots, eq(9))?;
    verify_that!(
        record.zones_out,
        elements_are![displays_as(eq("kingston-b"))]
    )
}

#[gtest]
fn apply_change_last_zone_out_is_refused() -> Result<()> {
    let mut record = example_record(6);
    record.zones_out = vec!["kingston-a".into(), "kingston-b".into()];
    let before = accept::AcceptedState {
        record: Some(record),
        revision: 1,
    };
    verify_that!(
        zone::apply_change(&before, "kingston-c", ZoneChange::Out),
        err(anything())
    )?;
    verify_that!(
        zone::apply_change(&before, "kingston-a", ZoneChange::Out),
        ok(none())
    )?;
    let back = zone::apply_change(&before, "kingston-a", ZoneChange::In)
        .expect("the change is possible")
        .expect("the record changes");
    verify_that!(back.zones_out.len(), eq(1))
}
