"""Answered direct calls arrive once more while machines fail their tasks, jobs are cancelled and controllers restart.

Three processes of the program run against the stand-ins of `review/standin`. Each direct call with a start that was
executed and answered arrives once more, some seconds or half a minute later, and is executed if token and session
still match. A third of the machines fail every task, machines hang, and a controller ends every few seconds and is back
after 0.3 s. The case is broken if an attempt starts a second time, a task is on two machines, or a task starts later
than `cancel_s` after a confirmed cancellation. Exit codes: 0 held, 1 broken, 2 could not run.

PROGRAM: another build than that of the deploy file. RECORD_DIR: folder of `record.txt`. DURATION_S: how long jobs are
submitted. SEED: of all random choices of the case; the processes run on the real clock. TROUBLE=0: no call arrives a
second time. EARLIER_LAYOUT=1: the settings name a controller that never starts, so that the layout of this version does
not come into force.
"""

import asyncio
import os
import random
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "review"))

from standin import cbor, machines as standin_machines, world as standin_world  # noqa: E402
from standin.http import LOOPBACK, free_ports  # noqa: E402
from standin.machines import Cloud, Machine  # noqa: E402
from standin.state import StateService  # noqa: E402
from standin.world import NotRun, job, kayal, rig, run_case  # noqa: E402

DURATION_S = float(os.environ.get("DURATION_S", "60"))
SEED = int(os.environ.get("SEED", "60"))
ZONE = "kakkanad-rack"
RIG = "chembu-4"
MACHINES = 24
FAILING_SHARE = 1 / 3
FAILS_AFTER_S = 0.3
COPY_DELAYS_S = (2.0, 14.0)
LATE_COPY_DELAYS_S = (20.0, 40.0)
LATE_COPY_SHARE = 0.2
RESTART_PAUSES_S = (5.0, 9.0)
BACK_AFTER_S = 0.3
HANG_PAUSES_S = (4.0, 8.0)
HANG_S = (0.5, 6.0)
SUBMIT_PAUSE_S = 1.5
TASKS = 12
RUN_S = 2.0
CANCELLED_SHARE = 0.3
QUIET_S = 15.0
LIMIT_S = DURATION_S + QUIET_S + 60.0
MIN_COPIES = DURATION_S / 6


class Tally:
    """What happened, counted."""

    def __init__(self):
        self.copies = self.refused = self.executed = 0
        self.started = {}  # (task, attempt) -> machine
        self.confirmed_at = {}  # job -> time of the confirmed cancellation
        self.starts_after_cancellation = 0
        self.reappeared = 0


class RepeatedMachine(Machine):
    """A machine that receives each answered call with a start once more, and may fail all its tasks."""

    fails = False

    async def handle(self, method, path, body):
        answer = await super().handle(method, path, body)
        if self.world.repeats and method == "POST" and answer and answer[0] == 200 and has_start(body):
            late = self.world.random.random() < LATE_COPY_SHARE
            delay = self.world.random.uniform(*(LATE_COPY_DELAYS_S if late else COPY_DELAYS_S))
            self.loops.append(asyncio.ensure_future(self._repeat(delay, body)))
        return answer

    async def _repeat(self, delay, body):
        await asyncio.sleep(delay)
        tally = self.world.tally
        tally.copies += 1
        answer = await super().handle("POST", "/orders", body)
        if answer is not None:
            tally.refused += answer[0] == 409
            tally.executed += answer[0] == 200

    def _start(self, name, attempt, present):
        super()._start(name, attempt, present)
        task = self.tasks.get(name)
        if task is present or task is None or task["try"] != attempt:
            return
        tally, job_id = self.world.tally, name.split("/")[0]
        if (name, attempt) in tally.started:
            tally.reappeared += 1
            self.world.broken.append(f"attempt {attempt} of {name} starts again on {self.name}")
        tally.started[(name, attempt)] = self.name
        if job_id in tally.confirmed_at:
            tally.starts_after_cancellation += 1
            if time.monotonic() > tally.confirmed_at[job_id] + self.world.workers["cancel_s"]:
                self.world.broken.append(f"ran_cancelled {name} on {self.name}")

    async def _life(self, name, task, job):
        if self.fails:
            asyncio.get_running_loop().call_later(FAILS_AFTER_S, self._fail, name, task)
        await super()._life(name, task, job)

    def _fail(self, name, task):
        if self.gone_at is None and self.tasks.get(name) is task and task["status"] != "ended":
            self._exit(name, task, "error")


def has_start(body):
    return any(order["verb"] == "start" for order in cbor.decode(body).get("orders") or [])


async def submit_jobs(world, ends):
    number = 0
    while time.monotonic() < ends:
        number += 1
        name = f"req-{number:06d}"
        await world.submit(job(name, tasks=TASKS, expected_s=RUN_S), quiet=True, run_s=RUN_S)
        if world.random.random() < CANCELLED_SHARE:
            asyncio.ensure_future(cancel(world, name))
        await asyncio.sleep(SUBMIT_PAUSE_S)
    return number


async def cancel(world, name):
    await asyncio.sleep(world.random.uniform(0.2, 6.0))
    while True:
        status, answer = await world.withdraw(name)
        if status == 200:
            if answer["status"] == "cancelled":
                world.tally.confirmed_at[name] = time.monotonic()
            return
        await asyncio.sleep(1.0)


async def restart_controllers(world, ends):
    restarts = 0
    while time.monotonic() < ends:
        await asyncio.sleep(world.random.uniform(*RESTART_PAUSES_S))
        name = world.random.choice(sorted(world.fronts))
        world.end(name)
        await asyncio.sleep(BACK_AFTER_S)
        world.spawn(name)
        restarts += 1
    return restarts


async def hang_machines(world, ends):
    while time.monotonic() < ends:
        await asyncio.sleep(world.random.uniform(*HANG_PAUSES_S))
        up = [machine for machine in world.cloud.machines.values() if machine.gone_at is None]
        machine = world.random.choice(up)
        machine.hung = True
        await asyncio.sleep(world.random.uniform(*HANG_S))
        machine.hung = False


async def case(world, trouble):
    world.random, world.tally, world.repeats = random.Random(SEED), Tally(), trouble
    state = StateService(rps=200.0, write_rps=80.0, value_kb=32.0, txn_ops=32)
    standin_machines.Machine = RepeatedMachine
    cloud = Cloud(world, {RIG: rig(RIG, 4.0, 32.0, [ZONE])}, {(RIG, ZONE, False): 60})
    if os.environ.get("EARLIER_LAYOUT", "0") != "0":
        world.peers["deckhand-9"] = f"{LOOPBACK}:{free_ports(1)[0]}"
    await world.begin(state, cloud, [(RIG, ZONE, MACHINES)])
    names = sorted(cloud.machines)
    for name in world.random.sample(names, round(MACHINES * FAILING_SHARE)):
        cloud.machines[name].fails = True
    ends = time.monotonic() + DURATION_S
    submitted, restarts, _ = await asyncio.gather(
        submit_jobs(world, ends), restart_controllers(world, ends), hang_machines(world, ends))
    await asyncio.sleep(QUIET_S)
    tally = world.tally
    counts = (f"{submitted} jobs, {len(tally.started)} starts, {restarts} restarts, {tally.copies} copies: "
              f"{tally.refused} refused, {tally.executed} without refusal; {tally.reappeared} attempts started again, "
              f"{tally.starts_after_cancellation} starts after a confirmed cancellation, "
              f"{sum(what.startswith('ran_twice') for what in world.broken)} tasks on two machines")
    world.note("counts", seed=SEED, counts=counts)
    print(counts)
    if trouble and tally.copies < MIN_COPIES:
        raise NotRun("too few calls arrived once more")
    return "; ".join(world.broken[:3]) or None


SETTINGS = kayal()
SETTINGS["workers"].update(report_s=1.0, lease_s=10.0, cancel_s=30.0)
PROGRAM = os.environ.get("PROGRAM")
if PROGRAM is not None:
    standin_world.program = lambda: [PROGRAM, "serve", "--config"]
run_case(os.environ.get("RECORD_DIR") or tempfile.mkdtemp(prefix="repeated-calls-"), SETTINGS, case, LIMIT_S)
