"""Stand-ins of the users' platform for review cases, and the project's daemons as processes.

Everything listens on 127.0.0.1 with free ports. The store, the minions and the clients live in the
process of the case; the daemons are started with the command of deploy/system.toml.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.realpath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
HEARTBEAT_S = 1.5
HOLD_MAX_MS = 10_000
STOP_S = 0.2
STORE_ANSWER_S = 0.004
HISTORY = 20_000
TAKEN_PORTS = set()
SETTINGS = {
    "bounds": {
        "holdMaxMs": 10000,
        "stopMs": 900,
        "reclaimMs": 3400,
        "farFactor": 3,
        "status_s": 120,
        "configApplyMs": 2000,
    },
    "limits": {"cpuShare": 0.25, "linkMbps": 1000.0, "memoryMb": 260, "maxFds": 4100},
}


class CouldNotRun(Exception):
    """The case could not be played."""


class Record:
    """The record of a case: what was sent, answered and run, with the seconds since its start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


def free_port():
    """Returns a free port below those that the system gives to outgoing connections."""
    while True:
        port = random.randrange(10_000, 30_000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in TAKEN_PORTS:
            TAKEN_PORTS.add(port)
            return port


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return first, headers


class HttpServer:
    """An HTTP/1.1 server; `handler` returns status and body, or None to break the connection."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.writers = set()
        self.port = 0

    async def open(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ")
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                path, _, query = target.partition("?")
                query = dict(urllib.parse.parse_qsl(query))
                answer = await self.handler(method, path, query, headers, body)
                if answer is None:
                    return
                status, value = answer
                data = b"" if value is None else json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        """Closes the listener and resets all connections, as a crash does."""
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store:
    """The platform's store: keys with revisions, leases, watches and conditional writes."""

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.events = []
        self.revision = 1
        self.forgotten = 0
        self.leases = {}
        self.beats = {}
        self.changed = asyncio.Event()
        self.server = HttpServer(self.handle)
        # Returns how a call is disturbed: None, or a coroutine whose result replaces the answer.
        self.disturb = None

    async def open(self):
        await self.server.open()
        self.address = f"127.0.0.1:{self.server.port}"
        self.task = asyncio.create_task(self.expire())

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease, (until, _) in list(self.leases.items()):
                if now >= until:
                    self.end_lease(lease)
            for key, beat in list(self.beats.items()):
                if now - beat > 3 * HEARTBEAT_S:
                    del self.beats[key]
                    self.apply({}, [key])

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.apply({}, keys)

    def apply(self, puts, removes):
        self.revision += 1
        for key, (value, lease) in puts.items():
            made = self.items[key]["made"] if key in self.items else self.revision
            item = {"key": key, "value": value, "revision": self.revision, "made": made, "lease": lease}
            self.items[key] = item
            self.events.append((self.revision, key, item))
        for key in removes:
            if self.items.pop(key, None):
                gone = {"key": key, "revision": self.revision, "gone": True}
                self.events.append((self.revision, key, gone))
        if len(self.events) > HISTORY:
            self.forgotten = self.events[-HISTORY][0]
            self.events = self.events[-HISTORY:]
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def put(self, key, value):
        """Writes a key as the operator or a minion does."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        return self.apply({key: (text, 0)}, [])

    def remove(self, key):
        self.apply({}, [key])

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(STORE_ANSWER_S)
        if self.disturb:
            disturbed = self.disturb(method, path, query, body)
            if disturbed is not None:
                return await disturbed
        return await self.answer(method, path, query, body)

    async def answer(self, method, path, query, body):
        if path == "/v1/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"at": self.revision}
            return 200, {**item, "at": self.revision}
        if path == "/v1/kv-range":
            prefix, after = query["pathPrefix"], query.get("dependsOn", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            page = [self.items[key] for key in keys[:500]]
            return 200, {"items": page, "more": len(keys) > 500, "at": self.revision}
        if path == "/v1/kv-watch":
            return await self.watch(query)
        if path == "/v1/kv-txn":
            return self.commit(json.loads(body))
        if path == "/v1/kv-lease":
            lease = self.revision * 1000 + len(self.leases)
            while lease in self.leases:
                lease += 1
            ttl = max(1000, min(600_000, int(json.loads(body)["ttl_ms"])))
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"lease": lease, "ttl_ms": ttl}
        if path.startswith("/v1/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"ttl_ms": ttl}
        if path.startswith("/v1/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}

    async def watch(self, query):
        prefix, after = query["pathPrefix"], int(query["dependsOn"])
        until = time.monotonic() + int(query["waitMs"]) / 1000
        if after < self.forgotten:
            return 410, {}
        while True:
            events = [e for at, key, e in self.events if at > after and key.startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def commit(self, form):
        puts, removes, conditions = form["put"], form["remove"], form["expectedRev"]
        if len(puts) + len(removes) + len(conditions) > 32:
            return 400, {}
        written = [put["key"] for put in puts] + removes
        if any(key.startswith(("op/", "servers/")) for key in written):
            return 403, {}
        expected = {c["key"]: c["revision"] for c in conditions}
        found = {key: self.items[key]["revision"] if key in self.items else 0 for key in expected}
        if found != expected:
            return 412, {"items": [self.items[key] for key in expected if key in self.items]}
        leases = [put.get("lease", 0) for put in puts]
        if any(lease and lease not in self.leases for lease in leases):
            return 404, {}
        values = {put["key"]: (put["value"], put.get("lease", 0)) for put in puts}
        return 200, {"revision": self.apply(values, removes)}


class Run:
    def __init__(self, task, number, step, work_s):
        self.task, self.number, self.step, self.work_s = task, number, step, work_s
        self.began = time.monotonic()
        self.stopping = False
        self.done_work = 0.0

    def percent(self):
        ran = time.monotonic() - self.began
        if self.step.get("longRunning"):
            return 100 if ran > 0.2 else 0
        return min(99, int(100 * ran / max(self.work_s, 0.001)))

    def figure(self):
        """The tail of its answers in ms if it serves, a quarter of its target; otherwise its CPU."""
        target_ms = self.step.get("targetMs", 0)
        return target_ms // 4 if target_ms else self.step.get("cpu", 0)


class Minion:
    """A life of a machine. Its tasks run as long as the case's table of jobs says."""

    serial = 0

    def __init__(self, bed, machine, zone, rack, capacity, port=0, kind="a", former_id=None):
        Minion.serial += 1
        self.bed, self.machine, self.zone, self.rack = bed, machine, zone, rack
        self.capacity, self.wanted_port, self.kind = capacity, port, kind
        self.id = former_id or f"i-{Minion.serial:08x}"
        self.born_unix_ms = int(time.time() * 1000)
        self.born = time.monotonic()
        self.fence = 0
        self.deadline_ms = 0
        self.runs, self.last, self.ends, self.seen, self.numbered = {}, {}, [], 0, 0
        self.state, self.remaining_ms = "ready", None
        self.alive = True
        self.ended = asyncio.Event()
        self.server = HttpServer(self.handle)

    async def open(self):
        await self.server.open(self.wanted_port)
        self.port = self.server.port
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.live())]

    def clock_ms(self):
        return 10_000 + int((time.monotonic() - self.born) * 1000)

    def say(self):
        entry = {
            "service": self.bed.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldLeftMs": 0,
            "capacity": self.capacity,
            "labels": [self.kind, self.rack],
            "clockMs": self.clock_ms(),
            "seq": int((time.monotonic() - self.born) / HEARTBEAT_S),
        }
        if self.remaining_ms is not None:
            entry["remainingMs"] = self.remaining_ms
        if self.bed.names_born:
            entry["born"] = self.born_unix_ms
        self.bed.store.beats[f"servers/{self.id}"] = time.monotonic()
        self.bed.store.put(f"servers/{self.id}", entry)

    async def beat(self):
        while self.alive:
            self.say()
            await asyncio.sleep(HEARTBEAT_S)

    async def live(self):
        """Ends runs whose work is over, and all of them when the lease is."""
        while self.alive:
            await asyncio.sleep(0.01)
            if self.runs and self.clock_ms() > self.deadline_ms:
                for run in list(self.runs.values()):
                    self.end(run, "lapsed")
            for run in list(self.runs.values()):
                if run.stopping or run.step.get("longRunning"):
                    continue
                if time.monotonic() - run.began >= run.work_s:
                    self.end(run, "done")

    def end(self, run, how):
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        self.last[run.task] = max(self.last.get(run.task, 0), run.number)
        self.numbered += 1
        self.ends.append([self.numbered, run.task, run.number, how, ""])
        self.bed.record(f"minion {self.id}: run {run.number} of {run.task} ends {how}")
        self.bed.on_end(self, run, how)
        self.ended.set()
        self.ended = asyncio.Event()

    def take_deadline(self, deadline_ms):
        if deadline_ms is not None:
            cut = min(deadline_ms, self.clock_ms() + HOLD_MAX_MS)
            self.deadline_ms = max(self.deadline_ms, cut)

    def used(self):
        """What its tasks take of its room; the CPU of those that fill is not counted."""
        total = {"cpu": 0, "memMb": 0, "gpu": 0}
        for run in self.runs.values():
            for name in total:
                is_counted = name != "cpu" or not run.step.get("fills")
                total[name] += run.step.get(name, 0) if is_counted else 0
        return total

    async def handle(self, method, path, query, headers, body):
        if headers.get("x-stairstall-expect-instance", self.id) != self.id:
            return 421, {}
        form = json.loads(body) if body else {}
        if form.get("fenceToken", 0) < self.fence:
            return 409, {"clockMs": self.clock_ms(), "reason": "fence"}
        self.fence = form.get("fenceToken", 0)
        if path == "/v1/run-start":
            return self.start(form)
        if path == "/v1/run-stop":
            return self.stop(form)
        if path == "/v1/hold":
            return await self.hold(form)
        return 404, {}

    def start(self, form):
        task, number = form["task"], form["run"]
        clock = {"clockMs": self.clock_ms()}
        if form["deadlineMs"] <= self.clock_ms():
            return 409, {**clock, "reason": "late"}
        self.take_deadline(form["deadlineMs"])
        present = self.runs.get(task)
        if present and present.number == number:
            return 200, clock
        if present or number <= self.last.get(task, 0):
            return 409, {**clock, "reason": "old"}
        step, work_s = self.bed.step_of(task)
        used = self.used()
        if any(used[name] + step.get(name, 0) > self.capacity[name] for name in used):
            return 409, {**clock, "reason": "room"}
        run = Run(task, number, step, work_s)
        self.runs[task] = run
        self.bed.record(f"minion {self.id}: run {number} of {task} starts")
        self.bed.on_start(self, run)
        return 200, clock

    def stop(self, form):
        task, number = form["task"], form["run"]
        run = self.runs.get(task)
        if run and run.number <= number:
            if not run.stopping:
                run.stopping = True
                asyncio.get_running_loop().call_later(STOP_S, self.end, run, "stopped")
        else:
            self.last[task] = max(self.last.get(task, 0), number)
        return 200, {"clockMs": self.clock_ms()}

    async def hold(self, form):
        self.take_deadline(form.get("deadlineMs"))
        self.ends = [end for end in self.ends if end[0] > form.get("lastSeen", 0)]
        wait_s = form.get("waitMs", 0) / 1000
        if wait_s and not self.ends:
            try:
                await asyncio.wait_for(self.ended.wait(), wait_s)
            except asyncio.TimeoutError:
                pass
        running = [[r.task, r.number, "", r.percent(), r.figure()] for r in self.runs.values()]
        answer = {"clockMs": self.clock_ms(), "running": running, "finished": self.ends[:500]}
        if self.bed.names_born:
            answer["born"] = self.born_unix_ms
        return 200, answer

    def crash(self, how="crashes"):
        """Ends this life without a word: connections break and all that runs is lost."""
        self.alive = False
        self.server.close()
        for task in self.tasks:
            task.cancel()
        lost = sorted(self.runs)
        self.runs = {}
        self.bed.record(f"minion {self.id} of {self.machine} {how} under {lost}")

    def leave(self):
        """The end of a drain: as a crash, but its entry goes at once."""
        self.crash("leaves")
        self.bed.store.beats.pop(f"servers/{self.id}", None)
        self.bed.store.remove(f"servers/{self.id}")


class Daemon:
    """One process of the role in deploy/system.toml."""

    def __init__(self, bed, name, zone):
        self.bed, self.name, self.zone = bed, name, zone
        self.http, self.readiness = free_port(), free_port()
        self.ports = [free_port(), free_port()]
        self.process = None

    def fill(self, text):
        values = {
            **SETTINGS,
            "node": self.name,
            "zone": self.zone,
            "ip": "127.0.0.1",
            "listen": {"http": f"127.0.0.1:{self.http}", "readiness": f"127.0.0.1:{self.readiness}"},
            "portRange": self.ports,
            "platform": {"address": self.bed.store.address},
            "advice": self.bed.advice_address,
        }

        def gap(match):
            value = values
            for part in match.group(1).split("."):
                if isinstance(value, list):
                    value = value[int(part)]
                else:
                    value = value.get(part, "") if isinstance(value, dict) else ""
            return str(value)

        return re.sub(r"\{\{([\w.]+)\}\}", gap, text)

    async def open(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["entry"]
        words = [self.fill(word) for word in role["run"].split()]
        known = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env = {**known, **{name: self.fill(text) for name, text in role.get("env", {}).items()}}
        log = open(os.path.join(self.bed.folder, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, words[0]), *words[1:], cwd=ROOT, env=env, stdout=log, stderr=log
        )
        self.bed.record(f"daemon {self.name} started as process {self.process.pid}")

    async def wait_ready(self, limit_s=10.0):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            try:
                status, _ = await call(self.readiness, "GET", "/v1/readyz", timeout=1.0)
                if status == 200:
                    return
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        raise CouldNotRun(f"{self.name} did not become ready")

    def signal(self, number):
        self.process.send_signal(number)
        self.bed.record(f"daemon {self.name} gets {signal.Signals(number).name}")

    async def close(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
            self.bed.record(f"process {self.process.pid} ended")


async def call(port, method, path, headers=None, body=None, timeout=3.0):
    """One HTTP call; returns status and body."""

    async def exchange():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            head = [f"{method} {path} HTTP/1.1", "Connection: close", f"Content-Length: {len(data)}"]
            head += [f"{name}: {value}" for name, value in {"Host": "127.0.0.1", **(headers or {})}.items()]
            if data:
                head.append("Content-Type: application/json")
            writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + data)
            first, found = await read_head(reader)
            size = int(found.get("content-length", "0"))
            return int(first.split(" ")[1]), await reader.readexactly(size)
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout)


class Adviser:
    """The service at `advice`: lets every minion that it is asked about run the step."""

    decide_s, each_s, valid_ms = 0.02, 0.001, 3000

    def __init__(self, record):
        self.record = record
        self.turn = asyncio.Lock()
        self.server = HttpServer(self.handle)

    async def open(self):
        await self.server.open()
        self.address = f"127.0.0.1:{self.server.port}"

    async def handle(self, method, path, query, headers, body):
        form = json.loads(body)
        async with self.turn:
            await asyncio.sleep(self.decide_s + self.each_s * len(form["workers"]))
        self.record(f"adviser is asked for {form['step']} about {form['workers']}: good")
        good = [[worker, f"{form['step']}-{worker}"] for worker in form["workers"]]
        return 200, {"good": good, "validMs": self.valid_ms}


class Bed:
    """A small deployment: a store, minions, daemons and a table of what jobs do."""

    service = "triage"
    host = "desk.example"
    # Whether minions say when their life began, and may come back under their former id.
    names_born = False
    advice_address = ""

    def __init__(self, folder):
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.record = Record(os.path.join(folder, "record.txt"))
        self.store = Store(self.record)
        self.minions, self.daemons, self.jobs = [], [], {}
        self.starts, self.run_ends = [], []
        self.turn = 0

    def on_start(self, minion, run):
        self.starts.append((self.record.now(), run.task, run.number, minion.id))

    def on_end(self, minion, run, how):
        self.run_ends.append((self.record.now(), run.task, run.number, minion.id, how))

    def step_of(self, task):
        job, _, step, _ = task.split(".")
        steps, work_s = self.jobs[job]
        return steps[int(step)], work_s

    def configure(self, version, routes, tenants):
        config = {
            "version": version,
            "routes": routes,
            "services": [
                {"name": self.service, "healthPath": "/healthz", "maxConns": 64, "rejectsOverload": True}
            ],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144},
            "tenants": tenants,
        }
        self.store.put("op/config", config)
        self.record(f"operator writes configuration {version}: {json.dumps(tenants)}")

    def route(self, name, prefix, priority, attempts=4, stretch=3.0, target_ms=3000):
        return {
            "name": name,
            "host": self.host,
            "pathPrefix": prefix,
            "type": "unsafe",
            "timeoutMs": 3000,
            "targetLatencyMs": target_ms,
            "priority": priority,
            "service": self.service,
            "attempts": attempts,
            "stretch": stretch,
            "public": False,
        }

    async def add_minion(self, machine, zone, rack, capacity, port=0, kind="a", former_id=None):
        minion = Minion(self, machine, zone, rack, capacity, port, kind, former_id)
        await minion.open()
        self.minions.append(minion)
        self.record(f"minion {minion.id} of {machine} in {zone} joins")
        return minion

    async def crash(self, minion, down_s):
        """Crashes a minion; a new life of its machine comes at the same address."""
        minion.crash()
        self.minions.remove(minion)
        await asyncio.sleep(down_s)
        former_id = minion.id if self.names_born else None
        return await self.add_minion(
            minion.machine, minion.zone, minion.rack, minion.capacity, minion.port, minion.kind, former_id
        )

    def planner(self):
        """Returns the daemon that gives the orders, by the record that it keeps in the store."""
        item = self.store.items.get("stairstall/role/planner")
        if item is None:
            return None
        name = json.loads(base64.b64decode(item["value"]))["vm"]
        return next((daemon for daemon in self.daemons if daemon.name == name), None)

    async def kill(self, daemon, down_s):
        """Kills a daemon; it is started again after a while."""
        daemon.signal(signal.SIGKILL)
        await daemon.process.wait()
        await asyncio.sleep(down_s)
        await daemon.open()

    def holder_of(self, task):
        """Returns the minion on which a task runs."""
        for minion in self.minions:
            if task in minion.runs:
                return minion
        return None

    def room_for(self, step):
        """Returns how many tasks of a step the free room of the minions holds."""
        count = 0
        for minion in self.minions:
            if step.get("requirements", minion.kind) != minion.kind:
                continue
            used = minion.used()
            asked = [name for name in used if step.get(name, 0)]
            count += min((minion.capacity[name] - used[name]) // step[name] for name in asked)
        return count

    def share_in_use(self):
        """Returns the share of the service's GPUs that is in use."""
        used = sum(minion.used()["gpu"] for minion in self.minions)
        return used / sum(minion.capacity["gpu"] for minion in self.minions)

    async def start_daemons(self, zones):
        for index, zone in enumerate(zones):
            daemon = Daemon(self, f"edge-{zone}-{index + 1}", zone)
            await daemon.open()
            self.daemons.append(daemon)
        for daemon in self.daemons:
            await daemon.wait_ready()

    async def ask(self, method, path, key, body=None, daemon=None, tries=4, quiet=False):
        """A client's call: after no answer, 502, 503 or 504 it asks the next daemon."""
        status, data = 0, b""
        for _ in range(tries):
            self.turn += 1
            at = daemon or self.daemons[self.turn % len(self.daemons)]
            headers = {
                "Host": self.host,
                "Authorization": f"Bearer {key}",
                "X-Stairstall-Deadline-Ms": "3000",
            }
            try:
                status, data = await call(at.http, method, path, headers, body)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
                status, data = 0, repr(error).encode()
            if not quiet or status != 200:
                self.record(f"client {method} {path} at {at.name}: {status} {data.decode()[:200]}")
            if status not in (0, 502, 503, 504):
                break
            await asyncio.sleep(0.3)
        return status, data

    async def submit(self, prefix, job, steps, key, work_s=1.0):
        self.jobs[job] = (steps, work_s)
        status, _ = await self.ask("POST", prefix + job, key, {"spec": "work", "steps": steps})
        return status

    async def state(self, prefix, job, key, quiet=True):
        status, data = await self.ask("GET", prefix + job, key, quiet=quiet)
        return json.loads(data)["state"] if status == 200 else str(status)

    async def close(self):
        for daemon in self.daemons:
            await daemon.close()
        for minion in self.minions:
            minion.server.close()
        self.store.server.close()
        self.record("all processes ended")


def play(file, case, limit_s=115):
    """Plays a case and exits: 0 if the rule held, 1 if it was broken, 2 if it couldn't run."""
    folder = os.path.dirname(os.path.abspath(file))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        bed = Bed(folder)
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            await bed.store.open()
            broken = await asyncio.wait_for(case(bed, trouble), limit_s)
            ended = [daemon.name for daemon in bed.daemons if daemon.process.returncode is not None]
            if ended:
                raise CouldNotRun(f"{ended} ended during the play")
            return broken
        except (Exception, asyncio.CancelledError) as error:
            bed.record(f"the case could not run: {error!r}")
            return None
        finally:
            await bed.close()

    broken = asyncio.run(run())
    if broken is None:
        sys.exit(2)
    print("broken: " + broken if broken else "held")
    with open(os.path.join(folder, "record.txt"), "a", encoding="utf-8") as record:
        record.write(("rule broken: " + broken if broken else "rule held") + "\n")
    sys.exit(1 if broken else 0)
