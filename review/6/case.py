"""A team at its limit while the jobs of a class come several times as often: its tasks must not use more."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "harness2"))


from world import TROUBLE, World, rig, run_case  # noqa: E402

TEAM, LIMIT = "fleet-desk", 4.0
# The sum of a few dozen decimal fractions, in floating point.
ROUNDING = 1e-6
CORES, TASKS = 0.03125, 43
JOBS = 4 if TROUBLE else 1


def make_world():
    return World(FOLDER, [rig("umurenge-16", 16, 64, ["nyarugenge-hall"])],
                 {("umurenge-16", "nyarugenge-hall", False): 4},
                 [("umurenge-16", "nyarugenge-hall", False)] * 2, {TEAM: LIMIT})


async def play(world):
    await world.healthy()
    for number in range(1, JOBS + 1):
        spec = world.job(f"req-{number:06d}", jobclass="fare-recalc", shards=TASKS, cores=CORES, ram_gb=0.1, run_s=15.0)
        status, _ = await world.submit(spec)
        if status not in (200, 201):
            return [f"a job is not accepted: {status}"]
    if not await world.until("all tasks done", lambda: len(world.results) == JOBS * TASKS, 90):
        return ["not every job ran"]
    peak = world.peak[TEAM]
    world.note("most CPUs that the team's tasks used at one time", cpus=peak, limit=LIMIT)
    if peak > LIMIT + ROUNDING:
        return [f"quota: the tasks of {TEAM} used {peak:.4f} CPUs at one time, its limit is {LIMIT}"]
    return world.broken


run_case(make_world, play)
