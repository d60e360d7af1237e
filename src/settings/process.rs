//! The settings file of a daemon.

use std::path::Path;

use eyre::WrapErr;

use super::reader::SettingReader;
use super::sections::{
    DrainSettings, FairnessSettings, LimitSettings, ListenSettings, MetricsSettings, NodeRole,
    NodeSettings, PlatformSettings, ThreadSettings, TlsSettings, UpstreamSettings,
};
use crate::findings::FindingList;

/// Unchecked text of a settings file.
#[derive(Clone, Debug)]
pub struct RawSettings {
    /// File name that is shown in findings.
    pub file: String,
    /// TOML text of the file.
    pub text: String,
    /// Daemon that the file is for.
    pub role: NodeRole,
}

/// Checked settings of a daemon.
#[derive(Clone, Debug)]
pub struct ProcessSettings {
    /// Name and data centre of the process.
    pub node: NodeSettings,
    /// Addresses that the process listens on.
    pub listen: ListenSettings,
    /// TLS for callers; `None` to serve clear text.
    pub tls: Option<TlsSettings>,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// The upstream beside an agent; `None` for routers.
    pub upstream: Option<UpstreamSettings>,
    /// Limits of queues, buffers and waiting times.
    pub limits: LimitSettings,
    /// Graceful shutdown.
    pub drain: DrainSettings,
    /// Order of waiting requests.
    pub fairness: FairnessSettings,
    /// Destination of the metrics.
    pub metrics: MetricsSettings,
    /// Thread counts.
    pub threads: ThreadSettings,
}

impl RawSettings {
    /// Reads a settings file without checking it.
    pub fn load(path: &Path, role: NodeRole) -> eyre::Result<Self> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("cannot read settings file {file}"))?;
        Ok(Self { file, text, role })
    }
}

impl TryFrom<RawSettings> for ProcessSettings {
    type Error = FindingList;

    fn try_from(raw: RawSettings) -> Result<Self, FindingList> {
        let mut reader = SettingReader::parse(&raw.file, &raw.text);
        let node = NodeSettings::read(&mut reader);
        let listen = ListenSettings::read(&mut reader, raw.role);
        let tls = match raw.role {
            NodeRole::Router => TlsSettings::read(&mut reader),
            NodeRole::Agent => None,
        };
        let platform = PlatformSettings::read(&mut reader);
        let upstream = match raw.role {
            NodeRole::Router => Some(None),
            NodeRole::Agent => UpstreamSettings::read(&mut reader).map(Some),
        };
        let limits = LimitSettings::read(&mut reader);
        let drain = DrainSettings::read(&mut reader);
        let fairness = FairnessSettings::read(&mut reader);
        let metrics = MetricsSettings::read(&mut reader);
        let threads = ThreadSettings::read(&mut reader);
        let findings = reader.close();
        match (node, listen, platform, upstream) {
            (Some(node), Some(listen), Some(platform), Some(upstream)) if findings.is_empty() => {
                Ok(Self {
                    node,
                    listen,
                    tls,
                    platform,
                    upstream,
                    limits,
                    drain,
                    fairness,
                    metrics,
                    threads,
                })
            }
            _ => Err(findings),
        }
    }
}
