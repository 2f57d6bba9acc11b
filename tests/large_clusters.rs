//! Clusters of the size of the grown deployments: schedules keep the rules and equal those of a plain
//! scheduler, transactions keep the limits of size and count, and machines are known in large numbers by
//! few writes.

mod common;
#[path = "large_clusters/machines.rs"]
mod machines;
#[path = "large_clusters/reference_schedule.rs"]
mod reference_schedule;
#[path = "large_clusters/schedules.rs"]
mod schedules;
#[path = "large_clusters/world.rs"]
mod world;
