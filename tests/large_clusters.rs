//! Clusters of the size of the large deployments: schedules obey the placement rules and equal those of a
//! reference scheduler, transactions stay within the limits on size and number of mutations, and large numbers
//! of machines are recorded with few writes.

mod common;
#[path = "large_clusters/machines.rs"]
mod machines;
#[path = "large_clusters/reference_schedule.rs"]
mod reference_schedule;
#[path = "large_clusters/schedules.rs"]
mod schedules;
#[path = "large_clusters/world.rs"]
mod world;
