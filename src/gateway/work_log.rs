//! Metrics and log lines about what became of each team's work.

use std::time::{Duration, Instant};

use super::observe::GatewayMetrics;
use super::processor_time::processor_time;
use super::settings::GatewaySettings;
use crate::decision::direct::DirectDispatcher;
use crate::report::TeamTotals;

/// Time between two updates.
const INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of teams that one update logs.
const MAX_LOGGED_TEAMS: usize = 8;

/// Logs the work of all teams, and the teams that were turned away, once a second.
#[derive(Debug, Default)]
pub struct WorkLog {
    updated_at: Option<Instant>,
    totals: TeamTotals,
}

impl WorkLog {
    /// When an update is due, adds the teams' work to the metrics and logs the teams that were
    /// turned away most, with the values that decided about their calls.
    pub fn update(
        &mut self,
        dispatcher: &mut DirectDispatcher,
        metrics: &GatewayMetrics,
        settings: &GatewaySettings,
        now: Instant,
    ) {
        if self.updated_at.is_some_and(|updated_at| now.duration_since(updated_at) < INTERVAL) {
            return;
        }
        self.updated_at = Some(now);
        let mut counts = dispatcher.work_mut().take();
        for (team, count) in &counts {
            metrics.count_work(team, *count);
            self.totals.add(team, *count);
        }
        self.log_totals(dispatcher.work_mut().largest(), metrics, settings);
        log_paces(dispatcher);
        log_zone_shares(dispatcher, now);
        counts.retain(|_, count| count.turned_away() > 0.0);
        counts.sort_by(|_, left, _, right| right.turned_away().total_cmp(&left.turned_away()));
        let level = dispatcher.fair_level();
        let read_rate = dispatcher.mean_read_rate().round();
        for (team, count) in counts.iter().take(MAX_LOGGED_TEAMS) {
            let usage = dispatcher.fleet_usage(Some(team), now);
            log::info!(
                team = &**team, asked = count.asked() as u64, sent = count.sent as u64,
                refused = count.refused as u64, shed = count.shed as u64, usage = usage as u64,
                level = level.level.round(), fair_fraction = level.fair_fraction(usage),
                read_rate = read_rate;
                "team turned away"
            );
        }
    }

    /// Logs sums since the start of the process.
    fn log_totals(&self, largest: f64, metrics: &GatewayMetrics, settings: &GatewaySettings) {
        log::info!(
            node = &*settings.node, share = settings.processor_share,
            processor_ms = processor_time().map_or(-1, |time| time.as_millis() as i64),
            connections = metrics.caller_connections.get(),
            closed = metrics.closed_connections.get(), largest = largest as u64,
            teams:% = self.totals;
            "work of all teams"
        );
    }
}

/// Logs the pace of each service's streams, and the fraction of the slots that follows from it.
fn log_paces(dispatcher: &DirectDispatcher) {
    let micros = |time: Duration| time.as_micros() as u64;
    for (service, pace) in dispatcher.stream_paces() {
        let (Some(write_time), Some(needed)) = (pace.write_time(), pace.needed_write_time()) else {
            continue;
        };
        log::info!(
            service = &**service, write_us = micros(write_time), needed_us = micros(needed),
            slot_fraction = (pace.slot_fraction() * 100.0).round() / 100.0;
            "pace of streams"
        );
    }
}

/// Logs the share of each service's calls that leaves the data centre, and the expected waits that
/// it follows from.
fn log_zone_shares(dispatcher: &DirectDispatcher, now: Instant) {
    let millis = |wait: Option<Duration>| wait.map_or(-1, |wait| wait.as_millis() as i64);
    for (service, zone) in dispatcher.zone_shares(now) {
        let waits = zone.waits();
        log::info!(
            service = &**service, share = (zone.share() * 100.0).round() / 100.0,
            inside_ms = millis(waits.inside), outside_ms = millis(waits.outside);
            "share of calls that leaves the data centre"
        );
    }
}
