"""Stand-ins for the users' platform, and a small fleet of radishraild on loopback addresses.

Used by the scripts of review/11 and later. The store, the runners and the clients run in the
process of the script; the daemons are processes of their own, started with the command of
deploy/system.toml and with settings rendered from deploy/daemon.ini.
"""
import asyncio
import base64
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
HELD = 0  # exit codes of a script
BROKEN = 1
NOT_RUN = 2
STORE_ANSWER_S = 0.004
HEARTBEAT_S = 1.5
HOLD_MAX_MS = 1000
STOP_S = 0.02
SERVICE = "booking-desk"
HOST = "desk.example"
PREFIX = "/hold/"


class Record:
    """What was sent, answered and run, with the time since the start of the script."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def note(self, text):
        print(f"{self.now():8.3f} {text}", file=self.file, flush=True)


# --- HTTP ---


async def read_message(reader):
    """Reads one HTTP/1.1 message; returns its first line, headers and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


class HttpServer:
    """Calls `handle(method, target, headers, body)`, which returns a status and an object, or
    None: the call gets no answer."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.connections = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        return self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                answer = await self.handle(method, target, headers, body)
                if answer is None:
                    await asyncio.sleep(3600)
                status, value = answer
                text = json.dumps(value).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def stop(self):
        """Closes the port and resets the connections, as the end of a process does."""
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()


async def call(address, method, target, body=None, deadline_ms=None, timeout_s=10.0):
    """One call of a client on a new connection. Returns the status and the answer; status 0: the
    connection broke or the client's time limit passed."""
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            text = b"" if body is None else json.dumps(body).encode()
            head = f"{method} {target} HTTP/1.1\r\nHost: {HOST}\r\n"
            if deadline_ms is not None:
                head += f"X-Deadline-Ms: {deadline_ms}\r\n"
            if body is not None:
                head += "Content-Type: application/json\r\n"
            head += f"Content-Length: {len(text)}\r\n\r\n"
            writer.write(head.encode() + text)
            line, _, answer = await read_message(reader)
            return int(line.split(" ")[1]), answer.decode()
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
        return 0, type(error).__name__
    finally:
        if writer is not None:
            writer.close()


# --- The platform's store ---


class Store:
    """Tables with versions (PROTOCOL.md, "The platform's metadata store")."""

    def __init__(self, record):
        self.record = record
        self.rows = {}  # (table, part, key) -> (value, version); value None: dropped
        self.version = 0
        self.changed = asyncio.Event()
        self.http = HttpServer(self.handle)
        self.address = ""

    async def start(self):
        self.address = f"127.0.0.1:{await self.http.start()}"

    def put(self, table, key, value):
        self.apply([((table, "", key), value)])

    def apply(self, changes):
        self.version += 1
        for name, value in changes:
            self.rows[name] = (value, self.version)
        self.changed.set()
        self.changed = asyncio.Event()

    @staticmethod
    def encode(name, value, version):
        row = {"table": name[0], "part": name[1], "key": name[2], "ver": version}
        if value is None:
            row["tombstone"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    def answer(self, rows, truncated=False):
        return {"rows": rows, "truncated": truncated, "ver": self.version,
                "nowMs": int(time.monotonic() * 1000)}

    async def handle(self, method, target, _headers, body):
        await asyncio.sleep(STORE_ANSWER_S)
        path, _, query = target.partition("?")
        fields = {}
        for item in filter(None, query.split("&")):
            name, _, value = item.partition("=")
            fields[name] = re.sub(r"%([0-9A-Fa-f]{2})", lambda m: chr(int(m[1], 16)), value)
        if path == "/rows-get":
            return 200, self.get(fields)
        if path == "/rows-feed":
            return 200, await self.feed(fields)
        if path == "/rows-tx":
            return self.transact(json.loads(body))
        self.record.note(f"store: unknown call {method} {target}")
        return 404, {}

    def get(self, fields):
        limit = min(int(fields.get("limit", "500")), 500)
        found = sorted(
            (name, row) for name, row in self.rows.items()
            if row[0] is not None and name[0] == fields["table"]
            and name[1] == fields.get("part", "") and name[2] >= fields.get("from", "")
            and ("to" not in fields or name[2] < fields["to"]))
        rows = [self.encode(name, *row) for name, row in found[:limit]]
        return self.answer(rows, len(found) > limit)

    async def feed(self, fields):
        until = time.monotonic() + int(fields.get("waitMs", "0")) / 1000
        after = int(fields["dependsOn"])
        while True:
            found = sorted(
                (row[1], name) for name, row in self.rows.items()
                if name[0] == fields["table"] and row[1] > after)
            left = until - time.monotonic()
            if found or left <= 0:
                return self.answer([self.encode(name, *self.rows[name]) for _, name in found[:500]])
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass

    def transact(self, call_body):
        def name_of(row):
            return row["table"], row.get("part", ""), row["key"]

        current = []
        for check in call_body.get("expectedRev", []):
            value, version = self.rows.get(name_of(check), (None, 0))
            if (0 if value is None else version) != check["ver"]:
                current.append(self.encode(name_of(check), value, version))
        if current:
            return 412, self.answer(current)
        writes = [(name_of(it), base64.b64decode(it["value"])) for it in call_body.get("writes", [])]
        drops = [(name_of(it), None) for it in call_body.get("remove", [])]
        self.apply(writes + drops)
        for name, value in writes:
            self.record.note(f"store: a daemon writes {name[0]}/{name[2]} {readable(value)}")
        return 200, self.answer([])


def readable(value):
    return " ".join(t.decode() for t in re.findall(rb"[A-Za-z0-9.:_-]{3,}", value))


# --- Runners ---


class Start:
    def __init__(self, time_s, runner, task, run):
        self.time = time_s  # of the record
        self.runner = runner
        self.task = task
        self.run = run
        self.job = task.split(".")[0]


class Runner:
    """A runner under PROTOCOL.md, "Running tasks". A task works for the milliseconds that its
    job's `spec` names (`work=MS`)."""

    def __init__(self, record, store, name, zone, rack, cpu=16000, mem_mb=32768):
        self.record = record
        self.store = store
        self.name = name
        self.zone = zone
        self.rack = rack
        self.room = {"cpu": cpu, "memMb": mem_mb, "gpu": 0}
        self.http = HttpServer(self.handle)
        self.address = ""
        self.seq = 0
        self.beat = None
        self.starts = []
        self.begin_life()

    def begin_life(self):
        self.born_ms = int(time.time() * 1000)
        self.born = time.monotonic()
        self.fence = 0
        self.lease_ms = 0
        self.running = {}  # task -> run
        self.highest = {}  # task -> highest run that was started, stopped or has ended
        self.ended = []
        self.next_end = 1
        self.ends = asyncio.Event()

    def clock_ms(self):
        return 1000 + int((time.monotonic() - self.born) * 1000)

    async def start(self):
        self.address = f"127.0.0.1:{await self.http.start()}"
        self.beat = asyncio.create_task(self.beats())

    async def beats(self):
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    def write_entry(self):
        self.seq += 1
        self.store.put("servers", self.name, json.dumps({
            "service": SERVICE, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": 8, "state": "ready", "coldRemainingMs": 0, "capacity": self.room,
            "labels": ["a", self.rack], "clockMs": self.clock_ms(), "seq": self.seq,
            "born": self.born_ms}).encode())

    async def handle(self, _method, target, headers, body):
        if target == "/healthz":
            return 200, {}
        if headers.get("x-expected-instance", self.name) != self.name:
            return 421, {"clockMs": self.clock_ms()}
        order = json.loads(body)
        fence = order.get("fence", 0)
        if fence < self.fence:
            return self.refuse("fence")
        self.fence = fence
        if target == "/run-start":
            return self.start_run(order)
        if target == "/run-stop":
            return self.stop_run(order)
        if target == "/hold":
            return await self.hold(order)
        return 404, {}

    def refuse(self, reason):
        return 409, {"clockMs": self.clock_ms(), "reason": reason}

    def extend(self, until_ms):
        until_ms = min(until_ms, self.clock_ms() + HOLD_MAX_MS)
        if until_ms <= self.lease_ms:
            return
        self.lease_ms = until_ms
        self.later((until_ms - self.clock_ms()) / 1000, self.lapse)

    def later(self, delay_s, function, *values):
        asyncio.get_running_loop().call_later(delay_s, function, *values)

    def lapse(self):
        if self.clock_ms() >= self.lease_ms:
            for task, run in list(self.running.items()):
                self.end(task, run, "lapsed")

    def start_run(self, order):
        task, run = order["task"], order["run"]
        if self.running.get(task) == run:
            return 200, {"clockMs": self.clock_ms()}
        if order["deadlineMs"] <= self.clock_ms():
            return self.refuse("late")
        self.extend(order["deadlineMs"])
        if run <= self.highest.get(task, 0):
            return self.refuse("old")
        found = re.search(r"cpu=(\d+)", order["spec"])
        cpu = int(found[1]) if found else 1000
        if (len(self.running) + 1) * cpu > self.room["cpu"]:
            return self.refuse("room")
        self.highest[task] = run
        self.running[task] = run
        self.starts.append(Start(self.record.now(), self.name, task, run))
        self.record.note(f"run: {self.name} starts {task} run {run} fence {order['fence']}")
        work_s = int(re.search(r"work=(\d+)", order["spec"])[1]) / 1000
        self.later(work_s, self.end, task, run, "done")
        return 200, {"clockMs": self.clock_ms()}

    def stop_run(self, order):
        task, run = order["task"], order["run"]
        self.highest[task] = max(self.highest.get(task, 0), run)
        if self.running.get(task, run + 1) <= run:
            self.later(STOP_S, self.end, task, self.running[task], "stopped")
        return 200, {"clockMs": self.clock_ms()}

    def end(self, task, run, how):
        if self.running.get(task) != run:
            return
        del self.running[task]
        self.ended.append([self.next_end, task, run, how, ""])
        self.next_end += 1
        self.record.note(f"run: {self.name} ends {task} run {run} {how}")
        self.ends.set()
        self.ends = asyncio.Event()

    async def hold(self, order):
        if "deadlineMs" in order:
            self.extend(order["deadlineMs"])
        self.ended = [it for it in self.ended if it[0] > order.get("lastSeen", 0)]
        if not self.ended and order.get("waitMs", 0) > 0:
            try:
                await asyncio.wait_for(self.ends.wait(), order["waitMs"] / 1000)
            except TimeoutError:
                pass
        return 200, {
            "clockMs": self.clock_ms(), "born": self.born_ms,
            "running": [[task, run, "", 50, 500] for task, run in self.running.items()],
            "endedRuns": self.ended[:500]}


# --- Daemons ---


def render(template, fields):
    """The part of the platform's templates that deploy/daemon.ini uses (DEPLOY.md)."""

    def lookup(name, scopes):
        for scope in reversed(scopes):
            if name == ".":
                return scope
            value = scope
            for part in name.split("."):
                if isinstance(value, list) and part.isdigit():
                    value = value[int(part)]
                elif isinstance(value, dict) and part in value:
                    value = value[part]
                else:
                    break
            else:
                return value
        return None

    def expand(text, scopes, key, last):
        section = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)
        text = section.sub(lambda m: expand_section(m[1], m[2], scopes), text)

        def value_of(match):
            name = match[1]
            if name == "@":
                return str(key)
            if name == ",":
                return "" if last else ","
            value = lookup(name, scopes)
            return "" if value is None else str(value)

        return re.sub(r"\{\{([\w.@,]+)\}\}", value_of, text)

    def expand_section(name, body, scopes):
        value = lookup(name, scopes)
        if value is None or value is False:
            return ""
        if isinstance(value, (dict, list)):
            items = list(value.items() if isinstance(value, dict) else enumerate(value))
            return "".join(expand(body, scopes + [item], key, n == len(items) - 1)
                           for n, (key, item) in enumerate(items))
        return expand(body, scopes + [value], "", True)

    return expand(template, [fields], "", True)


used_ports = set()


def free_ports(n):
    """Free ports below the range that the kernel takes for outgoing connections, so that a daemon
    that starts again finds its ports free. No port is given out twice."""
    ports = []
    while len(ports) < n:
        port = random.randrange(20000, 32000)
        if port in used_ports:
            continue
        with socket.socket() as it:
            try:
                it.bind(("127.0.0.1", port))
            except OSError:
                continue
        used_ports.add(port)
        ports.append(port)
    return ports


class Daemon:
    def __init__(self, fleet, name, zone):
        self.fleet = fleet
        self.name = name
        self.zone = zone
        front, ready, peer, operator = free_ports(4)
        self.front = f"127.0.0.1:{front}"
        self.ready = f"127.0.0.1:{ready}"
        self.inner = [peer, operator]
        self.process = None
        self.log = None

    def fields(self):
        return {
            "node": self.name, "zone": self.zone, "ip": "127.0.0.1", "portRange": self.inner,
            "zones": {zone: "salish" for zone in self.fleet.zones},
            "limits": {"cpuShare": 0.25, "memoryMb": 260},
            "listen": {"front": self.front, "ready": self.ready},
            "platform": {"address": self.fleet.store.address},
            "bounds": {"holdMaxMs": HOLD_MAX_MS, "remoteFactor": 3}}

    def settings(self, template):
        return render(template, self.fields())

    def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["entry"]
        settings = self.fleet.folder / f"{self.name}.ini"
        settings.write_text(self.settings((ROOT / role["template"]).read_text()))
        words = [str(settings) if it == "/etc/radishrail/settings.toml" else it
                 for it in role["run"].split()]
        self.log = open(self.fleet.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            words, cwd=ROOT, stdout=self.log, stderr=self.log,
            env={"PATH": os.environ["PATH"], "RADISHRAIL_NODE_FILE": str(settings)})
        self.fleet.record.note(f"daemon {self.name} starts, front {self.front}")

    def send(self, number):
        self.fleet.record.note(f"daemon {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        self.send(signal.SIGKILL)
        self.process.wait()

    def alive(self):
        return self.process is not None and self.process.poll() is None

    def end(self):
        if self.alive():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        status, _ = await call(self.ready, "GET", "/ready", timeout_s=1.0)
        return status == 200


class Fleet:
    daemon_class = Daemon

    def __init__(self, folder, zones=("tacoma-yard", "everett-yard", "olympia-yard"),
                 daemons_per_zone=2, runners_per_zone=2):
        self.record = Record(folder / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="radishrail-review-"))
        self.zones = list(zones)
        self.store = Store(self.record)
        self.runners = [
            Runner(self.record, self.store, f"i-{zone[:3]}{n}", zone, f"r-{zone[:3]}{n // 2}")
            for zone in zones for n in range(runners_per_zone)]
        self.daemons = [self.daemon_class(self, f"edge-{zone}-{n + 1}", zone)
                        for zone in zones for n in range(daemons_per_zone)]

    def config(self, version=3):
        return {
            "version": version,
            "routes": [{"name": "r-hold", "host": HOST, "pathPrefix": PREFIX,
                        "kind": "non_idempotent", "timeoutMs": 1500, "targetLatencyMs": 60,
                        "priority": 0, "service": SERVICE, "attempts": 2, "stretch": 1.6}],
            "services": [{"name": SERVICE, "healthPath": "/healthz", "maxConns": 64,
                          "protocol": "h1", "tls": False, "rejectsOverload": True, "spare": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}}

    async def start(self):
        await self.store.start()
        self.store.put("op", "config", json.dumps(self.config()).encode())
        for it in self.runners:
            await it.start()
        for it in self.daemons:
            it.start()
        await self.until_ready(self.daemons)

    async def until_ready(self, daemons, limit_s=30):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if all([await it.is_ready() for it in daemons]):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the daemons did not become ready")

    async def post(self, daemon, job, work_ms=50, count=2, cpu=1000, deadline_ms=1500):
        body = {"bestEffort": True, "spec": f"work={work_ms} cpu={cpu}",
                "steps": [{"count": count, "cpu": cpu, "memMb": 64, "estimateMs": work_ms}]}
        self.record.note(f"client: POST {job} to {daemon.name}")
        status, answer = await call(daemon.front, "POST", PREFIX + job, body, deadline_ms,
                                    deadline_ms / 1000)
        self.record.note(f"client: POST {job} at {daemon.name} gets {status} {answer}")
        return status, answer

    async def delete(self, daemon, job):
        self.record.note(f"client: DELETE {job} to {daemon.name}")
        status, answer = await call(daemon.front, "DELETE", PREFIX + job, timeout_s=2.0)
        self.record.note(f"client: DELETE {job} at {daemon.name} gets {status} {answer}")
        return status, answer

    @property
    def starts(self):
        """All starts of tasks at all runners, in order."""
        return sorted((it for r in self.runners for it in r.starts), key=lambda it: it.time)

    def owners(self):
        """The owner of each pool, by the system's own rows."""
        owners = {}
        for (table, _, key), (value, _) in self.store.rows.items():
            if table == "pools" and value is not None:
                for it in self.daemons:
                    if it.name.encode() in value:
                        owners[key] = it
        return owners

    def end(self):
        for it in self.daemons:
            it.end()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def run(folder, case, fleet_class=Fleet, **options):
    """Runs a case: `case(fleet)` returns HELD or BROKEN."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))

    async def main():
        fleet = fleet_class(pathlib.Path(folder), **options)
        try:
            async with asyncio.timeout(110):
                await fleet.start()
                result = await case(fleet)
            fleet.record.note("result: the rule " + ("held" if result == HELD else "was broken"))
            return result
        except (RuntimeError, OSError, TimeoutError) as error:
            fleet.record.note(f"result: the case could not run: {error!r}")
            return NOT_RUN
        finally:
            fleet.end()

    sys.exit(asyncio.run(main()))
