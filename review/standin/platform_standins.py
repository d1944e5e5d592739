"""Stand-ins for the users' platform on loopback: its store and its executors.

Both speak the users' protocol over HTTP/1.1. They follow the protocol page: where it is silent they
behave like a sound store and sound executors. Everything runs in one event loop; only the daemons
under test are processes of their own.
"""

import asyncio
import base64
import json
import time
import urllib.parse

PAGE_ITEMS = 500


class Record:
    """Writes what was sent, answered and run to `record.txt`, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def add(self, text):
        self.file.write(f"{self.now():8.3f}  {text}\n")
        self.file.flush()


class HttpServer:
    """A small HTTP/1.1 server with persistent connections."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.writers = set()
        self.tasks = set()

    async def start(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port, backlog=256)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                request = await self.read_request(reader)
                if request is None:
                    break
                status, body = await self.handler(*request)
                text = b"" if body is None else json.dumps(body).encode()
                head = (
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n"
                )
                writer.write(head.encode() + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(task)
            writer.close()

    @staticmethod
    async def read_request(reader):
        line = await reader.readline()
        if not line:
            return None
        method, target, _ = line.decode("latin-1").split(" ", 2)
        headers = {}
        while True:
            row = await reader.readline()
            if row in (b"\r\n", b"\n", b""):
                break
            name, _, value = row.decode("latin-1").partition(":")
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", "0"))
        raw = await reader.readexactly(length) if length else b""
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        body = json.loads(raw) if raw else {}
        return method, path, fields, headers, body

    def abort(self):
        """Closes the listener and resets all connections, as the end of a process does."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()


class Store:
    """The platform's metadata store: linearizable, with leases, watches and transactions."""

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.events = []
        self.leases = {}
        self.beats = {}
        self.changed = asyncio.Condition()
        self.http = HttpServer(self.handle)

    async def start(self, ip, port):
        await self.http.start(ip, port)
        self.expiry = asyncio.create_task(self.expire_forever())

    # Changes

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self.events.append(item)

    def delete(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.events.append({"key": key, "revision": self.revision, "deleted": True})

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def write_from_outside(self, key, value):
        """A write of the operator."""
        self.put(key, json.dumps(value).encode())
        await self.notify()

    async def beat(self, key, entry, heartbeat_s):
        """A heartbeat of an executor. The entry changes when more than its sequence changes."""
        self.beats[key] = time.monotonic() + 3 * heartbeat_s
        plain = {name: value for name, value in entry.items() if name not in ("sequence", "clockMs")}
        old = self.items.get(key)
        if old is not None:
            known = json.loads(base64.b64decode(old["value"]))
            known = {n: v for n, v in known.items() if n not in ("sequence", "clockMs")}
            if known == plain:
                return
        self.put(key, json.dumps(entry).encode())
        await self.notify()

    async def expire_forever(self):
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            ended = [lease for lease, (until, _) in self.leases.items() if until <= now]
            silent = [key for key, until in self.beats.items() if until <= now]
            for lease in ended:
                self.end_lease(lease)
            for key in silent:
                del self.beats[key]
                self.delete(key)
            if ended or silent:
                await self.notify()

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)

    # Calls

    async def handle(self, method, path, query, headers, body):
        if path == "/agatesill/kv-key":
            item = self.items.get(query.get("key", ""))
            return (404, None) if item is None else (200, dict(item, storeRevision=self.revision))
        if path == "/agatesill/kv-range":
            return self.range(query)
        if path == "/agatesill/kv-watch":
            return await self.watch(query)
        if path == "/agatesill/kv-txn":
            answer = self.txn(body)
            await self.notify()
            return answer
        if path == "/agatesill/kv-lease":
            ttl = max(1000, int(body.get("ttlMs", 1000)))
            self.revision += 1
            self.leases[self.revision] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"lease": self.revision, "ttlMs": ttl}
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, None
        ttl = self.leases[lease][1]
        if path.startswith("/agatesill/kv-keep/"):
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
        else:
            self.end_lease(lease)
            await self.notify()
        return 200, {"ttlMs": ttl}

    def range(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        items = [self.items[key] for key in keys[:PAGE_ITEMS]]
        return 200, {
            "items": items,
            "hasMore": len(keys) > PAGE_ITEMS,
            "storeRevision": self.revision,
        }

    async def watch(self, query):
        prefix, after = query.get("prefix", ""), int(query.get("after", "0"))
        until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            events = [
                event
                for event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    def txn(self, body):
        expected = body.get("expected") or []
        puts, deletes = body.get("setKeys") or [], body.get("deleteKeys") or []
        if len(expected) + len(puts) + len(deletes) > 32:
            return 400, None
        names = [row["key"] for row in puts] + list(deletes)
        if any(name.startswith(("op/", "servers/")) for name in names):
            return 403, None
        for row in expected:
            if self.items.get(row["key"], {}).get("revision", 0) != row["revision"]:
                found = [self.items[r["key"]] for r in expected if r["key"] in self.items]
                return 412, {"items": found}
        if any(row.get("lease", 0) and row["lease"] not in self.leases for row in puts):
            return 404, None
        if names:
            # All changes of a transaction have one revision.
            first = self.revision
            for row in puts:
                self.revision = first
                self.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
            for key in deletes:
                self.revision = first
                self.delete(key)
            self.revision = first + 1
        return 200, {"revision": self.revision}


class Executor:
    """One lifetime of an executor.

    The payload of a job is JSON: `ms` is the work of each task (0: the task lasts), `cpu` its request.
    """

    def __init__(self, fleet, ident, ip, port, cpu):
        self.fleet, self.ident, self.ip, self.port, self.cpu = fleet, ident, ip, port, cpu
        self.born, self.born_ms = time.monotonic(), int(time.time() * 1000)
        self.is_up = False
        self.fence, self.lease_until = 0, 0.0
        self.runs, self.ended, self.count, self.barred = {}, [], 0, {}
        self.polls, self.last_poll_s, self.noted = 0, time.monotonic(), 0
        self.http = HttpServer(self.handle)

    def idle_for(self):
        """Seconds since the last poll was answered; 0 while one waits."""
        return 0.0 if self.polls else time.monotonic() - self.last_poll_s

    def clock_ms(self):
        return int((time.monotonic() - self.born) * 1000) + 1

    async def start(self, first_beat_s=0.0):
        await self.http.start(self.ip, self.port)
        self.is_up = True
        self.fleet.record.add(f"executor {self.ident} starts at {self.ip}:{self.port}")
        beat = asyncio.create_task(self.beat(first_beat_s))
        self.jobs = [asyncio.create_task(self.work_forever()), beat]

    def crash(self):
        """Ends like a process that is killed: nothing is said, and nothing is kept."""
        self.is_up = False
        held = [f"{task} run {run}" for task, run in self.runs]
        self.fleet.record.add(f"executor {self.ident} CRASHES; on it: {', '.join(held) or 'nothing'}")
        for job in self.jobs:
            job.cancel()
        self.http.abort()
        self.runs = {}

    async def beat(self, first_beat_s):
        await asyncio.sleep(first_beat_s)
        sequence = 0
        while True:
            sequence += 1
            entry = {
                "service": self.fleet.service, "address": f"{self.ip}:{self.port}",
                "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready",
                "coldRemainingMs": 0,
                "capacity": {"cpu": self.cpu, "memMb": 64000, "gpu": 0},
                "labels": ["a", "r1-1"], "clockMs": self.clock_ms(), "sequence": sequence,
            }
            if self.fleet.says_born:
                entry["born"] = self.born_ms
            await self.fleet.store.beat(f"servers/{self.ident}", entry, self.fleet.heartbeat_s)
            await asyncio.sleep(self.fleet.heartbeat_s)

    async def work_forever(self):
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            if self.lease_until and now >= self.lease_until:
                self.lease_until = 0.0
                for key in list(self.runs):
                    self.end(key, "lapsed")
            for key, run in list(self.runs.items()):
                if run["ends"] is not None and now >= run["ends"]:
                    self.end(key, "done")

    def end(self, key, how):
        self.runs.pop(key)
        task, run = key
        self.count += 1
        if how == "done":
            self.fleet.done.append((self.fleet.record.now(), task, self, self.count))
        self.barred[task] = max(run, self.barred.get(task, 0))
        self.ended.append([self.count, task, run, how, ""])
        self.fleet.note_end(self, task, run, how)

    async def handle(self, method, path, query, headers, body):
        if path == "/healthz":
            return 200, None
        if headers.get("x-expect-instance", self.ident) != self.ident:
            return 421, {"clockMs": self.clock_ms()}
        fence = body.get("fencingToken", 0)
        if fence < self.fence:
            return 409, {"clockMs": self.clock_ms(), "reason": "fence"}
        self.fence = fence
        self.extend(body.get("deadlineMs", 0))
        if path == "/agatesill/hold":
            self.polls += 1
            try:
                return await self.hold(body)
            finally:
                self.polls -= 1
                self.last_poll_s = time.monotonic()
        if path == "/agatesill/run-start":
            reason = self.start_run(body)
            return (200 if reason is None else 409), self.reply(reason)
        if path == "/agatesill/run-stop":
            key = (body["task"], body["run"])
            self.fleet.record.add(f"stop of {key[0]} run {key[1]} reaches {self.ident}")
            if key in self.runs:
                self.end(key, "stopped")
            else:
                self.barred[key[0]] = max(key[1], self.barred.get(key[0], 0))
        return 200, self.reply(None)

    def reply(self, reason):
        body = {"clockMs": self.clock_ms()}
        return body if reason is None else dict(body, reason=reason)

    def extend(self, deadline_ms):
        until = self.born + deadline_ms / 1000
        until = min(until, time.monotonic() + self.fleet.hold_max_s)
        if deadline_ms and until > max(self.lease_until, time.monotonic()):
            self.lease_until = until

    async def hold(self, body):
        seen = body.get("lastSeen", 0)
        if seen > self.noted:
            self.noted = seen
            self.fleet.record.add(f"ends up to {seen} on {self.ident} are taken note of")
        self.ended = [row for row in self.ended if row[0] > seen]
        until = time.monotonic() + min(body.get("waitMs", 0), 2000) / 1000
        while not self.ended and time.monotonic() < until:
            await asyncio.sleep(0.005)
        now = time.monotonic()
        running = [
            [task, run, "", self.fleet.percent(run_state, now), 1]
            for (task, run), run_state in self.runs.items()
        ]
        lists = {"clockMs": self.clock_ms(), "running": running, "ended": self.ended[:500]}
        return 200, dict(lists, born=self.born_ms) if self.fleet.says_born else lists

    def start_run(self, body):
        task, run = body["task"], body["run"]
        if (task, run) in self.runs:
            return None
        if run <= self.barred.get(task, 0):
            return "old"
        if self.lease_until <= time.monotonic() or body["deadlineMs"] <= self.clock_ms():
            return "late"
        work = json.loads(body["spec"])
        used = sum(state["cpu"] for state in self.runs.values())
        if used + work["cpu"] > self.cpu:
            return "room"
        now = time.monotonic()
        ends = now + work["ms"] / 1000 if work["ms"] else None
        self.runs[(task, run)] = {"began": now, "ends": ends, "ms": work["ms"], "cpu": work["cpu"]}
        self.fleet.note_start(self, task, run)
        return None


class Fleet:
    """All executors, and what ran on them."""

    def __init__(self, record, store, service, heartbeat_s, hold_max_s):
        self.record, self.store, self.service = record, store, service
        self.heartbeat_s, self.hold_max_s = heartbeat_s, hold_max_s
        self.executors, self.starts, self.ends = [], [], []
        self.says_born, self.done = False, []

    async def add(self, ident, ip, port, cpu, first_beat_s=0.0):
        executor = Executor(self, ident, ip, port, cpu)
        self.executors.append(executor)
        await executor.start(first_beat_s)
        return executor

    def tasks_that_run_twice(self):
        """Tasks with two runs at this moment on executors that are up, with these runs."""
        present = {}
        for executor in self.executors:
            if executor.is_up:
                for task, run in executor.runs:
                    present.setdefault(task, []).append((run, executor.ident))
        return {task: runs for task, runs in present.items() if len(runs) > 1}

    def starts_after_a_noted_end(self):
        """Starts of a task after a run of it has ended as done, if that end was taken note of. No lease
        lapses in these cases."""
        noted = {}
        for at, task, executor, number in self.done:
            if number <= executor.noted:
                noted[task] = min(at, noted.get(task, at))
        return [
            (task, run, ident)
            for at, task, run, ident in self.starts
            if task in noted and at > noted[task]
        ]

    def note_start(self, executor, task, run):
        self.record.add(f"{task} run {run} begins on {executor.ident}")
        self.starts.append((self.record.now(), task, run, executor.ident))

    def note_end(self, executor, task, run, how):
        self.record.add(f"{task} run {run} ends on {executor.ident}: {how}")
        self.ends.append((self.record.now(), task, run, executor.ident, how))

    def percent(self, state, now):
        if not state["ms"]:
            return 100 if now >= state["began"] + 0.5 else 50
        left = max(0.0, state["ends"] - now) * 1000
        return int(max(0, min(99, 100 - 100 * left / state["ms"])))
