"""Stand-ins for the platform's store, for runners and for clients, and the processes of a small deployment.

Everything listens on loopback. The stand-ins follow PROTOCOL.md: the store keeps rows with versions and answers
`rows-get`, `rows-feed` and `rows-tx`; a runner obeys the highest fence, keeps one lease, lists running and ended runs
and needs up to `stopMs` for a stop; a client waits for `X-Deadline-Ms` and sends a job again `retryMs` after no
response, a broken connection, 502 or 504.
"""
import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
DAEMON = ROOT / "target" / "radishraild"
RETRY_S = 1.3  # retryMs
DEADLINE_S = 1.5  # time limit of a request
HOLD_MAX_S = 1.0  # holdMaxMs
STOP_S = 0.05  # stopMs: a stop takes at most this long
HEARTBEAT_S = 1.5
MAX_LIST = 500


class CannotRun(Exception):
    """The case could not be played; exit status 2."""


class Record:
    """Writes what was sent, answered and run to record.txt, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, who, text):
        self.file.write(f"{self.now():9.3f} {who}: {text}\n")


taken_ports = set()


def free_ports(count):
    """Ports below the range that the kernel gives to outgoing connections, so that none takes them meanwhile."""
    ports = []
    while len(ports) < count:
        port = random.randrange(15000, 30000)
        with socket.socket() as it:
            try:
                it.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in taken_ports:
            taken_ports.add(port)
            ports.append(port)
    return ports


async def read_message(reader):
    """Reads one HTTP/1.1 message; returns its first line, headers and body, or None at the end of the stream."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


class HttpServer:
    """Serves HTTP/1.1 with JSON bodies; `handle` returns a status and an object, or None to stay silent."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.writers = set()

    async def start(self, port=0, backlog=100):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, backlog=backlog)
        return self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                answer = await self.handle(method, url.path, query, headers, body)
                if answer is None:
                    await asyncio.sleep(3600)
                status, value = answer
                text = json.dumps(value).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    """The platform's store: rows in tables with one version counter."""

    def __init__(self):
        self.rows = {}  # (table, part, key) -> (value, version)
        self.log = []  # (version, table, part, key)
        self.version = 1
        self.changed = asyncio.Condition()
        self.http = HttpServer(self.handle)

    async def put(self, table, key, value, part=""):
        await self.apply([(table, part, key, base64.b64encode(value.encode()).decode())])

    async def apply(self, writes):
        self.version += 1
        for table, part, key, value in writes:
            if value is None:
                self.rows.pop((table, part, key), None)
            else:
                self.rows[(table, part, key)] = (value, self.version)
            self.log.append((self.version, table, part, key))
        async with self.changed:
            self.changed.notify_all()

    def row(self, name, version=None):
        table, part, key = name
        if name not in self.rows:
            return {"table": table, "part": part, "key": key, "ver": version or 0, "tombstone": True}
        value, row_version = self.rows[name]
        return {"table": table, "part": part, "key": key, "value": value, "ver": row_version}

    def stamp(self, body):
        return {**body, "ver": self.version, "nowMs": int(time.monotonic() * 1000)}

    def changes(self, table, after):
        names = {}
        for version, its_table, part, key in self.log:
            if its_table == table and version > after:
                names[(its_table, part, key)] = version
        return [self.row(name, version) for name, version in sorted(names.items(), key=lambda it: it[1])]

    async def handle(self, method, path, query, headers, body):
        if path == "/rows-get":
            table, part = query["table"], query.get("part", "")
            names = sorted(name for name in self.rows if name[0] == table and name[1] == part
                           and name[2] >= query.get("from", "") and ("to" not in query or name[2] < query["to"]))
            limit = min(int(query.get("limit", "500")), MAX_LIST)
            return 200, self.stamp({"rows": [self.row(it) for it in names[:limit]], "truncated": len(names) > limit})
        if path == "/rows-feed":
            after = int(query.get("dependsOn", "0"))
            end = time.monotonic() + int(query.get("waitMs", "0")) / 1000
            while True:
                rows = self.changes(query["table"], after)
                left = end - time.monotonic()
                if rows or left <= 0:
                    return 200, self.stamp({"rows": rows})
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
        if path == "/rows-tx":
            order = json.loads(body)
            names = [((it["table"], it.get("part", ""), it["key"]), it["ver"]) for it in order.get("expectedRev", [])]
            if any((self.rows[name][1] if name in self.rows else 0) != version for name, version in names):
                return 412, self.stamp({"rows": [self.row(name) for name, _ in names if name in self.rows]})
            await self.apply([(it["table"], it.get("part", ""), it["key"], it["value"])
                              for it in order.get("writes", [])] +
                             [(it["table"], it.get("part", ""), it["key"], None) for it in order.get("remove", [])])
            return 200, self.stamp({})
        return 404, {}


class Runs:
    """All runs of all runners, to check that no task runs twice at a time."""

    def __init__(self, record):
        self.record = record
        self.active = {}  # task -> {runner name: run}
        self.twice = []

    def begin(self, runner, task, run):
        others = {name: it for name, it in self.active.get(task, {}).items() if name != runner.name}
        self.record.write(runner.name, f"starts {task} run {run}")
        if others:
            self.twice.append((task, runner.name, others))
            self.record.write("check", f"TWICE: {task} begins on {runner.name} and still runs on {sorted(others)}")
        self.active.setdefault(task, {})[runner.name] = run

    def end(self, runner, task, run, how):
        self.active.get(task, {}).pop(runner.name, None)
        self.record.write(runner.name, f"ends {task} run {run}: {how}")


class Runner:
    """One runner. The text after `ms=` in a job's spec says how long its tasks work."""

    def __init__(self, name, zone, store, runs, record, cpu=16000, stop_s=0.04):
        self.name, self.zone, self.store, self.runs, self.record = name, zone, store, runs, record
        self.cpu, self.stop_s = cpu, stop_s
        self.http = HttpServer(self.handle)
        self.port = 0
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.epoch = time.monotonic()
        self.fence = 0
        self.lease = 0.0  # on the runner's clock, in seconds
        self.running = {}  # task -> [run, end of work, time at which a stop takes effect or None]
        self.highest = {}  # task -> highest run that ended or was stopped here
        self.ended = []
        self.next_end = 1
        self.wake = asyncio.Event()

    def clock(self):
        return time.monotonic() - self.epoch + 10.0

    def clock_ms(self):
        return int(self.clock() * 1000)

    async def start(self):
        self.port = await self.http.start()
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.work())]

    async def beat(self):
        while True:
            self.seq += 1
            await self.store.put("servers", self.name, json.dumps({
                "service": "svc", "address": f"127.0.0.1:{self.port}", "zone": self.zone, "version": "1", "slots": 8,
                "state": "ready", "coldRemainingMs": 0, "seq": self.seq, "born": self.born,
                "capacity": {"cpu": self.cpu, "memMb": 32768, "gpu": 0}, "labels": {"kind": "a", "rack": "r1"}}))
            await asyncio.sleep(HEARTBEAT_S)

    def finish(self, task, how):
        run = self.running.pop(task)[0]
        self.highest[task] = max(self.highest.get(task, 0), run)
        self.ended.append([self.next_end, task, run, how, ""])
        self.next_end += 1
        self.runs.end(self, task, run, how)
        self.wake.set()

    def update(self):
        now = self.clock()
        for task, (run, done, stopped) in list(self.running.items()):
            if done <= min(now, self.lease, stopped or now):
                self.finish(task, "done")
            elif stopped is not None and stopped <= min(now, self.lease):
                self.finish(task, "stopped")
            elif self.lease <= now:
                self.finish(task, "lapsed")

    async def work(self):
        while True:
            self.update()
            await asyncio.sleep(0.002)

    def extend(self, order):
        if order.get("deadlineMs"):
            until = min(order["deadlineMs"] / 1000, self.clock() + HOLD_MAX_S)
            self.lease = max(self.lease, until)

    def conflict(self, reason):
        return 409, {"clockMs": self.clock_ms(), "reason": reason}

    async def handle(self, method, path, query, headers, body):
        order = json.loads(body)
        self.update()
        if headers.get("x-expected-instance", self.name) != self.name:
            return 421, {"clockMs": self.clock_ms()}
        if order.get("fence", 0) < self.fence:
            return self.conflict("fence")
        self.fence = order.get("fence", 0)
        if path == "/run-start":
            return self.run_start(order)
        if path == "/run-stop":
            task, run = order["task"], order["run"]
            self.highest[task] = max(self.highest.get(task, 0), run)
            if task in self.running and self.running[task][0] <= run and self.running[task][2] is None:
                self.running[task][2] = self.clock() + self.stop_s
            return 200, {"clockMs": self.clock_ms()}
        if path == "/hold":
            self.ended = [it for it in self.ended if it[0] > order.get("lastSeen", 0)]
            self.extend(order)
            end = time.monotonic() + order.get("waitMs", 0) / 1000
            while not self.ended and time.monotonic() < end:
                self.wake.clear()
                try:
                    await asyncio.wait_for(self.wake.wait(), max(0.001, end - time.monotonic()))
                except asyncio.TimeoutError:
                    pass
            self.update()
            return 200, {"clockMs": self.clock_ms(), "born": self.born,
                         "running": [[task, it[0], "", 50, 0] for task, it in self.running.items()],
                         "endedRuns": self.ended[:MAX_LIST]}
        return 400, {"clockMs": self.clock_ms()}

    def run_start(self, order):
        task, run = order["task"], order["run"]
        if task in self.running and self.running[task][0] == run:
            self.extend(order)
            return 200, {"clockMs": self.clock_ms()}
        if order["deadlineMs"] / 1000 <= self.clock():
            return self.conflict("late")
        self.extend(order)
        if task in self.running or run <= self.highest.get(task, 0):
            return self.conflict("old")
        if len(self.running) >= 2:
            return self.conflict("room")
        work_s = float(order["spec"].split("ms=")[1].split(";")[0]) / 1000
        self.running[task] = [run, self.clock() + work_s, None]
        self.runs.begin(self, task, run)
        return 200, {"clockMs": self.clock_ms()}


SETTINGS = """[daemon]
vm = {name}
failure_domain = {zone}
failure_domains = {zones}
cpu_share = 0.25
caller_address = 127.0.0.1:{front}
ready_address = 127.0.0.1:{ready}
operator_address = 127.0.0.1:{operator}
peer_address = 127.0.0.1:{peer}
{advertised}log_level = info
timeline_events = 2000

[platform]
address = 127.0.0.1:{store}
timeout = 1s

[peers]
cluster_key = radishrail-entry-vms

[operators]
token = radishrail-entry-vms

[lease]
length = 1000ms
renew_interval = 300ms

[drain]
balancer_delay = 2200ms
timeout = 2900ms

[requests]
max_connections = 2000
max_body_bytes = 262144
idle_timeout = 15s
"""


class PeerLink:
    """The link to one daemon for its peers; a zone can be cut off from the others.

    What a cut holds up arrives after it, as TCP sends it again: 0.2, 0.6, 1.4, 3.0 s after it was first sent. The
    kernel sends it also after its process has ended, and then the end of the connection.
    """

    def __init__(self, daemon, cut):
        self.daemon, self.cut = daemon, cut

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.daemon.advertised = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            first = await reader.read(65536)
            caller = next((name for name in self.cut.zone_of if name.encode() in first), None)
            back_reader, back_writer = await asyncio.open_connection("127.0.0.1", self.daemon.peer)
        except OSError:
            writer.close()
            return
        ends = (caller, self.daemon.name)
        await asyncio.gather(self.carry(reader, back_writer, ends, first), self.carry(back_reader, writer, ends, b""))

    async def carry(self, reader, writer, ends, data):
        try:
            while True:
                if data and self.cut.harms(ends):
                    await self.cut.wait_until_resent(ends)
                if data:
                    writer.write(data)
                    await writer.drain()
                data = await reader.read(65536)
                if not data:
                    break
        except (ConnectionError, OSError):
            pass
        while self.cut.harms(ends):
            await asyncio.sleep(0.01)
        writer.close()


class ClientLink:
    """The connections of clients to one daemon; `reset` breaks those that are open."""

    def __init__(self, daemon):
        self.daemon, self.open = daemon, []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.front = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        back_reader, back_writer = await asyncio.open_connection("127.0.0.1", self.daemon.front)
        pair = (writer, back_writer)
        self.open.append(pair)
        await asyncio.gather(self.carry(reader, back_writer), self.carry(back_reader, writer))
        self.open.remove(pair)

    async def carry(self, reader, writer):
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        writer.close()

    def reset(self):
        for pair in self.open:
            for writer in pair:
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                writer.transport.abort()


class ZoneCut:
    """Partitions one zone from the others; clients, runners and the store still reach all."""

    def __init__(self, daemons):
        self.zone_of = {it.name: it.zone for it in daemons}
        self.zone = None

    def harms(self, ends):
        return self.zone is not None and len({self.zone_of.get(it) == self.zone for it in ends}) == 2

    async def wait_until_resent(self, ends):
        first, wait = time.monotonic(), 0.2
        while True:
            await asyncio.sleep(max(0.0, first + wait - time.monotonic()))
            if not self.harms(ends):
                return
            wait = 2 * wait + 0.2


class Daemon:
    """A process of the system, started with the command of the deploy file."""

    def __init__(self, name, zone, zones, store_port, directory, record):
        self.name, self.zone, self.record = name, zone, record
        self.front, self.ready, self.operator, self.peer = free_ports(4)
        self.path = pathlib.Path(directory) / f"{name}.ini"
        self.log_path = pathlib.Path(directory) / f"{name}.log"
        self.zones, self.store_port = zones, store_port
        self.advertised = None
        self.process = None

    def start(self):
        advertised = f"advertised_peer_address = 127.0.0.1:{self.advertised}\n" if self.advertised else ""
        self.path.write_text(SETTINGS.format(name=self.name, zone=self.zone, zones=",".join(self.zones),
                                             front=self.front, ready=self.ready, operator=self.operator,
                                             peer=self.peer, store=self.store_port, advertised=advertised))
        if not DAEMON.exists():
            raise CannotRun("target/radishraild is missing: build the deploy file first")
        log = open(self.log_path, "ab")
        self.process = subprocess.Popen([str(DAEMON), "--platform", "--config", str(self.path)], cwd=ROOT,
                                        stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                                        env={"PATH": os.environ.get("PATH", "")})
        log.close()
        self.record.write(self.name, "started")

    def signal(self, number):
        self.record.write(self.name, f"gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def running(self):
        return self.process is not None and self.process.poll() is None

    async def wait_ready(self, timeout_s=10):
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            status, _ = await request(self.ready, "GET", "/ready", {}, b"", 0.5)
            if status == 200:
                return
            if not self.running():
                raise CannotRun(f"{self.name} has ended: {self.log_text()[-300:]}")
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready in time")

    def log_text(self):
        return self.log_path.read_text(errors="replace") if self.log_path.exists() else ""

    def kill(self):
        if self.running():
            self.process.kill()
        if self.process is not None:
            self.process.wait()


async def request(port, method, path, headers, body, timeout_s):
    """One request on a connection of its own; returns status and body, or a word for what happened instead."""
    writer = None

    async def call():
        nonlocal writer
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        line, _, text = await read_message(reader)
        return int(line.split(" ")[1]), text
    try:
        return await asyncio.wait_for(call(), timeout_s)
    except asyncio.TimeoutError:
        return "deadline", b""
    except ConnectionRefusedError:
        return "no connection", b""
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return "broken", b""
    finally:
        if writer is not None:
            writer.close()


class Lab:
    """A small deployment in a temporary folder; ends all that it started."""

    def __init__(self, case, zones):
        self.case = pathlib.Path(case)
        self.record = Record(self.case / "record.txt")
        self.zones = zones
        self.directory = tempfile.mkdtemp(prefix="review-")
        self.store = Store()
        self.runs = Runs(self.record)
        self.runners, self.daemons = [], []

    async def start_platform(self):
        self.store_port = await self.store.http.start()
        await self.store.put("op", "config", json.dumps({
            "version": 3, "routes": [{"name": "r-queue", "host": "host.example", "pathPrefix": "/queue/",
                                      "service": "svc", "kind": "non_idempotent", "timeoutMs": 10000,
                                      "targetLatencyMs": 400, "attempts": 3, "priority": 0, "stretch": 1.6}],
            "services": [{"name": "svc", "rejectsOverload": True}], "limits": {}}))

    async def add_runner(self, name, zone, **options):
        runner = Runner(name, zone, self.store, self.runs, self.record, **options)
        await runner.start()
        self.runners.append(runner)
        return runner

    def add_daemon(self, name, zone):
        daemon = Daemon(name, zone, self.zones, self.store_port, self.directory, self.record)
        self.daemons.append(daemon)
        return daemon

    async def submit(self, daemon, job, work_ms, count=1, cpu=6800, deadline_s=DEADLINE_S, estimate_ms=None, link=None):
        body = json.dumps({"spec": f"ms={work_ms};", "bestEffort": True, "steps": [
            {"count": count, "cpu": cpu, "memMb": 64, "estimateMs": estimate_ms or work_ms}]}).encode()
        self.record.write("client", f"sends {job} to {daemon.name}")
        status, text = await request(link.front if link else daemon.front, "POST", f"/queue/{job}", {
            "Host": "host.example", "Content-Type": "application/json",
            "X-Deadline-Ms": str(int(deadline_s * 1000))}, body, deadline_s)
        self.record.write("client", f"gets {status} for {job} from {daemon.name} {text.decode(errors='replace')[:120]}")
        return status

    async def submit_until_answered(self, daemons, job, work_ms, **options):
        """Sends the job again as PROTOCOL.md says, each time to the next daemon."""
        for attempt in range(3):
            status = await self.submit(daemons[min(attempt, len(daemons) - 1)], job, work_ms, **options)
            options.pop("link", None)
            if status not in ("deadline", "broken", "no connection", 502, 504):
                return status
            await asyncio.sleep(RETRY_S)
        return status

    async def wait_for_owners(self, timeout_s=12):
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            owned = {name[2] for name in self.store.rows if name[0] == "pools"}
            if owned >= set(self.zones):
                return
            await asyncio.sleep(0.05)
        raise CannotRun("a pool has no owner")

    def owner(self, zone):
        value = self.store.rows.get(("pools", zone, zone))
        names = [it.name for it in self.daemons if value and it.name.encode() in base64.b64decode(value[0])]
        return names[0] if names else None

    def close(self):
        for it in self.daemons:
            it.kill()
        for it in self.daemons:
            last = [line for line in it.log_text().splitlines() if not line.startswith("{")][-12:]
            for line in last:
                self.record.write(f"output of {it.name}", line[:200])
        shutil.rmtree(self.directory, ignore_errors=True)


def main(play, case, zones):
    """Runs `play(lab, trouble)`, which returns the broken rule as a text or None, and ends with the exit status."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        lab = Lab(case, zones)
        lab.record.write("case", f"TROUBLE={1 if trouble else 0}")
        status, text = 2, "could not run"
        try:
            broken = await asyncio.wait_for(play(lab, trouble), 112)
            status, text = (1, f"broken: {broken}") if broken else (0, "the rule held")
        except CannotRun as error:
            text = f"could not run: {error}"
        except asyncio.TimeoutError:
            text = "could not run: too slow"
        finally:
            lab.close()
            lab.record.write("case", text)
            print(text, flush=True)
            os._exit(status)  # the stand-ins' open connections need no further handling
    asyncio.run(run())
