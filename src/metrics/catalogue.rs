//! Definitions of all metrics: kind, unit, labels and meaning. A test compares the guide's page
//! with this catalogue.

/// How StatsD aggregates a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum MetricKind {
    /// Sum of increments.
    #[display("counter")]
    Counter,
    /// Distribution of durations.
    #[display("timer")]
    Timer,
    /// Last value.
    #[display("gauge")]
    Gauge,
}

/// Labels of metrics. Their values come from the fleet configuration or from fixed lists in the
/// code, never from a caller, so that the number of time series is bounded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum MetricLabel {
    /// Name of the sending process; every metric has it.
    #[display("node")]
    Node,
    /// Team of the request.
    #[display("team")]
    Team,
    /// Service of the request.
    #[display("service")]
    Service,
    /// How a request or run ended.
    #[display("outcome")]
    Outcome,
    /// Reason of a refusal.
    #[display("reason")]
    Reason,
    /// Path of a message to another process.
    #[display("message")]
    Message,
}

/// Definition of one metric.
#[derive(Clone, Copy, Debug)]
pub struct MetricDefinition {
    /// Name without the prefix.
    pub name: &'static str,
    /// How StatsD aggregates it.
    pub kind: MetricKind,
    /// Unit of the value.
    pub unit: &'static str,
    /// Labels besides `node`.
    pub labels: &'static [MetricLabel],
}

const fn define(
    name: &'static str,
    kind: MetricKind,
    unit: &'static str,
    labels: &'static [MetricLabel],
) -> MetricDefinition {
    MetricDefinition { name, kind, unit, labels }
}

/// Admitted requests that ended.
pub const ROUTER_REQUESTS: MetricDefinition = define(
    "router.requests",
    MetricKind::Counter,
    "requests",
    &[MetricLabel::Team, MetricLabel::Service, MetricLabel::Outcome],
);

/// Requests that the router refused.
pub const ROUTER_REFUSALS: MetricDefinition =
    define("router.refusals", MetricKind::Counter, "requests", &[MetricLabel::Reason]);

/// Time from a request's arrival to the first body byte of its answer.
pub const ROUTER_FIRST_TOKEN_TIME: MetricDefinition =
    define("router.first-token-time", MetricKind::Timer, "ms", &[MetricLabel::Service]);

/// Time from a request's arrival to the end of its answer.
pub const ROUTER_ANSWER_TIME: MetricDefinition =
    define("router.answer-time", MetricKind::Timer, "ms", &[MetricLabel::Service]);

/// Batches of offers that were not delivered to an agent.
pub const ROUTER_OFFERS_FAILED: MetricDefinition =
    define("router.offers-failed", MetricKind::Counter, "batches", &[]);

/// Connections to agents that failed while an answer was read, and were replaced.
pub const ROUTER_REATTACHMENTS: MetricDefinition =
    define("router.reattachments", MetricKind::Counter, "connections", &[]);

/// Requests that were placed again after a run had failed.
pub const ROUTER_RERUNS: MetricDefinition =
    define("router.reruns", MetricKind::Counter, "requests", &[]);

/// Runs that ended at the agent's upstream.
pub const AGENT_RUNS: MetricDefinition = define(
    "agent.runs",
    MetricKind::Counter,
    "runs",
    &[MetricLabel::Team, MetricLabel::Service, MetricLabel::Outcome],
);

/// Time for which a run occupied a slot, including the fetch of the request.
pub const AGENT_RUN_TIME: MetricDefinition =
    define("agent.run-time", MetricKind::Timer, "ms", &[MetricLabel::Service]);

/// Fetches of offers that were withdrawn, for example because another agent had fetched them.
pub const AGENT_FETCHES_WITHDRAWN: MetricDefinition =
    define("agent.fetches-withdrawn", MetricKind::Counter, "fetches", &[]);

/// Calls to other processes of the system.
pub const PEER_CALLS: MetricDefinition =
    define("peer.calls", MetricKind::Counter, "calls", &[MetricLabel::Message]);

/// Bytes of the encoded messages and replies of these calls, without HTTP/2 framing.
pub const PEER_BYTES: MetricDefinition =
    define("peer.bytes", MetricKind::Counter, "bytes", &[MetricLabel::Message]);

/// Requests in progress at a router, or runs in progress at an agent.
pub const IN_FLIGHT: MetricDefinition = define("in-flight", MetricKind::Gauge, "requests", &[]);

/// Events in the queue of the control thread.
pub const CONTROL_QUEUE: MetricDefinition =
    define("control-queue", MetricKind::Gauge, "events", &[]);

/// Configuration version in force.
pub const CONFIGURATION_VERSION: MetricDefinition =
    define("configuration-version", MetricKind::Gauge, "version", &[]);

/// Metrics that were dropped because the queue was full or the socket refused them.
pub const METRICS_DROPPED: MetricDefinition =
    define("metrics-dropped", MetricKind::Counter, "metrics", &[]);

/// Every metric that the daemons send.
pub const METRIC_CATALOGUE: [&MetricDefinition; 16] = [
    &ROUTER_REQUESTS,
    &ROUTER_REFUSALS,
    &ROUTER_FIRST_TOKEN_TIME,
    &ROUTER_ANSWER_TIME,
    &ROUTER_OFFERS_FAILED,
    &ROUTER_REATTACHMENTS,
    &ROUTER_RERUNS,
    &AGENT_RUNS,
    &AGENT_RUN_TIME,
    &AGENT_FETCHES_WITHDRAWN,
    &PEER_CALLS,
    &PEER_BYTES,
    &IN_FLIGHT,
    &CONTROL_QUEUE,
    &CONFIGURATION_VERSION,
    &METRICS_DROPPED,
];
