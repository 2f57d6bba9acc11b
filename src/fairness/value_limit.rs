//! Limits stored maps to the maximum size of one value. The functions have no side effects.

use crate::wire::json_size;
use std::collections::BTreeMap;

/// Bytes of the braces and the field name around a map.
const MAP_OVERHEAD_BYTES: usize = 16;
/// Bytes of the quotes, colon and comma of one entry.
const ENTRY_OVERHEAD_BYTES: usize = 4;

/// Returns the entries that fit into `max_bytes` as JSON, preferring those of the highest `priority`. A job
/// whose counts are left out is treated as a job without finished tasks (T and P are 1), and a job whose
/// boost is left out has the same level as other jobs without a boost.
pub fn truncate_to_size<T: serde::Serialize, W: Ord>(
    entries: BTreeMap<String, T>,
    max_bytes: usize,
    priority: &dyn Fn(&str, &T) -> W,
) -> BTreeMap<String, T> {
    if json_size(&entries) + MAP_OVERHEAD_BYTES <= max_bytes {
        return entries;
    }
    let mut by_priority: Vec<(W, String, T)> = entries
        .into_iter()
        .map(|(id, entry)| (priority(&id, &entry), id, entry))
        .collect();
    by_priority.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(&b.1)));
    let mut bytes_left = max_bytes.saturating_sub(MAP_OVERHEAD_BYTES);
    let mut kept = BTreeMap::new();
    for (_, id, entry) in by_priority {
        let bytes = id.len() + json_size(&entry) + ENTRY_OVERHEAD_BYTES;
        if bytes > bytes_left {
            break;
        }
        bytes_left -= bytes;
        kept.insert(id, entry);
    }
    kept
}
