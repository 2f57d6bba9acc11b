"""A small deployment: three controllers as processes of their own, with stand-ins around them."""

import asyncio
import json
import os
import random
import shlex
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

import wire
from standins import Cloud, StateService
from wire import call

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class CouldNotRun(Exception):
    """The case could not run: exit code 2."""


class World:
    report_s, lease_s, cancel_s = 3.0, 18.0, 48.0
    gang_wait_s, gang_peer_s, list_lag_s = 40.0, 5.0, 6.0
    rps, write_rps, value_kb, txn_ops = 200.0, 40.0, 32.0, 16
    node_names = ["deckhand-0", "deckhand-1", "deckhand-2"]

    def __init__(self, folder, rigs, capacity, machines, teams, state_next=None, ram_mb=136.0):
        self.record = open(os.path.join(folder, "record.txt"), "w", buffering=1)
        self.began = time.monotonic()
        self.rigs = {rig["sku"]: rig for rig in rigs}
        self.zones = sorted({yard for rig in rigs for yard in rig["yards"]})
        self.initial, self.teams, self.state_next, self.ram_mb = machines, teams, state_next, ram_mb
        self.random = random.Random(1)
        self.state = StateService(self.value_kb, self.txn_ops, self.rps, self.write_rps)
        self.cloud = Cloud(self, capacity)
        self.jobs, self.results, self.on_machine = {}, set(), {}
        self.starts, self.peak = [], {}
        self.broken = []
        self.processes, self.fronts, self.peer_ports = {}, {}, {}

    def note(self, what, /, **fields):
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self.record.write(f"{time.monotonic() - self.began:8.2f} {what} {text}\n")

    # What the workers run.

    def team_cpus(self, team):
        return sum(self.jobs[job]["cores"] for job, _, _ in self.placed_keys() if self.jobs[job]["owner"] == team)

    def placed_keys(self):
        return [(job, index, attempt) for (job, index), places in self.on_machine.items() for _, attempt in places]

    def gang_on(self, job, attempt):
        return sum(1 for j, _, a in self.placed_keys() if j == job and a == attempt)

    def gang_tasks(self, key):
        """The running tasks of the attempt of a gang, with their workers."""
        return [(machine["worker"], other) for machine in self.cloud.machines.values()
                for other, task in list(machine["worker"].tasks.items())
                if other[0] == key[0] and other[2] == key[2] and task["status"] in ("waiting", "running")]

    def gang_runs(self, key, spec):
        tasks = self.gang_tasks(key)
        return len(tasks) == spec["shards"] and not any(worker.hung for worker, _ in tasks)

    def on_start(self, worker, key):
        self.starts.append((time.monotonic() - self.began, worker.name, key))
        places = self.on_machine.setdefault(key[:2], [])
        self.note("task starts", machine=worker.name, task=f"{key[0]}/{key[1]}", attempt=key[2])
        if places:
            self.broken.append(f"ran_twice: {key} starts on {worker.name} while it is on {places}")
            self.note("RULE BROKEN", rule=self.broken[-1])
        places.append((worker.name, key[2]))
        for team, limit in self.teams.items():
            used = self.team_cpus(team)
            self.peak[team] = max(self.peak.get(team, 0.0), used)

    def on_leave(self, worker, key, cause):
        places = self.on_machine.get(key[:2], [])
        if (worker.name, key[2]) in places:
            places.remove((worker.name, key[2]))
        if not places:
            self.on_machine.pop(key[:2], None)
        self.note("task leaves", machine=worker.name, task=f"{key[0]}/{key[1]}", attempt=key[2], cause=cause)

    # Controllers.

    def settings(self, node):
        lines = [f'node_name = "{node}"', f'area = "{self.zones[0]}"', f'front = "127.0.0.1:{self.fronts[node]}"',
                 f'peer_bind = "127.0.0.1:{self.peer_ports[node]}"']
        for other in self.node_names:
            if other != node:
                lines += ["[[siblings]]", f'node_name = "{other}"', f'area = "{self.zones[0]}"',
                          f'endpoint = "127.0.0.1:{self.peer_ports[other]}"']
        lines += ["[outside]", f'cloud = "127.0.0.1:{self.cloud.port}"', f'state = "127.0.0.1:{self.state.ports[node]}"',
                  "[deployment]", "initial_size = 3", f"zones = {json.dumps(self.zones)}", "skew_ms = 25.0"]
        for team, limit in self.teams.items():
            lines += ["[[deployment.teams]]", f'name = "{team}"', "cpus = 0.0", f"cpus_max = {float(limit)}",
                      "gpus = 0.0", "gpus_max = 0.0"]
        lines += ["[deployment.workers]", f"report_s = {self.report_s}", f"lease_s = {self.lease_s}",
                  f"gang_wait_s = {self.gang_wait_s}", f"gang_peer_s = {self.gang_peer_s}", f"cancel_s = {self.cancel_s}",
                  "[deployment.state]", f"rps = {self.rps}", f"write_rps = {self.write_rps}",
                  f"value_kb = {self.value_kb}", f"txn_ops = {self.txn_ops}"]
        if self.state_next:
            lines += ["[deployment.state.next]"] + [f"{k} = {v}" for k, v in self.state_next.items()]
        lines += ["[deployment.cloud]", "rps = 6.0", f"list_lag_s = {self.list_lag_s}",
                  "[deployment.machine_limits]", "core_share = 0.32", f"ram_mb = {self.ram_mb}", "max_connections = 2500"]
        return "\n".join(lines) + "\n"

    async def start(self, nodes=None):
        self.folder = tempfile.TemporaryDirectory()
        for node in self.node_names:
            self.fronts[node], self.peer_ports[node] = free_port(), free_port()
        await self.state.start(self.node_names)
        await self.cloud.start()
        for rig, yard, spot in self.initial:
            await self.cloud.add(rig, yard, spot, 0.0)
        with open(os.path.join(ROOT, "deploy", "service.toml"), "rb") as file:
            self.command = shlex.split(tomllib.load(file)["run"])
        if not os.path.exists(os.path.join(ROOT, self.command[0])):
            raise CouldNotRun(f"{self.command[0]} is not built")
        for node in nodes or self.node_names:
            self.start_node(node)

    def start_node(self, node):
        path = os.path.join(self.folder.name, f"{node}.toml")
        with open(path, "w") as file:
            file.write(self.settings(node))
        log = open(os.path.join(self.folder.name, f"{node}.log"), "a")
        environment = {**os.environ, "LOG_LEVEL": os.environ.get("CASE_LOG", "info")}
        self.processes[node] = subprocess.Popen(self.command + [path], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log,
                                                stderr=log, env=environment)
        self.note("controller started", node=node, pid=self.processes[node].pid)

    def kill_node(self, node):
        process = self.processes.pop(node)
        process.kill()
        process.wait()
        self.note("controller killed", node=node)

    def log_of(self, node):
        with open(os.path.join(self.folder.name, f"{node}.log")) as file:
            return file.read()

    def crashed(self):
        return [node for node, process in self.processes.items() if process.poll() is not None]

    async def stop(self):
        for process in self.processes.values():
            process.kill()
            process.wait()
        for machine in list(self.cloud.machines):
            self.cloud.machines.pop(machine)["worker"].stop()
        keep = os.environ.get("CASE_KEEP")
        if keep:
            os.makedirs(keep, exist_ok=True)
            for node in self.node_names:
                path = os.path.join(self.folder.name, f"{node}.log")
                if os.path.exists(path):
                    with open(path) as source, open(os.path.join(keep, f"{node}.log"), "w") as target:
                        target.write(source.read())
        self.folder.cleanup()

    # Users.

    def job(self, id, **fields):
        spec = {"id": id, "jobclass": "seal-batch", "owner": next(iter(self.teams)), "shape": "batch", "rank": "normal",
                "shards": 1, "cores": 1.0, "accelerators": 0.0, "ram_gb": 1.0, "bundle": "img-01", "size_gb": 0.1,
                "rigs": None, "yard": None, "together": False, "scatter": False, "loaners": False, "expected_s": 5.0,
                "bookmark_s": 0.0, "flush_s": 0.0, "due_s": None, "run_s": 5.0}
        spec.update(fields)
        self.jobs[id] = spec
        return spec

    async def request(self, node, method, path, value=None, timeout=5.0):
        try:
            status, answer, headers = await call(self.fronts[node], method, path, value, timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError) as error:
            status, answer, headers = None, type(error).__name__, {}
        brief = {k: v for k, v in value.items() if k in ("id", "shards", "cores", "shape")} if value else ""
        self.note("user", node=node, request=f"{method} {path}", sent=brief, status=status, answer=answer)
        return status, answer

    def live(self):
        return list(self.processes)

    async def submit(self, spec, node=None, for_s=60.0):
        """Submits a job as a user does: again after 1 s until it is accepted or refused."""
        sent = {k: v for k, v in spec.items() if k != "run_s"}
        ends = time.monotonic() + for_s
        while True:
            at = node or self.random.choice(self.live())
            status, answer = await self.request(at, "POST", "/api/jobs", sent)
            if status in (200, 201, 400, 422) or time.monotonic() > ends:
                return status, answer
            await asyncio.sleep(1.0)

    async def poll(self, id, node=None):
        return await self.request(node or self.random.choice(self.live()), "GET", f"/api/jobs/{id}", timeout=2.0)

    async def withdraw(self, id, node=None, for_s=60.0):
        ends = time.monotonic() + for_s
        while True:
            at = node or self.random.choice(self.live())
            status, answer = await self.request(at, "POST", f"/api/jobs/{id}/withdraw")
            if status == 200 or time.monotonic() > ends:
                return status, answer
            await asyncio.sleep(1.0)

    async def until(self, what, condition, for_s):
        ends = time.monotonic() + for_s
        while time.monotonic() < ends:
            if condition():
                return True
            await asyncio.sleep(0.1)
        self.note("not reached", what=what)
        return False

    async def until_status(self, id, wanted, for_s, every_s=1.0):
        ends = time.monotonic() + for_s
        while True:
            status, answer = await self.poll(id)
            if status == 200 and answer["status"] in wanted:
                return answer
            if time.monotonic() > ends:
                return None
            await asyncio.sleep(every_s)

    async def healthy(self, nodes=None, for_s=30.0):
        """Waits until the controllers answer the health check and one machine has reported."""
        ends = time.monotonic() + for_s
        for node in nodes or self.node_names:
            while True:
                try:
                    status, _, _ = await call(self.fronts[node], "GET", "/healthz", timeout=1.0)
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
                    status = None
                if status == 200:
                    break
                if time.monotonic() > ends:
                    raise CouldNotRun(f"{node} is not healthy")
                await asyncio.sleep(0.2)


def rig(sku, cores, ram_gb, yards, ready_s=2.0, gpus=0):
    return {"sku": sku, "cores": float(cores), "accelerators": float(gpus), "ram_gb": float(ram_gb), "local_gb": 200.0,
            "fetch_gb_per_s": 1.0, "rate": 1.0, "market_price": 0.4, "ready_s": ready_s, "yards": yards}


def run_case(make_world, play, seconds=115):
    """Plays a case: `play(world)` returns the ways in which the rule was broken. Exit code 1, 0 or 2."""

    async def main():
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        world = make_world()
        try:
            await world.start(getattr(world, "first_nodes", None))
            broken = await asyncio.wait_for(play(world), seconds)
            crashed = world.crashed()
            if crashed:
                broken = broken + [f"controllers ended by themselves: {crashed}"]
            for line in broken:
                world.note("RULE BROKEN", what=line)
                print("RULE BROKEN:", line)
            if not broken:
                world.note("the rule held")
                print("the rule held")
            return 1 if broken else 0
        except (CouldNotRun, asyncio.TimeoutError) as error:
            world.note("could not run", why=repr(error))
            print("could not run:", repr(error))
            return 2
        except Exception:  # noqa: BLE001 - any other fault of the case means that it could not run
            traceback.print_exc()
            return 2
        finally:
            await world.stop()
            sys.stdout.flush()
            sys.stderr.flush()

    # Connections that are still open end with the process.
    loop = asyncio.new_event_loop()
    os._exit(loop.run_until_complete(main()))
