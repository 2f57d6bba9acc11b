//! Memory of a controller: it holds every unfinished job, and loads all of them again at each start. A controller
//! that is over its memory is ended by the platform, and over it again at the next start.

#[path = "../common/mod.rs"]
mod common;
mod heap;
mod initial_load;
mod job_states;
mod memory_budget;
mod submissions;
