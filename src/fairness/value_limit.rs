//! Keeps stored maps within the size limit of one value. Pure.

use crate::wire::json_size;
use std::collections::BTreeMap;

/// Bytes of the braces and the field's name around a map.
const MAP_OVERHEAD_BYTES: usize = 16;
/// Bytes of the quotes, colon and comma of one entry.
const ENTRY_OVERHEAD_BYTES: usize = 4;

/// The entries that fit into `max_bytes` as JSON, those of the highest `worth` first. A job without counts
/// is taken as one of which nothing finished yet (T and P are 1), one without a boost as equal to others.
pub fn fitting<T: serde::Serialize, W: Ord>(
    jobs: BTreeMap<String, T>,
    max_bytes: usize,
    worth: &dyn Fn(&str, &T) -> W,
) -> BTreeMap<String, T> {
    if json_size(&jobs) + MAP_OVERHEAD_BYTES <= max_bytes {
        return jobs;
    }
    let mut by_worth: Vec<(W, String, T)> = jobs
        .into_iter()
        .map(|(id, entry)| (worth(&id, &entry), id, entry))
        .collect();
    by_worth.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(&b.1)));
    let mut bytes_left = max_bytes.saturating_sub(MAP_OVERHEAD_BYTES);
    let mut kept = BTreeMap::new();
    for (_, id, entry) in by_worth {
        let bytes = id.len() + json_size(&entry) + ENTRY_OVERHEAD_BYTES;
        if bytes > bytes_left {
            break;
        }
        bytes_left -= bytes;
        kept.insert(id, entry);
    }
    kept
}
