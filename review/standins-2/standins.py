"""Stand-ins of the platform for the review cases: store, executors, advice service, clients.

Everything runs in one asyncio loop on loopback addresses. The daemons are separate processes.
They are started with the command of deploy/system.toml.
"""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Figures of the site file billfold-dub and its page.
STOP_GRACE_S = 0.4
HOLD_MAX_MS = 10_000
GANG_TIMEOUT_S = 3.0
CONTACT_S = 3.0
CANCEL_S = 3.0
HEARTBEAT_MS = 1500
METRICS_PORT = 9464


class Record:
    """Writes what is sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.path, self.began = path, time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.began

    def say(self, text):
        if not self.file.closed:
            self.file.write(f"{self.now():8.3f} {text}\n")
            self.file.flush()

    def result(self, text):
        """The last line."""
        self.say(f"result: {text}")
        self.file.close()


# HTTP/1.1, as far as it is needed.

async def read_message(reader):
    """Returns the first line, the headers and the body; None at the end of the channel."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


class Server:
    """Serves `handler(method, path, headers, body) -> (status, value) | None`; None closes the channel."""

    def __init__(self, handler):
        self.handler, self.server, self.channels = handler, None, set()

    async def start(self, host, port=0):
        self.server = await asyncio.start_server(self.serve, host, port, limit=1 << 22)
        return self.server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        self.channels.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                method, path, _ = message[0].split(" ", 2)
                reply = await self.handler(method, path, message[1], message[2])
                if reply is None:
                    break
                status, value = reply
                body = json.dumps(value).encode() if value is not None else b""
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.channels.discard(writer)
            writer.close()

    def stop(self):
        self.server.close()
        for writer in list(self.channels):
            writer.transport.abort()


async def call(address, method, path, host, value=None, timeout_s=3.0):
    """One request on a channel of its own. Returns (status, body), or (None, reason) without an answer."""
    body = json.dumps(value).encode() if value is not None else b""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n"
                f"X-Deadline-Ms: {int(timeout_s * 1000)}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return None, "broken channel"
            text = message[2].decode()
            return int(message[0].split(" ")[1]), json.loads(text) if text else None
    except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
        return None, type(error).__name__
    finally:
        if writer is not None:
            writer.close()


class Store:
    """The platform's metadata store."""

    def __init__(self, record):
        self.record, self.revision = record, 100
        self.items, self.events, self.leases = {}, [], {}
        self.changed = asyncio.Event()
        # Asked for each transaction; may return ("late", seconds): no answer, done so much later.
        self.fault = lambda body: None
        # Asked for each read of one prefix.
        self.on_range = lambda prefix: None
        self.next_lease = 77_000

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def expire(self):
        now = time.monotonic()
        for lease in [i for i, (until, _) in self.leases.items() if until <= now]:
            self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)

    def put(self, key, text, lease=0):
        self.revision += 1
        self.write(key, base64.b64encode(text.encode()).decode(), lease)
        self.wake()

    def write(self, key, value, lease):
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {"key": key, "value": value, "revision": self.revision, "created": created, "lease": lease}
        self.items[key] = item
        self.events.append(item)

    def delete(self, key):
        if key in self.items:
            del self.items[key]
            self.revision += 1
            self.events.append({"key": key, "revision": self.revision, "deleted": True})
            self.wake()

    def text(self, key):
        item = self.items.get(key)
        return base64.b64decode(item["value"]).decode() if item else None

    async def handle(self, method, path, headers, body):
        self.expire()
        path, _, query_text = path.partition("?")
        from urllib.parse import parse_qs
        query = {k: v[0] for k, v in parse_qs(query_text, keep_blank_values=True).items()}
        name = path.removeprefix("/agatesill/")
        if name == "kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "storeRevision": self.revision}) if item else (404, None)
        if name == "kv-range":
            self.on_range(query["prefix"])
            after = query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > after)
            page = [self.items[k] for k in keys[:500]]
            return 200, {"items": page, "hasMore": len(keys) > 500, "storeRevision": self.revision}
        if name == "kv-watch":
            return await self.watch(query)
        if name == "kv-txn":
            txn = json.loads(body)
            fault = self.fault(txn)
            if fault is not None:
                self.record.say(f"store: a write of {[s['key'] for s in txn.get('setKeys', [])]} gets no answer, "
                                f"done {fault[1]} s later")
                asyncio.get_running_loop().call_later(fault[1], self.late, txn)
                await asyncio.sleep(30)
                return None
            return self.txn(txn)
        if name == "kv-lease":
            ttl_ms = max(1000, json.loads(body)["ttlMs"])
            self.next_lease += 1
            self.leases[self.next_lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
            return 200, {"lease": self.next_lease, "ttlMs": ttl_ms}
        verb, _, lease = name.partition("/")
        lease = int(lease)
        if lease not in self.leases:
            return 404, None
        ttl_ms = self.leases[lease][1]
        if verb == "kv-keep":
            self.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
        else:
            self.end_lease(lease)
        return 200, {"ttlMs": ttl_ms}

    def late(self, txn):
        self.expire()
        status, _ = self.txn(txn)
        self.record.say(f"store: the late write of {[s['key'] for s in txn.get('setKeys', [])]} is "
                        f"{'done' if status == 200 else 'without effect'}")

    def txn(self, txn):
        rows = txn.get("expected", [])
        for row in rows:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [self.items[r["key"]] for r in rows if r["key"] in self.items]}
        for row in txn.get("setKeys", []):
            if row.get("lease", 0) and row["lease"] not in self.leases:
                return 404, None
        self.revision += 1
        revision = self.revision
        for row in txn.get("setKeys", []):
            self.write(row["key"], row["value"], row.get("lease", 0))
        for key in txn.get("deleteKeys", []):
            if key in self.items:
                del self.items[key]
                self.events.append({"key": key, "revision": revision, "deleted": True})
        self.wake()
        return 200, {"revision": revision}

    async def watch(self, query):
        after, until = int(query["after"]), time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            self.expire()
            events = []
            for event in reversed(self.events):
                if event["revision"] <= after:
                    break
                if event["key"].startswith(query["prefix"]):
                    events.append(event)
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events[::-1], "storeRevision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.05))
            except TimeoutError:
                pass


class Run:
    def __init__(self, task, run, plan, saved):
        self.task, self.run, self.plan, self.saved = task, run, plan, saved
        self.began_s, self.working_s, self.stopping = time.monotonic(), None, False

    def percent(self):
        if self.plan.get("lasts"):
            return 100 if time.monotonic() - self.began_s > 0.5 else 50
        if self.working_s is None:
            return 0
        return min(99, int(100 * (time.monotonic() - self.working_s) * 1000 / self.plan["workMs"]))


class Fleet:
    """All executors, with what they know of one another: the members of gangs."""

    def __init__(self, store, record, service):
        self.store, self.record, self.service = store, record, service
        self.executors, self.starts, self.ends = [], [], []
        self.tells_born = False
        # Ends that were taken note of, by task and run.
        self.noted = set()
        self.on_start = lambda executor, task, run: None
        # Whether a run fails on an executor by its fault.
        self.fails = lambda executor, task: False
        # Tickets of the advice service: (step, id) -> ticket; None where no queue has advice.
        self.tickets = None

    async def add(self, host, cpu, mem_mb, rack):
        executor = Executor(self, host, cpu, mem_mb, rack)
        executor.tells_born = self.tells_born
        self.executors.append(executor)
        await executor.start()
        return executor

    def find(self, identity):
        return next((e for e in self.executors if e.identity == identity and e.is_up), None)

    def running(self):
        return [(e, r) for e in self.executors if e.is_up for r in e.runs.values()]

    def members(self, run):
        step = run.task.rsplit(".", 1)[0]
        return [(e, r) for e, r in self.running() if r.task.rsplit(".", 1)[0] == step and r.run == run.run]

    async def tick(self):
        while True:
            await asyncio.sleep(0.01)
            for executor, run in self.running():
                if executor.runs.get(run.task) is run:
                    executor.advance(run)


class Executor:
    """One machine with one life at a time."""

    def __init__(self, fleet, host, cpu, mem_mb, rack):
        self.fleet, self.host, self.cpu, self.mem_mb, self.rack = fleet, host, cpu, mem_mb, rack
        self.port, self.is_up, self.server = 0, False, None
        self.state, self.leaves_s = "ready", 0.0
        # How far the time of day of this machine is ahead; `born` is sent if `tells_born` is set.
        self.ahead_ms, self.tells_born, self.born = 0, False, 0

    async def start(self, identity=None):
        """Begins a life, under a new id if none is given: nothing runs, no fence number is known."""
        self.identity = identity or f"i-{random.randrange(16 ** 8):08x}"
        self.born = int(time.time() * 1000) + self.ahead_ms
        self.runs, self.ended, self.next_end = {}, [], 1
        self.fence, self.lease_until_ms, self.barred = 0, 0, {}
        self.sequence, self.clock_base = 0, time.monotonic() - random.uniform(10, 900)
        self.life = getattr(self, "life", 0) + 1
        self.has_end = asyncio.Event()
        self.server = Server(self.handle)
        _, self.port = await self.server.start(self.host, self.port)
        self.is_up = True
        self.beats = asyncio.create_task(self.beat())

    def crash(self):
        """Ends this life without a word. All that runs here ends with it."""
        self.is_up = False
        self.beats.cancel()
        self.server.stop()
        for run in self.runs.values():
            self.fleet.record.say(f"executor {self.identity}: crashed with {run.task} run {run.run}")
        lost, self.runs = list(self.runs.values()), {}
        self.life += 1
        for run in lost:
            self.break_gang(run)

    async def leave(self, after_s):
        """Reports that it drains, serves on for `after_s`, and exits."""
        self.state, self.leaves_s = "draining", time.monotonic() + after_s
        self.report()
        self.fleet.record.say(f"executor {self.identity}: drains")
        await asyncio.sleep(after_s)
        self.is_up = False
        self.beats.cancel()
        self.server.stop()
        self.runs = {}
        self.fleet.store.delete(f"servers/{self.identity}")
        self.fleet.record.say(f"executor {self.identity}: has left")

    def report(self):
        self.sequence += 1
        entry = {"service": self.fleet.service, "address": f"{self.host}:{self.port}", "zone": "dub-a",
                 "version": "v1", "slots": 8, "state": self.state, "coldRemainingMs": 0,
                 "capacity": {"cpu": self.cpu, "memMb": self.mem_mb, "gpu": 0},
                 "labels": ["a", self.rack], "clockMs": self.clock_ms(), "sequence": self.sequence}
        if self.tells_born:
            entry["born"] = self.born
        if self.state == "draining":
            entry["remainingMs"] = max(0, int((self.leaves_s - time.monotonic()) * 1000))
        self.fleet.store.put(f"servers/{self.identity}", json.dumps(entry))

    async def beat(self):
        while True:
            self.report()
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    def clock_ms(self):
        return int((time.monotonic() - self.clock_base) * 1000)

    def end(self, run, how):
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        self.barred[run.task] = max(self.barred.get(run.task, 0), run.run)
        self.ended.append([self.next_end, run.task, run.run, how, run.saved])
        self.next_end += 1
        self.fleet.ends.append((time.monotonic(), self.identity, run.task, run.run, how))
        self.fleet.record.say(f"executor {self.identity}: {run.task} run {run.run} ended {how}")
        self.has_end.set()
        self.has_end = asyncio.Event()
        if how not in ("done", "broken"):
            self.break_gang(run)

    def break_gang(self, run):
        """The other members of a gang learn of the end a moment later."""
        if run.plan.get("gang"):
            asyncio.get_running_loop().call_later(0.02, self.break_members, run)

    def break_members(self, run):
        for executor, other in self.fleet.members(run):
            executor.end(other, "broken")

    def advance(self, run):
        now = time.monotonic()
        if self.clock_ms() > self.lease_until_ms:
            return self.end(run, "lapsed")
        if run.plan.get("lasts"):
            return
        gang = run.plan.get("gang", 0)
        if run.working_s is None:
            if gang and len(self.fleet.members(run)) < gang:
                if now - run.began_s > GANG_TIMEOUT_S:
                    self.end(run, "alone")
                return
            run.working_s = now
        worked_ms = (now - run.working_s) * 1000
        if worked_ms > 100 and self.fleet.fails(self, run.task):
            return self.end(run, "failed")
        if worked_ms >= run.plan["workMs"]:
            for executor, other in self.fleet.members(run) if gang else [(self, run)]:
                executor.end(other, "done")

    def used(self):
        cpu = sum(0 if r.plan.get("fills") else r.plan["cpu"] for r in self.runs.values())
        return cpu, sum(r.plan["memMb"] for r in self.runs.values())

    async def handle(self, method, path, headers, body):
        if path == "/healthz":
            return 200, {}
        expected = headers.get("x-expect-instance")
        if expected is not None and expected != self.identity:
            return 421, {"clockMs": self.clock_ms()}
        value = json.loads(body)
        token = value.get("fencingToken", 0)
        if token < self.fence:
            return 409, {"clockMs": self.clock_ms(), "reason": "fence"}
        self.fence = token
        life = self.life
        if path == "/agatesill/hold":
            self.hold(value)
            seen = value.get("lastSeen", 0)
            self.fleet.noted.update((row[1], row[2]) for row in self.ended if row[0] <= seen)
            self.ended = [row for row in self.ended if row[0] > seen]
            until = time.monotonic() + min(2000, value.get("waitMs", 0)) / 1000
            while not self.ended and time.monotonic() < until:
                try:
                    await asyncio.wait_for(self.has_end.wait(), until - time.monotonic())
                except TimeoutError:
                    pass
            if self.life != life:
                return None
            rows = [[r.task, r.run, r.saved, r.percent(), 8 if r.plan.get("lasts") else r.plan["cpu"]]
                    for r in self.runs.values()]
            reply = {"clockMs": self.clock_ms(), "running": rows, "ended": self.ended[:500]}
            return 200, {**reply, "born": self.born} if self.tells_born else reply
        if path == "/agatesill/run-start":
            return self.start_run(value)
        if path == "/agatesill/run-stop":
            self.fleet.record.say(f"executor {self.identity}: told to stop {value['task']} run {value['run']}")
            run = self.runs.get(value["task"])
            if run is not None and run.run <= value["run"] and not run.stopping:
                run.stopping = True
                asyncio.get_running_loop().call_later(STOP_GRACE_S / 2, self.end, run, "stopped")
            self.barred[value["task"]] = max(self.barred.get(value["task"], 0), value["run"])
            return 200, {"clockMs": self.clock_ms()}
        if path == "/agatesill/pace":
            return 200, {"clockMs": self.clock_ms()}
        return 404, None

    def hold(self, value):
        until_ms = value.get("deadlineMs", 0)
        self.lease_until_ms = max(self.lease_until_ms, min(until_ms, self.clock_ms() + HOLD_MAX_MS))

    def start_run(self, value):
        def no(reason):
            self.fleet.record.say(f"executor {self.identity}: rejects {value['task']} run {value['run']}: {reason}")
            return 409, {"clockMs": self.clock_ms(), "reason": reason}
        task, number = value["task"], value["run"]
        present = self.runs.get(task)
        if present is not None and present.run == number:
            self.hold(value)
            return 200, {"clockMs": self.clock_ms()}
        if number <= self.barred.get(task, 0) or present is not None:
            self.hold(value)
            return no("old")
        if value.get("deadlineMs", 0) <= self.clock_ms():
            return no("late")
        _, _, step, _ = task.split(".")
        plan = json.loads(value["spec"])["steps"][int(step)]
        if self.fleet.tickets is not None:
            ticket = self.fleet.tickets.get((task.rsplit(".", 1)[0], self.identity))
            if ticket is None or ticket[0] != value.get("ticket") or time.monotonic() > ticket[1]:
                return no("ticket")
        cpu, mem_mb = self.used()
        own_cpu = 0 if plan.get("fills") else plan["cpu"]
        if cpu + own_cpu > self.cpu or mem_mb + plan["memMb"] > self.mem_mb:
            self.hold(value)
            return no("room")
        self.hold(value)
        run = Run(task, number, plan, value.get("lastCheckpoint", ""))
        self.runs[task] = run
        self.fleet.starts.append((time.monotonic(), self.identity, task, number))
        self.fleet.record.say(f"executor {self.identity}: starts {task} run {number}")
        self.fleet.on_start(self, task, number)
        return 200, {"clockMs": self.clock_ms()}


class Advice:
    """The service that knows which executors may run a step. All may."""

    def __init__(self, fleet, decide_ms, per_item_ms, valid_ms):
        self.fleet, self.valid_ms = fleet, valid_ms
        self.decide_ms, self.per_item_ms = decide_ms, per_item_ms
        self.turn, self.asked = asyncio.Lock(), {}

    async def handle(self, method, path, headers, body):
        value = json.loads(body)
        async with self.turn:
            await asyncio.sleep((self.decide_ms + self.per_item_ms * len(value["workers"])) / 1000)
        good = []
        for identity in value["workers"]:
            if self.fleet.find(identity) is None:
                continue
            ticket = f"{random.randrange(16 ** 8):08x}"
            self.fleet.tickets[(value["step"], identity)] = (ticket, time.monotonic() + self.valid_ms / 1000)
            good.append([identity, ticket])
        asked = self.asked.setdefault(value["step"], set())
        asked.update(value["workers"])
        self.fleet.record.say(f"advice: {value['step']}: {len(value['workers'])} executors named, {len(good)} good; "
                              f"{len(asked)} different ones named so far")
        return 200, {"good": good, "validMs": self.valid_ms}


class Daemon:
    """A process of the system, started with the command of the deploy file."""

    def __init__(self, site, number):
        self.site, self.name = site, f"front-dub-a-{number}"
        self.host = f"{site.prefix}.{number}"
        self.front = (self.host, 8161)
        self.process = None

    def settings(self):
        s = self.site
        advice = f'"{s.advice_address[0]}:{s.advice_address[1]}"' if s.advice_address else "null"
        return f"""node: "{self.name}"
role: "scheduler"
machineClass: "front"
serves:
  - "front"
ip: "{self.host}"
zone: "dub-a"
region: "ie-east"
zones:
  dub-a: "ie-east"
listen:
  front: "{self.host}:8161"
  ready: "{self.host}:8167"
internalPorts:
  - 7720
  - 7735
bootstrap: true
limits:
  cpuShare: 0.25
  cores: 1
  memoryMb: 260
  maxFds: 4100
  linkMbps: 1000.0
  diskMb: 0
dataDir: null
discovery: "platform"
entry: "vip"
heartbeatMs: {HEARTBEAT_MS}
bounds:
  contactMs: 3000
  ackMs: 4000
  drainMs: 2000
  graceS: 6
  configApplyMs: 2000
  holdMaxMs: {HOLD_MAX_MS}
  stopGraceMs: {int(STOP_GRACE_S * 1000)}
  gangTimeoutMs: {int(GANG_TIMEOUT_S * 1000)}
  cancel_ms: {int(CANCEL_S * 1000)}
  visible_ms: 3000
  early_ms: 250
  status_s: 120
  noticeMs: 4500
  harmMs: 4000
  paceMs: 100
orders: "rpc"
advice: {advice}
platform:
  address: "{s.store_address[0]}:{s.store_address[1]}"
  form: "kv"
  writesPerS: 400
  readsPerS: 2000
  historyS: 20
  valueBytes: 1048576
  minTtlMs: 1000
"""

    async def start(self):
        path = self.site.folder / f"{self.name}.yaml"
        path.write_text(self.settings())
        log = open(self.site.folder / f"{self.name}.log", "ab")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["AGATESILL_NODE_FILE"] = str(path)
        self.process = await asyncio.create_subprocess_exec(
            *self.site.command, cwd=ROOT, env=env, stdout=log, stderr=log)
        self.site.record.say(f"{self.name}: started")

    async def is_ready(self):
        status, _ = await call((self.host, 8167), "GET", "/agatesill/readyz", self.host, timeout_s=1.0)
        return status == 200


class Site:
    """A small deployment."""

    HOST = "nony24.example"
    PREFIX = "/lohu930/"

    def __init__(self, case_folder):
        self.record = Record(Path(case_folder) / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="agatesill-review-"))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.command = deploy["roles"]["scheduler"]["run"].split(" ")
        self.command[0] = str(ROOT / self.command[0])
        self.prefix = self.free_prefix()
        self.service, self.advice_address, self.advice = "huvo11a", None, None
        self.store = Store(self.record)
        self.fleet = Fleet(self.store, self.record, self.service)
        self.daemons = []

    @staticmethod
    def free_prefix():
        """A loopback network in which the ports of the daemons are free."""
        while True:
            prefix = f"127.{random.randrange(10, 250)}.{random.randrange(1, 250)}"
            try:
                for port in (8161, 8167, 7720, METRICS_PORT):
                    with socket.socket() as probe:
                        probe.bind((f"{prefix}.1", port))
                return prefix
            except OSError:
                continue

    async def start(self, executors, daemons=3, cpu=16_000, mem_mb=64_000, advice=None, attempts=4, priority=0):
        store_server = Server(self.store.handle)
        self.store_address = await store_server.start(f"{self.prefix}.200")
        route = {"name": "r-3hwrr6x", "host": self.HOST, "prefix": self.PREFIX, "kind": "unsafe",
                 "timeoutMs": 3000, "targetLatencyMs": 1000, "priority": priority, "service": self.service,
                 "maxAttempts": attempts, "stretch": 2.0}
        if advice is not None:
            self.fleet.tickets = {}
            self.advice = Advice(self.fleet, **advice)
            self.advice_address = await Server(self.advice.handle).start(f"{self.prefix}.201")
            route["advice"] = {"decideMs": advice["decide_ms"], "perItemMs": advice["per_item_ms"],
                               "validMs": advice["valid_ms"]}
        self.store.put("op/config", json.dumps({
            "version": 7, "routes": [route],
            "services": [{"name": self.service, "healthPath": "/healthz", "maxConnections": 64, "protocol": "h1",
                          "tls": False, "admissionCheck": True, "standby": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}}))
        for number in range(executors):
            await self.fleet.add(f"{self.prefix}.{202 + number % 8}", cpu, mem_mb, f"r1-{number // 8}")
        self.ticks = asyncio.create_task(self.fleet.tick())
        self.daemons = [Daemon(self, number + 1) for number in range(daemons)]
        for daemon in self.daemons:
            await daemon.start()
        until = time.monotonic() + 20
        while not all([await daemon.is_ready() for daemon in self.daemons]):
            if time.monotonic() > until:
                raise RuntimeError("the daemons did not become ready")
            await asyncio.sleep(0.1)
        # Traffic starts ten seconds after the machines do.
        await asyncio.sleep(4)

    def job(self, steps):
        """A body of a job; each step has `count`, `cpu`, `memMb`, `workMs`, and fields of the wire."""
        own = ("workMs", "lasts")
        plans = [{"workMs": s.get("workMs", 0), "cpu": s["cpu"], "memMb": s["memMb"],
                  "lasts": s.get("longRunning", False), "fills": s.get("fills", False),
                  "gang": s["count"] if s.get("gang") else 0} for s in steps]
        rows = [{**{k: v for k, v in s.items() if k not in own}, "estimatedMs": max(1, s.get("workMs", 0))}
                for s in steps]
        return {"spec": json.dumps({"steps": plans}), "steps": rows}

    def new_id(self):
        return f"{random.randrange(16 ** 16):016x}"

    async def request(self, method, identity, value=None, daemon=None, timeout_s=3.0):
        daemon = daemon or random.choice(self.daemons)
        what = f"client: {method} {identity} at {daemon.name}"
        self.record.say(f"{what} sent")
        status, answer = await call(daemon.front, method, self.PREFIX + identity, self.HOST, value, timeout_s)
        self.record.say(f"{what} answered {status} {json.dumps(answer)}")
        return status, answer

    async def submit(self, identity, body, attempts=5):
        """As a client does: the same id again, at any daemon, until there is an answer."""
        for _ in range(attempts):
            status, _ = await self.request("POST", identity, body)
            if status == 200:
                return True
            await asyncio.sleep(0.5)
        return False

    async def state(self, identity):
        status, answer = await self.request("GET", identity)
        return answer["state"] if status == 200 else status

    async def stop(self):
        for daemon in self.daemons:
            if daemon.process is not None and daemon.process.returncode is None:
                daemon.process.send_signal(signal.SIGTERM)
        for daemon in self.daemons:
            if daemon.process is not None:
                try:
                    await asyncio.wait_for(daemon.process.wait(), 7)
                except TimeoutError:
                    daemon.process.kill()
                    await daemon.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case_folder, case):
    """Runs `case(site)`, which returns a text if the rule was broken and None if it held."""
    async def whole():
        site = Site(case_folder)
        try:
            async with asyncio.timeout(105):
                broken = await case(site)
            site.record.result(f"broken: {broken}" if broken else "held")
            return 1 if broken else 0
        except Exception as error:  # The case could not run.
            site.record.result(f"could not run: {type(error).__name__}: {error}")
            return 2
        finally:
            await site.stop()
    code = asyncio.run(whole())
    sys.stdout.write((Path(case_folder) / "record.txt").read_text().splitlines()[-1] + "\n")
    sys.exit(code)
