//! Choice of the callers' connections that are closed when connections or memory run short.

use std::time::{Duration, Instant};

use godwitcrank::decision::direct::{ClientPhase, ClientState, choose_for_memory, choose_for_room};
use googletest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);

/// Moment at which all states below began.
fn start() -> Instant {
    Instant::now()
}

fn state(phase: ClientPhase, since: Instant, held_bytes: usize) -> ClientState {
    ClientState { phase, since, held_bytes }
}

/// Guards against calls in progress, and connections that were just opened, being closed for room.
#[gtest]
fn choose_for_room_busy_and_new_stay() {
    let now = start() + SECOND;
    let clients = [
        ("running", state(ClientPhase::Running, now - 60 * SECOND, 1 << 20)),
        ("opened", state(ClientPhase::Unused, now, 0)),
        ("receiving", state(ClientPhase::Receiving, now, 1 << 20)),
        ("unread", state(ClientPhase::Unread, now, 1 << 20)),
        ("idle", state(ClientPhase::Idle, now, 0)),
    ];
    expect_that!(choose_for_room(&clients, 10, now), is_empty());
    expect_that!(choose_for_memory(&clients, now), none());
}

/// Guards against closing the connection of a caller that keeps to the limits while others hold
/// memory and stand still.
#[gtest]
fn choose_for_room_stalled_before_idle() {
    let now = start() + 60 * SECOND;
    let clients = [
        ("idle", state(ClientPhase::Idle, now - 50 * SECOND, 0)),
        ("unused", state(ClientPhase::Unused, now - SECOND, 0)),
    ];
    expect_that!(choose_for_room(&clients, 10, now), elements_are![eq(&"unused")]);
    expect_that!(choose_for_room(&clients[..1], 10, now), elements_are![eq(&"idle")]);
}

/// Guards against a router that counts connections which it may close as used, and so leaves the
/// balancer's rotation because of them.
#[gtest]
fn is_sheddable_by_phase_and_time() {
    let now = start() + 60 * SECOND;
    let is_sheddable = |phase, time| state(phase, now - time, 0).is_sheddable(now);
    expect_that!(is_sheddable(ClientPhase::Running, 50 * SECOND), eq(false));
    expect_that!(is_sheddable(ClientPhase::Idle, SECOND), eq(false));
    expect_that!(is_sheddable(ClientPhase::Idle, 3 * SECOND), eq(true));
    expect_that!(is_sheddable(ClientPhase::Unused, SECOND / 50), eq(false));
    expect_that!(is_sheddable(ClientPhase::Unused, SECOND), eq(true));
    expect_that!(is_sheddable(ClientPhase::Receiving, SECOND), eq(true));
}

/// Guards against closing more connections than asked for, or others than those of most weight.
#[gtest]
fn choose_for_room_count_heaviest_first() {
    let now = start() + 60 * SECOND;
    let clients = [
        ("new", state(ClientPhase::Unused, now - SECOND, 0)),
        ("old", state(ClientPhase::Unused, now - 9 * SECOND, 0)),
        ("full", state(ClientPhase::Receiving, now - SECOND, 1 << 20)),
    ];
    expect_that!(choose_for_room(&clients, 2, now), elements_are![eq(&"full"), eq(&"old")]);
}

/// Guards against shedding many that hold little before the one that holds most.
#[gtest]
fn choose_for_memory_largest_and_slowest_first() {
    let now = start() + 60 * SECOND;
    let clients = [
        ("small", state(ClientPhase::Receiving, now - 2 * SECOND, 1 << 10)),
        ("large", state(ClientPhase::Receiving, now - 2 * SECOND, 1 << 20)),
        ("large and fast", state(ClientPhase::Receiving, now - SECOND, 1 << 20)),
        ("empty", state(ClientPhase::Unused, now - 50 * SECOND, 0)),
    ];
    expect_that!(choose_for_memory(&clients, now), some(eq("large")));
}

/// Guards against memory that stays with an answer which nobody reads.
#[gtest]
fn choose_for_memory_unread_answer_is_shed() {
    let now = start() + 60 * SECOND;
    let clients = [("unread", state(ClientPhase::Unread, now - SECOND, 4 << 20))];
    expect_that!(choose_for_memory(&clients, now), some(eq("unread")));
}
