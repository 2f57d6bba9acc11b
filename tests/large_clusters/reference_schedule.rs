//! Comparison of the scheduler, which works on runs of equal tasks and an index of machines, with a reference
//! scheduler that examines every machine for every task.

use crate::world::{Cluster, job_spec};
use coppergw::jobs::commit::JobChange;
use coppergw::jobs::model::{JobSpec, Resources};
use coppergw::wire::user::{JobKind, Priority};
use foldhash::{HashMap, HashMapExt};
use proptest::prelude::*;
use std::collections::BTreeMap;

/// Number of tasks of each job on each machine.
type TaskCounts = BTreeMap<String, BTreeMap<String, u32>>;

/// Machine of the reference scheduler.
struct ReferenceMachine {
    free: Resources,
    capacity: Resources,
    spot: bool,
}

fn reference_machines(cluster: &Cluster) -> BTreeMap<String, ReferenceMachine> {
    let machines = cluster.state.machines.iter();
    machines
        .map(|(id, machine)| {
            let machine_type = &cluster.state.machine_types[&machine.machine_type];
            let capacity = Resources::of_machine(machine_type);
            let reference = ReferenceMachine {
                free: capacity,
                capacity,
                spot: machine.spot,
            };
            (id.to_string(), reference)
        })
        .collect()
}

/// Returns the machine with the lowest cost for a task, if the task fits on any.
fn best_machine(
    cluster: &Cluster,
    machines: &BTreeMap<String, ReferenceMachine>,
    spec: &JobSpec,
) -> Option<String> {
    let cached = |id: &str| {
        let images = cluster.state.images.get(id);
        images.is_some_and(|images| images.contains(&spec.image))
    };
    machines
        .iter()
        .filter(|(_, machine)| {
            machine.free.fits(&spec.resources)
                && machine.capacity.gpus == 0
                && (spec.allow_spot || !machine.spot)
        })
        .min_by_key(|(id, machine)| {
            let empty = machine.free == machine.capacity
                && spec.kind == JobKind::Array
                && machine.capacity.count_fitting(&spec.resources) > 1;
            let fetch = 2 * i64::from(!cached(id));
            let on_demand = i64::from(spec.allow_spot && !machine.spot);
            let cost = fetch + on_demand + 3 * i64::from(empty);
            (cost, machine.free.cpus, (*id).clone())
        })
        .map(|(id, _)| id.clone())
}

/// Returns the expected schedule, computed task by task over all machines.
fn reference_schedule(cluster: &Cluster, jobs: &[(String, JobSpec)]) -> TaskCounts {
    let mut machines = reference_machines(cluster);
    let mut order: Vec<&(String, JobSpec)> = jobs.iter().collect();
    order.sort_by_key(|(id, spec)| {
        let run_time_ms = spec.estimated_run_time / 1000;
        let work = u64::from(spec.task_count) * run_time_ms * spec.resources.cpus as u64;
        (spec.priority, work, spec.submitted_at, id.clone())
    });
    let mut counts = TaskCounts::new();
    for (id, spec) in order {
        for _ in 0..spec.task_count {
            let Some(best) = best_machine(cluster, &machines, spec) else {
                break;
            };
            if let Some(machine) = machines.get_mut(&best) {
                machine.free.subtract(&spec.resources);
            }
            let job = counts.entry(id.clone()).or_default();
            *job.entry(best).or_default() += 1;
        }
    }
    counts
}

fn task_counts(changes: &[JobChange]) -> TaskCounts {
    let mut counts = TaskCounts::new();
    for change in changes {
        if let JobChange::Place { job, tasks } = change {
            for (_, machine, _) in tasks {
                let job = counts.entry(job.to_string()).or_default();
                *job.entry(machine.to_string()).or_default() += 1;
            }
        }
    }
    counts
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(23),
        ..ProptestConfig::default()
    })]

    /// Scheduling runs of equal tasks over indexed machines gives the same result as each task over all machines.
    #[test]
    fn indexed_schedule_equals_reference_schedule(
        machines in proptest::collection::vec((proptest::bool::weighted(0.1), any::<bool>()), 1..400),
        images in proptest::collection::vec((0usize..400, 0u8..3), 0..200),
        jobs in proptest::collection::vec((0u8..2, 0u8..2, 1u32..400, 1i64..5, any::<bool>()), 1..24),
    ) {
        let mut cluster = Cluster::new(&machines);
        // Some machines have cached images, so that jobs of one kind rank the machines in different orders.
        for (machine, image) in &images {
            let id = format!("m-{:06}", machine % machines.len());
            let cached = cluster.state.images.entry(id.as_str().into()).or_default();
            cached.insert(format!("i{image}"));
        }
        let mut submitted = Vec::new();
        for (number, (kind, priority, tasks, cpus, spot)) in jobs.iter().enumerate() {
            let kind = [JobKind::Array, JobKind::Service][*kind as usize];
            // These priorities do not preempt: preemption is outside this comparison.
            let priority = [Priority::Normal, Priority::Low][*priority as usize];
            let job = JobSpec {
                allow_spot: *spot,
                image: format!("i{}", number % 4),
                ..job_spec(kind, priority, *tasks, *cpus, 0)
            };
            let id = format!("req-{number}");
            cluster.put_job(&id, job.clone());
            submitted.push((id, job));
        }
        let scheduled = task_counts(&cluster.schedule(&HashMap::new()));
        prop_assert_eq!(scheduled, reference_schedule(&cluster, &submitted));
    }
}
