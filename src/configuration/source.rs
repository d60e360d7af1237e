//! Reads the configuration row of the table service.

use std::sync::Arc;

use derive_more::{Display, Error};

use super::checked::VersionedConfiguration;
use super::raw::RawConfiguration;
use super::{CONFIGURATION_ROW, HEAD_ROW};
use crate::findings::FindingList;
use crate::ids::ConfigurationVersion;
use crate::store::TableService;

/// Failure to read the configuration.
#[derive(Debug, Display, Error)]
pub enum SourceError {
    /// The table service could not be read.
    #[display("table service: {_0}")]
    #[error(ignore)]
    Table(String),
    /// The stored document is not a configuration.
    #[display("row {CONFIGURATION_ROW} is malformed: {_0}")]
    Malformed(serde_json::Error),
    /// The stored configuration has findings.
    #[display("row {CONFIGURATION_ROW} has findings:\n{_0}")]
    Findings(FindingList),
}

/// Reads the configuration if it is newer than `held`.
pub async fn read_configuration(
    table: &impl TableService,
    held: ConfigurationVersion,
) -> Result<Option<Arc<VersionedConfiguration>>, SourceError> {
    let row = table.read(CONFIGURATION_ROW).await;
    let row = row.map_err(|error| SourceError::Table(error.to_string()))?;
    let Some(row) = row.filter(|row| row.version > held) else { return Ok(None) };
    let raw: RawConfiguration =
        serde_json::from_value(row.value).map_err(SourceError::Malformed)?;
    let configuration =
        VersionedConfiguration::check(row.version, raw).map_err(SourceError::Findings)?;
    Ok(Some(configuration))
}

/// Reads the configuration's version; 0 when there is none.
pub async fn read_version(table: &impl TableService) -> Result<ConfigurationVersion, SourceError> {
    let read = |error: &dyn std::error::Error| SourceError::Table(error.to_string());
    let mut row = table.read(HEAD_ROW).await.map_err(|error| read(&error))?;
    if row.is_none() {
        // A document that was put there by hand has no head row yet.
        row = table.read(CONFIGURATION_ROW).await.map_err(|error| read(&error))?;
    }
    Ok(row.map_or(0, |row| row.version))
}
