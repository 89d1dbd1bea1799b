//! Races of operators and answers that get lost.

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

const SEALS: &str = concat!(
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

/// Runs a future that the fake store answers at once.
///
/// # Panics
///
/// If it has to wait.
fn run<T>(future: impl Future<Output = T>) -> T {
    future.now_or_never().expect("the fake answers at once")
}

/// Renders the seals' example with other slots.
///
/// # Panics
///
/// If the example has findings.
fn seals(slots: u32) -> WorkspaceRecord {
    let mut record = files::render(SEALS).expect("the example has no findings");
    record
        .services
        .iter_mut()
        .for_each(|service| service.slots = slots);
    record
}

/// Writes a record over a revision that an operator saw earlier.
///
/// # Panics
///
/// If the store does not answer.
fn write(store: &FakeStore, base: u64, record: WorkspaceRecord, by: &str) -> AcceptOutcome {
    let record = accept::sign(record, base, &author(by));
    run(accept::write(&store.client(), &pause(), base, &record)).expect("the store answers")
}

/// Accepts the seals' example with other slots.
///
/// # Errors
///
/// Those of the command.
fn accept_seals(
    store: &FakeStore,
    slots: u32,
    base: Option<u64>,
) -> jy_ctl::error::Result<CommandOutcome> {
    let author = author("ada");
    run(configure::accept_record(
        &store.client(),
        &pause(),
        SEALS,
        base,
        seals(slots),
        &author,
    ))
}

#[gtest]
fn write_race_lets_one_win_and_shows_loser_the_other() -> Result<()> {
    let store = FakeStore::new();
    verify_that!(
        write(&store, 0, seals(6), "ada"),
        eq(&AcceptOutcome::Accepted { revision: 1 })
    )?;
    let AcceptOutcome::Lost { current } = write(&store, 0, seals(9), "bo") else {
        return fail!("the second writer must lose");
    };
    verify_that!(current.revision, eq(1))?;
    verify_that!(accept::author_text(&current), starts_with("by ada at "))?;
    verify_that!(store.writes().len(), eq(1))
}

#[gtest]
fn write_stale_base_is_refused() -> Result<()> {
    let store = FakeStore::new();
    write(&store, 0, seals(6), "ada");
    write(&store, 1, seals(7), "bo");
    verify_that!(
        write(&store, 1, seals(6), "ada"),
        matches_pattern!(AcceptOutcome::Lost { .. })
    )?;
    verify_that!(store.writes().len(), eq(2))
}

#[gtest]
fn write_lost_answers_take_effect_once() -> Result<()> {
    for fault in [
        StoreFault::LostAnswer,
        StoreFault::LostCall,
        StoreFault::LateCall,
    ] {
        let store = FakeStore::new();
        store.fail_writes(&[fault]);
        verify_that!(
            write(&store, 0, seals(6), "ada"),
            eq(&AcceptOutcome::Accepted { revision: 1 })
        )?;
        verify_that!(store.writes().len(), eq(1))?;
    }
    Ok(())
}

#[gtest]
fn write_lost_answer_with_other_change_after_is_not_repeated() -> Result<()> {
    let store = FakeStore::new();
    store.fail_writes(&[StoreFault::LateCall, StoreFault::LostCall]);
    let other = store.clone();
    store.before_write(move || {
        write(&other, 0, seals(9), "bo");
    });
    verify_that!(
        write(&store, 0, seals(6), "ada"),
        matches_pattern!(AcceptOutcome::Lost { .. })
    )?;
    let by: Vec<_> = store
        .writes()
        .iter()
        .map(|record| record.value.clone())
        .collect();
    verify_that!(
        by,
        elements_are![some(displays_as(contains_substring("\"by\":\"bo\"")))]
    )
}

#[gtest]
fn write_lost_answer_replaced_since_is_not_called_lost() -> Result<()> {
    let store = FakeStore::new();
    store.fail_writes(&[StoreFault::LostAnswer]);
    let other = store.clone();
    store.before_list(move || {
        write(&other, 1, seals(9), "bo");
    });
    let end = write(&store, 0, seals(6), "ada");
    verify_that!(end, matches_pattern!(AcceptOutcome::Overtaken { .. }))?;
    verify_that!(store.writes().len(), eq(2))
}

#[gtest]
fn write_store_down_is_undecided() -> Result<()> {
    let store = FakeStore::new();
    store.set_down(true);
    let record = accept::sign(seals(6), 0, &author("ada"));
    let end = run(accept::write(&store.client(), &pause(), 0, &record));
    let error = end.expect_err("the store is down");
    verify_that!(error.exit_code(), eq(EXIT_UNREACHABLE))?;
    verify_that!(
        error,
        displays_as(contains_substring("may still take effect"))
    )
}

#[gtest]
fn accept_record_needs_base_once_in_force() -> Result<()> {
    let store = FakeStore::new();
    verify_that!(
        accept_seals(&store, 6, None).map(|outcome| outcome.exit),
        ok(eq(&EXIT_OK))
    )?;
    verify_that!(
        accept_seals(&store, 7, None),
        err(matches_pattern!(CtlError::Refused { .. }))
    )?;
    verify_that!(
        accept_seals(&store, 7, Some(1)).map(|outcome| outcome.exit),
        ok(eq(&EXIT_OK))
    )?;
    let stale = accept_seals(&store, 8, Some(1)).expect("an outcome");
    verify_that!(stale.exit, eq(EXIT_FINDINGS))?;
    verify_that!(
        stale.text,
        contains_substring("revision 2 stands now, accepted by ada")
    )?;
    verify_that!(store.writes().len(), eq(2))
}

#[gtest]
fn accept_record_loser_sees_what_changed() -> Result<()> {
    let store = FakeStore::new();
    accept_seals(&store, 6, None).expect("accepted");
    let other = store.clone();
    store.before_write(move || {
        write(&other, 1, seals(9), "bo");
    });
    let lost = accept_seals(&store, 7, Some(1)).expect("an outcome");
    verify_that!(lost.exit, eq(EXIT_FINDINGS))?;
    verify_that!(lost.text, contains_substring("accepted by bo"))?;
    verify_that!(
        lost.text,
        contains_substring("~ services.verifier.slots: 6 -> 9")
    )?;
    verify_that!(lost.text, contains_substring("then accept with --base 2"))
}

#[gtest]
fn accept_record_same_again_writes_nothing() -> Result<()> {
    let store = FakeStore::new();
    accept_seals(&store, 6, None).expect("accepted");
    let again = accept_seals(&store, 6, None).expect("an outcome");
    verify_that!(
        again.text,
        contains_substring("in force at revision 1 already")
    )?;
    verify_that!(store.writes().len(), eq(1))
}

#[gtest]
fn zone_edit_keeps_change_that_came_first() -> Result<()> {
    let store = FakeStore::new();
    write(&store, 0, seals(6), "ada");
    let other = store.clone();
    store.before_write(move || {
        write(&other, 1, seals(9), "bo");
    });
    let (client, pause, author) = (store.client(), pause(), author("ada"));
    let (zone, change) = ("kingston-b", ZoneChange::Out);
    let edit = zone::edit(&client, &pause, &author, "seal-registry", zone, change);
    verify_that!(run(edit), ok(eq(&ZoneOutcome::Changed { revision: 3 })))?;
    let state = run(accept::read(&store.client(), "seal-registry")).expect("a record");
    let record = state.record.expect("a record");
    verify_that!(record.services[0].slots, eq(9))?;
    verify_that!(
        record.zones_out,
        elements_are![displays_as(eq("kingston-b"))]
    )
}

#[gtest]
fn zone_changed_refuses_to_empty_workspace() -> Result<()> {
    let mut record = seals(6);
    record.zones_out = vec!["kingston-a".into(), "kingston-b".into()];
    let seen = accept::AcceptedState {
        record: Some(record),
        revision: 1,
    };
    verify_that!(
        zone::changed(&seen, "kingston-c", ZoneChange::Out),
        err(anything())
    )?;
    verify_that!(
        zone::changed(&seen, "kingston-a", ZoneChange::Out),
        ok(none())
    )?;
    let back = zone::changed(&seen, "kingston-a", ZoneChange::In)
        .expect("allowed")
        .expect("changed");
    verify_that!(back.zones_out.len(), eq(1))
}
