//! State of the engine, owned by its state thread.

use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::behaviour::{EngineBehaviour, ScheduledBehaviour};
use super::cold_start::ColdStart;
use super::content::StreamContent;
use super::counters::EngineCounters;
use super::options::EngineOptions;
use super::prefix_cache::PrefixCache;
use super::stream::{AdmittedStream, EndedStream, EnginePace, StreamEnd, StreamProgress};
use crate::hash::{UniformSequence, stable_hash};
use crate::ids::{
    BootId, FencingNumber, IdempotencyKey, StreamId, StreamNumber, TeamName, VersionId,
};
use crate::server::ConnectionGate;

/// Time for which a stream can still be resumed after its end.
const ENDED_RETENTION: Duration = Duration::from_secs(60);

/// Parts of a completion request that the state thread decides on.
pub(super) struct StreamRequest {
    pub(super) path: String,
    pub(super) prompt: String,
    pub(super) max_tokens: u64,
    pub(super) id: Option<StreamId>,
    pub(super) team: TeamName,
    pub(super) key: Option<IdempotencyKey>,
}

/// Decision about a completion request.
pub(super) enum StreamAdmission {
    Run(AdmittedStream),
    /// The request is answered 500.
    Fail,
    /// The engine crashes and sends no answer.
    Crash,
}

/// A stream that is running, or that ended recently and can still be resumed.
pub(super) struct TrackedStream {
    id: Option<StreamId>,
    team: TeamName,
    pub(super) content: StreamContent,
    pub(super) progress: Arc<watch::Sender<StreamProgress>>,
    cancel: CancellationToken,
    ended: Option<Instant>,
}

/// Mutable state of the engine.
pub(super) struct EngineState {
    pub(super) options: EngineOptions,
    pub(super) boot_id: BootId,
    pub(super) version: VersionId,
    pub(super) highest_fencing: FencingNumber,
    pub(super) counters: EngineCounters,
    pub(super) streams: IndexMap<StreamNumber, TrackedStream>,
    cold_start: ColdStart,
    cache: PrefixCache,
    behaviour: ScheduledBehaviour,
    running: u64,
    next_stream: StreamNumber,
    samples: UniformSequence,
    boot_cancel: CancellationToken,
    gate: ConnectionGate,
    crashes: watch::Sender<u64>,
    pace: watch::Sender<EnginePace>,
    started: Instant,
    busy_since: Instant,
}

impl EngineState {
    pub(super) fn new(
        options: EngineOptions,
        gate: ConnectionGate,
        crashes: watch::Sender<u64>,
    ) -> Self {
        let now = Instant::now();
        let pace = EnginePace {
            token_interval: options.token_interval,
            overload_factor: 1.0,
            slow_factor: 1.0,
            slow_team: None,
            slow_from: now.into(),
        };
        let mut state = Self {
            boot_id: 0,
            version: options.version.clone(),
            highest_fencing: 0,
            counters: EngineCounters::default(),
            streams: IndexMap::new(),
            cold_start: ColdStart::begin(now, Duration::ZERO, 1, 1),
            cache: PrefixCache::new(options.cache_tokens),
            behaviour: ScheduledBehaviour::new(EngineBehaviour::default(), now),
            running: 0,
            next_stream: 0,
            samples: UniformSequence::new(options.seed),
            boot_cancel: CancellationToken::new(),
            gate,
            crashes,
            pace: watch::Sender::new(pace),
            started: now,
            busy_since: now,
            options,
        };
        state.boot();
        state
    }

    pub(super) fn is_cold(&self) -> bool {
        self.cold_start.running_limit(Instant::now()).is_some()
    }

    pub(super) fn running(&self) -> u64 {
        self.running
    }

    /// Decides about a request on arrival; requests are never queued.
    pub(super) fn admit(&mut self, request: &StreamRequest) -> StreamAdmission {
        let now = Instant::now();
        self.count_request(request);
        let sample = self.samples.draw();
        if let Some(behaviour) = self.behaviour.current(now) {
            let marker = behaviour.crash_marker.as_deref();
            if marker.is_some_and(|marker| request.prompt.contains(marker)) {
                self.crash("a request contains the crash marker");
                return StreamAdmission::Crash;
            }
            if behaviour.fails(&request.path, self.running + 1, sample) {
                self.counters.failed += 1;
                return StreamAdmission::Fail;
            }
        }
        self.set_running(self.running + 1);
        if let Some(running_limit) = self.cold_start.running_limit(now) {
            let maximum = &mut self.counters.running_maximum_while_cold;
            *maximum = self.running.max(*maximum);
            if self.running > running_limit {
                self.counters.over_cold_events += 1;
                self.crash("more requests are running than the cold engine can handle");
                return StreamAdmission::Crash;
            }
        }
        StreamAdmission::Run(self.register(request))
    }

    fn count_request(&mut self, request: &StreamRequest) {
        self.counters.requests += 1;
        *self.counters.by_version.entry(self.version.clone()).or_default() += 1;
        if let Some(key) = &request.key {
            *self.counters.by_idempotency_key.entry(key.clone()).or_default() += 1;
        }
        self.counters.by_team.entry(request.team.clone()).or_default().requests += 1;
    }

    fn register(&mut self, request: &StreamRequest) -> AdmittedStream {
        self.evict_ended();
        let content = StreamContent::of(&request.prompt, request.max_tokens);
        let cached = self.cache.admit(&request.prompt).min(content.prompt_tokens());
        let uncached = u32::try_from(content.prompt_tokens() - cached).unwrap_or(u32::MAX);
        let team = self.counters.by_team.entry(request.team.clone()).or_default();
        team.prompt_tokens += content.prompt_tokens();
        self.next_stream += 1;
        let stream = AdmittedStream {
            number: self.next_stream,
            team: request.team.clone(),
            content,
            prefill: self.options.prefill_per_token.saturating_mul(uncached),
            resumable: request.id.is_some(),
            progress: Arc::new(watch::Sender::new(StreamProgress::default())),
            cancel: self.boot_cancel.child_token(),
            pace: self.pace.subscribe(),
        };
        let known = TrackedStream {
            id: request.id.clone(),
            team: request.team.clone(),
            content,
            progress: Arc::clone(&stream.progress),
            cancel: stream.cancel.clone(),
            ended: None,
        };
        self.streams.insert(stream.number, known);
        stream
    }

    /// Records the end of a stream and frees its capacity.
    pub(super) fn release(&mut self, ended: &EndedStream) {
        // A crash has already removed and counted the streams that it ended.
        let Some(stream) = self.streams.get_mut(&ended.number) else { return };
        stream.ended = Some(Instant::now());
        let team = self.counters.by_team.entry(stream.team.clone()).or_default();
        team.completion_tokens += stream.progress.borrow().tokens;
        match ended.end {
            StreamEnd::Completed => self.counters.completed += 1,
            StreamEnd::Cancelled => self.counters.cancelled += 1,
        }
        self.set_running(self.running - 1);
    }

    /// Finds the most recent stream with the client's `id`.
    pub(super) fn find(&self, id: &str) -> Option<&TrackedStream> {
        self.streams.values().rev().find(|stream| stream.id.as_deref() == Some(id))
    }

    /// Cancels a stream; returns whether it was found.
    pub(super) fn cancel(&mut self, id: &str) -> bool {
        let stream = self.find(id);
        if let Some(stream) = stream {
            stream.cancel.cancel();
        }
        stream.is_some()
    }

    /// Replaces the injected faults.
    pub(super) fn set_behaviour(&mut self, behaviour: EngineBehaviour) {
        let now = Instant::now();
        if behaviour.cold {
            self.begin_cold_start();
        }
        let slow_from = now + Duration::from_millis(behaviour.after_ms);
        self.pace.send_modify(|pace| {
            pace.slow_factor = behaviour.slow_factor.max(0.0);
            pace.slow_team = behaviour.slow_team.clone().map(Into::into);
            pace.slow_from = slow_from.into();
        });
        self.behaviour = ScheduledBehaviour::new(behaviour, now);
    }

    /// Starts the engine again after a crash, with a new boot id.
    pub(super) fn boot(&mut self) {
        self.boot_cancel = CancellationToken::new();
        let since_epoch = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap_or_default()
            .as_nanos();
        self.boot_id = stable_hash(&since_epoch.to_le_bytes(), self.counters.crashes);
        self.begin_cold_start();
    }

    /// Makes the engine cold and clears its prefix cache.
    pub(super) fn begin_cold_start(&mut self) {
        let EngineOptions { cold_start, cold_running, slots, .. } = self.options;
        self.cold_start = ColdStart::begin(Instant::now(), cold_start, cold_running, slots);
        self.cache.clear();
    }

    fn crash(&mut self, reason: &str) {
        log::warn!(boot = self.boot_id, running = self.running; "engine crashes: {reason}");
        self.counters.crashes += 1;
        self.boot_cancel.cancel();
        for stream in std::mem::take(&mut self.streams).into_values() {
            if stream.ended.is_none() {
                self.counters.lost += 1;
                let team = self.counters.by_team.entry(stream.team).or_default();
                team.completion_tokens += stream.progress.borrow().tokens;
            }
        }
        self.set_running(0);
        self.gate.close();
        self.crashes.send_modify(|crashes| *crashes += 1);
    }

    fn set_running(&mut self, running: u64) {
        self.account_busy();
        self.running = running;
        self.counters.running_maximum = self.counters.running_maximum.max(running);
        let overload_factor = (running as f64 / self.options.slots as f64).max(1.0);
        self.pace.send_if_modified(|pace| {
            let changed = pace.overload_factor != overload_factor;
            pace.overload_factor = overload_factor;
            changed
        });
    }

    fn account_busy(&mut self) {
        let now = Instant::now();
        let elapsed = now.saturating_duration_since(self.busy_since).as_secs_f64() * 1000.0;
        self.counters.busy_slot_ms += elapsed * self.running.min(self.options.slots) as f64;
        self.busy_since = now;
    }

    fn evict_ended(&mut self) {
        while let Some((_, oldest)) = self.streams.first() {
            if oldest.ended.is_none_or(|ended| ended.elapsed() < ENDED_RETENTION) {
                return;
            }
            self.streams.shift_remove_index(0);
        }
    }

    /// Returns the counters, including the progress of running streams.
    pub(super) fn counters_now(&mut self) -> EngineCounters {
        self.account_busy();
        let mut counters = self.counters.clone();
        counters.running = self.running;
        counters.uptime_ms = self.started.elapsed().as_secs_f64() * 1000.0;
        for stream in self.streams.values().filter(|stream| stream.ended.is_none()) {
            let team = counters.by_team.entry(stream.team.clone()).or_default();
            team.completion_tokens += stream.progress.borrow().tokens;
        }
        counters
    }
}
