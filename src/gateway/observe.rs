//! Metrics of the gateway, served as text.

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::decision::direct::{UpstreamNotice, WorkCount};
use crate::ids::TeamId;
use crate::routing::ViewPart;

/// Labels of the counters of calls and sends.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CallLabels {
    /// How the call ended.
    pub outcome: String,
}

/// Labels of the counter of teams' work.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TeamLabels {
    /// The team.
    pub team: String,
    /// What became of the calls: `sent`, `refused` or `shed`.
    pub outcome: &'static str,
}

/// Labels of the gauge of the view's age.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ViewLabels {
    /// The part of the view.
    pub part: String,
}

/// Labels of the counter of upstreams' statements.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct NoticeLabels {
    /// The statement: `leaving` or `pause`.
    pub notice: String,
}

/// Metrics of one gateway.
#[derive(Debug)]
pub struct GatewayMetrics {
    registry: Registry,
    /// Calls by outcome.
    pub calls: Family<CallLabels, Counter>,
    /// Sends to upstreams by outcome.
    pub sends: Family<CallLabels, Counter>,
    /// Work of calls in tokens, by team and outcome.
    pub team_tokens: Family<TeamLabels, Counter<f64, AtomicU64>>,
    /// Time to the first event or the answer, in seconds.
    pub first_event: Histogram,
    /// Time that calls waited for an upstream, in seconds.
    pub placement: Histogram,
    /// Connections opened to upstreams.
    pub connections: Counter,
    /// Connections of callers that were served.
    pub caller_connections: Counter,
    /// Connections of callers that were closed unread.
    pub closed_connections: Counter,
    /// Pending calls.
    pub waiting: Gauge,
    /// Callers' connections that were closed for room, for memory or for slow reading.
    pub shed_connections: Counter,
    /// Calls in progress at upstreams.
    pub granted: Gauge,
    /// Routers that may be alive.
    pub routers: Gauge,
    /// Parts of prompts whose calls are refused, since upstreams crash under them.
    pub refused_parts: Gauge,
    /// Upstreams that leave or pause by their own statement.
    pub left_out: Gauge,
    /// Upstreams that state that work takes clearly longer than usual.
    pub slowed: Gauge,
    /// Statements of upstreams about themselves that changed what this router sends, by kind.
    pub notices: Family<NoticeLabels, Counter>,
    /// Newest era of the store of which something is known.
    pub store_era: Gauge,
    /// Restores of the store from an older copy.
    pub store_restores: Counter,
    /// Version of the configuration in force.
    pub configuration: Gauge,
    /// Time since a part of the view was last known to be current, in seconds; -1 before the
    /// first read.
    pub view_age: Family<ViewLabels, Gauge<f64, AtomicU64>>,
    /// Reports to peers that were dropped because the queue was full.
    pub reports_dropped: Counter,
    /// Control events that were dropped because the queue was full.
    pub events_dropped: Counter<u64, AtomicU64>,
    /// Times that this router took over the fleet's duties.
    pub duty_takeovers: Counter,
    /// Windows of usage that this router reported.
    pub usage_reports: Counter,
    /// Orders of engines that the platform accepted from this router.
    pub engine_orders: Counter,
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        // Buckets from 0.5 ms to about 8 s.
        let new_histogram = || Histogram::new(exponential_buckets(0.0005, 2.0, 15));
        let mut metrics = Self {
            registry: Registry::with_prefix("godwitcrank"),
            calls: Family::default(),
            sends: Family::default(),
            team_tokens: Family::default(),
            first_event: new_histogram(),
            placement: new_histogram(),
            connections: Counter::default(),
            caller_connections: Counter::default(),
            closed_connections: Counter::default(),
            shed_connections: Counter::default(),
            waiting: Gauge::default(),
            granted: Gauge::default(),
            routers: Gauge::default(),
            refused_parts: Gauge::default(),
            left_out: Gauge::default(),
            slowed: Gauge::default(),
            notices: Family::default(),
            store_era: Gauge::default(),
            store_restores: Counter::default(),
            configuration: Gauge::default(),
            view_age: Family::default(),
            reports_dropped: Counter::default(),
            events_dropped: Counter::default(),
            duty_takeovers: Counter::default(),
            usage_reports: Counter::default(),
            engine_orders: Counter::default(),
        };
        metrics.register();
        metrics
    }
}

impl GatewayMetrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "duty_takeovers",
            "Times that this router took over the fleet's duties",
            self.duty_takeovers.clone(),
        );
        registry.register(
            "usage_reports",
            "Windows of usage that this router reported",
            self.usage_reports.clone(),
        );
        registry.register(
            "engine_orders",
            "Orders of engines that the platform accepted from this router",
            self.engine_orders.clone(),
        );
        registry.register("calls", "Calls by how they ended", self.calls.clone());
        registry.register("sends", "Sends to upstreams by outcome", self.sends.clone());
        registry.register(
            "team_tokens",
            "Work of calls in tokens, by team and by what became of the calls",
            self.team_tokens.clone(),
        );
        registry.register(
            "first_event_seconds",
            "Time to the first event or the answer",
            self.first_event.clone(),
        );
        registry.register(
            "placement_seconds",
            "Time that calls waited for an upstream",
            self.placement.clone(),
        );
        registry.register(
            "upstream_connections",
            "Connections opened to upstreams",
            self.connections.clone(),
        );
        registry.register(
            "caller_connections",
            "Connections of callers that were served",
            self.caller_connections.clone(),
        );
        registry.register(
            "closed_connections",
            "Connections of callers that were closed unread",
            self.closed_connections.clone(),
        );
        registry.register(
            "shed_connections",
            "Connections of callers that were closed for room, for memory or for slow reading",
            self.shed_connections.clone(),
        );
        registry.register("waiting_calls", "Calls without an upstream", self.waiting.clone());
        registry.register("granted_calls", "Calls at upstreams", self.granted.clone());
        registry.register("routers", "Routers that may be alive", self.routers.clone());
        registry.register(
            "refused_prompt_parts",
            "Parts of prompts whose calls are refused, since upstreams crash under them",
            self.refused_parts.clone(),
        );
        registry.register(
            "left_out_upstreams",
            "Upstreams that leave or pause by their own statement",
            self.left_out.clone(),
        );
        registry.register(
            "slowed_upstreams",
            "Upstreams that state that work takes clearly longer than usual",
            self.slowed.clone(),
        );
        registry.register(
            "upstream_notices",
            "Statements of upstreams about themselves, by kind",
            self.notices.clone(),
        );
        registry.register(
            "store_era",
            "Newest era of the store of which something is known",
            self.store_era.clone(),
        );
        registry.register(
            "store_restores",
            "Restores of the store from an older copy",
            self.store_restores.clone(),
        );
        registry.register(
            "configuration_version",
            "Version of the configuration in force",
            self.configuration.clone(),
        );
        registry.register(
            "view_age_seconds",
            "Time since a part of the view was last known to be current",
            self.view_age.clone(),
        );
        registry.register(
            "reports_dropped",
            "Reports to peers that found the queue full",
            self.reports_dropped.clone(),
        );
        registry.register(
            "events_dropped",
            "Control events that found the queue full",
            self.events_dropped.clone(),
        );
    }

    /// Counts the end of a call.
    pub fn count_call(&self, outcome: impl ToString) {
        self.calls.get_or_create(&CallLabels { outcome: outcome.to_string() }).inc();
    }

    /// Counts the end of a send.
    pub fn count_send(&self, outcome: impl ToString) {
        self.sends.get_or_create(&CallLabels { outcome: outcome.to_string() }).inc();
    }

    /// Counts the work of a team's calls.
    pub fn count_work(&self, team: &TeamId, count: WorkCount) {
        let outcomes = [("sent", count.sent), ("refused", count.refused), ("shed", count.shed)];
        for (outcome, tokens) in outcomes {
            if tokens > 0.0 {
                let labels = TeamLabels { team: team.to_string(), outcome };
                self.team_tokens.get_or_create(&labels).inc_by(tokens);
            }
        }
    }

    /// Counts a statement of an upstream about itself.
    pub fn count_notice(&self, notice: UpstreamNotice) {
        self.notices.get_or_create(&NoticeLabels { notice: notice.to_string() }).inc();
    }

    /// Records the age of a part of the view.
    pub fn record_view_age(&self, part: ViewPart, age: Option<Duration>) {
        let labels = ViewLabels { part: part.to_string() };
        self.view_age.get_or_create(&labels).set(age.map_or(-1.0, |age| age.as_secs_f64()));
    }

    /// Records a time in a histogram.
    pub fn observe(histogram: &Histogram, time: Duration) {
        histogram.observe(time.as_secs_f64());
    }

    /// Renders all metrics in the OpenMetrics text format.
    pub fn render(&self) -> Result<String, std::fmt::Error> {
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }
}
