"""Small tasks come several times as often: a machine must not get more of them than its worker can report."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "harness2"))


from world import TROUBLE, World, rig, run_case  # noqa: E402

ZONE = "nyarugenge-hall"
TASKS, CORES, RUN_S = 600, 0.005, 25.0
JOBS = 4 if TROUBLE else 1


def make_world():
    return World(FOLDER, [rig("umurenge-16", 16, 64, [ZONE])], {("umurenge-16", ZONE, False): 1},
                 [("umurenge-16", ZONE, False)], {"fleet-desk": 0.0})


async def play(world):
    await world.healthy()
    for number in range(1, JOBS + 1):
        spec = world.job(f"req-{number:06d}", jobclass="fare-recalc", shards=TASKS, cores=CORES, ram_gb=0.01,
                         expected_s=RUN_S, run_s=RUN_S)
        status, _ = await world.submit(spec)
        if status not in (200, 201):
            return [f"a job is not accepted: {status}"]
    wanted = JOBS * TASKS
    reached = await world.until("all tasks done", lambda: len(world.results) == wanted, 95)
    workers = [machine["worker"] for machine in world.cloud.machines.values()]
    for worker in workers:
        world.note("worker", machine=worker.name, tasks=len(worker.tasks), reports_over_64_kib=worker.too_large,
                   session=worker.session)
    if not reached:
        lost = sum(worker.session - 1 for worker in workers)
        return [f"after 95 s {len(world.results)} of {wanted} tasks of {RUN_S} s are done, "
                f"{sum(w.too_large for w in workers)} reports did not fit into 64 KiB and {lost} leases ended with all tasks"]
    return world.broken


run_case(make_world, play)
