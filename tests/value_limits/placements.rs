//! Placements by a controller with the settings of a deployment whose values are small.

use crate::common::state_service::{Keys, StateService, load};
use crate::common::{SETTINGS, spec};
use async_executor::LocalExecutor;
use coppergw::controller::Controller;
use coppergw::ids::MachineId;
use coppergw::jobs::commit::{JobChange, StagedTransaction, stage};
use coppergw::jobs::model::{JobRecord, TaskBlock};
use coppergw::membership::{LAYOUT_VERSION, LayoutVersion};
use coppergw::policy::Policy;
use coppergw::settings::Settings;
use coppergw::store::cluster_state::ClusterState;
use coppergw::store::keys;
use coppergw::wire::state::Mutation;
use coppergw::wire::to_value;
use coppergw::wire::user::JobKind;
use foldhash::{HashSet, HashSetExt};
use std::rc::Rc;

/// Largest value of the state service, in bytes.
const VALUE_BYTES: usize = 4096;
/// Id of the array.
const ARRAY: &str = "req-000100";
/// Number of its tasks.
const TASK_COUNT: u32 = 500;
/// Number of its tasks for which the controller's machines have room: a third of 328 free places.
const FREE_PLACES: u32 = 109;
/// Number of its tasks that fit on a machine.
const TASKS_PER_MACHINE: u32 = 8;

fn keys_with(layout: Option<LayoutVersion>) -> Vec<Keys> {
    let record = JobRecord(spec(JobKind::Array, TASK_COUNT), TaskBlock::default());
    let array = Keys {
        names: vec![keys::job(ARRAY)],
        value: to_value(&record),
    };
    let layout = layout.map(|layout| Keys {
        names: vec![keys::LAYOUT.into()],
        value: to_value(&layout),
    });
    [array].into_iter().chain(layout).collect()
}

/// Returns what a controller with the settings of the deployment writes to place tasks of the array on all free
/// places.
fn placements(layout: Option<LayoutVersion>) -> Vec<StagedTransaction> {
    let service = StateService::bind(keys_with(layout));
    let settings = SETTINGS
        .replace("127.0.0.1:4", &service.address().to_string())
        .replace("value_kb = 32.0", "value_kb = 4.0")
        .replace("txn_ops = 16", "txn_ops = 12");
    service.serve_in_background();
    let settings = Settings::parse("s.toml", &settings).expect("settings");
    let executor = Rc::new(LocalExecutor::new());
    let controller = Controller::new(settings, Policy::default(), executor.clone());
    async_io::block_on(executor.run(load(&controller)));
    let machine = |task: u32| -> MachineId { format!("m-{:06}", task / TASKS_PER_MACHINE).into() };
    let place = JobChange::Place {
        job: ARRAY.into(),
        tasks: (0..FREE_PLACES)
            .map(|task| (task, machine(task), 1))
            .collect(),
    };
    let limits = controller.transaction_limits();
    let view = controller.watch_cache.view();
    stage(&view, &[place], &HashSet::new(), &|_| false, limits)
}

/// Returns the number of tasks that the transactions place.
fn placed_tasks(staged: &[StagedTransaction]) -> u32 {
    let mut view = ClusterState::default();
    let record = JobRecord(spec(JobKind::Array, TASK_COUNT), TaskBlock::default());
    view.put(&keys::job(ARRAY), &to_value(&record), 1);
    for mutation in staged
        .iter()
        .flat_map(|staged| &staged.transaction.mutations)
    {
        if let Mutation::Put { key, value, .. } = mutation {
            view.put(key, value, 2);
        }
    }
    view.jobs[ARRAY].placed
}

/// Guards against task blocks that are written whole and plain because no lower limits are announced: the value
/// is refused as too large, again in each pass, and no task of the array runs although machines have room.
#[test]
fn array_is_placed_on_all_free_places_within_the_limits_in_force() {
    let layout = LayoutVersion {
        layout_version: LAYOUT_VERSION,
    };
    let staged = placements(Some(layout));
    for staged in &staged {
        let value_bytes = staged.transaction.largest_value_bytes();
        assert!(value_bytes <= VALUE_BYTES, "a value of {value_bytes} bytes");
    }
    assert_eq!(placed_tasks(&staged), FREE_PLACES);
}

/// Guards against the same while a controller of the settings has not started yet, so that the layout is not agreed
/// on and blocks are written plain: as many tasks are placed as fit into the value.
#[test]
fn array_is_placed_as_far_as_values_allow_before_the_layout_is_in_force() {
    let staged = placements(None);
    for staged in &staged {
        let value_bytes = staged.transaction.largest_value_bytes();
        assert!(value_bytes <= VALUE_BYTES, "a value of {value_bytes} bytes");
    }
    assert!(placed_tasks(&staged) > 0);
}
