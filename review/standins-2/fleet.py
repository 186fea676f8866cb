"""A small deployment on loopback: one daemon and some runners a zone, one store, and links that can be cut."""

import asyncio
import json
import os
import shutil
import signal
import subprocess
import tempfile

from standins import Link, Record, Runner, Store, StorePort, call, free_ports, replacer, settings

PROCESSES = []  # that were started
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
SERVICE = "svc"
HOST = "desk.example"


def route(name, prefix, attempts):
    return {"name": name, "host": HOST, "pathPrefix": prefix, "kind": "non_idempotent", "timeoutMs": 1500,
            "targetLatencyMs": 60, "priority": 1, "service": SERVICE, "attempts": attempts, "stretch": 1.6}


CONFIG = {"version": 7, "routes": [route("r-quote", "/quote/", 4), route("r-hold", "/hold/", 2)],
          "services": [{"name": SERVICE, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": False,
                        "rejectsOverload": True, "spare": False}],
          "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


class Daemon:
    def __init__(self, zone, front, ready, operator, peer):
        self.zone = zone
        self.front, self.ready, self.operator, self.peer = (f"127.0.0.1:{it}" for it in (front, ready, operator, peer))
        self.process = None


class Fleet:
    def __init__(self, record, zones, runners_per_zone, work_s):
        self.record, self.zones = record, zones
        self.store = Store()
        n, z = runners_per_zone, len(zones)
        ports = free_ports(5 * z + n * z + z * z + n * z * z)
        self.daemons = {it: Daemon(it, *(ports.pop() for _ in range(4))) for it in zones}
        self.runners = [Runner(ports.pop(), f"i-{zone}-{i}", zone, SERVICE, self.store, record, work_s)
                        for zone in zones for i in range(n)]
        self.links = {}  # (zone of the daemon, zone of the target): links
        replace = {}
        peer_links = {}
        for a in zones:
            pairs = []
            for b in zones:
                if a == b:
                    continue
                link = Link(ports.pop(), self.daemons[b].peer)
                peer_links[(a, b)] = link
                pairs.append((self.daemons[b].peer, link.address))
                self.links.setdefault((a, b), []).append(link)
                for runner in self.runners:
                    if runner.zone == b:
                        link = Link(ports.pop(), runner.address)
                        pairs.append((runner.address, link.address))
                        self.links[(a, b)].append(link)
            replace[a] = replacer(pairs)
        for (a, b), link in peer_links.items():
            link.forth, link.back = replace[b], replace[a]
        self.store_ports = {it: StorePort(ports.pop(), self.store, replace[it]) for it in zones}
        self.folder = tempfile.mkdtemp()
        self.tasks = []

    async def start(self):
        await self.store.put("op", "config", json.dumps(CONFIG).encode())
        for links in self.links.values():
            for it in links:
                await it.open()
        for it in self.store_ports.values():
            await it.listen()
        for it in self.runners:
            await it.listen()
            self.tasks += [asyncio.create_task(it.beat()), asyncio.create_task(it.tick())]
        for zone in self.zones:
            self.start_daemon(zone)
        for it in self.daemons.values():
            await self.wait_ready(it)
        await asyncio.sleep(3)

    def start_daemon(self, zone):
        daemon = self.daemons[zone]
        path = os.path.join(self.folder, f"{zone}.ini")
        ports = [it.split(":")[1] for it in (daemon.front, daemon.ready, daemon.operator, daemon.peer)]
        with open(path, "w", encoding="utf-8") as file:
            file.write(settings("edge-" + zone, zone, self.zones, ports, self.store_ports[zone].address))
        with open(os.path.join(self.folder, f"{zone}.log"), "a", encoding="utf-8") as log:
            daemon.process = subprocess.Popen(["target/radishraild", "--platform", "--config", path], cwd=ROOT,
                                              stdout=log, stderr=log)
        PROCESSES.append(daemon.process)
        self.record.write(f"daemon of {zone} started")

    async def wait_ready(self, daemon):
        for _ in range(150):
            answer = await call(daemon.ready, "GET", "/ready", "x", None, 500)
            if answer is not None and answer[0] == 200:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"the daemon of {daemon.zone} does not become ready")

    async def cut(self, zone):
        self.record.write(f"zone {zone} is cut off from the others")
        for (a, b), links in self.links.items():
            if zone in (a, b):
                for it in links:
                    await it.refuse()

    async def heal(self, zone):
        for (a, b), links in self.links.items():
            if zone in (a, b):
                for it in links:
                    await it.open()
        self.record.write(f"the cut of zone {zone} ends")

    def log_of(self, zone):
        with open(os.path.join(self.folder, f"{zone}.log"), encoding="utf-8", errors="replace") as file:
            return file.read()

    def stop(self):
        for it in self.daemons.values():
            if it.process is not None and it.process.poll() is None:
                it.process.kill()
        for it in self.daemons.values():
            if it.process is not None:
                it.process.wait()
        for it in self.tasks:
            it.cancel()
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(play, folder, limit_s=100):
    """Plays a case and ends this process: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    record = Record(os.path.join(folder, "record.txt"))
    signal.signal(signal.SIGTERM, lambda *_: end(2))
    try:
        code = asyncio.run(asyncio.wait_for(as_result(play, record), limit_s))
    except Exception as error:
        record.write(f"could not run: {error!r}")
        code = 2
    end(code)


async def as_result(play, record):
    try:
        code = await play(record)
        record.write(f"result: {code}")
    except Exception as error:
        record.write(f"could not run: {error!r}")
        code = 2
    end(code)


def end(code):
    """Ends all daemons and this process; the stand-ins end with it."""
    for it in PROCESSES:
        if it.poll() is None:
            it.kill()
            it.wait()
    os._exit(code)


async def post(record, daemon, queue, ident, body, deadline_ms):
    record.write(f"POST /{queue}/{ident} to the daemon of {daemon.zone}, X-Deadline-Ms {deadline_ms}")
    answer = await call(daemon.front, "POST", f"/{queue}/{ident}", HOST, body, deadline_ms)
    record.write(f"POST /{queue}/{ident} answered: {answer}")
    return answer


async def delete(record, daemon, queue, ident, deadline_ms=1500):
    record.write(f"DELETE /{queue}/{ident} to the daemon of {daemon.zone}")
    answer = await call(daemon.front, "DELETE", f"/{queue}/{ident}", HOST, None, deadline_ms)
    record.write(f"DELETE /{queue}/{ident} answered: {answer}")
    return answer
