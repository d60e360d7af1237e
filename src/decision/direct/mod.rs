//! Decisions of the direct path, where a router sends calls straight to upstreams.
//!
//! [`DirectDispatcher`] holds the queue of waiting calls, the load that this router and its peers
//! put on each upstream, and this router's shares of the bounds that hold for all routers together.

mod call;
mod call_cost;
mod call_progress;
mod candidates;
mod capacity;
mod client_shedding;
mod cold_limiter;
mod demand_history;
mod dispatcher;
mod drain_schedule;
mod engine_rate;
mod fair_cap;
mod fleet_changes;
mod fleet_demand;
mod handoff;
mod load;
mod overload;
mod overload_control;
mod part_evidence;
mod part_suspects;
mod peers;
mod prefix_cache;
mod read_rate;
mod scaling;
mod scaling_input;
mod selection;
mod service_demand;
mod stated_load;
mod stream_pace;
mod suspects;
mod sustainable_rate;
mod team_usage;
mod team_work;
mod trial_load;
mod upstream_notices;
mod version_evidence;
mod version_moves;
mod version_trial;
mod view_freshness;
mod waiting;
mod window;
mod zone_candidates;
mod zone_choice;

pub use call::{
    BudgetCharge, CallDecision, CallGrant, CallOutcome, PendingCall, PromptPart, PromptShape,
    RefusalCause, call_work,
};
pub use call_cost::CostEstimate;
pub use capacity::FleetBounds;
pub use client_shedding::{ClientPhase, ClientState, choose_for_memory, choose_for_room};
pub use cold_limiter::ColdLimiter;
pub use dispatcher::DirectDispatcher;
pub use drain_schedule::{DrainSchedule, PlannedSend};
pub use engine_rate::{EngineRate, EngineSample};
pub use handoff::{HandoffOffer, HandoffTargets};
pub use load::UpstreamLoad;
pub use overload::{CallLimiter, LoadSample, OverloadDetector};
pub use overload_control::{ConnectionAdmission, OverloadControl};
pub use part_evidence::{CrashSighting, PartReport, ReceivedPart};
pub use part_suspects::{BrokenCall, PartSuspects, PartVerdict};
pub use peers::{LoadChange, PeerLoad, PeerReport, PeerTable, TrialCount};
pub use prefix_cache::PrefixCache;
pub use read_rate::ReadRate;
pub use scaling::{
    EngineCounts, EngineScaler, ScalingInput, ScalingOrder, ScalingReason, ScalingSubject,
    TeamDemandRate,
};
pub use service_demand::{ServiceWork, TeamWorkRate};
pub use stated_load::{
    CallCounts, LastStatement, ReceivedLoad, Slowdown, StatedLoad, StatementError,
};
pub use stream_pace::{EndedStream, StreamPace};
pub use suspects::SuspectList;
pub use team_usage::{FairLevel, TeamDemand, TeamUsage};
pub use team_work::{ShedCall, TeamWork, WorkCount};
pub use trial_load::TrialLoad;
pub use upstream_notices::{
    MAX_PAUSE, NoticedUpstream, UpstreamNotice, UpstreamNotices, UpstreamStart,
};
pub use version_evidence::{
    AnswerCount, AnswerQuality, MoveEvidence, RecentAnswers, VersionAnswers,
};
pub use version_moves::MoveStep;
pub use version_trial::{StageChange, TrialStage, VersionTrial};
pub use view_freshness::ViewFreshness;
pub use window::{RetryBudget, SlidingCounter};
pub use zone_choice::{ZoneShare, ZoneWaits};
