"""Stand-in of the state service, as PROTOCOL describes it: keys, transactions, leases, watch, limits."""

import asyncio
import json
import time
from urllib.parse import parse_qsl, urlsplit

from . import cbor
from .http import Server

LOG_CHANGES = 10_000
LIST_ITEMS = 1000
LIST_BYTES = 512 * 1024


def json_bytes(value):
    return len(json.dumps(value, separators=(",", ":"), ensure_ascii=False).encode())


class Bucket:
    """Allows a rate with bursts of one second's worth."""

    def __init__(self, rate):
        self.rate = self.level = rate
        self.at = time.monotonic()

    def take(self, count):
        now = time.monotonic()
        self.level = min(self.rate, self.level + (now - self.at) * self.rate)
        self.at = now
        if self.level < count:
            return False
        self.level -= count
        return True


class StateService:
    def __init__(self, rps=200.0, write_rps=80.0, value_kb=32.0, txn_ops=32, latency_s=0.004):
        self.value_kb, self.txn_ops, self.latency_s = value_kb, txn_ops, latency_s
        self.requests, self.writes = Bucket(rps), Bucket(write_rps)
        self.keys = {}  # path -> [value, stamp, permit]
        self.revision = 0
        self.log = []  # (revision, event)
        self.dropped_up_to = 0
        self.permits = {}  # permit -> [ttl_s, ends_at]
        self.next_permit = 1
        self.changed = asyncio.Condition()
        self.down = False
        self.refused_ports = {}  # name -> [server, whether only this one is refused]
        self.refusals = {}  # (status, reason) -> count
        self.last_refused = None

    async def start(self):
        self.server = await Server(self.handle).start()
        self.address = self.server.address
        asyncio.ensure_future(self._expire())
        return self

    async def address_for(self, name):
        """An address of its own for one controller, so that it alone can be refused."""
        entry = [None, False]

        async def handle(method, path, body):
            if entry[1] and not path.startswith("/watch"):
                await asyncio.sleep(self.latency_s)
                return 503, {"error": "trouble"}
            answer = await self.handle(method, path, body)
            while entry[1] and path.startswith("/watch"):
                await asyncio.sleep(0.1)
            return answer

        entry[0] = await Server(handle).start()
        self.refused_ports[name] = entry
        return entry[0].address

    def refuse_alone(self, name, refused):
        self.refused_ports[name][1] = refused

    def set_down(self, down):
        self.down = down
        if not down:
            now = time.monotonic()
            for entry in self.permits.values():
                entry[1] = now + entry[0] + 0.05

    def lower_limits(self, value_kb, txn_ops, write_rps):
        """The announced limits come into force."""
        self.value_kb, self.txn_ops = value_kb, txn_ops
        self.writes = Bucket(write_rps)

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            if self.down:
                continue
            for permit in [p for p, (_, ends) in self.permits.items() if ends <= now]:
                await self._end_permit(permit)

    async def _end_permit(self, permit):
        self.permits.pop(permit, None)
        gone = [path for path, entry in self.keys.items() if entry[2] == permit]
        if gone:
            self.revision += 1
            for path in gone:
                self._remove(path)
            await self._notify()

    async def _notify(self):
        async with self.changed:
            self.changed.notify_all()

    def _event(self, event):
        self.log.append((self.revision, event))
        while len(self.log) > LOG_CHANGES:
            self.dropped_up_to = self.log.pop(0)[0]

    def _put(self, path, value, permit):
        self.keys[path] = [value, self.revision, permit]
        self._event({"put": path, "v": value, "stamp": self.revision})

    def _remove(self, path):
        if self.keys.pop(path, None) is not None:
            self._event({"remove": path, "stamp": self.revision})

    def _refuse(self, status, reason, detail=None):
        key = f"{status} {reason}"
        self.refusals[key] = self.refusals.get(key, 0) + 1
        if detail is not None:
            self.last_refused = detail
        return status, {"error": reason}

    async def handle(self, method, path, body):
        url = urlsplit(path)
        query = dict(parse_qsl(url.query, keep_blank_values=True))
        await asyncio.sleep(self.latency_s)
        if self.down:
            return 503, {"error": "trouble"}
        if not self.requests.take(1):
            return self._refuse(429, "requests")
        if method == "GET" and url.path == "/keys":
            return self._list(query)
        if method == "GET" and url.path.startswith("/keys/"):
            key = url.path[len("/keys/"):]
            entry = self.keys.get(key)
            if entry is None:
                return 404, {"ledger_rev": self.revision}
            return 200, {"path": key, "v": entry[0], "stamp": entry[1], "permit": entry[2]}
        if method == "GET" and url.path == "/watch":
            return await self._watch(query)
        if method == "POST" and url.path == "/multi":
            return await self._multi(body)
        if method == "POST" and url.path == "/grants":
            ttl = cbor.decode(body)["ttl_ms"] / 1000
            permit, self.next_permit = self.next_permit, self.next_permit + 1
            self.permits[permit] = [ttl, time.monotonic() + ttl + 0.05]
            return 200, {"permit": permit}
        if method == "POST" and url.path.startswith("/grants/") and url.path.endswith("/touch"):
            permit = int(url.path.split("/")[2])
            if permit not in self.permits:
                return 404, None
            ttl = self.permits[permit][0]
            self.permits[permit][1] = time.monotonic() + ttl + 0.05
            return 200, {"permit": permit}
        if method == "DELETE" and url.path.startswith("/grants/"):
            await self._end_permit(int(url.path.split("/")[2]))
            return 200, None
        return self._refuse(400, "malformed")

    def _list(self, query):
        under, after = query.get("under", ""), query.get("after")
        most = min(int(query.get("most", LIST_ITEMS)), LIST_ITEMS)
        paths = sorted(p for p in self.keys if p.startswith(under) and (after is None or p > after))
        items, size = [], 0
        for path in paths[:most]:
            value, stamp, permit = self.keys[path]
            size += json_bytes(value) + len(path)
            if items and size > LIST_BYTES:
                break
            items.append({"path": path, "v": value, "stamp": stamp, "permit": permit})
        return 200, {"items": items, "more": len(items) < len(paths), "ledger_rev": self.revision}

    async def _watch(self, query):
        under, after = query.get("under", ""), int(query.get("after", 0))
        ends = time.monotonic() + min(int(query.get("hold_ms", 0)), 60_000) / 1000
        while True:
            if after < self.dropped_up_to:
                return 410, None
            log = []
            for revision, event in reversed(self.log):
                if revision <= after:
                    break
                if (event.get("put") or event.get("remove")).startswith(under):
                    log.append(event)
            left = ends - time.monotonic()
            if (log or left <= 0) and not self.down:
                return 200, {"ledger_rev": self.revision, "log": log[::-1]}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), max(left, 0.05))
                except asyncio.TimeoutError:
                    pass

    async def _multi(self, body):
        transaction = cbor.decode(body)
        guards, then = transaction.get("guards") or [], transaction.get("then") or []
        if len(then) > self.txn_ops or len(guards) > 4 * self.txn_ops:
            return self._refuse(400, "too many changes", [c.get("put") or c.get("remove") for c in then])
        if json_bytes(transaction) > 64 * 1024:
            return self._refuse(400, "transaction too large")
        for change in then:
            if "put" in change and json_bytes(change["v"]) > self.value_kb * 1024:
                return self._refuse(400, "value too large", [change["put"], json_bytes(change["v"])])
        if not self.writes.take(len(then)):
            return self._refuse(429, "changes")
        for change in then:
            permit = change.get("permit")
            if permit is not None and permit not in self.permits:
                return self._refuse(400, "no such lease")
        failed = [g["path"] for g in guards if (self.keys.get(g["path"]) or [0, 0])[1] != g["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledger_rev": self.revision}
        if then:
            self.revision += 1
            for change in then:
                if "put" in change:
                    self._put(change["put"], change.get("v"), change.get("permit"))
                else:
                    self._remove(change["remove"])
        answer = 200, {"ledger_rev": self.revision}
        if then:
            await self._notify()
        return answer
