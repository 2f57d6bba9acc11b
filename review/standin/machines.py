"""Stand-ins of the cloud and of its machines with their workers, as PROTOCOL describes them."""

import asyncio
import random
import time
from urllib.parse import parse_qsl, urlsplit

from . import cbor
from .http import Server, request


class Cloud:
    """Rents machines. `world` holds the jobs that users uploaded and writes the record."""

    def __init__(self, world, types, capacity, list_lag_s=3.0):
        self.world, self.types, self.capacity, self.list_lag_s = world, types, dict(capacity), list_lag_s
        self.machines = {}  # name -> Machine
        self.charters = {}
        self.count = 0

    async def start(self):
        self.server = await Server(self.handle).start()
        self.address = self.server.address
        return self

    async def rent(self, rig, yard, loaners, ready_s):
        self.count += 1
        name = f"m-{self.count:06d}"
        machine = Machine(self.world, name, self.types[rig], yard, loaners, ready_s)
        self.machines[name] = machine
        await machine.start()
        return name

    async def handle(self, method, path, body):
        url = urlsplit(path)
        await asyncio.sleep(0.05)
        if url.path == "/machine_types":
            return 200, {"rigs": list(self.types.values())}
        if url.path == "/hosts" and method == "POST":
            return await self._rent(cbor.decode(body))
        if url.path == "/hosts/return":
            for name in cbor.decode(body)["deckhands"]:
                machine = self.machines.get(name)
                if machine is not None and machine.gone_at is None:
                    key = (machine.type["sku"], machine.yard, machine.loaners)
                    self.capacity[key] = self.capacity.get(key, 0) + 1
                    await machine.end("returned")
            return 200, {}
        if url.path == "/hosts":
            return self._list(dict(parse_qsl(url.query, keep_blank_values=True)))
        return 400, {"error": "malformed"}

    async def _rent(self, order):
        if order["charter"] in self.charters:
            return 200, {"deckhands": self.charters[order["charter"]]}
        key = (order["rig"], order["yard"], order["loaners"])
        count = min(order["count"], 50, self.capacity.get(key, 0))
        if count <= 0:
            return 503, {"error": "no capacity"}
        self.capacity[key] -= count
        names = [
            await self.rent(*key, self.types[order["rig"]]["ready_s"] * random.uniform(0.6, 1.5))
            for _ in range(count)
        ]
        self.charters[order["charter"]] = names
        self.world.note("rented", charter=order["charter"], machines=names)
        return 200, {"deckhands": names}

    def _list(self, query):
        at = time.monotonic() - self.list_lag_s
        after, most = query.get("after", ""), int(query.get("most", 500))
        shown = [
            m for m in self.machines.values()
            if m.name > after and m.rented_at <= at and (m.gone_at is None or m.gone_at > at)
        ]
        return 200, {
            "deckhands": [
                {"id": m.name, "address": m.address, "rig": m.type["sku"], "yard": m.yard,
                 "loaners": m.loaners, "status": "running" if m.up_at <= at else "booting",
                 "age_s": at - m.rented_at}
                for m in shown[:most]
            ],
            "more": len(shown) > most,
        }


class Machine:
    """A machine with its worker."""

    def __init__(self, world, name, kind, yard, loaners, ready_s):
        self.world, self.name, self.type, self.yard, self.loaners = world, name, kind, yard, loaners
        self.rented_at = time.monotonic()
        self.up_at = self.rented_at + ready_s
        self.gone_at = None
        self.renewed_at = self.up_at
        self.session, self.tick, self.baton = 1, 0, 0
        self.tasks = {}  # task -> dict(try, status, cause, ...)
        self.images = set()
        self.node = random.randrange(len(world.fronts))
        self.hung = False
        self.recall_at = None
        self.loops = []
        self.wake = asyncio.Event()
        self.answers = {}  # status of the answers to reports -> count

    async def start(self):
        self.server = await Server(self.handle).start()
        self.address = self.server.address
        self.loops.append(asyncio.ensure_future(self._run()))

    async def end(self, why):
        self.gone_at = time.monotonic()
        for loop in self.loops:
            loop.cancel()
        self.server.stop()
        for task in list(self.tasks):
            self.world.left(self, task, why)
        self.tasks.clear()

    async def _run(self):
        await asyncio.sleep(max(0.0, self.up_at - time.monotonic()))
        self.renewed_at = time.monotonic()
        self.loops.append(asyncio.ensure_future(self._lease()))
        report_s = self.world.workers["report_s"]
        while True:
            sent_at = time.monotonic()
            delay = await self._report(sent_at)
            if delay is None:
                self.wake.clear()
                try:
                    await asyncio.wait_for(self.wake.wait(), report_s * random.uniform(0.75, 1.25))
                except asyncio.TimeoutError:
                    pass
                delay = max(0.0, sent_at + 0.5 - time.monotonic())
            await asyncio.sleep(delay)
            while self.hung:
                await asyncio.sleep(0.05)

    async def _lease(self):
        while True:
            await asyncio.sleep(0.05)
            if not self.hung and self.lease_over():
                self._next_session()

    def lease_over(self):
        return time.monotonic() - self.renewed_at > self.world.workers["lease_s"]

    def _next_session(self):
        self.world.note("lease expired", machine=self.name, session=self.session, tasks=len(self.tasks))
        for task in list(self.tasks):
            self.world.left(self, task, "lease expired")
        self.tasks.clear()
        self.session, self.tick = self.session + 1, 0
        self.renewed_at = time.monotonic()
        self.wake.set()

    def report(self):
        self.tick += 1
        shards = []
        for name, task in self.tasks.items():
            entry = {"shard": name, "try": task["try"], "status": task["status"]}
            if task["status"] == "ended":
                entry["cause"] = task["cause"]
                if task.get("saved"):
                    entry["saved"] = True
            shards.append(entry)
        recall = None if self.recall_at is None else max(0.0, self.recall_at - time.monotonic())
        return {"deckhand": self.name, "address": self.address, "rig": self.type["sku"], "yard": self.yard,
                "loaners": self.loaners, "shift": self.session, "tick": self.tick, "baton": self.baton,
                "recall_s": recall, "shards": shards}

    async def _report(self, sent_at):
        """Sends a report. Returns the pause before the next node is tried; None if this one answered."""
        session = self.session
        names = list(self.world.fronts)
        report = self.report()
        self.report_bytes = len(cbor.encode(report))
        answer = await request(self.world.fronts[names[self.node]], "POST", "/v1/report", report, timeout=4.0)
        status = answer[0] if answer else "none"
        self.answers[status] = self.answers.get(status, 0) + 1
        if answer and answer[0] == 200:
            if not self.hung and not self.lease_over() and session == self.session and answer[1].get("baton", -1) >= self.baton:
                if answer[1]["baton"] > self.baton:
                    self.baton = answer[1]["baton"]
                self.renewed_at = sent_at
                self._execute(answer[1].get("orders") or [])
            return None
        foreman = (answer[1] or {}).get("foreman") if answer and answer[0] == 421 else None
        if foreman in names and foreman != names[self.node]:
            self.node = names.index(foreman)
            return random.uniform(0.0, 0.5)
        self.node = (self.node + 1) % len(names)
        return 1.0

    async def handle(self, method, path, body):
        while self.hung or self.up_at > time.monotonic():
            await asyncio.sleep(0.05)
        if not self.hung and self.lease_over():
            self._next_session()
        if self.gone_at is not None:
            return None
        if method == "GET":
            return 200, self.report()
        order = cbor.decode(body)
        if order.get("baton") is None or order.get("shift") is None:
            return 400, None
        if order["baton"] < self.baton or order["shift"] != self.session:
            return 409, self.report()
        self.baton = order["baton"]
        self._execute(order.get("orders") or [])
        return 200, self.report()

    def _execute(self, orders):
        for order in orders:
            name, attempt = order["shard"], order["try"]
            task = self.tasks.get(name)
            if order["verb"] == "start":
                self._start(name, attempt, task)
            elif task is None or task["try"] != attempt:
                continue
            elif order["verb"] == "stop" and task["status"] != "ended":
                self._stop(name, task, order["wind_down_s"])
            elif order["verb"] == "clear" and task["status"] == "ended":
                del self.tasks[name]
        if orders:
            self.wake.set()

    def _start(self, name, attempt, present):
        if present is not None and present["try"] == attempt:
            return
        self.world.note("start", machine=self.name, task=name, attempt=attempt)
        job = self.world.jobs.get(name.split("/")[0])
        if present is not None and present["status"] != "ended":
            return
        if job is None:
            self.tasks[name] = {"try": attempt, "status": "ended", "cause": "unknown"}
            return
        used = [self.world.jobs[n.split("/")[0]] for n, t in self.tasks.items() if t["status"] != "ended"]
        if any(sum(j[f] for j in used) + job[f] > self.type[f] + 1e-6
               for f in ("cores", "accelerators", "ram_gb")):
            self.tasks[name] = {"try": attempt, "status": "ended", "cause": "no_room"}
            return
        self.tasks[name] = {"try": attempt, "status": "fetching"}
        self.loops.append(asyncio.ensure_future(self._life(name, self.tasks[name], job)))

    async def _life(self, name, task, job):
        if job["bundle"] not in self.images:
            await asyncio.sleep(job["size_gb"] / self.type["fetch_gb_per_s"])
            self.images.add(job["bundle"])
        if self.tasks.get(name) is not task or task["status"] != "fetching":
            return
        task["status"] = "running"
        self.world.entered(self, name, task["try"])
        self.wake.set()
        if name not in self.world.completed:
            run_s = self.world.run_s(name)
            if run_s is None:
                return
            while run_s > 0:
                await asyncio.sleep(min(run_s, 0.25))
                run_s -= 0 if self.hung else 0.25
        if self.tasks.get(name) is task and task["status"] == "running":
            self._exit(name, task, "done")

    def _stop(self, name, task, wind_down_s):
        job = self.world.jobs.get(name.split("/")[0])
        if task["status"] == "running" and job["bookmark_s"] > 0 and wind_down_s >= job["flush_s"]:
            task["status"] = "flushing"

            async def save():
                await asyncio.sleep(job["flush_s"])
                if self.tasks.get(name) is task and task["status"] == "flushing":
                    task["saved"] = True
                    self._exit(name, task, "halted")

            self.loops.append(asyncio.ensure_future(save()))
        elif task["status"] != "flushing" or wind_down_s == 0:
            self._exit(name, task, "halted")

    def _exit(self, name, task, cause):
        task["status"], task["cause"] = "ended", cause
        if cause == "done":
            self.world.completed.add(name)
        self.world.left(self, name, cause)
        self.wake.set()
