//! Findings of a check, which are collected with their places and reported together.

use derive_more::{Display, Error};

/// One problem in a checked input, with its place.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[display("{place}: {message}")]
pub struct CheckFinding {
    /// File, line and key, or the path within a document.
    pub place: String,
    /// Description of the problem and of what is expected.
    pub message: String,
}

/// All findings of one check.
#[derive(Clone, Debug, Default, PartialEq, Eq, Error)]
pub struct FindingList {
    #[error(not(source))]
    findings: Vec<CheckFinding>,
}

impl FindingList {
    /// Adds a finding.
    pub fn push(&mut self, place: impl Into<String>, message: impl Into<String>) {
        self.findings.push(CheckFinding { place: place.into(), message: message.into() });
    }

    /// Returns `value` if there are no findings, else the findings.
    pub fn into_result<T>(self, value: T) -> Result<T, Self> {
        if self.findings.is_empty() { Ok(value) } else { Err(self) }
    }

    /// Returns whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }

    /// Iterates over the findings in the order in which they were added.
    pub fn iter(&self) -> impl Iterator<Item = &CheckFinding> {
        self.findings.iter()
    }
}

impl std::fmt::Display for FindingList {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (index, finding) in self.findings.iter().enumerate() {
            if index > 0 {
                writeln!(formatter)?;
            }
            write!(formatter, "{finding}")?;
        }
        Ok(())
    }
}
