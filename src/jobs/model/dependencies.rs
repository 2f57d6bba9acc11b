//! Dependencies between jobs, as they are stored.

use super::JobId;
use serde::{Deserialize, Serialize};

/// Jobs that must be done before a job starts. Those that do not fit into the job's record are stored
/// under keys of their own.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Dependencies {
    /// Those that are listed in the record.
    #[serde(rename = "j", default)]
    pub jobs: JobIdList,
    /// Number of further keys that list the rest.
    #[serde(rename = "k", default)]
    pub keys: u32,
}

impl Dependencies {
    /// Whether the job depends on none.
    pub fn is_empty(&self) -> bool {
        self.jobs.0.is_empty() && self.keys == 0
    }
}

/// Job ids, stored as one text without what most of them begin with, so that a long list takes a few
/// bytes an id.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct JobIdList(pub Vec<JobId>);

/// What most job ids begin with; left out of stored lists and put in front when these are read.
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
