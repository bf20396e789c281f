"""Stand-ins for review cases: the platform's store, backend servers and HTTP clients.

One asyncio process. Every address is a loopback address. The store and the backend
servers follow PROTOCOL.md; what a case disturbs is passed in as a hook.
"""
import asyncio
import base64
import bisect
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

# A loopback address for this run alone, so that runs at the same time do not take each
# other's ports.
HOST = "127.%d.%d.%d" % tuple(random.randrange(1, 255) for _ in range(3))


GIVEN_PORTS = set()


def free_ports(count):
    """Ports that nothing listens on, below those that outgoing connections take."""
    ports = []
    while len(ports) < count:
        port = random.randrange(15000, 32000)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        if port not in GIVEN_PORTS:
            GIVEN_PORTS.add(port)
            ports.append(port)
    return ports


class Record:
    """What was sent, answered and run, with the time since the start of the case."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", buffering=1)

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")


class Drop(Exception):
    """Raised by a hook: the call gets no response; the connection stays open."""


async def read_request(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return method, target, headers, body


class Server:
    """An HTTP/1.1 server; `handle` returns (status, object)."""

    def __init__(self, port):
        self.port = port
        self.server = None
        self.writers = set()

    async def up(self):
        self.server = await asyncio.start_server(self._serve, HOST, self.port, backlog=512)

    def down(self):
        """Ends like a killed process: connections are reset, the port is closed."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                method, target, headers, body = await read_request(reader)
                try:
                    status, answer = await self.handle(method, target, headers, body)
                except Drop:
                    await reader.read()  # No response; until the caller gives up.
                    return
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, method, target, headers, body):
        raise NotImplementedError


class Store(Server):
    """The platform's store: tables, transactions, scans and feeds."""

    TX_S = 0.006
    READ_S = 0.004
    HISTORY_S = 20.0

    def __init__(self, port):
        super().__init__(port)
        self.rows = {}  # (table, part, key) -> (version, value)
        self.version = 0
        self.log = []  # (version, time, table, part, key, value or None)
        self.changed = asyncio.Event()
        self.started = time.monotonic()
        self.on_tx = None  # async hook(transaction): before a transaction

    def now_ms(self):
        return (time.monotonic() - self.started) * 1000.0

    def apply(self, tx):
        """Applies a transaction if its conditions hold; returns (status, answer)."""
        def ident(entry):
            return (entry["Table"], entry.get("part", ""), entry["Key"])

        conditions = tx.get("ExpectedRevision", [])
        if any(self.rows.get(ident(c), (0, ""))[0] != c["Ver"] for c in conditions):
            current = [self.row(ident(c)) for c in conditions if ident(c) in self.rows]
            return 412, {"rows": current, "Ver": self.version, "NowMs": self.now_ms()}
        self.version += 1
        at = time.monotonic()
        for write in tx.get("Writes", []):
            self.rows[ident(write)] = (self.version, write["Value"])
            self.log.append((self.version, at, *ident(write), write["Value"]))
        for entry in tx.get("Remove", []):
            if self.rows.pop(ident(entry), None):
                self.log.append((self.version, at, *ident(entry), None))
        self.changed.set()
        self.changed = asyncio.Event()
        return 200, {"Ver": self.version, "NowMs": self.now_ms()}

    def put(self, table, key, value):
        data = base64.b64encode(json.dumps(value).encode()).decode()
        self.apply({"Writes": [{"Table": table, "part": "", "Key": key, "Value": data}]})

    def drop(self, table, key):
        self.apply({"Remove": [{"Table": table, "part": "", "Key": key}]})

    def row(self, ident):
        version, value = self.rows[ident]
        return {"Table": ident[0], "part": ident[1], "Key": ident[2], "Value": value, "Ver": version}

    async def handle(self, method, target, headers, body):
        url = urlsplit(target)
        if url.path == "/-/rows-tx":
            tx = json.loads(body)
            if self.on_tx:
                await self.on_tx(tx)
            await asyncio.sleep(self.TX_S)
            return self.apply(tx)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        if url.path == "/-/rows-get":
            await asyncio.sleep(self.READ_S)
            return self.scan(query)
        if url.path == "/-/rows-feed":
            return await self.feed(query)
        return 400, {}

    def scan(self, query):
        table, part = query["Table"], query.get("part", "")
        first, end = query.get("From", ""), query.get("Target")
        limit = min(int(query.get("Limit", "500")), 500)
        keys = sorted(
            (k for t, p, k in self.rows if t == table and p == part), key=lambda k: k.encode()
        )
        keys = keys[bisect.bisect_left([k.encode() for k in keys], first.encode()):]
        keys = [k for k in keys if end is None or k.encode() < end.encode()]
        rows = [self.row((table, part, k)) for k in keys[:limit]]
        more = len(keys) > limit
        return 200, {"rows": rows, "HasMore": more, "Ver": self.version, "NowMs": self.now_ms()}

    async def feed(self, query):
        table, after = query["Table"], int(query["DependsOn"])
        until = time.monotonic() + min(int(query.get("WaitMs", "0")), 30000) / 1000.0
        while True:
            oldest = time.monotonic() - self.HISTORY_S
            if any(entry[0] > after and entry[1] < oldest for entry in self.log):
                return 410, {}
            rows = []
            for version, _, t, part, key, value in self.log:
                if t == table and version > after:
                    row = {"Table": t, "part": part, "Key": key, "Ver": version}
                    row.update({"Value": value} if value is not None else {"Tombstone": True})
                    rows.append(row)
            left = until - time.monotonic()
            if rows or left <= 0:
                return 200, {"rows": rows, "Ver": self.version, "NowMs": self.now_ms()}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Executor(Server):
    """A backend server that carries out orders as PROTOCOL.md says: single tasks, no gangs.

    The number in a job's Spec is the time in ms that each of its tasks works.
    """

    HOLD_MAX_MS = 10000
    STOP_S = 0.05

    def __init__(self, ident, port, store, record, service="pool", zone="z1"):
        super().__init__(port)
        self.id = ident
        self.store, self.record = store, record
        self.service, self.zone = service, zone
        self.capacity = {"Cpu": 16000, "MemMb": 65536, "Gpu": 0}
        self.labels = ["a", "r1"]
        self.is_up = False
        self.policy = None
        self.on_order = None  # hook(path, body) -> None, or seconds to carry it out late
        self.held_back = []  # orders without a response that are carried out later
        self.lives = 0
        self.begin()

    def begin(self):
        """A new life: it knows nothing of the one before."""
        self.lives += 1
        self.born = int(time.time() * 1000)
        self.clock0 = time.monotonic()
        self.token = 0
        self.running = {}  # task -> [run, timer of its end]
        self.highest = {}  # task -> highest run stopped or ended here
        self.finished = []
        self.count = 0
        self.until = 0
        self.lease_timer = None
        self.ended = asyncio.Event()
        self.sequence = 0
        self.state = "ready"

    def clock(self):
        return int((time.monotonic() - self.clock0) * 1000)

    async def join(self):
        await self.up()
        self.is_up = True
        self.beat = asyncio.ensure_future(self.beats())

    async def beats(self):
        while True:
            self.register()
            await asyncio.sleep(1.5)

    def register(self):
        self.sequence += 1
        entry = {
            "Service": self.service, "Address": f"{HOST}:{self.port}", "Zone": self.zone,
            "Version": "1", "Slots": 8, "State": self.state, "ColdLeftMs": 0,
            "Sequence": self.sequence, "Capacity": self.capacity, "Labels": self.labels,
            "born": self.born,
        }
        self.store.put("servers", self.id, entry)

    def crash(self):
        self.record(f"{self.id} crashes; it runs {sorted(self.running)}")
        self.is_up = False
        self.beat.cancel()
        for entry in self.running.values():
            entry[1].cancel()
        if self.lease_timer:
            self.lease_timer.cancel()
        self.running = {}
        self.down()

    def leave(self):
        """Ends as planned: everything that runs here ends, and its entry is removed."""
        self.record(f"{self.id} leaves")
        for task in list(self.running):
            self.end(task, "stopped")
        self.crash()
        self.store.drop("servers", self.id)

    async def restart(self):
        self.begin()
        self.record(f"{self.id} is back under its old id, born {self.born}")
        await self.join()

    # Orders.

    async def handle(self, method, target, headers, body):
        if target == "/healthz":
            return 200, {}
        if headers.get("expect-instance", self.id) != self.id:
            return 421, {"ClockMs": self.clock()}
        order = json.loads(body)
        late = self.on_order(target, order) if self.on_order else None
        if late is not None:
            self.record(f"{self.id} gives no answer to {target} {order.get('Task')} run {order.get('RunId')}")
            self.held_back.append((target, order))
            raise Drop
        return await self.carry_out(target, order)

    async def carry_out(self, target, order):
        if order.get("FencingToken", 0) < self.token:
            return 409, {"ClockMs": self.clock(), "Reason": "fence"}
        self.token = order.get("FencingToken", 0)
        if target == "/-/run-start":
            return self.start(order)
        if target == "/-/run-stop":
            return self.stop(order)
        if target == "/-/hold":
            return await self.hold(order)
        return 200, {"ClockMs": self.clock()}

    def extend(self, until):
        if until is None:
            return
        self.until = max(self.until, min(until, self.clock() + self.HOLD_MAX_MS))
        if self.lease_timer:
            self.lease_timer.cancel()
        left = max(0, self.until - self.clock()) / 1000.0
        self.lease_timer = asyncio.get_event_loop().call_later(left, self.lapse)

    def lapse(self):
        for task in list(self.running):
            self.end(task, "lapsed")

    def start(self, order):
        task, run = order["Task"], order["RunId"]
        there = self.running.get(task)
        if there and there[0] == run:
            return 200, {"ClockMs": self.clock()}
        if order["UntilMs"] <= self.clock():
            return 409, {"ClockMs": self.clock(), "Reason": "late"}
        self.extend(order["UntilMs"])
        if self.policy and not self.policy.is_valid(order.get("Ticket"), task, self.id):
            self.record(f"{self.id} rejects {task} run {run}: ticket {order.get('Ticket')}")
            return 409, {"ClockMs": self.clock(), "Reason": "ticket"}
        if run <= self.highest.get(task, 0) or there:
            return 409, {"ClockMs": self.clock(), "Reason": "old"}
        work = json.loads(order["Spec"])["ms"] / 1000.0
        timer = asyncio.get_event_loop().call_later(work, self.end, task, "done")
        self.running[task] = [run, timer]
        self.record(f"{self.id} starts {task} run {run}")
        self.on_start(task, run)
        return 200, {"ClockMs": self.clock()}

    def on_start(self, task, run):
        pass

    def stop(self, order):
        task, run = order["Task"], order["RunId"]
        self.record(f"{self.id} is told to stop {task} run {run}")
        self.highest[task] = max(self.highest.get(task, 0), run)
        there = self.running.get(task)
        if there and there[0] <= run:
            there[1].cancel()
            there[1] = asyncio.get_event_loop().call_later(self.STOP_S, self.end, task, "stopped")
        return 200, {"ClockMs": self.clock()}

    def end(self, task, how):
        run, timer = self.running.pop(task)
        timer.cancel()
        self.highest[task] = max(self.highest.get(task, 0), run)
        self.count += 1
        self.finished.append([self.count, task, run, how, ""])
        self.record(f"{self.id} ends {task} run {run} {how}")
        self.on_end(task, run, how)
        self.ended.set()
        self.ended = asyncio.Event()

    def on_end(self, task, run, how):
        pass

    async def hold(self, order):
        self.extend(order.get("UntilMs"))
        self.finished = [f for f in self.finished if f[0] > order.get("LastSeen", 0)]
        wait = min(order.get("WaitMs", 0), 2000) / 1000.0
        if wait and not self.finished:
            try:
                await asyncio.wait_for(self.ended.wait(), wait)
            except asyncio.TimeoutError:
                pass
        running = [[t, e[0], "", 50, 100] for t, e in self.running.items()]
        return 200, {
            "ClockMs": self.clock(), "born": self.born, "Running": running,
            "Finished": self.finished[:500],
        }


class Policy(Server):
    """The service that knows which backend servers may run a step."""

    def __init__(self, port, record, permitted, decide_s, each_s, valid_s):
        super().__init__(port)
        self.record, self.permitted = record, permitted
        self.decide_s, self.each_s, self.valid_s = decide_s, each_s, valid_s
        self.tickets = {}  # ticket -> (step, server id, expiry)
        self.asked = 0

    async def handle(self, method, target, headers, body):
        query = json.loads(body)
        step, workers = query["Step"], query["Workers"]
        self.asked += 1
        number = self.asked
        self.record(f"policy: query {number} about {step} names {workers}")
        await asyncio.sleep(self.decide_s + self.each_s * len(workers))
        granted = []
        for worker in workers:
            if worker in self.permitted(step):
                ticket = f"{step}/{worker}/{number}"
                self.tickets[ticket] = (step, worker, time.monotonic() + self.valid_s)
                granted.append([worker, ticket])
        self.record(f"policy: query {number} about {step} grants {[w for w, _ in granted]}")
        return 200, {"Granted": granted}

    def is_valid(self, ticket, task, worker):
        entry = self.tickets.get(ticket)
        step = task.rsplit(".", 1)[0]
        return bool(entry) and entry[:2] == (step, worker) and time.monotonic() < entry[2]


async def call(address, method, path, body=None, headers=None, timeout=3.0, text=False):
    """One request on a connection of its own; returns (status, object or None), or
    (None, None) if there is no complete answer in time."""
    async def run():
        reader, writer = await asyncio.open_connection(*address)
        try:
            data = json.dumps(body).encode() if body is not None else b""
            lines = [f"{method} {path} HTTP/1.1", "Content-Type: application/json",
                     f"Content-Length: {len(data)}", "Connection: close"]
            lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            await writer.drain()
            head = await reader.readuntil(b"\r\n\r\n")
            status = int(head.split(b" ", 2)[1])
            rest = await reader.read()
            if text:
                return status, rest.decode()
            try:
                return status, json.loads(rest)
            except ValueError:
                return status, None
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(run(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None, None


SETTINGS = """name: "{name}"
data_centre: "{zone}"
listen:
  callers: "{host}:{callers}"
  ready: "{host}:{ready}"
  peers: "{host}:{peers}"
  metrics: "{host}:{metrics}"
store:
  address: "{host}:{store}"
  writes_per_second: 600
  reads_per_second: 2000
  part_commits_per_second: 200
policy: "{policy}"
grace_s: 6
lease_max_ms: {lease_max}
revoke_ms: 5000
evacuate_ms:
outage_stretch_ms: 5000
early_ms: 250
keep_state_s: 120
remote_factor: 3
cpu_share: 0.25
limits:
  memory_mb: 260
  descriptors: 4100
"""


class Machine:
    """An entry VM: one process of the product, started as the deploy file says."""

    def __init__(self, world, name, zone):
        self.world, self.name = world, name
        ports = free_ports(4)
        self.callers, self.ready, self.metrics = [(HOST, ports[n]) for n in (0, 1, 3)]
        self.file = os.path.join(world.folder, f"{name}.yaml")
        with open(self.file, "w") as out:
            out.write(SETTINGS.format(
                name=name, zone=zone, host=HOST, callers=ports[0], ready=ports[1],
                peers=ports[2], metrics=ports[3], store=world.store.port, policy=world.policy,
                lease_max=Executor.HOLD_MAX_MS))
        self.log = open(os.path.join(world.folder, f"{name}.log"), "ab")
        self.process = None

    async def start(self):
        program = os.path.join(self.world.root, "target", "release", "greengagemastd")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["GREENGAGEMAST_NODE_FILE"] = self.file
        self.process = await asyncio.create_subprocess_exec(
            program, "platform", env=env, stdout=self.log, stderr=self.log,
            stdin=asyncio.subprocess.DEVNULL)

    async def is_ready(self):
        status, _ = await call(self.ready, "GET", "/-/readyz", timeout=1.0)
        return status == 200

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)


class Runs:
    """What is at work on which backend server, as these show it."""

    def __init__(self, executors):
        self.at_work = {}  # task -> {(backend server, run)}
        self.first_start = {}  # job -> time
        self.starts = []  # (time, task)
        self.doubled = []
        for executor in executors:
            executor.on_start = self.starter(executor)
            executor.on_end = self.ender(executor)

    def starter(self, executor):
        def on_start(task, run):
            at_work = self.at_work.setdefault(task, set())
            at_work.add((executor.id, run))
            self.starts.append((executor.record.now(), task))
            self.first_start.setdefault(task.split(".")[0], executor.record.now())
            if len(at_work) > 1:
                self.doubled.append(f"TWICE: {task} runs at the same time as {sorted(at_work)}")
        return on_start

    def ender(self, executor):
        def on_end(task, run, how):
            self.at_work[task].discard((executor.id, run))
        return on_end


def job(tasks, cpu, work_ms, steps=1, **fields):
    """A job whose steps follow one another."""
    step = {"Count": tasks, "Cpu": cpu, "MemMb": 500, "EstimateMs": work_ms, **fields}
    pipeline = [dict(step, **({"DependsOn": [n - 1]} if n else {})) for n in range(steps)]
    return {"Spec": json.dumps({"ms": work_ms}), "Pipeline": pipeline}


def config(cap=None, advice=None):
    """One queue, one service and one tenant."""
    route = {"Name": "q", "Host": "jobs.test", "PathPrefix": "/q/", "Service": "pool",
             "Priority": 1, "MaxAttempts": 3, "SlackFactor": 2.0, "TargetLatencyMs": 1000}
    if advice:
        route["Advice"] = advice
    return {"Version": 1, "Routes": [route], "Services": [{"Name": "pool"}],
            "Tenants": [{"Name": "t", "ApiKeys": ["key-1"], "Weight": 100, "Cap": cap or {}}]}


CLIENT = {"Host": "jobs.test", "Authorization": "Token key-1", "Deadline-Ms": "3000"}


class World:
    def __init__(self, folder):
        self.case = folder
        self.root = os.path.abspath(os.path.join(folder, "..", ".."))
        self.temp = tempfile.TemporaryDirectory()
        self.folder = os.environ.get("KEEP_LOGS") or self.temp.name
        self.record = Record(os.path.join(folder, "record.txt"))
        self.executors, self.machines = [], []
        self.policy = ""  # Address of the policy service, if there is one.

    async def request(self, machine, method, ident, body=None):
        """One call of a client, recorded; returns status and body of the answer."""
        address = self.machines[machine].callers
        status, answer = await call(address, method, f"/q/{ident}", body, CLIENT)
        self.record(f"{method} {ident} at {self.machines[machine].name} -> {status} {answer}")
        return status, answer

    async def kill_owner(self, pause):
        """Kills the owner's process and starts it again after a pause."""
        machine = await self.owner()
        if machine is None:
            return
        machine.signal(signal.SIGKILL)
        await machine.process.wait()
        self.record(f"{machine.name}, the owner, is killed")
        await asyncio.sleep(pause)
        await machine.start()
        self.record(f"{machine.name} starts again")

    async def owner(self):
        """The machine that the metrics say is the owner; None if there is none."""
        for machine in self.machines:
            _, text = await call(machine.metrics, "GET", "/metrics", timeout=1.0, text=True)
            for line in (text or "").splitlines():
                if line.startswith("greengagemast_owner") and line.split()[-1] in ("1", "1.0"):
                    return machine
        return None

    async def begin(self, executors, machines, config, settle=2.0, labels=None):
        ports = free_ports(executors + 1)
        self.store = Store(ports[0])
        await self.store.up()
        self.store.put("op", "config", config)
        for n in range(executors):
            executor = Executor(f"srv-{n + 1}", ports[n + 1], self.store, self.record,
                                zone=f"z{n % 3 + 1}")
            executor.labels = (labels or {}).get(executor.id, executor.labels)
            self.executors.append(executor)
            await executor.join()
        self.machines = [Machine(self, f"edge-z{n % 3 + 1}-{n + 1}", f"z{n % 3 + 1}")
                         for n in range(machines)]
        for machine in self.machines:
            await machine.start()
        for _ in range(200):
            ready = [await m.is_ready() for m in self.machines]
            if all(ready):
                break
            await asyncio.sleep(0.1)
        else:
            raise RuntimeError("the machines did not get ready")
        await asyncio.sleep(settle)  # The owner calls the backend servers.

    def end(self):
        for machine in self.machines:
            if machine.process and machine.process.returncode is None:
                machine.process.kill()
        self.temp.cleanup()


def main(folder, case):
    """Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    async def run():
        world = World(folder)
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_event_loop().add_signal_handler(number, task.cancel)
        try:
            broken = await asyncio.wait_for(case(world, os.environ.get("TROUBLE", "1") != "0"), 110)
            for line in broken:
                world.record(f"BROKEN {line}")
                print(f"BROKEN {line}")
            world.record(f"result: {'broken' if broken else 'held'}")
            print("broken" if broken else "held")
            return 1 if broken else 0
        except (Exception, asyncio.CancelledError) as error:
            world.record(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            return 2
        finally:
            world.end()
    sys.exit(asyncio.run(run()))
