//! Settings of a process: TOML text is parsed into checked sections. All findings are reported
//! together, each with file, line and key.

mod process;
mod reader;
mod sections;

pub use process::{ProcessSettings, RawSettings};
pub use reader::{SettingReader, SettingValue};
pub use sections::{
    DrainSettings, FairnessSettings, LimitSettings, ListenSettings, MetricsSettings, NodeRole,
    NodeSettings, PlatformSettings, ThreadSettings, TlsSettings, UpstreamSettings,
};
