"""Stand-ins of the users' platform for the cases 6 to 10: the metadata store, executors,
the operator, clients, and the starts and restarts of the entry processes.

They follow PROTOCOL.md and DEPLOY.md. Where a page is silent they behave like a sound
store, executor, client or platform. All addresses are loopback addresses.
"""

import asyncio
import base64
import bisect
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = "target/release/greengagemastd"
ROW_BYTES = 65536  # platform.RowBytes in the settings of DEPLOY.md
HOLD_MAX_MS = 10_000  # Bounds.HoldMaxMs
STOP_MS = 400  # Bounds.StopMs; a stop takes at most this
GANG_MS = 3_000  # Bounds.GangMs
SAVE_S = 1.0  # Bounds.SaveS
HEARTBEAT_S = 1.5  # HeartbeatMs
MEMORY_MB = 260  # Limits.MemoryMb


class Record:
    """Writes record.txt: what was sent, answered and run, by time since the start."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.began

    def line(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


TASKS = set()


def spawn(coroutine):
    """Starts a task and keeps it until it has ended."""
    task = asyncio.ensure_future(coroutine)
    TASKS.add(task)
    task.add_done_callback(TASKS.discard)
    return task


class HttpServer(asyncio.Protocol):
    """One connection of a small HTTP/1.1 server. The handler returns (status, body), or
    None for a call that is never answered."""

    def __init__(self, handler, connections):
        self.handler = handler
        self.connections = connections
        self.buffer = bytearray()
        self.busy = False

    def connection_made(self, transport):
        self.transport = transport
        self.connections.add(self)

    def connection_lost(self, _):
        self.connections.discard(self)

    def data_received(self, data):
        self.buffer += data
        self.next_call()

    def next_call(self):
        if self.busy:
            return
        end = self.buffer.find(b"\r\n\r\n")
        if end < 0:
            return
        head = self.buffer[:end].decode("latin-1").split("\r\n")
        headers = {}
        for row in head[1:]:
            name, _, value = row.partition(":")
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", "0"))
        if len(self.buffer) < end + 4 + length:
            return
        body = bytes(self.buffer[end + 4 : end + 4 + length])
        del self.buffer[: end + 4 + length]
        method, target, _ = head[0].split(" ", 2)
        self.busy = True
        spawn(self.serve(method, target, headers, body))

    async def serve(self, method, target, headers, body):
        answer = await self.handler(method, target, headers, body)
        if answer is None:
            return  # Silent: this connection delivers nothing further.
        status, value = answer
        data = json.dumps(value).encode()
        head = (
            f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
            f"content-length: {len(data)}\r\n\r\n"
        )
        if not self.transport.is_closing():
            self.transport.write(head.encode() + data)
        self.busy = False
        self.next_call()


async def listen(handler, address, connections):
    loop = asyncio.get_running_loop()
    host, port = address.rsplit(":", 1)
    return await loop.create_server(
        lambda: HttpServer(handler, connections), host, int(port)
    )


def free_address(host):
    """A free port of a loopback address."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return f"{host}:{probe.getsockname()[1]}"


class Store:
    """The platform's metadata store."""

    def __init__(self, record):
        self.record = record
        self.version = 1
        self.rows = {}  # (table, part) -> {key: (version, value)}
        self.keys = {}  # (table, part) -> sorted keys
        self.history = []  # (version, table, part, key, value or None)
        self.changed = asyncio.Event()
        self.free_at = {}
        self.connections = set()
        self.silent = False
        self.outages = 0  # calls that were pending in one are never answered
        self.applied = lambda call: None  # told of a write whose answer leaves now
        self.loses_answer = lambda call: None  # how late a write is done, unanswered
        self.late_s = None  # delay of unanswered writes; None: they are not done
        self.rejected = {}  # writes rejected because a value is too large, by key

    def now_ms(self):
        return int(self.record.now() * 1_000) + 100_000

    def put(self, table, part, key, value):
        name = (table, part)
        rows = self.rows.setdefault(name, {})
        keys = self.keys.setdefault(name, [])
        if value is None:
            if key in rows:
                del rows[key]
                del keys[bisect.bisect_left(keys, key)]
        else:
            if key not in rows:
                bisect.insort(keys, key)
            rows[key] = (self.version, value)
        self.history.append((self.version, table, part, key, value))

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def be_down(self, for_s):
        """Is silent for a time. What was pending is not answered either."""
        self.record.line("store: silent")
        self.silent = True
        self.outages += 1
        await asyncio.sleep(for_s)
        self.silent = False
        self.record.line("store: answers again")

    def operator_put(self, table, key, value):
        """A write of the operator or of an executor; None removes the row."""
        self.version += 1
        data = None
        if value is not None:
            data = base64.b64encode(json.dumps(value).encode()).decode()
        self.put(table, "", key, data)
        self.wake()

    def row(self, table, part, key):
        version, value = self.rows[(table, part)][key]
        return {"Table": table, "part": part, "Key": key, "Value": value, "Ver": version}

    def answer(self, status, **fields):
        return status, {**fields, "Ver": self.version, "NowMs": self.now_ms()}

    async def handle(self, method, target, _headers, body):
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        if self.silent:
            if url.path == "/-/rows-tx" and self.late_s is not None:
                spawn(self.do_late(json.loads(body), len(body), self.late_s))
            return None
        if url.path == "/-/rows-tx":
            call = json.loads(body)
            late_s = self.loses_answer(call)
            if late_s is not None:
                spawn(self.do_late(call, len(body), late_s))
                return None
            return await self.transact(call, len(body))
        if url.path == "/-/rows-get":
            await asyncio.sleep(0.004)
            return self.get(query) if not self.silent else None
        if url.path == "/-/rows-feed":
            return await self.feed(query)
        return 404, {}

    async def do_late(self, body, size, late_s):
        await asyncio.sleep(late_s)
        status, _ = await self.transact(body, size) or (200, None)
        tables = sorted({write["Table"] for write in body.get("Writes", [])})
        self.record.line(f"store: a write of {tables} is done late: {status}")

    async def transact(self, body, size):
        expected = body.get("ExpectedRevision", [])
        writes, removals = body.get("Writes", []), body.get("Remove", [])
        entries = expected + writes + removals
        parts = {entry.get("part", "") for entry in entries}
        if len(entries) > 100 or size > 1_000_000 or len(parts) > 1:
            return self.answer(400)
        large = [w for w in writes if len(base64.b64decode(w["Value"])) > ROW_BYTES]
        for write in large:
            key = f"{write['Table']}/{write['Key']}"
            self.rejected[key] = self.rejected.get(key, 0) + 1
            if self.rejected[key] == 1:
                bytes_ = len(base64.b64decode(write["Value"]))
                self.record.line(f"store: 400, the value of {key} has {bytes_} bytes")
        if large:
            return self.answer(400)
        if any(e["Table"] in ("op", "servers") for e in writes + removals):
            return self.answer(403)
        part = parts.pop() if parts else ""
        loop = asyncio.get_running_loop()
        start = max(loop.time(), self.free_at.get(part, 0.0))
        self.free_at[part] = start + 0.005  # AppendsPerS 200
        await asyncio.sleep(start + 0.006 - loop.time())  # TxMs 6

        def version_of(entry):
            rows = self.rows.get((entry["Table"], part), {})
            return rows.get(entry["Key"], (0, ""))[0]

        if any(version_of(e) != e["Ver"] for e in expected):
            known = [e for e in expected if version_of(e) != 0]
            rows = [self.row(e["Table"], part, e["Key"]) for e in known]
            return self.answer(412, rows=rows)
        self.version += 1
        for write in writes:
            self.put(write["Table"], part, write["Key"], write["Value"])
        for removal in removals:
            self.put(removal["Table"], part, removal["Key"], None)
        self.wake()
        if self.silent:
            return None
        answer = self.answer(200)
        self.applied(body)
        return answer

    def get(self, query):
        table, part = query["Table"], query.get("part", "")
        keys = self.keys.get((table, part), [])
        limit = min(int(query.get("Limit", "500")), 500)
        at = bisect.bisect_left(keys, query.get("From", ""))
        chosen, size = [], 0
        while at < len(keys) and len(chosen) < limit and size < 1_000_000:
            row = self.row(table, part, keys[at])
            size += len(row["Value"])
            chosen.append(row)
            at += 1
        return self.answer(200, rows=chosen, HasMore=at < len(keys))

    async def feed(self, query):
        table, after = query["Table"], int(query["DependsOn"])
        loop = asyncio.get_running_loop()
        until = loop.time() + min(int(query.get("WaitMs", "0")), 30_000) / 1_000
        outages = self.outages
        while True:
            if self.silent or self.outages != outages:
                return None
            at = bisect.bisect_right(self.history, after, key=lambda entry: entry[0])
            rows = []
            for version, name, part, key, value in self.history[at:]:
                if name == table:
                    row = {"Table": name, "part": part, "Key": key, "Ver": version}
                    row.update({"Tombstone": True} if value is None else {"Value": value})
                    rows.append(row)
            left = until - loop.time()
            if rows or left <= 0:
                return self.answer(200, rows=rows)
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Run:
    def __init__(self, task, number, work_s, long, count, gang, saves, checkpoint):
        self.task, self.number, self.work_s = task, number, work_s
        self.long, self.count, self.gang, self.saves = long, count, gang, saves
        self.checkpoint = checkpoint
        self.working_since = None
        self.stopping = False


class Executor:
    """An executor that starts whatever it is told to (`RejectsOverload` false)."""

    def __init__(self, world, name, service, host, capacity, labels):
        self.world, self.id, self.service = world, name, service
        self.address = free_address(host)
        self.capacity, self.labels = capacity, labels
        self.connections = set()
        self.cut = False
        self.absent = False  # has not joined yet
        self.round_trip_s = 0.0  # time that a call takes on the network
        self.down = False
        self.server = None
        self.born = int(time.time() * 1_000)
        self.began = time.monotonic()
        self.reset()

    def reset(self):
        """What a new life holds and knows: nothing."""
        self.sequence = 0
        self.token = 0
        self.until_ms = 0
        self.running = {}  # task -> Run
        self.finished = []
        self.last_end = 0
        self.over = {}  # task -> highest run that was stopped or has ended
        self.changed = asyncio.Event()

    async def serve(self):
        self.server = await listen(self.handle, self.address, self.connections)

    def clock_ms(self):
        return int((time.monotonic() - self.began) * 1_000) + 1_000

    def register(self):
        self.sequence += 1
        self.world.store.operator_put(
            "servers",
            self.id,
            {
                "Service": self.service,
                "Address": self.address,
                "Zone": "z1",
                "Version": 1,
                "Slots": 8,
                "State": "ready",
                "ColdLeftMs": 0,
                "Sequence": self.sequence,
                "born": self.born,
                "Capacity": self.capacity,
                "Labels": self.labels,
            },
        )

    def set_cut(self, cut):
        """Cuts the executor off from the system's machines, or ends the cut. What was
        sent meanwhile is lost; connections that were open then are dead."""
        self.cut = cut
        self.world.record.line(f"{self.id}: {'cut off' if cut else 'reachable again'}")
        if not cut:
            for connection in list(self.connections):
                connection.transport.abort()

    async def crash(self, down_s):
        """Ends this life, and starts the next one under the same id and address. The entry
        in the store stays, since it was silent for less than three heartbeats."""
        self.world.record.line(f"{self.id}: crashes, running {sorted(self.running)}")
        self.down = True
        self.server.close()
        for connection in list(self.connections):
            connection.transport.abort()
        for run in list(self.running.values()):
            self.world.task_ended(self, run, "lost")
        self.reset()
        await asyncio.sleep(down_s)
        self.began, self.born = time.monotonic(), int(time.time() * 1_000)
        self.down = False
        await self.serve()
        self.register()
        self.world.record.line(f"{self.id}: up again")

    async def handle(self, _method, target, headers, body):
        if self.cut:
            return None
        if headers.get("expect-instance", self.id) != self.id:
            return 421, {"ClockMs": self.clock_ms()}
        if self.round_trip_s:
            await asyncio.sleep(self.round_trip_s)
        call = json.loads(body)
        answer = await {
            "/-/run-start": self.start,
            "/-/run-stop": self.stop,
            "/-/hold": self.hold,
            "/-/pace": self.pace,
        }[target](call)
        return None if self.cut else answer

    def reject(self, reason):
        return 409, {"ClockMs": self.clock_ms(), "Reason": reason}

    def is_fenced(self, call):
        token = call.get("FencingToken", 0)
        if token < self.token:
            return True
        self.token = token
        return False

    def extend(self, call):
        if call.get("UntilMs") is not None:
            longest = self.clock_ms() + HOLD_MAX_MS
            self.until_ms = max(self.until_ms, min(call["UntilMs"], longest))

    async def start(self, call):
        task, number = call["Task"], call["RunId"]
        if self.is_fenced(call):
            return self.reject("fence")
        held = self.running.get(task)
        if held is not None and held.number == number:
            return 200, {"ClockMs": self.clock_ms()}
        if number <= self.over.get(task, 0):
            self.extend(call)
            return self.reject("old")
        if call["UntilMs"] <= self.clock_ms():
            return self.reject("late")
        self.extend(call)
        job, _, step, _ = task.split(".")
        self.world.task_started(self, task, number, call)
        spec = self.world.jobs.get(job, {"Pipeline": []})
        steps = spec["Pipeline"]
        at = steps[int(step)] if int(step) < len(steps) else {}
        work = json.loads(call["Spec"])["work_s"][int(step)] if steps else 1.0
        run = Run(
            task,
            number,
            work,
            at.get("LongRunning", False),
            at.get("Count", 1),
            at.get("Gang", False),
            at.get("Checkpointing", False),
            call.get("Checkpoint", ""),
        )
        self.running[task] = run
        if run.gang:
            self.world.gang_joined(self, run)
        else:
            self.begin(run)
        return 200, {"ClockMs": self.clock_ms()}

    def begin(self, run):
        run.working_since = time.monotonic()
        if not run.long:
            loop = asyncio.get_running_loop()
            loop.call_later(run.work_s, self.work_done, run)

    def work_done(self, run):
        if self.running.get(run.task) is run and not run.stopping:
            if run.gang:
                self.world.gang_done(run)
            else:
                self.end(run, "done")

    def end(self, run, how):
        if self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        self.over[run.task] = max(run.number, self.over.get(run.task, 0))
        self.last_end += 1
        self.finished.append([self.last_end, run.task, run.number, how, self.saved(run)])
        self.world.task_ended(self, run, how)
        if run.gang:
            self.world.gang_left(run, how)
        self.changed.set()
        self.changed = asyncio.Event()

    def saved(self, run):
        if not run.saves or run.working_since is None:
            return run.checkpoint
        steps = int((time.monotonic() - run.working_since) / SAVE_S)
        return f"{steps:08x}{hash(run.task) & 0xFFFFFFFF:08x}" if steps else run.checkpoint

    async def stop(self, call):
        task, number = call["Task"], call["RunId"]
        if self.is_fenced(call):
            return self.reject("fence")
        self.world.record.line(f"{self.id}: stop {task} run {number}")
        self.over[task] = max(number, self.over.get(task, 0))
        run = self.running.get(task)
        if run is not None and run.number <= number and not run.stopping:
            run.stopping = True
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_MS / 2_000, self.end, run, "stopped")
        return 200, {"ClockMs": self.clock_ms()}

    async def pace(self, call):
        if self.is_fenced(call):
            return self.reject("fence")
        return 200, {"ClockMs": self.clock_ms()}

    async def hold(self, call):
        if self.is_fenced(call):
            return self.reject("fence")
        self.extend(call)
        seen = call.get("LastSeen", 0)
        for row in self.finished:
            if row[0] <= seen:
                self.world.end_noted(self, row)
        self.finished = [row for row in self.finished if row[0] > seen]
        loop = asyncio.get_running_loop()
        until = loop.time() + min(call.get("WaitMs", 0), 2_000) / 1_000
        while not self.finished and loop.time() < until:
            try:
                await asyncio.wait_for(self.changed.wait(), until - loop.time())
            except asyncio.TimeoutError:
                break
        running = []
        for run in self.running.values():
            percent = 100
            if not run.long:
                since = run.working_since or time.monotonic()
                percent = min(99, int((time.monotonic() - since) / run.work_s * 100))
            running.append([run.task, run.number, self.saved(run), percent, 1])
        return 200, {
            "ClockMs": self.clock_ms(),
            "born": self.born,
            "Running": running,
            "Finished": self.finished[:500],
        }

    async def live(self):
        """Ends what runs when the lease lapses, and registers with each heartbeat."""
        beat_at = 0.0
        while True:
            if self.running and self.clock_ms() >= self.until_ms:
                for run in list(self.running.values()):
                    self.end(run, "lapsed")
            registers = not (self.world.store.silent or self.absent or self.down)
            if registers and time.monotonic() >= beat_at:
                beat_at = time.monotonic() + HEARTBEAT_S
                self.register()
            await asyncio.sleep(0.02)


class Entry:
    """An entry process, as the platform starts, kills and restarts it."""

    def __init__(self, world, name, host, zone):
        self.world, self.name, self.host, self.zone = world, name, host, zone
        self.callers = free_address(host)
        self.ready = free_address(host)
        self.peers = free_address(host).rsplit(":", 1)[1]
        self.process = None
        self.ends = []  # times at which the process ended by itself or by the limit
        self.killed_by_test = False

    def settings(self):
        fields = {
            "NodeName": self.name,
            "Zone": self.zone,
            "Ip": self.host,
            "ListenAddrs.Frontend": self.callers,
            "ListenAddrs.Ready": self.ready,
            "InternalPorts.0": self.peers,
            "platform.Address": self.world.store_address,
            "platform.WritesPerS": "600",
            "platform.ReadsPerS": "2000",
            "platform.AppendsPerS": "200",
            "Advice": self.world.advice_address,
            "Bounds.GraceS": "6",
            "Bounds.HoldMaxMs": str(HOLD_MAX_MS),
            "Bounds.RevokeMs": "5000",
            "Bounds.early_ms": "250",
            "Bounds.status_s": "120",
            "Bounds.RemoteFactor": "3",
            "Limits.CpuShare": "0.25",
        }
        with open(os.path.join(ROOT, "deploy/settings.yaml.tmpl"), encoding="utf-8") as file:
            text = file.read()
        return re.sub(r"\{\{([\w.]+)\}\}", lambda found: fields[found.group(1)], text)

    def start(self):
        path = os.path.join(self.world.folder, f"{self.name}.conf")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        log = open(os.path.join(self.world.folder, f"{self.name}.log"), "ab")
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        self.process = subprocess.Popen(
            [PROGRAM, "platform"],
            cwd=ROOT,
            env={**kept, "GREENGAGEMAST_NODE_FILE": path},
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()

    def kill(self, why):
        self.world.record.line(f"{self.name}: killed: {why}")
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    def memory_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
                found = re.search(r"VmRSS:\s+(\d+)", file.read())
            return int(found.group(1)) / 1_024 if found else 0.0
        except OSError:
            return 0.0

    async def watch(self):
        """Kills the process above its memory limit, and restarts one that has ended."""
        while True:
            await asyncio.sleep(0.02)
            if self.killed_by_test:
                continue
            memory = self.memory_mb()
            if memory > MEMORY_MB:
                self.ends.append(self.world.record.now())
                self.kill(f"{memory:.0f} MB are over MemoryMb = {MEMORY_MB}")
            elif self.process.poll() is not None:
                self.ends.append(self.world.record.now())
                code = self.process.returncode
                self.world.record.line(f"{self.name}: ended by itself with {code}")
            else:
                continue
            await asyncio.sleep(0.5)
            self.start()
            self.world.record.line(f"{self.name}: started again")


class World:
    """A small deployment: one store, three entry processes, and executors."""

    HOST = "desk.example"
    PREFIX = "/q1/"
    KEY = "key-of-team-one"

    def __init__(self, folder, executors=6, capacity=None, entries=3):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="case-")
        self.net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        self.store = Store(self.record)
        self.store_address = free_address(f"{self.net}.1")
        self.advice_address = ""
        self.jobs = {}  # id -> body, as handed in
        self.starts = []  # (time, executor, task, run)
        self.ends = []  # (time, executor, task, run, how)
        self.noted = []  # (time, executor, row)
        self.gangs = {}  # (step, run) -> {task: (executor, run)}
        self.servers = []
        capacity = capacity or {"Cpu": 16_000, "MemMb": 65_536}
        for number in range(executors):
            rack = f"r1-{number // 2}"
            # An address of its own each, so that no two draw the same free port.
            host = f"{self.net}.{100 + number}"
            server = Executor(self, f"i-{number:04x}", "dispatch", host, capacity, ["a", rack])
            self.servers.append(server)
        self.entries = [
            Entry(self, f"edge-z1-{n}", f"{self.net}.{10 + n}", "z1") for n in range(entries)
        ]
        self.tasks = []
        self.config = {
            "Version": 3,
            "Routes": [
                {
                    "Name": "q1",
                    "Host": self.HOST,
                    "PathPrefix": self.PREFIX,
                    "Service": "dispatch",
                    "Priority": 1,
                    "MaxAttempts": 3,
                    "SlackFactor": 2.0,
                    "TargetLatencyMs": 1000,
                }
            ],
            "Services": [{"Name": "dispatch", "RejectsOverload": False}],
            "Tenants": [{"Name": "one", "ApiKeys": [self.KEY], "Weight": 10, "Cap": {}}],
            "Limits": {},
        }

    # What the executors report.

    def task_started(self, server, task, number, call):
        self.starts.append((self.record.now(), server.id, task, number))
        if len(self.starts) <= 4_000:
            self.record.line(f"{server.id}: start {task} run {number} by {call['FencingToken']}")

    def task_ended(self, server, run, how):
        self.ends.append((self.record.now(), server.id, run.task, run.number, how))
        if len(self.ends) <= 4_000:
            self.record.line(f"{server.id}: end {run.task} run {run.number}: {how}")

    def end_noted(self, server, row):
        self.noted.append((self.record.now(), server.id, list(row)))

    def gang_joined(self, server, run):
        key = (run.task.rsplit(".", 1)[0], run.number)
        members = self.gangs.setdefault(key, {})
        members[run.task] = (server, run)
        loop = asyncio.get_running_loop()
        if len(members) == run.count:
            for member, other in members.values():
                member.begin(other)
        else:
            loop.call_later(GANG_MS / 1_000, self.gang_waited, server, run)

    def gang_waited(self, server, run):
        if run.working_since is None:
            server.end(run, "alone")

    def gang_done(self, run):
        members = self.gangs.pop((run.task.rsplit(".", 1)[0], run.number), {})
        for server, other in list(members.values()):
            server.end(other, "done")

    def gang_left(self, run, how):
        members = self.gangs.get((run.task.rsplit(".", 1)[0], run.number), {})
        members.pop(run.task, None)
        if how != "done":
            for server, other in list(members.values()):
                if other.working_since is not None:
                    server.end(other, "broken")

    def running(self, job):
        """Runs of a job: (executor, task, run)."""
        found = []
        for server in self.servers:
            for run in server.running.values():
                if run.task.startswith(job + "."):
                    found.append((server, run.task, run.number))
        return found

    def doubles(self):
        """Runs of one task that ran at the same time, on executors that are up."""
        spans, found = {}, []
        for at, server, task, number in self.starts:
            spans.setdefault(task, []).append([at, None, server, number])
        for at, server, task, number, _ in self.ends:
            for span in spans[task]:
                if span[2:] == [server, number] and span[1] is None:
                    span[1] = at
        for task, runs in spans.items():
            for i, one in enumerate(runs):
                for other in runs[i + 1 :]:
                    until = [run[1] or self.record.now() for run in (one, other)]
                    overlap = min(until) - max(one[0], other[0])
                    if overlap > 0 and one[2:] != other[2:]:
                        found.append(
                            f"{task}: run {one[3]} on {one[2]} from {one[0]:.3f} and run"
                            f" {other[3]} on {other[2]} from {other[0]:.3f} ran together"
                            f" for {overlap:.3f} s"
                        )
        return found

    # The deployment.

    async def start(self):
        await listen(self.store.handle, self.store_address, self.store.connections)
        self.store.operator_put("op", "config", self.config)
        for server in self.servers:
            await server.serve()
            self.tasks.append(spawn(server.live()))
        for entry in self.entries:
            entry.start()
            self.tasks.append(spawn(entry.watch()))
        for entry in self.entries:
            await self.ready(entry)
        self.record.line("all entry processes are ready")

    async def ready(self, entry, limit_s=15.0):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            status, _ = await self.call("GET", entry.ready, "/-/readyz", None, 1.0)
            if status == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{entry.name} is not ready")

    def stop(self):
        for task in self.tasks:
            task.cancel()
        for entry in self.entries:
            if entry.process is not None and entry.process.poll() is None:
                entry.process.kill()
                entry.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    def owner(self):
        """The entry process that gives the orders, by the logs of all."""
        last = None
        for entry in self.entries:
            path = os.path.join(self.folder, f"{entry.name}.log")
            with open(path, encoding="utf-8", errors="replace") as file:
                for row in file:
                    found = re.search(r'"t_ms":(\d+).*"event":(\d+)', row)
                    if found and '"epoch"' in row and '"took_ms"' in row:
                        at = int(found.group(1))
                        if last is None or at > last[0]:
                            last = (at, entry)
        return last[1] if last else None

    # Clients.

    async def call(self, method, address, path, body, limit_s, headers=()):
        """One call; (None, None) without a whole answer in time."""
        host, port = address.rsplit(":", 1)
        writer = None
        try:
            async with asyncio.timeout(limit_s):
                reader, writer = await asyncio.open_connection(host, int(port))
                data = json.dumps(body).encode() if body is not None else b""
                head = f"{method} {path} HTTP/1.1\r\nhost: {self.HOST}\r\n"
                for name, value in headers:
                    head += f"{name}: {value}\r\n"
                head += f"content-length: {len(data)}\r\nconnection: close\r\n\r\n"
                writer.write(head.encode() + data)
                answer = await reader.read()
        except (OSError, asyncio.TimeoutError):
            return None, None
        finally:
            if writer is not None:
                writer.close()
        head, _, payload = answer.partition(b"\r\n\r\n")
        if not head:
            return None, None
        status = int(head.split(b" ", 2)[1])
        try:
            return status, json.loads(payload) if payload else {}
        except ValueError:
            return None, None

    async def client(self, method, job, body=None, entry=None, limit_s=3.0):
        """A client's call about a job, at one entry process."""
        entry = entry or random.choice(self.entries)
        headers = [("authorization", f"Token {self.KEY}"), ("deadline-ms", "3000")]
        if body is not None:
            headers.append(("content-type", "application/json"))
        path = self.PREFIX + job
        return await self.call(method, entry.callers, path, body, limit_s, headers)

    async def submit(self, job, body, tries=5):
        """Hands a job in, as a client does, until it is accepted. True if it was."""
        for _ in range(tries):
            self.jobs[job] = body
            status, _ = await self.client("POST", job, body)
            self.record.line(f"client: POST {job}: {status}")
            if status is not None and 200 <= status < 300:
                return True
            await asyncio.sleep(1.0)
        return False

    async def state(self, job, entry=None):
        """The state that a GET shows; its status without one, None without an answer."""
        status, body = await self.client("GET", job, entry=entry)
        return body.get("State") if status == 200 else status


class CannotRun(Exception):
    """The case could not be played."""


def new_id():
    return f"{random.getrandbits(64):016x}"


def play(folder, case):
    """Runs a case, which returns True if the rule held; exits with its verdict."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    holder = {}

    def ended(*_):
        if "world" in holder:
            holder["world"].stop()
        os._exit(2)

    signal.signal(signal.SIGTERM, ended)
    signal.signal(signal.SIGINT, ended)

    async def run():
        async with asyncio.timeout(112):
            return await case(trouble, holder)

    try:
        held = asyncio.run(run())
        code = 0 if held else 1
        text = "the rule held" if held else "the rule was broken"
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        code, text = 2, f"the case could not run: {error!r}"
    finally:
        if "world" in holder:
            holder["world"].stop()
    print(text)
    if "world" in holder:
        holder["world"].record.line(text)
    sys.exit(code)
