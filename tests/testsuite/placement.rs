//! Tests of placement: number of offers, choice of agents and offer windows.

use std::time::Duration;

use godwitcrank::decision::placement::{
    AgentCandidate, OFFER_WINDOW, OfferWindows, WindowKey, choose_agents, prefix_hash,
    target_offers,
};
use godwitcrank::ids::UpstreamId;
use googletest::prelude::*;

fn candidates(busy: impl Fn(usize) -> u32) -> Vec<AgentCandidate> {
    (0..20)
        .map(|index| AgentCandidate {
            agent: format!("engine-{index}").into(),
            busy: busy(index),
            limit: 8,
        })
        .collect()
}

/// Guards against offering new requests to too many agents, and against agents that a waiting
/// request never reaches.
#[gtest]
fn target_offers_by_wait() {
    let target = |waited| target_offers(Duration::from_millis(waited), 20);
    expect_that!(target(0), eq(2));
    expect_that!(target(20), eq(4));
    expect_that!(target(100), eq(20));
    expect_that!(target(u64::from(u32::MAX)), eq(20));
    expect_that!(target_offers(Duration::ZERO, 1), eq(1));
}

/// Guards against prefix affinity that depends on the request id or the order of the agents.
#[gtest]
fn choose_agents_same_prefix() {
    let first = choose_agents(1, Some(7), candidates(|_| 2), 2);
    let mut reversed = candidates(|_| 2);
    reversed.reverse();
    expect_that!(choose_agents(2, Some(7), reversed, 2), container_eq(first));
}

/// Guards against a popular prefix that overloads its preferred agents while others are idle.
#[gtest]
fn choose_agents_preferred_overloaded() {
    let preferred = choose_agents(1, Some(7), candidates(|_| 2), 1).remove(0);
    let mut loaded = candidates(|_| 2);
    for candidate in &mut loaded {
        if candidate.agent == preferred {
            candidate.busy = 6;
        }
    }
    expect_that!(choose_agents(1, Some(7), loaded, 2), not(contains(eq(&preferred))));
}

/// Guards against ignoring load, and against sending most requests to the same few idle agents.
#[gtest]
fn choose_agents_without_prefix() {
    let chosen = choose_agents(1, None, candidates(|index| if index == 11 { 0 } else { 3 }), 2);
    expect_that!(chosen[0].as_ref(), eq("engine-11"));
    let spread: indexmap::IndexSet<UpstreamId> = (0..100)
        .flat_map(|request| choose_agents(request * 7919, None, candidates(|_| 0), 1))
        .collect();
    expect_that!(spread.len(), gt(15));
}

/// Guards against a burst of one team of which all requests are on offer at once.
#[gtest]
fn try_offer_full_window() {
    let key = WindowKey { team: "flood".into(), service: "bench".into(), version: None };
    let mut windows = OfferWindows::default();
    let offered = (0..1000u128).filter(|request| windows.try_offer(&key, *request)).count();
    expect_that!(offered, eq(OFFER_WINDOW));
    expect_that!(windows.complete_offer(&key), some(eq(OFFER_WINDOW as u128)));
    expect_that!(windows.offered(&key), eq(OFFER_WINDOW));
    expect_that!(windows.remove_held(&key, OFFER_WINDOW as u128 + 1), eq(true));
    expect_that!(windows.complete_offer(&key), some(eq(OFFER_WINDOW as u128 + 2)));
}

/// Guards against affinity for prompts that are too short to be worth caching.
#[gtest]
fn prefix_hash_short_body() {
    expect_that!(prefix_hash(b"short"), none());
    let (shorter, longer) = ([b'a'; 600], [b'a'; 900]);
    expect_that!(prefix_hash(&shorter), eq(prefix_hash(&longer)));
}
