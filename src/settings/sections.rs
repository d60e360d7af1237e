//! Checked sections of the settings and their defaults.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use http::Uri;

use super::reader::SettingReader;
use crate::decision::fair_queue::FairnessPolicy;
use crate::ids::{DataCentreId, NodeId, ServiceId, UpstreamId, VersionId};

/// Daemon that a settings file is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum NodeRole {
    /// The entry process for callers.
    #[display("router")]
    Router,
    /// The process that runs beside an upstream.
    #[display("agent")]
    Agent,
}

/// Section `[node]`.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of the process, unique in the fleet.
    pub id: NodeId,
    /// Data centre that the process runs in.
    pub data_centre: DataCentreId,
}

/// Section `[listen]`.
#[derive(Clone, Copy, Debug)]
pub struct ListenSettings {
    /// Address for callers; routers only.
    pub caller: SocketAddr,
    /// Address for other processes of the system.
    pub peer: SocketAddr,
    /// Address under which other processes reach the peer address, if it differs.
    pub advertise_peer: Option<SocketAddr>,
    /// Address of the administration API; routers only.
    pub admin: SocketAddr,
}

/// Section `[tls]`; routers only. Without it, callers are served in clear text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsSettings {
    /// PEM file with the certificate chain.
    pub certificate: PathBuf,
    /// PEM file with the private key.
    pub key: PathBuf,
}

/// Section `[platform]`.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Base URL of the table service.
    pub table: Uri,
    /// Base URL of the VM list.
    pub vm_list: Uri,
    /// Base URL of the weight store.
    pub weights: Uri,
    /// Timeout of a call to the platform.
    pub timeout: Duration,
    /// Interval between two reads of the VM list or the configuration version.
    pub poll_interval: Duration,
}

/// Section `[upstream]`; agents only.
#[derive(Clone, Debug)]
pub struct UpstreamSettings {
    /// Name of the upstream.
    pub id: UpstreamId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Base URL of the upstream.
    pub url: Uri,
    /// Version that it runs.
    pub version: VersionId,
    /// Maximum number of requests that the upstream runs concurrently.
    pub slots: u64,
}

/// Section `[limits]`.
#[derive(Clone, Debug)]
pub struct LimitSettings {
    /// Maximum size of a request body in bytes.
    pub body_bytes: u64,
    /// Maximum total size in bytes of the request bodies that a router holds.
    pub total_body_bytes: u64,
    /// Maximum number of requests of one team that wait at a router.
    pub team_queue: u64,
    /// Answer bytes that an agent buffers for a request before it applies backpressure to the
    /// upstream.
    pub answer_buffer_bytes: u64,
    /// Maximum time that a request waits for an upstream.
    pub queue_timeout: Duration,
    /// Maximum time without progress on the connection of an answer.
    pub progress_timeout: Duration,
    /// Maximum number of claims that an agent writes per second; each claim takes two writes of the
    /// table service.
    pub claims_per_second: u32,
}

/// Section `[drain]`.
#[derive(Clone, Copy, Debug)]
pub struct DrainSettings {
    /// Time that the balancer gets to notice that the process is no longer ready.
    pub delay: Duration,
    /// Maximum time that running requests get to end.
    pub limit: Duration,
}

/// Section `[fairness]`.
#[derive(Clone, Copy, Debug, Default)]
pub struct FairnessSettings {
    /// Policy that orders waiting requests. `local` and `fifo` serve for comparison only.
    pub policy: FairnessPolicy,
}

/// Section `[threads]`.
#[derive(Clone, Copy, Debug)]
pub struct ThreadSettings {
    /// Number of threads that carry traffic.
    pub traffic: u64,
}

/// Section `[metrics]`.
#[derive(Clone, Copy, Debug)]
pub struct MetricsSettings {
    /// Address of the StatsD server; without it, no metrics are sent.
    pub statsd: Option<SocketAddr>,
}

impl MetricsSettings {
    pub(super) fn read(reader: &mut SettingReader<'_>) -> Self {
        Self { statsd: reader.optional("metrics.statsd") }
    }
}

impl NodeSettings {
    pub(super) fn read(reader: &mut SettingReader<'_>) -> Option<Self> {
        let id = reader.required::<String>("node.id");
        let data_centre = reader.required::<String>("node.data-centre");
        Some(Self { id: id?.into(), data_centre: data_centre?.into() })
    }
}

impl ListenSettings {
    pub(super) fn read(reader: &mut SettingReader<'_>, role: NodeRole) -> Option<Self> {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let (caller, admin) = match role {
            NodeRole::Router => (
                reader.required("listen.caller"),
                Some(reader.or_default("listen.admin", any_port)),
            ),
            NodeRole::Agent => (Some(any_port), Some(any_port)),
        };
        let peer = reader.required("listen.peer");
        let advertise_peer = reader.optional("listen.advertise-peer");
        Some(Self { caller: caller?, peer: peer?, advertise_peer, admin: admin? })
    }
}

impl TlsSettings {
    pub(super) fn read(reader: &mut SettingReader<'_>) -> Option<Self> {
        if !reader.has_section("tls") {
            return None;
        }
        let certificate = reader.required::<String>("tls.certificate");
        let key = reader.required::<String>("tls.key");
        Some(Self { certificate: certificate?.into(), key: key?.into() })
    }
}

impl PlatformSettings {
    pub(super) fn read(reader: &mut SettingReader<'_>) -> Option<Self> {
        let table: Option<Uri> = reader.required("platform.table");
        let weights = reader.optional("platform.weights").or_else(|| table.clone());
        let vm_list = reader.required("platform.vm-list");
        let timeout = reader.or_default("platform.timeout", Duration::from_secs(2));
        let poll_interval = reader.or_default("platform.poll-interval", Duration::from_secs(1));
        if poll_interval < Duration::from_millis(50) {
            reader.reject("platform.poll-interval", "must be at least 50ms");
        }
        Some(Self { table: table?, vm_list: vm_list?, weights: weights?, timeout, poll_interval })
    }
}

impl UpstreamSettings {
    pub(super) fn read(reader: &mut SettingReader<'_>) -> Option<Self> {
        let id = reader.required::<String>("upstream.id");
        let service = reader.required::<String>("upstream.service");
        let url = reader.required("upstream.url");
        let version = reader.or_default("upstream.version", "1".to_owned());
        let slots = reader.or_default("upstream.slots", 8);
        if !(1..=4096).contains(&slots) {
            reader.reject("upstream.slots", "must be between 1 and 4096");
        }
        Some(Self {
            id: id?.into(),
            service: service?.into(),
            url: url?,
            version: version.into(),
            slots,
        })
    }
}

impl LimitSettings {
    pub(super) fn read(reader: &mut SettingReader<'_>) -> Self {
        let settings = Self {
            body_bytes: reader.or_default("limits.body-bytes", 1 << 20),
            total_body_bytes: reader.or_default("limits.total-body-bytes", 64 << 20),
            team_queue: reader.or_default("limits.team-queue", 256),
            answer_buffer_bytes: reader.or_default("limits.answer-buffer-bytes", 1 << 20),
            queue_timeout: reader.or_default("limits.queue-timeout", Duration::from_secs(60)),
            progress_timeout: reader.or_default("limits.progress-timeout", Duration::from_secs(1)),
            claims_per_second: u32::try_from(reader.or_default("limits.claims-per-second", 50))
                .unwrap_or(u32::MAX),
        };
        if settings.total_body_bytes < settings.body_bytes {
            reader.reject("limits.total-body-bytes", "must be at least limits.body-bytes");
        }
        if settings.team_queue == 0 {
            reader.reject("limits.team-queue", "must be at least 1");
        }
        if settings.claims_per_second == 0 {
            reader.reject("limits.claims-per-second", "must be at least 1");
        }
        if settings.answer_buffer_bytes < 64 << 10 {
            reader.reject("limits.answer-buffer-bytes", "must be at least 65536");
        }
        settings
    }
}

impl DrainSettings {
    pub(super) fn read(reader: &mut SettingReader<'_>) -> Self {
        Self {
            delay: reader.or_default("drain.delay", Duration::from_secs(2)),
            limit: reader.or_default("drain.limit", Duration::from_secs(3600)),
        }
    }
}

impl FairnessSettings {
    pub(super) fn read(reader: &mut SettingReader<'_>) -> Self {
        let policy = reader.or_default("fairness.policy", FairnessPolicy::default());
        Self { policy }
    }
}

impl ThreadSettings {
    pub(super) fn read(reader: &mut SettingReader<'_>) -> Self {
        let traffic = reader.or_default("threads.traffic", 2);
        if !(1..=256).contains(&traffic) {
            reader.reject("threads.traffic", "must be between 1 and 256");
        }
        Self { traffic }
    }
}
