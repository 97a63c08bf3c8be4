//! A planned stop interrupts no request, and ends even if the platform is unreachable.

use lycheedoor_core::drain::Drain;
use lycheedoor_core::drain::DrainAction;
use lycheedoor_core::drain::DrainEvent;
use lycheedoor_core::drain::DrainSettings;
use lycheedoor_core::drain::RemainingCallers;
use lycheedoor_core::types::MonoTime;

fn handle(drain: &mut Drain, at_ms: u64, event: DrainEvent) -> Vec<DrainAction> {
    let mut actions = Vec::new();
    drain.handle(MonoTime::from_millis(at_ms), event, &mut actions);
    actions
}

fn progress(busy_callers: usize, idle_callers: usize) -> DrainEvent {
    DrainEvent::Progress(RemainingCallers {
        busy_callers,
        idle_callers,
    })
}

/// Guards against requests in progress that are cut off because the membership is released early.
#[test]
fn membership_is_released_only_after_the_last_request() {
    let mut drain = Drain::new(DrainSettings::default());
    assert_eq!(handle(&mut drain, 0, progress(1, 0)), []);
    let started = handle(&mut drain, 0, DrainEvent::StopRequested);
    assert_eq!(started, [DrainAction::StopAccepting]);
    assert_eq!(handle(&mut drain, 1, progress(1, 0)), []);
    assert_eq!(
        handle(&mut drain, 9_000, progress(0, 0)),
        [DrainAction::ReleaseMembership]
    );
    assert_eq!(
        handle(&mut drain, 9_010, DrainEvent::Released),
        [DrainAction::Exit]
    );
}

/// Guards against all idle callers reconnecting to the remaining VMs at the same time.
#[test]
fn idle_callers_are_closed_at_a_bounded_rate() {
    let mut drain = Drain::new(DrainSettings::default());
    handle(&mut drain, 0, DrainEvent::StopRequested);
    let close = DrainAction::CloseIdleCallers { limit: 50 };
    assert_eq!(handle(&mut drain, 0, progress(0, 500)), [close]);
    assert_eq!(handle(&mut drain, 10, progress(0, 450)), []);
    assert_eq!(handle(&mut drain, 50, progress(0, 450)), [close]);
}

/// Guards against a stop that never ends because the platform does not confirm the release.
#[test]
fn stop_ends_when_the_release_is_never_confirmed() {
    let mut drain = Drain::new(DrainSettings::default());
    handle(&mut drain, 0, DrainEvent::StopRequested);
    assert_eq!(
        handle(&mut drain, 0, progress(0, 0)),
        [DrainAction::ReleaseMembership]
    );
    assert_eq!(drain.next_deadline(), Some(MonoTime::from_millis(3_000)));
    assert_eq!(
        handle(&mut drain, 3_000, progress(0, 0)),
        [DrainAction::Exit]
    );
}

/// Guards against callers in steady use that are cut off with a statement in progress when the time
/// for requests in progress has passed: they are idle only for a moment after each answer.
#[test]
fn caller_in_steady_use_is_closed_after_an_answer() {
    let mut drain = Drain::new(DrainSettings::default());
    handle(&mut drain, 0, DrainEvent::StopRequested);
    // Events of other callers, at any of which the batch of the interval may be used up.
    for at_ms in 0..1_000 {
        assert_eq!(handle(&mut drain, at_ms, progress(2, 0)), []);
    }
    let close = DrainAction::CloseIdleCallers { limit: 1 };
    assert_eq!(handle(&mut drain, 1_001, progress(1, 1)), [close]);
    let close = DrainAction::CloseIdleCallers { limit: 1 };
    assert_eq!(handle(&mut drain, 1_002, progress(0, 1)), [close]);
}

/// Guards against a timer that fires again and again while no caller is idle.
#[test]
fn stop_with_busy_callers_waits_without_a_timer() {
    let mut drain = Drain::new(DrainSettings::default());
    handle(&mut drain, 0, DrainEvent::StopRequested);
    handle(&mut drain, 100, progress(1, 0));
    assert_eq!(drain.next_deadline(), Some(MonoTime::from_millis(30_000)));
    handle(&mut drain, 200, progress(0, 60));
    assert_eq!(drain.next_deadline(), Some(MonoTime::from_millis(250)));
}
