//! Reads the configuration and its version from the table service.

use std::sync::Arc;

use derive_more::{Display, Error};

use super::checked::VersionedConfiguration;
use super::raw::RawConfiguration;
use super::{CONFIGURATION_ROW, HEAD_ROW};
use crate::findings::FindingList;
use crate::ids::ConfigurationVersion;
use crate::store::TableService;

/// Why the configuration could not be read.
#[derive(Debug, Display, Error)]
pub enum ReadError {
    /// The table service could not be read.
    #[display("table service: {_0}")]
    #[error(ignore)]
    Table(String),
    /// The stored document does not have the format of a configuration.
    #[display("row {CONFIGURATION_ROW} is malformed: {_0}")]
    Malformed(serde_json::Error),
    /// The stored configuration has findings.
    #[display("row {CONFIGURATION_ROW} has findings:\n{_0}")]
    Findings(FindingList),
}

/// Reads the configuration; returns `None` if it is not newer than `held`.
pub async fn read_configuration(
    table: &impl TableService,
    held: ConfigurationVersion,
) -> Result<Option<Arc<VersionedConfiguration>>, ReadError> {
    let row = table.read(CONFIGURATION_ROW).await;
    let row = row.map_err(|error| ReadError::Table(error.to_string()))?;
    let Some(row) = row.filter(|row| row.version > held) else { return Ok(None) };
    let raw: RawConfiguration = serde_json::from_value(row.value).map_err(ReadError::Malformed)?;
    let configuration =
        VersionedConfiguration::check(row.version, raw).map_err(ReadError::Findings)?;
    Ok(Some(configuration))
}

/// Reads the configuration's version; returns 0 when there is no configuration.
pub async fn read_version(table: &impl TableService) -> Result<ConfigurationVersion, ReadError> {
    let table_error = |error: &dyn std::error::Error| ReadError::Table(error.to_string());
    let mut row = table.read(HEAD_ROW).await.map_err(|error| table_error(&error))?;
    if row.is_none() {
        // A document that was written manually has no head row yet.
        row = table.read(CONFIGURATION_ROW).await.map_err(|error| table_error(&error))?;
    }
    Ok(row.map_or(0, |row| row.version))
}
