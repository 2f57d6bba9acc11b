"""Stand-ins for the state service, the cloud and the workers, after PROTOCOL-coppergw.md."""

import asyncio
import time
import urllib.parse
from collections import deque

from wire import Dropped, call, encode, decode, json_size, serve


class StateService:
    """Key-value store with transactions, leases and a watch. Each controller has a port of its own, so that a
    case can refuse, delay or lose what one controller sends."""

    def __init__(self, value_kb, txn_ops, rps=None, write_rps=None):
        self.value_kb, self.txn_ops = value_kb, txn_ops
        self.rps, self.write_rps = rps, write_rps
        self.keys = {}  # path -> [value, stamp, permit]
        self.revision = 0
        self.log = deque(maxlen=10_000)
        self.leases = {}  # permit -> [ttl_s, ends_at]
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.outage = False
        self.refused = set()  # nodes that get 503
        self.hold = {}  # node -> Event: requests wait for it
        self.rejections = []
        self.on_txn = None  # async hook(node, transaction) -> None, or "lose_answer" after the commit
        self.delay_s = 0.0
        self.tokens = {"r": rps or 0, "w": write_rps or 0}
        self.refilled = time.monotonic()
        self.throttled = 0

    async def start(self, nodes):
        self.ports = {}
        self.servers = []
        for node in nodes:
            server, port = await serve(lambda m, p, b, node=node: self.handle(node, m, p, b))
            self.servers.append(server)
            self.ports[node] = port
        self.expiry = asyncio.ensure_future(self.expire_leases())

    async def expire_leases(self):
        last = time.monotonic()
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            if self.outage:
                for lease in self.leases.values():
                    lease[1] = now + lease[0]
            last = now
            for permit in [p for p, lease in self.leases.items() if lease[1] < now]:
                self.end_lease(permit)

    def end_lease(self, permit):
        self.leases.pop(permit, None)
        gone = [path for path, entry in self.keys.items() if entry[2] == permit]
        if gone:
            self.revision += 1
            for path in gone:
                del self.keys[path]
                self.log.append({"remove": path, "stamp": self.revision})
            self.notify()

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def unavailable(self, node):
        return self.outage or node in self.refused

    def take(self, requests, writes):
        now = time.monotonic()
        elapsed, self.refilled = now - self.refilled, now
        for kind, rate, need in (("r", self.rps, requests), ("w", self.write_rps, writes)):
            if rate:
                self.tokens[kind] = min(rate, self.tokens[kind] + elapsed * rate)
        if (self.rps and self.tokens["r"] < requests) or (self.write_rps and self.tokens["w"] < writes):
            self.throttled += 1
            return False
        self.tokens["r"] -= requests
        self.tokens["w"] -= writes
        return True

    async def handle(self, node, method, path, body):
        if node in self.hold:
            await self.hold[node].wait()
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.unavailable(node):
            return 503, {"error": "trouble"}
        url = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(url.query))
        if method == "POST" and url.path == "/multi":
            return await self.transaction(node, body)
        if not self.take(1, 0):
            return 429, None
        if method == "GET" and url.path == "/watch":
            return await self.watch(node, query)
        if method == "GET" and url.path == "/keys":
            return self.list(query)
        if method == "GET" and url.path.startswith("/keys/"):
            key = urllib.parse.unquote(url.path[len("/keys/") :])
            entry = self.keys.get(key)
            if entry is None:
                return 404, {"ledger_rev": self.revision}
            found = {"path": key, "v": entry[0], "stamp": entry[1]}
            if entry[2] is not None:
                found["permit"] = entry[2]
            return 200, found
        if url.path == "/grants" and method == "POST":
            ttl = decode(body)["ttl_ms"]
            if not 100 <= ttl <= 600_000:
                return 400, {"error": "ttl"}
            permit, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[permit] = [ttl / 1000, time.monotonic() + ttl / 1000]
            return 200, {"permit": permit}
        if url.path.startswith("/grants/"):
            parts = url.path.split("/")
            permit = int(parts[2])
            if permit not in self.leases:
                return 404, None
            if method == "DELETE":
                self.end_lease(permit)
                return 200, {}
            self.leases[permit][1] = time.monotonic() + self.leases[permit][0]
            return 200, {}
        return 400, {"error": "malformed"}

    def list(self, query):
        under, after = query.get("under", ""), query.get("after", "")
        most = min(int(query.get("most", 1000)), 1000)
        names = sorted(k for k in self.keys if k.startswith(under) and k > after)
        items, size = [], 0
        for name in names:
            entry = self.keys[name]
            size += json_size(entry[0]) + len(name) + 40
            if len(items) == most or size > 512 * 1024:
                break
            items.append({"path": name, "v": entry[0], "stamp": entry[1]})
        return 200, {"items": items, "more": len(items) < len(names), "ledger_rev": self.revision}

    async def watch(self, node, query):
        under, after = query.get("under", ""), int(query.get("after", 0))
        ends = time.monotonic() + min(int(query.get("hold_ms", 0)), 60_000) / 1000
        while True:
            if not self.unavailable(node):
                if self.log and len(self.log) == self.log.maxlen and self.log[0]["stamp"] > after + 1:
                    return 410, {"error": "compacted"}
                events = []
                for event in reversed(self.log):
                    if event["stamp"] <= after:
                        break
                    if (event.get("put") or event["remove"]).startswith(under):
                        events.append(event)
                events.reverse()
                if events or time.monotonic() >= ends:
                    return 200, {"ledger_rev": self.revision, "log": events}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), max(0.01, min(0.2, ends - time.monotonic())))
            except asyncio.TimeoutError:
                pass

    async def transaction(self, node, body):
        txn = decode(body)
        if len(body) > 32 * 1024 and json_size(txn) > 64 * 1024:
            self.rejections.append((time.time(), f"a transaction of {json_size(txn)} bytes"))
            return 400, {"error": "too large"}
        guards, then = txn.get("guards") or [], txn.get("then") or []
        if not self.take(1, len(then)):
            return 429, None
        effect = None
        if self.on_txn:
            effect = await self.on_txn(node, txn)
            if self.unavailable(node):
                return 503, {"error": "trouble"}
        answer = self.commit(txn)
        if effect == "lose_answer":
            raise Dropped
        return answer

    def commit(self, txn):
        guards, then = txn.get("guards") or [], txn.get("then") or []
        if len(then) > self.txn_ops or len(guards) > 4 * self.txn_ops:
            self.rejections.append((time.time(), f"{len(then)} changes, {len(guards)} conditions"))
            return 400, {"error": "too many changes or conditions"}
        for change in then:
            if "put" in change and json_size(change["v"]) > self.value_kb * 1024:
                self.rejections.append((time.time(), f"{change['put']} has {json_size(change['v'])} bytes"))
                return 400, {"error": "value too large"}
        if any(c.get("permit") is not None and c["permit"] not in self.leases for c in then):
            return 400, {"error": "no such lease"}
        failed = [g["path"] for g in guards if (self.keys[g["path"]][1] if g["path"] in self.keys else 0) != g["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledger_rev": self.revision}
        if then:
            self.revision += 1
            for change in then:
                if "put" in change:
                    self.keys[change["put"]] = [change["v"], self.revision, change.get("permit")]
                    self.log.append({"put": change["put"], "v": change["v"], "stamp": self.revision})
                elif self.keys.pop(change["remove"], None) is not None:
                    self.log.append({"remove": change["remove"], "stamp": self.revision})
            self.notify()
        return 200, {"ledger_rev": self.revision}


class Worker:
    """The worker of one machine."""

    def __init__(self, world, name, rig, yard, spot):
        self.world, self.name, self.rig, self.yard, self.spot = world, name, rig, yard, spot
        self.session, self.tick, self.token = 1, 0, 0
        self.tasks = {}  # (job, index, attempt) -> {"status", "cause", "saved", "begun"}
        self.images = set()
        self.began = self.renewed = time.monotonic()
        self.target = None
        self.nodes = list(world.node_names)
        self.alive, self.hung, self.mute = True, False, False
        self.wake = asyncio.Event()
        self.recall_at = None
        self.next_report = 0.0
        self.drop_answers = False
        self.too_large = 0
        self.refusals = 0
        self.on_report = None

    def stop(self):
        self.alive = False
        self.server.close()
        for loop in self.loops:
            loop.cancel()
        for key in list(self.tasks):
            self.leave(key, "machine gone")
        self.tasks.clear()

    async def while_hung(self):
        while self.hung and self.alive:
            await asyncio.sleep(0.05)

    def report(self):
        self.tick += 1
        shards = []
        for (job, index, attempt), task in self.tasks.items():
            entry = {"shard": f"{job}/{index}", "try": attempt, "status": task["status"]}
            if task["status"] == "ended":
                entry["cause"] = task["cause"]
                if task.get("saved"):
                    entry["saved"] = True
            shards.append(entry)
        recall = None if self.recall_at is None else max(0.0, self.recall_at - time.monotonic())
        return {
            "deckhand": self.name, "address": self.address, "rig": self.rig, "yard": self.yard,
            "loaners": self.spot, "shift": self.session, "tick": self.tick, "baton": self.token,
            "recall_s": recall, "shards": shards,
        }

    async def lease_loop(self):
        while self.alive:
            await asyncio.sleep(0.1)
            await self.while_hung()
            if time.monotonic() - max(self.renewed, self.began) > self.world.lease_s:
                self.world.note("lease expired", machine=self.name, tasks=len(self.tasks))
                for key in list(self.tasks):
                    self.leave(key, "lease")
                self.tasks.clear()
                self.session += 1
                self.began = time.monotonic()
                self.wake.set()

    async def report_loop(self):
        world, index = self.world, hash(self.name) % len(self.nodes)
        node = self.nodes[index]
        while self.alive:
            await self.while_hung()
            self.wake.clear()
            report, session, sent = self.report(), self.session, time.monotonic()
            body = encode(report)
            status = answer = None
            try:
                if len(body) > 64 * 1024:
                    # No request may be larger, so the worker can't send this one.
                    self.too_large += 1
                    self.world.note("report over 64 KiB", machine=self.name, tasks=len(self.tasks), bytes=len(body))
                    raise OSError("too large")
                if self.mute:
                    await asyncio.sleep(4)
                    raise OSError("mute")
                if self.on_report:
                    self.on_report(node, body)
                status, answer, _ = await call(world.fronts[node], "POST", "/v1/report", raw=body, timeout=4.0)
            except (OSError, asyncio.TimeoutError, ConnectionError, asyncio.IncompleteReadError, ValueError, IndexError):
                pass
            await self.while_hung()
            if time.monotonic() - sent > 4.0 or self.drop_answers:
                status = None
            if status == 200:
                if answer and answer.get("baton", 0) >= self.token and session == self.session:
                    higher = answer["baton"] > self.token
                    self.token = answer["baton"]
                    self.renewed = sent
                    self.execute(answer.get("orders") or [])
                    if higher:
                        self.wake.set()
            elif status == 421 and answer and answer.get("foreman") in self.nodes and answer["foreman"] != node:
                node = answer["foreman"]
                await asyncio.sleep(world.random.uniform(0, 0.5))
                continue
            else:
                self.refusals += 1
                node = self.nodes[(self.nodes.index(node) + 1) % len(self.nodes)]
                await asyncio.sleep(1.0)
                continue
            interval = world.report_s * world.random.uniform(0.75, 1.25)
            try:
                await asyncio.wait_for(self.wake.wait(), max(0.0, interval - (time.monotonic() - sent)))
            except asyncio.TimeoutError:
                pass
            await asyncio.sleep(max(0.0, 0.5 - (time.monotonic() - sent)))

    async def handle(self, method, path, body):
        await self.while_hung()
        if not self.alive:
            raise Dropped
        if path == "/status":
            return 200, self.report()
        if path != "/orders":
            return 404, None
        message = decode(body)
        if message.get("baton") is None or message.get("shift") is None:
            return 400, None
        if message["baton"] < self.token or message["shift"] != self.session:
            return 409, self.report()
        if message["baton"] > self.token:
            self.token = message["baton"]
            self.wake.set()
        self.execute(message.get("orders") or [])
        return 200, self.report()

    def execute(self, orders):
        for order in orders:
            job, index = order["shard"].rsplit("/", 1)
            key = (job, int(index), order["try"])
            if order["verb"] == "start":
                self.start_task(key)
            elif order["verb"] == "stop":
                self.stop_task(key, order.get("wind_down_s", 0))
            elif order["verb"] == "clear" and key in self.tasks and self.tasks[key]["status"] == "ended":
                del self.tasks[key]
                self.wake.set()

    def used(self):
        cpus = memory = gpus = 0.0
        for (job, _, _), task in self.tasks.items():
            if task["status"] != "ended":
                spec = self.world.jobs[job]
                cpus, memory, gpus = cpus + spec["cores"], memory + spec["ram_gb"], gpus + spec["accelerators"]
        return cpus, memory, gpus

    def start_task(self, key):
        job, index, attempt = key
        if key in self.tasks:
            return
        self.wake.set()
        spec = self.world.jobs.get(job)
        if spec is None or index >= spec["shards"]:
            self.tasks[key] = {"status": "ended", "cause": "unknown"}
            return
        if any(k[:2] == key[:2] and t["status"] != "ended" for k, t in self.tasks.items()):
            self.tasks[key] = {"status": "ended", "cause": "in_use"}
            return
        cpus, memory, gpus = self.used()
        kind = self.world.rigs[self.rig]
        if (cpus + spec["cores"] > kind["cores"] + 1e-6 or memory + spec["ram_gb"] > kind["ram_gb"] + 1e-6
                or gpus + spec["accelerators"] > kind["accelerators"] + 1e-6):
            self.tasks[key] = {"status": "ended", "cause": "no_room"}
            return
        self.tasks[key] = {"status": "fetching"}
        asyncio.ensure_future(self.run(key, spec))

    async def run(self, key, spec):
        session = self.session
        if spec["bundle"] not in self.images:
            await asyncio.sleep(spec["size_gb"] / self.world.rigs[self.rig]["fetch_gb_per_s"])
            await self.while_hung()
        task = self.tasks.get(key)
        if task is None or task["status"] != "fetching" or session != self.session or not self.alive:
            return
        self.images.add(spec["bundle"])
        self.world.on_start(self, key)
        if key[:2] in self.world.results:
            self.end(key, "done")
            return
        if spec["shape"] == "group":
            task["status"] = "waiting"
            self.wake.set()
            waited = time.monotonic()
            while self.world.gang_on(key[0], key[2]) < spec["shards"]:
                await asyncio.sleep(0.05)
                await self.while_hung()
                if self.tasks.get(key) is not task or task["status"] != "waiting":
                    return
                if time.monotonic() - waited > self.world.gang_wait_s:
                    self.end(key, "incomplete")
                    return
        task["status"] = "running"
        self.wake.set()
        if spec["shape"] == "standing":
            return
        gang = spec["shape"] == "group"
        left, alone = spec["run_s"], 0.0
        if isinstance(left, (list, tuple)):
            left = left[key[1] % len(left)]
        step = 0.1 if gang else 1.0
        while left > 0:
            await asyncio.sleep(min(step, left))
            left -= step
            await self.while_hung()
            if self.tasks.get(key) is not task or task["status"] != "running":
                return
            if gang and not self.world.gang_runs(key, spec):
                # Another task is gone or its machine hangs: no progress, and the rest exits within gang_peer_s.
                left, alone = left + step, alone + step
                if alone > self.world.gang_peer_s * 0.8:
                    self.end(key, "peers")
                    return
        if gang:
            # The tasks of a gang complete together.
            for worker, other in self.world.gang_tasks(key):
                self.world.results.add(other[:2])
                worker.end(other, "done")
        else:
            self.world.results.add(key[:2])
            self.end(key, "done")

    def stop_task(self, key, grace):
        task = self.tasks.get(key)
        if task is None or task["status"] == "ended":
            return
        self.end(key, "halted")

    def end(self, key, cause):
        task = self.tasks[key]
        started = task["status"] in ("waiting", "running", "flushing") or cause == "done"
        task["status"], task["cause"] = "ended", cause
        if started:
            self.world.on_leave(self, key, cause)
        self.wake.set()

    def leave(self, key, cause):
        if self.tasks[key]["status"] in ("waiting", "running", "flushing"):
            self.world.on_leave(self, key, cause)


class Cloud:
    """Rents machines; the list is `list_lag_s` old."""

    def __init__(self, world, capacity):
        self.world, self.capacity = world, capacity  # (rig, yard, spot) -> count
        self.machines = {}  # name -> {"worker", "status", "created", ...}
        self.answers, self.count = {}, 0
        self.snapshots = deque([(0.0, [])])
        self.outage = False

    async def start(self):
        self.server, self.port = await serve(self.handle)
        self.loop = asyncio.ensure_future(self.snapshot_loop())

    async def snapshot_loop(self):
        while True:
            now = time.monotonic()
            listed = [
                {"id": n, "address": m["worker"].address, "rig": m["rig"], "yard": m["yard"], "loaners": m["spot"],
                 "status": m["status"], "age_s": now - m["created"]}
                for n, m in sorted(self.machines.items())
            ]
            self.snapshots.append((now, listed))
            while len(self.snapshots) > 2 and self.snapshots[1][0] < now - self.world.list_lag_s:
                self.snapshots.popleft()
            await asyncio.sleep(0.5)

    async def add(self, rig, yard, spot, boot_s):
        self.count += 1
        name = f"m-{self.count:06d}"
        worker = Worker(self.world, name, rig, yard, spot)
        worker.server, worker.port = await serve(worker.handle)
        worker.address, worker.loops = f"127.0.0.1:{worker.port}", []
        self.machines[name] = {"worker": worker, "rig": rig, "yard": yard, "spot": spot, "status": "booting",
                               "created": time.monotonic()}

        async def boot():
            await asyncio.sleep(boot_s)
            if name in self.machines:
                self.machines[name]["status"] = "running"
                worker.began = worker.renewed = time.monotonic()
                worker.loops = [asyncio.ensure_future(worker.report_loop()), asyncio.ensure_future(worker.lease_loop())]

        asyncio.ensure_future(boot())
        return name

    async def handle(self, method, path, body):
        if self.outage:
            return 503, {"error": "trouble"}
        url = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(url.query))
        if method == "GET" and url.path == "/machine_types":
            return 200, {"rigs": list(self.world.rigs.values())}
        if method == "GET" and url.path == "/hosts":
            after, most = query.get("after", ""), min(int(query.get("most", 500)), 500)
            listed = [m for m in self.snapshots[0][1] if m["id"] > after]
            return 200, {"deckhands": listed[:most], "more": len(listed) > most}
        if method == "POST" and url.path == "/hosts":
            request = decode(body)
            if request["charter"] in self.answers:
                return 200, {"deckhands": self.answers[request["charter"]]}
            kind = (request["rig"], request["yard"], request["loaners"])
            used = sum((m["rig"], m["yard"], m["spot"]) == kind for m in self.machines.values())
            count = min(request["count"], 50, self.capacity.get(kind, 0) - used)
            if count <= 0:
                return 503, {"error": "no capacity"}
            names = [await self.add(*kind, self.world.rigs[kind[0]]["ready_s"]) for _ in range(count)]
            self.answers[request["charter"]] = names
            self.world.note("rented", machines=names)
            return 200, {"deckhands": names}
        if method == "POST" and url.path == "/hosts/return":
            for name in decode(body)["deckhands"]:
                self.remove(name, "returned")
            return 200, {}
        return 400, {"error": "malformed"}

    def remove(self, name, why):
        machine = self.machines.pop(name, None)
        if machine:
            self.world.note(why, machine=name)
            machine["worker"].stop()
