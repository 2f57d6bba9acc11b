//! Stored form of the dependencies between jobs.

use super::JobId;
use serde::{Deserialize, Serialize};

/// Jobs that must be done before a job starts. Those that do not fit into the job's record are stored
/// under separate keys.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Dependencies {
    /// Dependencies that are stored in the record.
    #[serde(rename = "j", default)]
    pub jobs: JobIdList,
    /// Number of keys with the other dependencies.
    #[serde(rename = "k", default)]
    pub keys: u32,
}

impl Dependencies {
    /// Returns whether the job has no dependencies.
    pub fn is_empty(&self) -> bool {
        self.jobs.0.is_empty() && self.keys == 0
    }
}

/// Job ids, stored as one string without the prefix of most ids, so that a long list takes only a few
/// bytes for each id.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct JobIdList(pub Vec<JobId>);

/// Prefix of most job ids. It is removed from the ids in stored lists, and added when a list is read.
const ID_PREFIX: &str = "req-";

impl Serialize for JobIdList {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let suffixes: Vec<&str> = self
            .0
            .iter()
            .map(|job| job.strip_prefix(ID_PREFIX).unwrap_or(job))
            .collect();
        serializer.serialize_str(&suffixes.join(" "))
    }
}

impl<'de> Deserialize<'de> for JobIdList {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<JobIdList, D::Error> {
        let text = String::deserialize(deserializer)?;
        Ok(JobIdList(
            text.split_ascii_whitespace()
                .map(|suffix| format!("{ID_PREFIX}{suffix}").into())
                .collect(),
        ))
    }
}
