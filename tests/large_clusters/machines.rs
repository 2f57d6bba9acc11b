//! Large numbers of machines: created by scale-out requests, returned by termination batches, late to boot, and
//! declared dead together.

use crate::world::Cluster;
use coppergw::autoscaler::model::{MachineRecord, MachineState, ScaleOutRequest, TerminationBatch};
use coppergw::autoscaler::reconciler::delete_terminated_records;
use coppergw::autoscaler::{MAX_READY_WRITE_DELAY, declare_dead, late_booting_machines};
use coppergw::ids::MachineId;
use coppergw::membership::{Shard, shard_of};
use coppergw::store::keys;
use coppergw::time::SECOND;
use coppergw::wire::state::Transaction;
use coppergw::wire::to_value;

/// A scale-out request records all its machines with one write. A machine that was returned does not reappear,
/// and a machine with a separate key remains after the request is deleted.
#[test]
fn scale_out_request_records_machines_without_keys() {
    let mut cluster = Cluster::new(&[]);
    let request = ScaleOutRequest {
        machine_type: "cpu".into(),
        zone: "a".into(),
        spot: true,
        count: 3,
        requested_at: 7,
        machines: vec!["m-1".into(), "m-2".into(), "m-3".into()],
    };
    cluster.put(keys::scale_out_request("r-1"), to_value(&request));
    assert_eq!(cluster.state.machines.len(), 3);
    assert_eq!(cluster.state.machines["m-1"].state, MachineState::Booting);
    let up = MachineRecord {
        state: MachineState::Up,
        session: 1,
        ..request.initial_machine_record()
    };
    cluster.put(keys::machine("m-1"), to_value(&up));
    cluster.put(keys::machine("m-2"), to_value(&up));
    cluster.delete(&keys::machine("m-2"));
    cluster.put(keys::scale_out_request("r-2"), to_value(&request));
    assert!(
        !cluster.state.machines.contains_key("m-2"),
        "a returned machine reappeared"
    );
    assert_eq!(cluster.state.machines["m-1"].state, MachineState::Up);
    for name in ["r-1", "r-2"] {
        cluster.delete(&keys::scale_out_request(name));
    }
    let remaining: Vec<&str> = cluster.state.machines.keys().map(|id| &**id).collect();
    assert_eq!(remaining, vec!["m-1"]);
}

/// Machines of a termination batch are in state `Returning` regardless of the state under their keys. A machine
/// that received a task in the meantime is removed from the batch and kept. A terminated machine does not
/// reappear through a delayed write or a lagging list.
#[test]
fn termination_batch_overrides_machine_state() {
    let mut cluster = Cluster::new(&[(false, false), (false, false)]);
    let names: Vec<MachineId> = cluster.state.machines.keys().cloned().collect();
    let up = cluster.state.machines[&names[0]].clone();
    let key = keys::termination_batch("a");
    let batch = |names: &[MachineId], terminated| {
        to_value(&TerminationBatch {
            machines: names.to_vec(),
            terminated,
            ..TerminationBatch::default()
        })
    };
    cluster.put(key.clone(), batch(&names, false));
    let closing = MachineRecord {
        state: MachineState::Closing,
        ..up.clone()
    };
    cluster.put(keys::machine(&names[0]), to_value(&closing));
    assert!(
        cluster
            .state
            .machines
            .values()
            .all(|machine| machine.state == MachineState::Returning)
    );
    cluster.put(key.clone(), batch(&names[1..], false));
    assert_eq!(
        cluster.state.machines[&names[0]].state,
        MachineState::Closing
    );
    cluster.put(key.clone(), batch(&names[1..], true));
    cluster.put(keys::machine(&names[1]), to_value(&up));
    assert!(
        !cluster.state.machines.contains_key(&names[1]),
        "a terminated machine reappeared through a delayed write"
    );
    let cleanup = delete_terminated_records(&cluster.state, 5).expect("keys to delete");
    cluster.apply(&cleanup);
    assert_eq!(
        cleanup.mutations.len(),
        2,
        "the key of the machine, then the termination batch"
    );
    assert!(
        cluster.state.is_deleted(&keys::machine(&names[1]))
            && cluster.state.termination_batches.is_empty()
    );
}

/// A machine that has not booted is late once others provisioned together with it are up. If all of them boot slowly,
/// none is late.
#[test]
fn machine_is_late_only_if_others_have_booted() {
    let mut cluster = Cluster::new(&[(true, false), (true, false)]);
    let names: Vec<MachineId> = cluster.state.machines.keys().cloned().collect();
    let boot_time = (cluster.state.machine_types["gpu"].boot_time_s * 1e6) as u64;
    let booting = MachineRecord {
        state: MachineState::Booting,
        provisioned_at: SECOND,
        ..cluster.state.machines[&names[0]].clone()
    };
    let up = MachineRecord {
        state: MachineState::Up,
        ..booting.clone()
    };
    for name in &names {
        cluster.put(keys::machine(name), to_value(&booting));
    }
    let now = SECOND + boot_time * 2 + MAX_READY_WRITE_DELAY;
    assert!(
        late_booting_machines(&cluster.state, now, &|_| false).is_empty(),
        "no machine has booted"
    );
    cluster.put(keys::machine(&names[0]), to_value(&up));
    assert!(
        late_booting_machines(&cluster.state, SECOND + boot_time, &|_| false).is_empty(),
        "not late yet"
    );
    let late = late_booting_machines(&cluster.state, now, &|_| false);
    assert!(late.len() == 1 && late.contains(&names[1]));
}

/// When a zone fails, its machines are declared dead with one write, which only their current owner can commit.
/// The write of a partitioned controller may be delivered long after a newer owner has received heartbeats from
/// these machines.
#[test]
fn only_the_current_owner_declares_machines_dead() {
    let mut cluster = Cluster::new(&[(false, false); 40]);
    let names: Vec<MachineId> = cluster.state.machines.keys().take(30).cloned().collect();
    let preconditions_hold = |cluster: &Cluster, transaction: &Transaction| {
        transaction
            .preconditions
            .iter()
            .all(|precondition| cluster.state.version(&precondition.key) == precondition.version)
    };
    let stale_declaration = declare_dead(&cluster.state, "n-1-lost-1", names.clone());
    assert_eq!(stale_declaration.mutations.len(), 1);
    let shard = keys::shard(shard_of(&names[7]));
    let newer = Shard {
        owner: "m".into(),
        lease: 2,
        term: 2,
    };
    cluster.put(shard, to_value(&newer));
    assert!(
        !preconditions_hold(&cluster, &stale_declaration),
        "a deposed owner declared machines dead"
    );
    let declaration = declare_dead(&cluster.state, "n-1-lost-2", names.clone());
    assert!(preconditions_hold(&cluster, &declaration));
    cluster.apply(&declaration);
    let state = |cluster: &Cluster, id: &MachineId| {
        let machine = cluster.state.machines.get(id);
        machine.map(|machine| machine.state)
    };
    assert!(
        names
            .iter()
            .all(|id| state(&cluster, id) == Some(MachineState::Returning))
    );
    let terminated = TerminationBatch {
        machines: names.clone(),
        terminated: true,
        declared_dead: true,
    };
    cluster.put(keys::termination_batch("n-1-lost-2"), to_value(&terminated));
    assert_eq!(cluster.state.machines.len(), 10);
}
