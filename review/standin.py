"""Stand-ins of the platform's store, of executors and of clients, and the start of
the entry VMs' processes, for the scripts in this folder.

They follow PROTOCOL.md and DEPLOY.md; figures are those of the site `coilright-tx`.
Everything listens on loopback addresses of one /24 network that is chosen at start.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse
import zlib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))

# Figures of the site coilright-tx, as its settings state them.
WRITES_PER_S = 600
READS_PER_S = 2000
TX_S = 0.006
ANSWER_S = 0.004
ROW_BYTES = 65536
CALL_BYTES = 1_000_000
CALL_ENTRIES = 100
HOLD_MAX_MS = 10_000
SAVE_S = 1.0
RESTORE_S = 0.1
STOP_S = 0.1
GANG_S = 3.0
MEMORY_MB = 260
CANCEL_MS = 3000
STOP_MS = 400
CONTACT_MS = 3000

FRONTEND, READY, CONTROL, INTERNAL, METRICS = 8686, 8689, 8688, 7180, 7194
STORE_PORT, EXECUTOR_PORT = 8683, 8080


class Record:
    """The file `record.txt`: what was sent, answered and run, by seconds."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.started = time.monotonic()

    def __call__(self, text):
        at = time.monotonic() - self.started
        self.file.write(f"{at:8.3f} {text}\n")
        self.file.flush()

    def now(self):
        return time.monotonic() - self.started


# --- HTTP -----------------------------------------------------------------


async def serve_connection(handler, reader, writer):
    try:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            method, target, _ = lines[0].split(" ", 2)
            headers = {}
            for line in lines[1:]:
                if line:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
            body = await reader.readexactly(int(headers.get("content-length", 0)))
            answer = await handler(method, target, headers, body)
            if answer is None:
                return  # No answer: the connection delivers nothing further.
            status, value = answer
            data = json.dumps(value).encode() if value is not None else b""
            head = (
                f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(data)}\r\n\r\n"
            )
            writer.write(head.encode() + data)
            await writer.drain()
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        pass
    finally:
        writer.close()


async def listen(handler, ip, port):
    return await asyncio.start_server(
        lambda r, w: serve_connection(handler, r, w), ip, port, backlog=512
    )


async def call(ip, port, method, path, host, body=None, key=None, timeout=3.0):
    """One call of a client; returns (status, value), or (0, reason) without an answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, port)
            data = json.dumps(body).encode() if body is not None else b""
            head = [f"{method} {path} HTTP/1.1", f"Host: {host}", "Connection: close"]
            head += [f"Deadline-Ms: {int(timeout * 1000)}"]
            if key:
                head.append(f"Authorization: Token {key}")
            if body is not None:
                head.append("Content-Type: application/json")
            head.append(f"Content-Length: {len(data)}")
            writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + data)
            await writer.drain()
            answer = await reader.read()
        top, _, rest = answer.partition(b"\r\n\r\n")
        if not top:
            return 0, "connection ended"
        status = int(top.split(b" ")[1])
        try:
            return status, json.loads(rest) if rest else None
        except ValueError:
            return status, None
    except TimeoutError:
        return 0, "no answer in time"
    except OSError as error:
        return 0, f"{error.__class__.__name__}"
    finally:
        if writer is not None:
            writer.close()


# --- The platform's store ---------------------------------------------------


class Store:
    """The store's rows. `hook(transaction)` may return "lose" with a delay in seconds:
    the call gets no answer and is performed after the delay."""

    def __init__(self, record):
        self.record = record
        self.rows = {}  # (table, part) -> {key: (value, version)}
        self.log = {}  # table -> [(version, part, key, value or None)]
        self.version = 0
        self.changed = asyncio.Condition()
        self.busy_until = {}
        self.write_tokens = [WRITES_PER_S, time.monotonic()]
        self.read_tokens = [READS_PER_S, time.monotonic()]
        self.hook = None
        self.writes = 0
        self.rejected = 0  # Transactions beyond a limit of the store.
        self.started = time.monotonic()

    def now_ms(self):
        return (time.monotonic() - self.started) * 1000 + 50_000

    @staticmethod
    def take(bucket, rate):
        now = time.monotonic()
        bucket[0] = min(rate, bucket[0] + (now - bucket[1]) * rate)
        bucket[1] = now
        if bucket[0] < 1:
            return False
        bucket[0] -= 1
        return True

    async def put(self, table, key, value):
        """A write by the operator or an executor."""
        self.apply([(table, "", key, base64.b64encode(json.dumps(value).encode()).decode())])
        async with self.changed:
            self.changed.notify_all()

    async def drop(self, table, key):
        self.apply([(table, "", key, None)])
        async with self.changed:
            self.changed.notify_all()

    def apply(self, changes):
        self.version += 1
        for table, part, key, value in changes:
            rows = self.rows.setdefault((table, part), {})
            if value is None:
                rows.pop(key, None)
            else:
                rows[key] = (value, self.version)
            self.log.setdefault(table, []).append((self.version, part, key, value))

    def value_of(self, table, part, key):
        found = self.rows.get((table, part), {}).get(key)
        return base64.b64decode(found[0]) if found else None

    async def handle(self, method, target, headers, body):
        url = urllib.parse.urlsplit(target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
        if url.path == "/-/rows-tx":
            return await self.transact(body)
        if not self.take(self.read_tokens, READS_PER_S):
            return 429, {}
        await asyncio.sleep(ANSWER_S)
        if url.path == "/-/rows-get":
            return self.get(query)
        if url.path == "/-/rows-feed":
            return await self.feed(query)
        return 404, {}

    def row(self, table, part, key, value, version):
        row = {"Table": table, "part": part, "Key": key, "Ver": version}
        if value is None:
            row["Tombstone"] = True
        else:
            row["Value"] = value
        return row

    def get(self, query):
        table, part = query.get("Table", ""), query.get("part", "")
        limit = min(int(query.get("Limit", 500)), 500)
        rows = self.rows.get((table, part), {})
        first, last = query.get("From", ""), query.get("Target")
        keys = sorted(k for k in rows if k >= first and (last is None or k < last))
        out, size = [], 0
        for key in keys[:limit]:
            size += len(rows[key][0])
            if out and size > CALL_BYTES:
                break
            out.append(self.row(table, part, key, *rows[key]))
        return 200, {
            "rows": out,
            "HasMore": len(out) < len(keys),
            "Ver": self.version,
            "NowMs": self.now_ms(),
        }

    async def feed(self, query):
        table, after = query.get("Table", ""), int(query.get("DependsOn", 0))
        until = time.monotonic() + min(int(query.get("WaitMs", 0)), 30_000) / 1000
        while True:
            found = []
            for entry in reversed(self.log.get(table, [])):
                if entry[0] <= after:
                    break
                found.append(entry)
            left = until - time.monotonic()
            if found or left <= 0:
                rows = [self.row(table, p, k, v, n) for n, p, k, v in reversed(found)]
                return 200, {"rows": rows, "Ver": self.version, "NowMs": self.now_ms()}
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass

    async def transact(self, body):
        self.writes += 1
        if not self.take(self.write_tokens, WRITES_PER_S):
            return 429, {}
        tx = json.loads(body)
        conditions = tx.get("ExpectedRevision") or []
        writes, removals = tx.get("Writes") or [], tx.get("Remove") or []
        entries = conditions + writes + removals
        too_long = [
            row for row in writes if len(base64.b64decode(row["Value"])) > ROW_BYTES
        ]
        if len(body) > CALL_BYTES or len(entries) > CALL_ENTRIES or too_long:
            self.rejected += 1
            rows = [
                f"{r['Table']}/{r['Key']} {len(base64.b64decode(r['Value']))} bytes"
                for r in too_long
            ]
            if self.rejected % 50 == 1:
                self.record(f"store: rejected transaction {self.rejected}, 400, beyond RowBytes ({ROW_BYTES}): {rows}")
            return 400, {}
        if any(row["Table"] in ("op", "servers") for row in writes + removals):
            return 403, {}
        parts = {row.get("part", "") for row in entries}
        if len(parts) > 1:
            return 400, {}
        lost = self.hook(tx) if self.hook else None
        if lost is not None:
            asyncio.get_running_loop().create_task(self.perform_late(tx, lost))
            await asyncio.sleep(30)
            return None
        result = await self.perform(tx)
        await asyncio.sleep(ANSWER_S)
        return result

    async def perform_late(self, tx, delay):
        await asyncio.sleep(delay)
        status, _ = await self.perform(tx)
        keys = [f"{row['Table']}/{row['Key']}" for row in tx.get("Writes") or []]
        self.record(f"store: performed late, {status}: {keys}")

    async def perform(self, tx):
        conditions = tx.get("ExpectedRevision") or []
        writes, removals = tx.get("Writes") or [], tx.get("Remove") or []
        part = next((r.get("part", "") for r in conditions + writes + removals), "")
        now = time.monotonic()
        begin = max(now, self.busy_until.get(part, 0))
        if begin - now > 1:
            return 429, {}
        self.busy_until[part] = begin + TX_S
        await asyncio.sleep(begin + TX_S - now)
        current = []
        fits = True
        for c in conditions:
            found = self.rows.get((c["Table"], part), {}).get(c["Key"])
            fits &= (found[1] if found else 0) == c["Ver"]
            if found:
                current.append(self.row(c["Table"], part, c["Key"], *found))
        if not fits:
            return 412, {"rows": current, "Ver": self.version, "NowMs": self.now_ms()}
        changes = [(r["Table"], part, r["Key"], r["Value"]) for r in writes]
        changes += [
            (r["Table"], part, r["Key"], None)
            for r in removals
            if r["Key"] in self.rows.get((r["Table"], part), {})
        ]
        self.apply(changes)
        async with self.changed:
            self.changed.notify_all()
        return 200, {"Ver": self.version, "NowMs": self.now_ms()}


# --- Executors ---------------------------------------------------------------


class Gang:
    """One run of a gang: works from when all its members are present."""

    def __init__(self, size, now):
        self.size, self.members, self.came, self.began, self.over = size, {}, now, None, False


class Run:
    def __init__(self, number, work, saves, checkpoint, now):
        self.number = number
        self.gang = None
        self.seconds, self.outcome = work  # None: lasts until it is stopped
        self.saves = saves
        self.done = int(checkpoint[:8], 16) / 1000 if checkpoint else 0.0
        self.started = now + (RESTORE_S if checkpoint else 0.0)
        self.stopping = None

    def worked(self, now):
        if self.gang is not None:
            return self.done + (now - self.gang.began if self.gang.began else 0.0)
        return self.done + max(0.0, now - self.started)

    def saved(self, now, at_stop=False):
        if not self.saves:
            return ""
        worked = self.worked(now)
        worked = worked if at_stop else worked - worked % SAVE_S
        return f"{int(worked * 1000):08x}7a21d94b" if worked > 0 else ""


class Executor:
    """One executor. `fleet.work(task, number)` says how long a run works and how it
    ends; it is cut off while `cut` is set."""

    def __init__(self, fleet, ident, ip, service, capacity, labels, zone):
        self.fleet, self.id, self.ip = fleet, ident, ip
        self.service, self.capacity, self.labels, self.zone = service, capacity, labels, zone
        self.born = int(time.time() * 1000)
        self.clock0 = time.monotonic() - random.randint(100, 900)
        self.running, self.finished, self.count = {}, [], 0
        self.highest = {}
        self.token = 0
        self.until = 0
        self.cut = False
        self.leave_unanswered = None  # A script's function of a call: True for no answer
        self.ended = asyncio.Event()

    def clock(self):
        return int((time.monotonic() - self.clock0) * 1000)

    def entry(self):
        return {
            "Service": self.service,
            "Address": f"{self.ip}:{EXECUTOR_PORT}",
            "Zone": self.zone,
            "Version": "v1",
            "Slots": 8,
            "State": "ready",
            "ColdLeftMs": 0,
            "Capacity": self.capacity,
            "Labels": self.labels,
            "ClockMs": self.clock(),
            "Sequence": 1,
            "born": self.born,
        }

    def end(self, task, how, at_stop=False):
        run = self.running.pop(task)
        saved = run.saved(time.monotonic(), at_stop)
        self.count += 1
        self.finished.append([self.count, task, run.number, how, saved])
        self.highest[task] = max(self.highest.get(task, 0), run.number)
        self.fleet.ended(self, task, run.number, how)
        self.ended.set()
        gang = run.gang
        if gang is not None and not gang.over:
            gang.over = True
            for other, executor in list(gang.members.items()):
                if other != task and other in executor.running:
                    executor.end(other, "done" if how == "done" else "broken")

    def advance(self):
        now = time.monotonic()
        if self.running and self.clock() > self.until:
            for task in list(self.running):
                if task in self.running:
                    self.end(task, "lapsed")
        for task, run in list(self.running.items()):
            if task not in self.running:
                continue  # It has ended with another member of its gang.
            if run.stopping is not None and now >= run.stopping:
                self.end(task, "stopped", True)
            elif run.gang is not None and not run.gang.began and now > run.gang.came + GANG_S:
                self.end(task, "alone")
            elif run.seconds is not None and run.worked(now) >= run.seconds:
                self.end(task, run.outcome)

    def extend(self, until):
        if until is not None:
            self.until = max(self.until, min(until, self.clock() + HOLD_MAX_MS))

    async def handle(self, method, target, headers, body):
        if self.cut:
            await asyncio.sleep(30)
            return None
        if self.leave_unanswered is not None and self.leave_unanswered(self, target, body):
            await asyncio.sleep(30)
            return None
        self.advance()
        value = json.loads(body) if body else {}
        clock = {"ClockMs": self.clock()}
        if headers.get("expect-instance", self.id) != self.id:
            return 421, clock
        token = value.get("FencingToken", 0)
        if token < self.token:
            return 409, clock | {"Reason": "fence"}
        self.token = token
        if target == "/-/run-start":
            return self.start(value, clock)
        if target == "/-/run-stop":
            run = self.running.get(value["Task"])
            if run is not None and run.number <= value["RunId"]:
                run.stopping = run.stopping or time.monotonic() + STOP_S
            elif run is None:
                known = self.highest.get(value["Task"], 0)
                self.highest[value["Task"]] = max(known, value["RunId"])
            return 200, clock
        if target == "/-/pace":
            return 200, clock
        if target == "/-/hold":
            return await self.hold(value)
        return 404, clock

    def start(self, value, clock):
        task, number = value["Task"], value["RunId"]
        if value["UntilMs"] < self.clock():
            return 409, clock | {"Reason": "late"}
        self.extend(value["UntilMs"])
        run = self.running.get(task)
        if run is not None and run.number == number:
            return 200, clock
        if run is not None or number <= self.highest.get(task, 0):
            return 409, clock | {"Reason": "old"}
        work = self.fleet.work(task, number)
        saves = self.fleet.saves(task)
        checkpoint = value.get("Checkpoint", "")
        self.running[task] = Run(number, work, saves, checkpoint, time.monotonic())
        size = self.fleet.gang_of(task)
        if size:
            key = (task.rsplit(".", 1)[0], number)
            gang = self.fleet.gangs.setdefault(key, Gang(size, time.monotonic()))
            self.running[task].gang = gang
            gang.members[task] = self
            if len(gang.members) == size:
                gang.began = time.monotonic()
        self.fleet.started(self, task, number, value)
        return 200, clock

    def lists(self):
        now = time.monotonic()
        running = [
            [t, r.number, r.saved(now), 100 if r.seconds is None else int(100 * min(1, r.worked(now) / max(r.seconds, 0.001))), 0]
            for t, r in self.running.items()
        ]
        return {
            "ClockMs": self.clock(),
            "born": self.born,
            "Running": running,
            "Finished": self.finished[:500],
        }

    async def hold(self, value):
        self.extend(value.get("UntilMs"))
        seen = value.get("LastSeen", 0)
        self.finished = [f for f in self.finished if f[0] > seen]
        until = time.monotonic() + min(value.get("WaitMs", 0), 2000) / 1000
        while not self.finished and time.monotonic() < until:
            self.ended.clear()
            try:
                await asyncio.wait_for(self.ended.wait(), until - time.monotonic())
            except TimeoutError:
                pass
        if self.cut:
            await asyncio.sleep(30)
            return None
        return 200, self.lists()


class Fleet:
    """All executors. A script sets `work_of`, `saves_of` and reads `starts`, `ends`."""

    def __init__(self, record):
        self.record = record
        self.executors = []
        self.starts, self.ends = [], []
        self.work_of = lambda task, number: (1.0, "done")
        self.saves_of = lambda task: False
        self.gang_of = lambda task: 0  # Number of members; 0 for a task of its own
        self.gangs = {}
        self.quiet = lambda task: False

    def work(self, task, number):
        return self.work_of(task, number)

    def saves(self, task):
        return self.saves_of(task)

    def started(self, executor, task, number, value):
        at = self.record.now()
        self.starts.append((at, task, number, executor.id))
        if not self.quiet(task):
            extra = " from a checkpoint" if value.get("Checkpoint") else ""
            self.record(f"{executor.id}: starts {task} run {number}{extra}")

    def ended(self, executor, task, number, how):
        self.ends.append((self.record.now(), task, number, how, executor.id))
        if not self.quiet(task):
            self.record(f"{executor.id}: {task} run {number} ends {how}")

    async def tick(self):
        while True:
            for executor in self.executors:
                executor.advance()
            await asyncio.sleep(0.02)


# --- The entry VMs -------------------------------------------------------------


def render(template, fields):
    """Fills in the template of the settings; it uses plain placeholders only."""
    out = template
    for name, value in fields.items():
        out = out.replace("{{" + name + "}}", str(value))
    return out


class Vm:
    """One machine, whose process is started again a second after it has ended, as the
    platform does."""

    def __init__(self, cell, index, name, zone, ip):
        self.cell, self.index, self.name, self.zone, self.ip = cell, index, name, zone, ip
        self.process = None
        self.started_at = 0.0
        self.restart_at = None
        self.own_ends = 0  # Ends that the script has not caused.
        self.over_memory = 0
        self.peak_mb = 0
        self.settings = os.path.join(cell.folder, f"{name}.yaml")
        self.log = os.path.join(cell.folder, f"{name}.log")

    def start(self):
        fields = {
            "NodeName": self.name,
            "Zone": self.zone,
            "ListenAddrs.Frontend": f"{self.ip}:{FRONTEND}",
            "ListenAddrs.Ready": f"{self.ip}:{READY}",
            "Ip": self.ip,
            "InternalPorts.0": INTERNAL,
            "platform.Address": f"{self.cell.store_ip}:{STORE_PORT}",
            "platform.WritesPerS": WRITES_PER_S,
            "platform.ReadsPerS": READS_PER_S,
            "platform.AppendsPerS": 200,
            "Advice": "",
            "Bounds.GraceS": 6,
            "Bounds.HoldMaxMs": HOLD_MAX_MS,
            "Bounds.RevokeMs": 5000,
            "Bounds.early_ms": 250,
            "Bounds.status_s": 120,
            "Bounds.RemoteFactor": 3,
            "Limits.CpuShare": 0.25,
        }
        role = self.cell.role
        with open(os.path.join(ROOT, role["template"])) as file:
            text = render(file.read(), fields)
        with open(self.settings, "w") as file:
            file.write(text)
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["GREENGAGEMAST_NODE_FILE"] = self.settings
        with open(self.log, "a") as log:
            self.process = subprocess.Popen(
                role["run"].split(" "), cwd=ROOT, env=env, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL,
            )
        self.started_at = time.monotonic()
        self.restart_at = None

    def memory_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) // 1024
        except OSError:
            pass
        return 0

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Cell:
    """Store, executors and entry VMs of a deployment like `coilright-tx`."""

    ZONES = ["austin", "waco", "san-marcos"]

    def __init__(self, record, vms=7, executors=((35, "dispatch", 16000, 65536, 0),)):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            self.role = tomllib.load(file)["roles"]["entry"]
        self.net = self.free_net()
        self.store_ip = f"{self.net}.1"
        self.store = Store(record)
        self.fleet = Fleet(record)
        self.vms = [
            Vm(self, i, f"edge-{self.ZONES[i % 3]}-{i // 3 + 1}", self.ZONES[i % 3], f"{self.net}.{10 + i}")
            for i in range(vms)
        ]
        n = 0
        for count, service, cpu, mem, gpu in executors:
            for i in range(count):
                labels = ["a", f"r{n // 5}"]
                capacity = {"Cpu": cpu, "MemMb": mem, "Gpu": gpu}
                self.fleet.executors.append(
                    Executor(self.fleet, f"i-{n:08x}", f"{self.net}.{100 + n}", service,
                             capacity, labels, self.ZONES[n % 3])
                )
                n += 1
        self.servers, self.tasks = [], []
        self.enforce_memory = True

    @staticmethod
    def free_net():
        for _ in range(50):
            net = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"
            probe = socket.socket()
            try:
                probe.bind((f"{net}.1", STORE_PORT))
                return net
            except OSError:
                continue
            finally:
                probe.close()
        sys.exit(2)

    async def start(self, config):
        self.servers.append(await listen(self.store.handle, self.store_ip, STORE_PORT))
        await self.store.put("op", "config", config)
        for executor in self.fleet.executors:
            self.servers.append(await listen(executor.handle, executor.ip, EXECUTOR_PORT))
            await self.store.put("servers", executor.id, executor.entry())
        self.tasks.append(asyncio.create_task(self.fleet.tick()))
        for vm in self.vms:
            vm.start()
        self.tasks.append(asyncio.create_task(self.watch_vms()))
        self.record(f"{len(self.vms)} entry VMs and {len(self.fleet.executors)} executors started")

    async def watch_vms(self):
        """The platform: ends a process above `MemoryMb`, and starts ended ones again."""
        while True:
            now = time.monotonic()
            for vm in self.vms:
                if vm.restart_at is not None:
                    if now >= vm.restart_at:
                        vm.start()
                    continue
                if vm.process.poll() is not None:
                    vm.own_ends += 1
                    self.record(f"{vm.name}: process ended by itself, status {vm.process.returncode}")
                    vm.restart_at = now + 1.0
                    continue
                memory = vm.memory_mb()
                vm.peak_mb = max(vm.peak_mb, memory)
                if self.enforce_memory and memory > MEMORY_MB:
                    vm.kill()
                    vm.own_ends += 1
                    vm.over_memory += 1
                    self.record(f"{vm.name}: {memory} MB is over MemoryMb ({MEMORY_MB}): killed by the platform")
                    vm.restart_at = now + 1.0
            await asyncio.sleep(0.02)

    async def wait_ready(self, seconds=20):
        until = time.monotonic() + seconds
        ready = set()
        while time.monotonic() < until:
            for vm in self.vms:
                status, _ = await call(vm.ip, READY, "GET", "/-/readyz", "x", timeout=1.0)
                if status == 200:
                    ready.add(vm.name)
            if len(ready) == len(self.vms):
                self.record("all entry VMs are ready")
                return True
            await asyncio.sleep(0.1)
        self.record(f"not ready in time: {len(ready)} of {len(self.vms)}")
        return False

    async def client(self, vm, method, path, host, body=None, key=None, timeout=3.0, quiet=False):
        status, value = await call(vm.ip, FRONTEND, method, path, host, body, key, timeout)
        if not quiet:
            self.record(f"client: {method} {path} at {vm.name} -> {status} {json.dumps(value)}")
        return status, value

    async def submit(self, path, host, body, key, quiet=False):
        """A client that tries again at another node until it has a 2xx; None if not."""
        for attempt in range(5):
            vm = self.vms[(zlib.crc32(path.encode()) + attempt) % len(self.vms)]
            status, _ = await self.client(vm, "POST", path, host, body, key, quiet=quiet)
            if 200 <= status < 300:
                return self.record.now()
            if status in (400, 401, 404):
                return None
            await asyncio.sleep(0.3)
        return None

    def stop(self):
        for task in self.tasks:
            task.cancel()
        for vm in self.vms:
            vm.kill()
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record("all processes ended")


def route(name, prefix, service, attempts=2, priority=1, public=False):
    return {
        "Name": name, "Host": "jobs.example", "PathPrefix": prefix, "Kind": "non_idempotent",
        "TimeoutMs": 3000, "TargetLatencyMs": 1000, "Priority": priority, "Service": service,
        "MaxAttempts": attempts, "SlackFactor": 2.0, "Public": public,
    }


def service(name):
    return {
        "Name": name, "HealthPath": "/healthz", "MaxConns": 64, "Protocol": "h1", "Tls": False,
        "RejectsOverload": False, "Standby": False,
    }


def tenant(name, key, cap=None):
    cap = cap or {"Cpu": 0, "MemMb": 0, "Gpu": 0}
    return {"Name": name, "ApiKeys": [key], "Priority": 1, "Weight": 20, "Cap": cap}


def config(version, routes, services, tenants):
    limits = {
        "MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    }
    return {
        "Version": version, "Routes": routes, "Services": services, "Limits": limits,
        "Tenants": tenants,
    }


def job_id():
    return f"{random.getrandbits(64):016x}"


def main(folder, scenario):
    """Runs `scenario(cell, record, trouble)`, an async function that takes the record and
    returns the exit code, and stops all that it started."""
    os.chdir(ROOT)
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"TROUBLE={int(trouble)}")
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))

    def finish(code):
        text = {0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code]
        record(text)
        print(text, flush=True)
        os._exit(code)

    async def limited():
        cells, code = [], 2
        try:
            async with asyncio.timeout(115):
                code = await scenario(record, trouble, cells)
        except TimeoutError:
            record("the script took too long")
        except Exception as error:
            record(f"could not run: {error!r}")
        finally:
            for cell in cells:
                cell.stop()
        finish(code)

    asyncio.run(limited())
