"""A small deployment: controllers as processes, the stand-ins, users, and the record of what happened."""

import asyncio
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time

from .http import LOOPBACK, free_ports, request

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


def program():
    """The command of the deploy file, without a shell."""
    with open(os.path.join(ROOT, "deploy", "service.toml"), encoding="utf-8") as file:
        for line in file:
            if line.startswith("run ="):
                return json.loads(line.split("=", 1)[1]).split()
    raise RuntimeError("no run command")


class NotRun(Exception):
    """The case could not run."""


def run_case(folder, settings, case, limit_s=118.0):
    """Runs `case(world, trouble)`, which returns what was broken or None, and ends the process with 0, 1 or 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    world, code = None, 2
    try:
        world = World(os.path.join(folder, "record.txt"), settings)
        world.note("case", trouble=trouble, program=program())
        broken = asyncio.run(asyncio.wait_for(case(world, trouble), limit_s))
        world.note("result", broken=broken)
        code = 1 if broken else 0
        print(broken or "the rule held")
    except Exception as error:  # whatever it is, it is not a broken rule
        print(f"could not run: {error!r}")
        if world is not None:
            world.note("could not run", error=repr(error))
    finally:
        if world is not None:
            world.close()
    sys.exit(code)


class Health:
    """What the load balancer holds of one node."""

    def __init__(self):
        self.healthy, self.ever = False, False
        self.failures, self.successes = 0, 0
        self.last, self.removals, self.removed_at = [], [], 0.0

    def probed(self, success):
        now = time.monotonic()
        self.last = (self.last + [success])[-6:]
        self.successes = self.successes + 1 if success else 0
        self.failures = 0 if success else self.failures + 1
        if self.healthy and (self.failures >= 2 or self.last.count(False) >= 3):
            self.healthy, self.last = False, []
            self.removed_at = now
            self.removals = [t for t in self.removals if now - t < 120.0] + [now]
        elif not self.healthy and success:
            pause = min(60.0, 3.0 * 2 ** max(0, len(self.removals) - 1))
            if not self.ever or (self.successes >= 2 and now - self.removed_at >= pause):
                self.healthy = self.ever = True
                self.failures, self.last = 0, []


class World:
    def __init__(self, record, settings, node_names=("deckhand-0", "deckhand-1", "deckhand-2")):
        self.began = time.monotonic()
        self.record = open(record, "w", encoding="utf-8")
        self.settings = settings
        self.workers = settings["workers"]
        self.jobs, self.completed, self.on = {}, set(), {}
        self.broken = []
        self.run_times = {}
        self.processes, self.logs = {}, []
        self.folder = tempfile.mkdtemp(prefix="review-")
        ports = free_ports(2 * len(node_names))
        self.fronts = {n: f"{LOOPBACK}:{ports[2 * i]}" for i, n in enumerate(node_names)}
        self.peers = {n: f"{LOOPBACK}:{ports[2 * i + 1]}" for i, n in enumerate(node_names)}
        self.states = {}
        self.next_node = 0
        self.health = {n: Health() for n in node_names}

    def now(self):
        return time.monotonic() - self.began

    def note(self, what, **fields):
        text = " ".join(f"{k}={json.dumps(v)}" for k, v in fields.items())
        self.record.write(f"{self.now():8.3f} {what} {text}\n")
        self.record.flush()

    def run_s(self, task):
        return self.run_times.get(task.split("/")[0])

    def entered(self, machine, task, attempt):
        others = [m for m in self.on.get(task, ()) if m != machine.name]
        if others:
            self.broken.append(f"ran_twice {task} on {machine.name} and {others}")
        self.on.setdefault(task, set()).add(machine.name)
        self.note("runs", machine=machine.name, task=task, attempt=attempt)

    def left(self, machine, task, why):
        self.on.get(task, set()).discard(machine.name)
        self.note("left", machine=machine.name, task=task, why=why)

    # Controllers

    def write_settings(self, name):
        s = self.settings
        zone = s["zones"][0]
        lines = [f'node_name = "{name}"', f'area = "{zone}"', f'front = "{self.fronts[name]}"',
                 f'peer_bind = "{self.peers[name]}"', ""]
        for other, address in self.peers.items():
            if other != name:
                lines += ["[[siblings]]", f'node_name = "{other}"', f'area = "{zone}"',
                          f'endpoint = "{address}"', ""]
        lines += ["[outside]", f'cloud = "{self.cloud.address}"',
                  f'state = "{self.states[name]}"', "", "[deployment]",
                  f"initial_size = {len(self.fronts)}", f"zones = {json.dumps(s['zones'])}", "skew_ms = 25.0", ""]
        for team in s["teams"]:
            lines += ["[[deployment.teams]]"] + [f"{k} = {json.dumps(v)}" for k, v in team.items()] + [""]
        for objective in s.get("objectives", ()):
            lines += ["[[deployment.objectives]]"] + [f"{k} = {json.dumps(v)}" for k, v in objective.items()] + [""]
        for table in ("workers", "state", "cloud", "machine_limits"):
            lines += [f"[deployment.{table}]"] + [f"{k} = {json.dumps(v)}" for k, v in s[table].items()] + [""]
        if s.get("next"):
            lines += ["[deployment.state.next]"] + [f"{k} = {json.dumps(v)}" for k, v in s["next"].items()]
        path = os.path.join(self.folder, f"{name}.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")
        return path

    async def begin(self, state, cloud, rented=()):
        """Starts the stand-ins and all controllers, and waits until each of them serves."""
        self.state = await state.start()
        for name in self.fronts:
            self.states[name] = await state.address_for(name)
        self.cloud = await cloud.start()
        for rig_name, yard, count in rented:
            for _ in range(count):
                await cloud.rent(rig_name, yard, False, 0.0)
        for name in self.fronts:
            self.spawn(name)
        if not await self.healthy(20.0):
            raise NotRun("the controllers do not become healthy")
        asyncio.ensure_future(self.probe_health())
        await asyncio.sleep(0.3)

    def spawn(self, name):
        log = open(os.path.join(self.folder, f"{name}.log"), "ab")
        self.logs.append(log)
        environment = dict(os.environ, LOG_LEVEL=os.environ.get("REVIEW_LOG_LEVEL", "info"))
        command = program()
        command[0] = os.path.join(ROOT, command[0])
        self.processes[name] = subprocess.Popen(
            command + [self.write_settings(name)], cwd=ROOT, env=environment,
            stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.note("controller started", node=name)

    def end(self, name):
        process = self.processes.pop(name, None)
        if process is not None:
            process.send_signal(signal.SIGKILL)
            process.wait()
            self.note("controller ended", node=name)

    def pause(self, name):
        self.processes[name].send_signal(signal.SIGSTOP)
        self.note("controller stopped", node=name)

    def resume(self, name):
        self.processes[name].send_signal(signal.SIGCONT)
        self.note("controller goes on", node=name)

    async def healthy(self, within_s, names=None):
        ends = time.monotonic() + within_s
        names = list(names or self.fronts)
        while time.monotonic() < ends:
            answers = [await request(self.fronts[n], "GET", "/healthz", timeout=1.0) for n in names]
            if all(a and a[0] == 200 for a in answers):
                return True
            await asyncio.sleep(0.2)
        return False

    # Users, through the load balancer

    async def probe_health(self):
        async def probe(name):
            while True:
                began = time.monotonic()
                answer = await request(self.fronts[name], "GET", "/healthz", timeout=1.0)
                before = self.health[name].healthy
                self.health[name].probed(answer is not None and answer[0] == 200)
                if before != self.health[name].healthy:
                    self.note("load balancer", node=name, healthy=self.health[name].healthy)
                await asyncio.sleep(max(0.0, began + 1.0 - time.monotonic()))

        await asyncio.gather(*[probe(name) for name in self.fronts])

    async def ask(self, method, path, body=None, node=None, timeout=5.0):
        """One request of a user on a connection of its own; without a node to a healthy one in turn."""
        if node is None:
            names = [n for n, health in self.health.items() if health.healthy]
            if not names:
                return (None, None, None)
            node = names[self.next_node % len(names)]
            self.next_node += 1
        answer = await request(self.fronts[node], method, path, body, timeout)
        return (node,) + (answer or (None, None))

    async def submit(self, job, quiet=False, run_s=None, for_s=60.0, node=None):
        """Submits as PROTOCOL says: repeated after 1 s for up to 60 s, unless refused for good."""
        self.jobs[job["id"]] = job
        self.run_times[job["id"]] = run_s
        ends = time.monotonic() + for_s
        while True:
            node_name, status, answer = await self.ask("POST", "/api/jobs", job, node)
            if not quiet or status != 201:
                self.note("submit", id=job["id"], node=node_name, status=status, answer=answer)
            if status in (200, 201, 400, 422) or time.monotonic() > ends:
                return status, answer
            await asyncio.sleep(1.0)

    async def poll(self, job, node=None, quiet=False):
        node_name, status, answer = await self.ask("GET", f"/api/jobs/{job}", node=node, timeout=2.0)
        if not quiet:
            self.note("poll", id=job, node=node_name, status=status, answer=answer)
        return status, answer

    async def withdraw(self, job, node=None):
        node_name, status, answer = await self.ask("POST", f"/api/jobs/{job}/withdraw", {}, node)
        self.note("withdraw", id=job, node=node_name, status=status, answer=answer)
        return status, answer

    def close(self):
        for name in list(self.processes):
            try:
                self.processes[name].send_signal(signal.SIGCONT)
            except ProcessLookupError:
                pass
            self.end(name)
        for log in self.logs:
            log.close()
        if os.environ.get("REVIEW_KEEP") is None:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def job(number, kind="batch", tasks=1, **fields):
    base = {"id": f"req-{number:06d}" if isinstance(number, int) else number, "jobclass": "seal-batch",
            "owner": "trust-ops", "shape": kind, "rank": "normal", "shards": tasks, "cores": 1.0,
            "accelerators": 0.0, "ram_gb": 4.0, "bundle": "img-07", "size_gb": 0.2, "rigs": None, "yard": None,
            "together": False, "scatter": False, "loaners": False, "expected_s": 0.0 if kind == "standing" else 10.0,
            "bookmark_s": 0.0, "flush_s": 0.0, "due_s": None}
    base.update(fields)
    return base


def rig(sku, cores, ram_gb, yards, ready_s=2.0):
    return {"sku": sku, "cores": cores, "accelerators": 0.0, "ram_gb": ram_gb, "local_gb": 30.0,
            "fetch_gb_per_s": 0.5, "rate": 0.23, "market_price": 0.05, "ready_s": ready_s, "yards": yards}


def kayal():
    """Settings like those of kayal-kochi."""
    return {
        "zones": ["kakkanad-rack"],
        "teams": [{"name": "trust-ops", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}],
        "workers": {"report_s": 3.0, "lease_s": 22.0, "gang_wait_s": 35.0, "gang_peer_s": 4.0, "cancel_s": 47.0},
        "state": {"rps": 200.0, "write_rps": 80.0, "value_kb": 32.0, "txn_ops": 32},
        "cloud": {"rps": 4.0, "list_lag_s": 3.0},
        "machine_limits": {"core_share": 0.12, "ram_mb": 104.0, "max_connections": 2500},
    }


def agri():
    """Settings like those of inzira-agri-freight, in one zone."""
    return {
        "zones": ["musanze-yard"],
        "teams": [{"name": "depot-crew", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}],
        "workers": {"report_s": 3.0, "lease_s": 16.0, "gang_wait_s": 35.0, "gang_peer_s": 4.0, "cancel_s": 46.0},
        "state": {"rps": 150.0, "write_rps": 25.0, "value_kb": 4.0, "txn_ops": 12},
        "cloud": {"rps": 2.0, "list_lag_s": 4.0},
        "machine_limits": {"core_share": 0.16, "ram_mb": 104.0, "max_connections": 1800},
    }
