//! Acceptance of jobs whose record just fits into a value.

use crate::common;
use crate::deployment::{Deployment, place};
use coppergw::jobs::commit::{JobChange, accept_submission};
use coppergw::jobs::model::{JobSpec, TaskBlock};
use coppergw::store::cluster_state::ClusterState;
use coppergw::wire::json_size;
use coppergw::wire::user::JobKind;

/// Largest value in bytes, and most mutations of a transaction.
const LIMITS: (usize, usize) = (2048, 10);
const JOB: &str = "req-000100";

/// Returns a job whose record has this size when it is accepted in plain form.
fn job_with_record_of(bytes: usize) -> JobSpec {
    let mut spec = common::spec(JobKind::Array, 256);
    let missing = bytes - json_size(&(&spec, TaskBlock::default()));
    spec.class = format!("{}{}", spec.class, "x".repeat(missing));
    spec
}

/// Guards against a 400 for a submission that is repeated after the job has ended: the first one was accepted when
/// records were written plain, and the packed form is longer by a few bytes.
#[test]
fn record_fits_in_packed_form_whenever_it_fits_in_plain_form() {
    for packed in [false, true] {
        let limits = Deployment::new(LIMITS, packed).limits();
        let accepted = |bytes: usize| {
            let view = ClusterState::default();
            accept_submission(&view, JOB, job_with_record_of(bytes), limits).is_some()
        };
        assert!(accepted(limits.max_value_bytes), "packed: {packed}");
        assert!(!accepted(limits.max_value_bytes + 1), "packed: {packed}");
    }
}

/// Guards against a record that is accepted and outgrows the value when the job's block is split, or its cancellation
/// written.
#[test]
fn largest_record_can_be_placed_and_cancelled() {
    let mut deployment = Deployment::new(LIMITS, true);
    deployment.submit(
        JOB,
        &job_with_record_of(deployment.limits().max_value_bytes),
    );
    let place = JobChange::Place {
        job: JOB.into(),
        tasks: (0..16).map(|index| place(index, 0)).collect(),
    };
    for _ in 0..2 {
        deployment.write(0, std::slice::from_ref(&place));
        deployment.sync(0);
    }
    assert!(deployment.placed_tasks() > 0);
    assert!(deployment.has_parts(JOB));
    deployment.cancel(0, &JOB.into());
}
