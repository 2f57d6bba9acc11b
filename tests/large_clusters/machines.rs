//! Machines in large numbers: known by scale-out requests, returned by termination batches, late or declared
//! dead together.

use crate::world::World;
use coppergw::autoscaler::model::{MachineRecord, MachineState, ScaleOutRequest, TerminationBatch};
use coppergw::autoscaler::reconciler::forget_gone;
use coppergw::autoscaler::{MAX_READY_WRITE_DELAY, declare_dead, not_expected};
use coppergw::ids::MachineId;
use coppergw::membership::{Shard, shard_of};
use coppergw::store::keys;
use coppergw::time::SECOND;
use coppergw::wire::state::Transaction;
use coppergw::wire::to_value;

/// A scale-out request makes its machines known with one write; a machine that was returned stays gone, and
/// one with a key of its own outlives the request.
#[test]
fn a_scale_out_request_stands_for_its_machines_until_they_have_keys() {
    let mut world = World::new(&[]);
    let request = ScaleOutRequest {
        machine_type: "cpu".into(),
        zone: "a".into(),
        spot: true,
        count: 3,
        requested_at: 7,
        machines: vec!["m-1".into(), "m-2".into(), "m-3".into()],
    };
    world.put(keys::scale_out_request("r-1"), to_value(&request));
    assert_eq!(world.state.machines.len(), 3);
    assert_eq!(world.state.machines["m-1"].state, MachineState::Booting);
    let up = MachineRecord {
        state: MachineState::Up,
        session: 1,
        ..request.machine()
    };
    world.put(keys::machine("m-1"), to_value(&up));
    world.put(keys::machine("m-2"), to_value(&up));
    world.delete(&keys::machine("m-2"));
    world.put(keys::scale_out_request("r-2"), to_value(&request));
    assert!(
        !world.state.machines.contains_key("m-2"),
        "returned and gone"
    );
    assert_eq!(world.state.machines["m-1"].state, MachineState::Up);
    for name in ["r-1", "r-2"] {
        world.delete(&keys::scale_out_request(name));
    }
    let remaining: Vec<&str> = world.state.machines.keys().map(|id| &**id).collect();
    assert_eq!(remaining, vec!["m-1"]);
}

/// Machines of a termination batch are returning whatever their own keys say; one that got a task after all
/// stays; one that is terminated does not come back by a late write, nor from a list that lags.
#[test]
fn a_termination_batch_overrides_machines() {
    let mut world = World::new(&[(false, false), (false, false)]);
    let names: Vec<MachineId> = world.state.machines.keys().cloned().collect();
    let up = world.state.machines[&names[0]].clone();
    let key = keys::termination_batch("a");
    let batch = |names: &[MachineId], terminated| {
        to_value(&TerminationBatch {
            machines: names.to_vec(),
            terminated,
            ..TerminationBatch::default()
        })
    };
    world.put(key.clone(), batch(&names, false));
    let closing = MachineRecord {
        state: MachineState::Closing,
        ..up.clone()
    };
    world.put(keys::machine(&names[0]), to_value(&closing));
    assert!(
        world
            .state
            .machines
            .values()
            .all(|machine| machine.state == MachineState::Returning)
    );
    world.put(key.clone(), batch(&names[1..], false));
    assert_eq!(world.state.machines[&names[0]].state, MachineState::Closing);
    world.put(key.clone(), batch(&names[1..], true));
    world.put(keys::machine(&names[1]), to_value(&up));
    assert!(
        !world.state.machines.contains_key(&names[1]),
        "written after it was gone"
    );
    let cleanup = forget_gone(&world.state, 5).expect("keys to delete");
    world.apply(&cleanup);
    assert_eq!(
        cleanup.mutations.len(),
        2,
        "the machine's key, then what named it"
    );
    assert!(
        world.state.deleted(&keys::machine(&names[1]))
            && world.state.termination_batches.is_empty()
    );
}

/// One machine that does not come up is late once others that were rented with it are up; if all boot
/// slowly, none is.
#[test]
fn one_machine_is_late_and_all_are_not() {
    let mut world = World::new(&[(true, false), (true, false)]);
    let names: Vec<MachineId> = world.state.machines.keys().cloned().collect();
    let boot_time = (world.state.machine_types["gpu"].boot_time_s * 1e6) as u64;
    let booting = MachineRecord {
        state: MachineState::Booting,
        rented_at: SECOND,
        ..world.state.machines[&names[0]].clone()
    };
    let up = MachineRecord {
        state: MachineState::Up,
        ..booting.clone()
    };
    for name in &names {
        world.put(keys::machine(name), to_value(&booting));
    }
    let now = SECOND + boot_time * 2 + MAX_READY_WRITE_DELAY;
    assert!(
        not_expected(&world.state, now, &|_| false).is_empty(),
        "all are late"
    );
    world.put(keys::machine(&names[0]), to_value(&up));
    assert!(
        not_expected(&world.state, SECOND + boot_time, &|_| false).is_empty(),
        "not late yet"
    );
    let late = not_expected(&world.state, now, &|_| false);
    assert!(late.len() == 1 && late.contains(&names[1]));
}

/// When a zone fails its machines are declared dead with one write, and only by their owner: a controller
/// that was partitioned may have such a write delivered long after a newer owner got their heartbeats.
#[test]
fn machines_declared_dead_are_returned_together_unless_their_owner_was_deposed() {
    let mut world = World::new(&[(false, false); 40]);
    let names: Vec<MachineId> = world.state.machines.keys().take(30).cloned().collect();
    let holds = |world: &World, transaction: &Transaction| {
        transaction
            .preconditions
            .iter()
            .all(|precondition| world.state.version(&precondition.key) == precondition.version)
    };
    let late = declare_dead(&world.state, "n-1-lost-1", names.clone());
    assert_eq!(late.mutations.len(), 1);
    let shard = keys::shard(shard_of(&names[7]));
    let newer = Shard {
        owner: "m".into(),
        lease: 2,
        term: 2,
    };
    world.put(shard, to_value(&newer));
    assert!(!holds(&world, &late), "its owner was deposed");
    let declaration = declare_dead(&world.state, "n-1-lost-2", names.clone());
    assert!(holds(&world, &declaration));
    world.apply(&declaration);
    let state = |world: &World, id: &MachineId| {
        let machine = world.state.machines.get(id);
        machine.map(|machine| machine.state)
    };
    assert!(
        names
            .iter()
            .all(|id| state(&world, id) == Some(MachineState::Returning))
    );
    let terminated = TerminationBatch {
        machines: names.clone(),
        terminated: true,
        declared_dead: true,
    };
    world.put(keys::termination_batch("n-1-lost-2"), to_value(&terminated));
    assert_eq!(world.state.machines.len(), 10);
}
