//! Memory while a controller loads the state of the state service.

use crate::common::spec;
use crate::common::state_service::{Keys, StateService, until_loaded};
use crate::heap::{CONTROLLER_MEMORY_MB, HeapGrowth, MEGABYTE};
use crate::job_states::plain_done_block;
use coppergw::jobs::model::{JobRecord, MAX_TASKS, TASKS_PER_BLOCK, TaskBlock, block_count};
use coppergw::store::client::StoreClient;
use coppergw::store::keys;
use coppergw::store::watch_cache::WatchCache;
use coppergw::time::Clock;
use coppergw::wire::client::Client;
use coppergw::wire::to_value;
use coppergw::wire::user::JobKind;
use futures_lite::FutureExt;
use std::net::SocketAddr;
use std::rc::Rc;

/// Number of arrays of the largest size: as many as a class submits when it does not submit more than usual.
const LARGEST_ARRAYS: usize = 5;
/// Rate limit of requests and writes that delays nothing, per second.
const UNLIMITED_RATE: f64 = 1e6;

/// Records of the arrays, and all blocks but the first of each, whose tasks are done.
fn nearly_done_arrays() -> Vec<Keys> {
    let names = || (0..LARGEST_ARRAYS).map(|number| format!("req-{number:06}"));
    let record = JobRecord(spec(JobKind::Array, MAX_TASKS), TaskBlock::default());
    let mut block_names: Vec<String> = names()
        .flat_map(|id| (1..block_count(MAX_TASKS)).map(move |block| keys::block(&id, block)))
        .collect();
    block_names.sort();
    vec![
        Keys {
            names: block_names,
            value: plain_done_block(),
        },
        Keys {
            names: names().map(|id| keys::job(&id)).collect(),
            value: to_value(&record),
        },
    ]
}

/// Loads the state and returns the number of waiting tasks.
fn load(address: SocketAddr) -> u32 {
    let clock = Clock::start();
    let http = Rc::new(Client::new(1));
    let client = StoreClient::new(http, address, clock, UNLIMITED_RATE, UNLIMITED_RATE);
    let cache = WatchCache::new(client, clock);
    async_io::block_on(cache.watch_loop().or(until_loaded(&cache)));
    let view = cache.view();
    view.jobs.values().map(|job| job.waiting).sum()
}

/// Guards against a start that holds the decoded values of all keys at once, many times the size of the state that
/// they describe: the controller is over its memory at each start, although it held the same state before.
#[test]
fn start_holds_one_page_of_undecoded_values_at_a_time() {
    let service = StateService::bind(nearly_done_arrays());
    let address = service.address();
    let growth = HeapGrowth::start();
    let (waiting, largest) = std::thread::scope(|scope| {
        let controller = scope.spawn(|| load(address));
        let mut largest = 0;
        service.serve_connection(|| largest = largest.max(growth.bytes()));
        (controller.join().expect("a loaded state"), largest)
    });
    assert_eq!(waiting, LARGEST_ARRAYS as u32 * TASKS_PER_BLOCK);
    let megabytes = largest / MEGABYTE;
    assert!(megabytes < CONTROLLER_MEMORY_MB / 2, "{megabytes} MB");
}
