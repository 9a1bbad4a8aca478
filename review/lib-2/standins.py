"""Stand-ins for the peers of a deployment, and a starter of controllers, for the cases 4 to 8 of the review.

A case runs in one process: a state service, a cloud with its machines (each with a worker), users, and a record of all
that is sent, answered and run. Only the controllers are separate processes, started as deploy/service.toml says.
All addresses are loopback addresses, all ports are free ports. Only the standard library is used.
"""

import asyncio
import collections
import functools
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
START = time.monotonic()


class CannotRun(Exception):
    """The case could not be run: neither held nor broken."""


def now():
    return time.monotonic() - START


def reserve():
    """A socket bound to a free port of 127.0.0.1, below those that the system gives to outgoing connections."""
    while True:
        held = socket.socket()
        try:
            held.bind(("127.0.0.1", random.randrange(20_000, 32_000)))
            return held
        except OSError:
            held.close()


def port_of(held):
    return held.getsockname()[1]


class Record:
    """record.txt: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)

    def __call__(self, text):
        self.file.write(f"{now():8.3f} {text}\n")


class Bucket:
    """Rate limit with a burst."""

    def __init__(self, rate, burst):
        self.rate, self.burst, self.tokens, self.at = rate, burst, burst, now()

    def take(self, count=1.0):
        t = now()
        self.tokens = min(self.burst, self.tokens + (t - self.at) * self.rate)
        self.at = t
        if self.tokens < count:
            return False
        self.tokens -= count
        return True


REASONS = {200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           429: "Too Many Requests", 503: "Service Unavailable"}


async def read_message(reader):
    """Reads the head and the body of an HTTP message; None at the end of the connection."""
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
    body = b""
    length = int(headers.get("content-length", "0"))
    if length:
        try:
            body = await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return lines[0], headers, body


async def serve(handler, held):
    """Serves HTTP/1.1 on a reserved port. `handler(method, path, body)` returns a status and an object."""

    async def connection(reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                line, headers, body = message
                method, path, _ = line.split(" ", 2)
                answer = await handler(method, path, body)
                if answer is None:
                    return
                status, value = answer
                out = json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(out)}\r\n\r\n".encode() + out)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    return
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, sock=held, limit=1 << 22, backlog=512)


class Connection:
    """An HTTP client connection that stays open between requests."""

    def __init__(self, address):
        host, port = address.rsplit(":", 1)
        self.host, self.port = host, int(port)
        self.reader = self.writer = None
        self.bytes_sent = 0

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def call(self, method, path, value=None, timeout=5.0):
        """Returns the status, the headers and the decoded body. Raises OSError or TimeoutError."""

        async def exchange():
            if self.writer is None:
                self.reader, self.writer = await asyncio.open_connection(self.host, self.port, limit=1 << 22)
            out = b"" if value is None else json.dumps(value, separators=(",", ":")).encode()
            self.bytes_sent = len(out)
            self.writer.write(f"{method} {path} HTTP/1.1\r\nHost: {self.host}:{self.port}\r\n"
                              f"Content-Length: {len(out)}\r\n\r\n".encode() + out)
            await self.writer.drain()
            message = await read_message(self.reader)
            if message is None:
                raise ConnectionError("closed")
            line, headers, body = message
            try:
                decoded = json.loads(body) if body else {}
            except ValueError:
                decoded = {}
            if headers.get("connection", "").lower() == "close":
                self.close()
            return int(line.split(" ")[1]), headers, decoded

        try:
            return await asyncio.wait_for(exchange(), timeout)
        except (OSError, asyncio.TimeoutError, asyncio.LimitOverrunError):
            self.close()
            raise OSError("no answer")


class StateService:
    """The state service: keys, transactions, leases and watches, with the limits of the settings."""

    def __init__(self, record, state):
        self.record, self.limits = record, state
        self.revision = 0
        self.keys = {}
        self.leases = {}
        self.next_lease = 0
        self.changes = collections.deque(maxlen=10_000)
        self.dropped = 0
        self.changed = asyncio.Event()
        self.requests = Bucket(state["rps"], state["rps"])
        self.writes = Bucket(state["write_rps"], state["write_rps"])
        # (seconds, revision, record) of each leader key that was created.
        self.leaders = []
        self.held = reserve()
        self.port = port_of(self.held)

    async def start(self):
        self.server = await serve(self.handle, self.held)
        self.expiry = asyncio.create_task(self.expire())

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            for lease in [i for i, l in self.leases.items() if l["until"] <= now()]:
                self.end_lease(lease)

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        for key in [k for k, v in self.keys.items() if v[2] == lease]:
            self.revision += 1
            del self.keys[key]
            self.note({"Delete": key, "Stamp": self.revision})
        self.wake()
        return True

    def note(self, change):
        if len(self.changes) == self.changes.maxlen:
            self.dropped = self.changes[0]["Stamp"]
        self.changes.append(change)
        key = change.get("Put") or change.get("Delete")
        if key.endswith("/leader"):
            self.record(f"state: leader key {'put ' + json.dumps(change['V']) if 'Put' in change else 'deleted'}"
                        f" at revision {change['Stamp']}")
            if "Put" in change:
                self.leaders.append((now(), change["Stamp"], change["V"]))

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, method, path, body):
        if not self.requests.take():
            return 429, {"error": "rate"}
        url = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(url.query))
        try:
            value = json.loads(body) if body else {}
        except ValueError:
            return 400, {"error": "malformed"}
        if method == "GET" and url.path == "/keys":
            return self.list(query)
        if method == "GET" and url.path.startswith("/keys/"):
            key = url.path[len("/keys/"):]
            if key not in self.keys:
                return 404, {"Epoch": self.revision}
            v, stamp, lease = self.keys[key]
            out = {"K": key, "V": v, "Stamp": stamp}
            if lease is not None:
                out["Permit"] = lease
            return 200, out
        if method == "GET" and url.path == "/follow":
            return await self.follow(query)
        if method == "POST" and url.path == "/txn":
            return self.txn(value)
        if method == "POST" and url.path == "/leases":
            self.next_lease += 1
            life = value["LifeMs"] / 1000.0
            self.leases[self.next_lease] = {"life": life, "until": now() + life}
            return 200, {"Permit": self.next_lease}
        if url.path.startswith("/leases/"):
            parts = url.path.split("/")
            lease = int(parts[2])
            if method == "DELETE":
                return (200, {}) if self.end_lease(lease) else (404, {})
            if lease not in self.leases:
                return 404, {}
            self.leases[lease]["until"] = now() + self.leases[lease]["life"]
            return 200, {}
        return 400, {"error": "unknown"}

    def list(self, query):
        prefix, after = query.get("Prefix", ""), query.get("After", "")
        limit = min(int(query.get("Limit", "1000")), 1000)
        if not hasattr(self, "sorted") or self.sorted[0] != self.revision:
            self.sorted = (self.revision, sorted(self.keys))
        import bisect
        keys = self.sorted[1]
        at = bisect.bisect_right(keys, after) if after else bisect.bisect_left(keys, prefix)
        at = max(at, bisect.bisect_left(keys, prefix))
        pairs, size, truncated = [], 0, False
        while at < len(keys) and keys[at].startswith(prefix):
            key = keys[at]
            v, stamp, _ = self.keys[key]
            item = {"K": key, "V": v, "Stamp": stamp}
            size += len(json.dumps(item)) + 2
            if len(pairs) >= limit or size > 500 * 1024:
                truncated = True
                break
            pairs.append(item)
            at += 1
        return 200, {"Pairs": pairs, "Truncated": truncated, "Epoch": self.revision}

    def txn(self, value):
        conditions, changes = value.get("If", []), value.get("Then", [])
        ops = self.limits["txn_ops"]
        if len(changes) > ops or len(conditions) > 4 * ops:
            return 400, {"error": "too large"}
        for change in changes:
            if "Put" in change and len(json.dumps(change["V"], separators=(",", ":"))) > self.limits["value_kb"] * 1024:
                return 400, {"error": "value too large"}
        if changes and not self.writes.take(len(changes)):
            return 429, {"error": "writes"}
        for change in changes:
            if change.get("Permit") is not None and change["Permit"] not in self.leases:
                return 400, {"error": "no such lease"}
        failed = [c["K"] for c in conditions if (self.keys[c["K"]][1] if c["K"] in self.keys else 0) != c["Stamp"]]
        if failed:
            return 409, {"failed": failed, "Epoch": self.revision}
        if changes:
            self.revision += 1
            for change in changes:
                if "Put" in change:
                    self.keys[change["Put"]] = (change["V"], self.revision, change.get("Permit"))
                    self.note({"Put": change["Put"], "V": change["V"], "Stamp": self.revision})
                elif change["Delete"] in self.keys:
                    del self.keys[change["Delete"]]
                    self.note({"Delete": change["Delete"], "Stamp": self.revision})
            self.wake()
        return 200, {"Epoch": self.revision}

    async def follow(self, query):
        prefix, after = query.get("Prefix", ""), int(query["After"])
        until = now() + min(int(query.get("BlockMs", "0")), 60_000) / 1000.0
        while True:
            if after < self.dropped:
                return 410, {"error": "too old"}
            news = []
            for change in reversed(self.changes):
                if change["Stamp"] <= after:
                    break
                if (change.get("Put") or change.get("Delete")).startswith(prefix):
                    news.append(change)
            if news or now() >= until:
                return 200, {"Epoch": self.revision, "News": news[::-1]}
            try:
                await asyncio.wait_for(self.changed.wait(), until - now())
            except asyncio.TimeoutError:
                pass


class Worker:
    """A machine's worker: reports, executes commands and runs tasks, by sessions under a lease."""

    def __init__(self, cloud, machine):
        self.cloud, self.machine, self.world = cloud, machine, cloud.world
        self.shift, self.tick, self.baton = 1, 0, 0
        self.tasks = {}
        self.ended = False
        self.changed = asyncio.Event()
        self.lease_from = now()
        self.images = {}
        # When a report was last answered with 200.
        self.answered_at = 0.0

    async def start(self):
        self.server = await serve(self.handle, self.machine["held"])
        self.loop = asyncio.create_task(self.report())
        self.lease = asyncio.create_task(self.watch_lease())

    def stop(self):
        """The machine is gone, with all that is on it."""
        self.ended = True
        self.server.close()
        self.loop.cancel()
        self.lease.cancel()
        for key in list(self.tasks):
            self.leave(key, "machine gone")

    def report_body(self):
        self.tick += 1
        legs = []
        for (leg, attempt), task in self.tasks.items():
            item = {"Leg": leg, "Try": attempt, "Status": task["state"]}
            if task["state"] == "exited":
                item["Cause"] = task["cause"]
            legs.append(item)
        m = self.machine
        return {"Host": m["Uid"], "Addr": m["Addr"], "Rig": m["Rig"], "Yard": m["Yard"], "Loaner": m["Loaner"],
                "Shift": self.shift, "Tick": self.tick, "Baton": self.baton, "RecallS": None, "Legs": legs}

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.05)
            if now() - self.lease_from > self.world.workers["lease_s"]:
                for key in list(self.tasks):
                    self.leave(key, "lease ended")
                self.tasks.clear()
                self.images.clear()
                self.shift += 1
                self.tick = 0
                self.lease_from = now()
                self.world.record(f"worker {self.machine['Uid']}: lease ended, session {self.shift}")

    async def report(self):
        nodes = list(self.world.nodes)
        at = self.machine["number"] % len(nodes)
        connection = None
        token_told = now()
        while True:
            node = nodes[at]
            if connection is None:
                connection = Connection(node.front)
            body = self.report_body()
            shift, sent = self.shift, now()
            self.changed.clear()
            try:
                status, _, answer = await connection.call("POST", "/checkin", body, 4.0)
            except OSError:
                status, answer = 0, {}
            if status not in (200, 421):
                self.world.record(f"worker {self.machine['Uid']}: report of {connection.bytes_sent} bytes with "
                                  f"{len(body['Legs'])} tasks to {node.name} -> {status}")
            if status == 200:
                self.answered_at = now()
                if shift == self.shift and answer.get("Baton", -1) >= self.baton:
                    self.lease_from = max(self.lease_from, sent)
                    self.take_token(answer["Baton"], node.name)
                    self.execute(answer.get("Orders", []))
                wait = self.world.workers["report_s"]
                begin = now()
                try:
                    await asyncio.wait_for(self.changed.wait(), wait)
                except asyncio.TimeoutError:
                    pass
                await asyncio.sleep(max(0.0, 0.5 - (now() - begin)))
                continue
            connection.close()
            connection = None
            target = answer.get("ReportsTo") if status == 421 else None
            names = [n.name for n in nodes]
            if target in names and target != node.name:
                at = names.index(target)
                continue
            at = (at + 1) % len(nodes)
            await asyncio.sleep(1.0)

    def take_token(self, token, source):
        if token > self.baton:
            self.world.record(f"worker {self.machine['Uid']}: token {token} from {source}")
            self.baton = token

    async def handle(self, method, path, body):
        if path == "/show":
            return 200, self.report_body()
        value = json.loads(body)
        if value.get("Baton") is None or value.get("Shift") is None:
            return 400, {"error": "missing"}
        if value["Baton"] < self.baton or value["Shift"] != self.shift:
            return 409, self.report_body()
        self.take_token(value["Baton"], "a direct command")
        self.execute(value.get("Orders", []))
        return 200, self.report_body()

    def execute(self, orders):
        for order in orders:
            key = (order["Leg"], order["Try"])
            if order["Verb"] == "launch" and key not in self.tasks:
                self.launch(key)
            elif order["Verb"] == "kill" and key in self.tasks and self.tasks[key]["state"] != "exited":
                self.leave(key, "killed")
                self.finish(key, "halted")
            elif order["Verb"] == "reap" and self.tasks.get(key, {}).get("state") == "exited":
                del self.tasks[key]

    def launch(self, key):
        leg, attempt = key
        job = self.world.jobs.get(leg.rsplit("/", 1)[0])
        task = {"state": "pulling"}
        self.tasks[key] = task
        self.world.record(f"worker {self.machine['Uid']}: launch {leg} try {attempt}")
        if job is None:
            return self.finish(key, "no_such")
        if any(k[0] == leg and k != key and t["state"] != "exited" for k, t in self.tasks.items()):
            return self.finish(key, "in_use")
        live = [self.world.jobs[k[0].rsplit("/", 1)[0]] for k, t in self.tasks.items() if t["state"] != "exited"]
        flavor = self.machine["flavor"]
        if (sum(j["Cores"] for j in live) > flavor["Cores"] + 1e-6
                or sum(j["MemoryGb"] for j in live) > flavor["MemoryGb"] + 1e-6):
            return self.finish(key, "full")
        task["routine"] = asyncio.create_task(self.run(key, job))

    async def run(self, key, job):
        """Fetches the image, runs the task and reports its end. A gang's tasks wait for each other."""
        leg = key[0]
        fetch = self.images.setdefault(job["Bundle"], now() + job["ImageGb"] / self.machine["flavor"]["PullGbPerS"])
        await asyncio.sleep(max(0.0, fetch - now()))
        if job["Shape"] == "group" and job["Legs"] > 1:
            self.tasks[key]["state"] = "waiting"
            ready, begin = self.world.gangs.setdefault((job["Uid"], key[1]), (set(), asyncio.Event()))
            ready.add(leg)
            if len(ready) == job["Legs"]:
                begin.set()
            try:
                await asyncio.wait_for(begin.wait(), self.world.workers["gang_wait_s"])
            except asyncio.TimeoutError:
                ready.discard(leg)
                return self.finish(key, "incomplete")
        self.tasks[key]["state"] = "running"
        self.world.on_machine(leg, key[1], self.machine["Uid"])
        self.changed.set()
        if leg not in self.world.results:
            await asyncio.sleep(self.world.run_s(job))
        self.world.results.add(leg)
        self.leave(key, "completed", cancel=False)
        self.finish(key, "done")

    def finish(self, key, cause):
        self.tasks[key].update(state="exited", cause=cause)
        self.changed.set()

    def leave(self, key, why, cancel=True):
        """Ends a task that has not exited."""
        task = self.tasks[key]
        if task["state"] == "exited":
            return
        if cancel and "routine" in task:
            task["routine"].cancel()
        if task["state"] == "running":
            self.world.off_machine(key[0], key[1], self.machine["Uid"], why)


class Cloud:
    """The cloud: machine types, rentals, deletions and a machine list that lags."""

    def __init__(self, world, flavors, capacity):
        self.world, self.record = world, world.record
        self.flavors, self.capacity = flavors, dict(capacity)
        self.limits = world.settings["cloud"]
        self.calls = Bucket(self.limits["rps"], 2 * self.limits["rps"])
        self.machines = {}
        self.hires = {}
        self.last = 0
        # One address for each controller, so that the record shows who sent a request.
        self.held = {node.name: reserve() for node in world.nodes}
        self.ports = {name: port_of(held) for name, held in self.held.items()}
        # (seconds, node, path, body) of each request that changes something, as it arrives.
        self.requests = []

    async def start(self):
        self.servers = [await serve(functools.partial(self.handle, node), held) for node, held in self.held.items()]

    def flavor(self, name):
        return next(f for f in self.flavors if f["Name"] == name)

    async def handle(self, node, method, path, body):
        url = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(url.query))
        value = json.loads(body) if body else {}
        if method == "POST":
            self.requests.append((now(), node, url.path, value))
        if not self.calls.take():
            self.record(f"cloud: {method} {path} of {node} -> 429")
            return 429, {"error": "rate"}
        if url.path == "/flavors":
            return 200, {"Rigs": self.flavors}
        if method == "GET":
            lag = self.limits["list_lag_s"]
            seen = [m for m in self.machines.values() if m["born"] <= now() - lag and
                    (m["gone"] is None or m["gone"] > now() - lag) and m["number"] > self.number(query.get("After"))]
            limit = int(query.get("Limit", "500"))
            hosts = [{"Uid": m["Uid"], "Addr": m["Addr"], "Rig": m["Rig"], "Yard": m["Yard"], "Loaner": m["Loaner"],
                      "Status": "running" if m["up"] is not None and m["up"] <= now() - lag else "starting",
                      "HeldS": round(now() - lag - m["born"], 2)} for m in seen[:limit]]
            return 200, {"Hosts": hosts, "Truncated": len(seen) > limit}
        if url.path == "/hosts/delete":
            self.record(f"cloud: delete {value['Hosts']} by {node}")
            for name in value["Hosts"]:
                m = self.machines.get(name)
                if m and m["gone"] is None:
                    m["gone"] = now()
                    pool = (m["Rig"], m["Yard"], m["Loaner"])
                    self.capacity[pool] = self.capacity.get(pool, 0) + 1
                    if m["worker"]:
                        m["worker"].stop()
                    if m["boot"]:
                        m["boot"].cancel()
            return 200, {}
        name = value["Hire"]
        if name in self.hires:
            return 200, {"Hosts": self.hires[name]}
        pool = (value["Rig"], value["Yard"], value["Loaner"])
        count = min(value["Count"], self.capacity.get(pool, 0), 50)
        if count == 0:
            self.record(f"cloud: rent {name} by {node} {value['Count']} of {pool} -> no capacity")
            return 503, {"error": "no capacity"}
        self.capacity[pool] -= count
        names = [self.add(*pool) for _ in range(count)]
        self.hires[name] = names
        self.record(f"cloud: rent {name} by {node} {value['Count']} of {pool} -> {count}: {names}")
        return 200, {"Hosts": names}

    @staticmethod
    def number(name):
        return int(name.split("-")[1]) if name else 0

    def add(self, rig, yard, loaner, boot_s=None, held_s=0.0):
        """Adds a machine that was rented `held_s` seconds ago and boots; returns its name."""
        self.last += 1
        # Nobody listens there before the machine is up.
        name, held = f"i-{self.last:06}", reserve()
        flavor = self.flavor(rig)
        machine = {"Uid": name, "Addr": f"127.0.0.1:{port_of(held)}", "Rig": rig, "Yard": yard, "Loaner": loaner, "held": held,
                   "number": self.last, "flavor": flavor, "born": now() - held_s, "up": None, "gone": None, "worker": None}
        self.machines[name] = machine
        machine["boot"] = asyncio.create_task(self.boot(machine, flavor["ReadyS"] if boot_s is None else boot_s))
        return name

    async def boot(self, machine, boot_s):
        await asyncio.sleep(boot_s)
        machine["worker"] = Worker(self, machine)
        await machine["worker"].start()
        machine["up"] = min(now(), machine["born"] + machine["flavor"]["ReadyS"] + boot_s)
        self.record(f"cloud: {machine['Uid']} is up")


class Node:
    """A controller process."""

    def __init__(self, name, zone):
        self.name, self.zone = name, zone
        self.held = [reserve(), reserve()]
        self.front, self.cluster = (f"127.0.0.1:{port_of(held)}" for held in self.held)
        self.process = None


class World:
    """A deployment: settings, stand-ins, controllers, and what the rules are checked by."""

    def __init__(self, folder, settings, flavors, capacity, nodes):
        self.folder = folder
        self.record = Record(os.path.join(folder, "record.txt"))
        self.settings = settings
        self.workers = settings["workers"]
        self.nodes = [Node(name, zone) for name, zone in nodes]
        self.state = StateService(self.record, settings["state"])
        self.cloud = Cloud(self, flavors, capacity)
        self.temporary = tempfile.TemporaryDirectory()
        self.jobs = {}
        self.results = set()
        # For each gang and attempt: its tasks that have their image, and the event that starts them together.
        self.gangs = {}
        self.running = {}
        self.starts = []
        # (seconds, task, machine, reason) of each task that left a machine.
        self.ends = []
        self.broken = []
        self.run_s = lambda job: job["ExpectedS"]

    def fail(self, text):
        self.broken.append(text)
        self.record(f"BROKEN {text}")

    def on_machine(self, leg, attempt, machine):
        """A task is on its machine from the moment it has its image."""
        self.record(f"run: {leg} try {attempt} starts on {machine}")
        self.starts.append((now(), leg, machine))
        others = self.running.setdefault(leg, set())
        if others:
            self.fail(f"ran_twice: {leg} starts on {machine} while it is on {sorted(others)}")
        others.add(machine)

    def off_machine(self, leg, attempt, machine, why):
        self.record(f"run: {leg} try {attempt} off {machine}: {why}")
        self.ends.append((now(), leg, machine, why))
        self.running.get(leg, set()).discard(machine)

    def settings_file(self, node):
        """Writes a node's settings; returns the path."""
        s = self.settings
        lines = [f'host_name = "{node.name}"', f'domain = "{node.zone}"', f'front = "{node.front}"',
                 f'cluster_listen = "{node.cluster}"']
        for other in self.nodes:
            if other is not node:
                lines += ["[[known]]", f'host_name = "{other.name}"', f'domain = "{other.zone}"',
                          f'endpoint = "{other.cluster}"']
        lines += ["[services]", f'cloud = "127.0.0.1:{self.cloud.ports[node.name]}"', f'state = "127.0.0.1:{self.state.port}"',
                  "[deployment]", f"count = {len(self.nodes)}", f"zones = {json.dumps(s['zones'])}",
                  "skew_ms = 250.0"]
        for table in ("teams", "objectives"):
            for item in s[table]:
                lines.append(f"[[deployment.{table}]]")
                lines += [f"{k} = {json.dumps(v)}" for k, v in item.items()]
        for table in ("workers", "state", "cloud", "limits"):
            lines.append(f"[deployment.{table}]")
            lines += [f"{k} = {json.dumps(v)}" for k, v in s[table].items()]
        path = os.path.join(self.temporary.name, f"{node.name}.toml")
        with open(path, "w") as file:
            file.write("\n".join(lines) + "\n")
        return path

    def start_node(self, node):
        """Starts a controller with the command of the deploy file."""
        with open(os.path.join(ROOT, "deploy", "service.toml"), "rb") as file:
            command = shlex.split(tomllib.load(file)["run"])
        command[0] = os.path.join(ROOT, command[0])
        if not os.path.exists(command[0]):
            raise CannotRun(f"{command[0]} is not built")
        while node.held:
            node.held.pop().close()
        log = open(os.path.join(self.temporary.name, f"{node.name}.log"), "ab")
        environment = dict(os.environ, LOG_LEVEL=os.environ.get("LOG_LEVEL", "info"))
        node.process = subprocess.Popen(command + [self.settings_file(node)], stderr=log, stdout=log, env=environment)
        self.record(f"node {node.name}: started")

    def signal(self, node, number):
        self.record(f"node {node.name}: {signal.Signals(number).name}")
        node.process.send_signal(number)

    def leader(self):
        """The node that the leader key names; None without a leader."""
        entry = self.state.keys.get("capervale/main/leader")
        return next((n for n in self.nodes if entry and n.name == entry[0]["host"]), None)

    async def start(self):
        await self.state.start()
        await self.cloud.start()
        for node in self.nodes:
            self.start_node(node)

    def log(self, node):
        """What a controller has logged so far."""
        with open(os.path.join(self.temporary.name, f"{node.name}.log"), errors="replace") as file:
            return file.read()

    async def until(self, condition, timeout, what):
        """Waits for a condition of the preparation; the case can't run without it."""
        deadline = now() + timeout
        while not condition():
            if now() > deadline:
                raise CannotRun(f"not reached within {timeout} s: {what}")
            await asyncio.sleep(0.02)

    async def until_ready(self, nodes=None, timeout=20.0):
        for node in nodes or self.nodes:
            deadline = now() + timeout
            while True:
                try:
                    status, _, _ = await Connection(node.front).call("GET", "/ready", None, 1.0)
                except OSError:
                    status = 0
                if status == 200:
                    break
                if now() > deadline:
                    raise CannotRun(f"{node.name} is not ready")
                await asyncio.sleep(0.2)

    async def submit(self, job, first=0, limit_s=60.0):
        """Submits a job as a user does: retries for up to 60 s in total, at another node each time. True if accepted."""
        self.jobs[job["Uid"]] = job
        begin, at = now(), first
        while True:
            node = self.nodes[at % len(self.nodes)]
            connection = Connection(node.front)
            wait = 1.0
            try:
                status, headers, answer = await connection.call("POST", "/v1/jobs", job, 5.0)
                wait = max(1.0, min(30.0, float(headers.get("retry-after", "1"))))
            except OSError:
                status, answer = 0, {}
            connection.close()
            self.record(f"user: submit {job['Uid']} at {node.name} -> {status} {json.dumps(answer)}")
            if status in (200, 201):
                return True
            if status in (400, 422) or now() - begin + wait > limit_s:
                return False
            await asyncio.sleep(wait)
            at += 1

    async def withdraw(self, uid, at=0):
        """Cancels a job as a user does, until the answer is 200; returns its state."""
        while True:
            node = self.nodes[at % len(self.nodes)]
            connection = Connection(node.front)
            try:
                status, _, answer = await connection.call("POST", f"/v1/jobs/{uid}/withdraw", {}, 5.0)
            except OSError:
                status, answer = 0, {}
            connection.close()
            self.record(f"user: withdraw {uid} at {node.name} -> {status} {json.dumps(answer)}")
            if status == 200:
                return answer["Status"]
            await asyncio.sleep(1.0)
            at += 1

    async def poll(self, uid, at=0, timeout=2.0):
        """Asks for a job's state; returns the status code and the answer."""
        node = self.nodes[at % len(self.nodes)]
        connection = Connection(node.front)
        try:
            status, _, answer = await connection.call("GET", f"/v1/jobs/{uid}", None, timeout)
        except OSError:
            status, answer = 0, {}
        connection.close()
        self.record(f"user: poll {uid} at {node.name} -> {status} {json.dumps(answer)}")
        return status, answer

    def end(self):
        """Ends the controllers, and adds their logs to the record."""
        for node in self.nodes:
            if node.process:
                for number in (signal.SIGCONT, signal.SIGKILL):
                    try:
                        node.process.send_signal(number)
                    except ProcessLookupError:
                        pass
                node.process.wait()
        for node in self.nodes:
            path = os.path.join(self.temporary.name, f"{node.name}.log")
            if os.path.exists(path):
                with open(path, errors="replace") as file:
                    for line in file.read().splitlines()[-80:]:
                        self.record.file.write(f"log {node.name}: {line}\n")
        self.temporary.cleanup()


def job(uid, **fields):
    """A submission."""
    base = {"Uid": uid, "Jobclass": "ride-rollup", "Crew": "fleet-ops", "Shape": "batch", "Urgency": "normal",
            "Legs": 4, "Cores": 2.0, "Gpus": 0.0, "MemoryGb": 2.8, "Bundle": "img-01", "ImageGb": 0.7, "Rigs": None,
            "Yard": None, "Together": False, "Apart": False, "Loaner": True, "ExpectedS": 25.0, "WaypointS": 0.0,
            "StashS": 0.0, "DueS": None}
    return base | fields


# The figures of the brief for Ermis, and machine types with its figures.
ERMIS = {
    "zones": ["attiki", "makedonia"],
    "teams": [{"name": "fleet-ops", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}],
    "objectives": [
        {"kind": "wait", "class": "route-solve", "within_s": 90.0, "share": 0.8},
        {"kind": "finished", "class": "route-solve", "within_s": 200.0, "share": 0.8},
        {"kind": "finished", "class": "ride-rollup", "within_s": 100.0, "share": 0.95},
        {"kind": "finished", "class": "ride-rollup", "within_s": 180.0, "share": 0.98}],
    "workers": {"report_s": 3.0, "lease_s": 17.0, "gang_wait_s": 50.0, "gang_peer_s": 8.0, "cancel_s": 47.0},
    "state": {"rps": 150.0, "write_rps": 20.0, "value_kb": 8.0, "txn_ops": 16},
    "cloud": {"rps": 2.0, "list_lag_s": 8.0},
    "limits": {"cores": 0.12, "ram_mb": 72.0, "max_sockets": 1200},
}
ERMIS_NODES = [("stall-0", "attiki"), ("stall-1", "makedonia"), ("stall-2", "attiki")]


def flavor(name, cpus, memory, price, spot, boot, pull, yards):
    return {"Name": name, "Cores": cpus, "Gpus": 0, "MemoryGb": memory, "CacheGb": 60.0, "PullGbPerS": pull,
            "Rate": price, "SpotPrice": spot, "ReadyS": boot, "Yards": yards}


def ermis_flavors():
    zones = ERMIS["zones"]
    return [flavor("kelyfos", 16.0, 32.0, 0.88, 0.19, 30.0, 0.2, zones),
            flavor("plaisio", 32.0, 128.0, 1.76, 0.38, 30.0, 0.8, ["attiki"]),
            flavor("sasi", 64.0, 512.0, 4.26, 1.06, 25.0, 0.8, ["makedonia"])]


ERMIS_CAPACITY = {
    ("kelyfos", "attiki", False): 4, ("kelyfos", "attiki", True): 2, ("kelyfos", "makedonia", False): 5,
    ("kelyfos", "makedonia", True): 3, ("plaisio", "attiki", False): 9, ("plaisio", "attiki", True): 6,
    ("sasi", "makedonia", False): 2, ("sasi", "makedonia", True): 1}

# The figures of the brief for Hinokuni, with two of its twelve teams.
HINOKUNI = {
    "zones": ["fukuoka", "kumamoto", "nagasaki"],
    "teams": [{"name": f"bangumi-ops-{n}", "cpus": 45.0, "cpus_max": 135.0, "gpus": 0.0, "gpus_max": 0.0}
              for n in (1, 2)],
    "objectives": [
        {"kind": "wait", "class": "master-encode", "within_s": 10.0, "share": 0.85},
        {"kind": "finished", "class": "master-encode", "within_s": 300.0, "share": 0.88},
        {"kind": "finished", "class": "clip-cut", "within_s": 80.0, "share": 0.88},
        {"kind": "guarantee", "within_s": 15.0, "share": 0.92}],
    "workers": {"report_s": 3.0, "lease_s": 44.0, "gang_wait_s": 50.0, "gang_peer_s": 8.0, "cancel_s": 74.0},
    "state": {"rps": 250.0, "write_rps": 60.0, "value_kb": 16.0, "txn_ops": 16},
    "cloud": {"rps": 10.0, "list_lag_s": 3.0},
    "limits": {"cores": 0.064, "ram_mb": 200.0, "max_sockets": 4000},
}
HINOKUNI_NODES = [("fuji-0", "fukuoka"), ("fuji-1", "kumamoto"), ("fuji-2", "nagasaki")]


def hinokuni_flavors():
    return [flavor("hako", 16.0, 64.0, 0.64, 0.21, 50.0, 0.5, HINOKUNI["zones"])]


def main(folder, prepare, case):
    """Runs a case: `case(world, trouble)` calls `world.fail` for a broken rule. Exits with 0, 1 or 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    world = prepare(folder)

    def ended(number, frame):
        raise SystemExit(2)

    # The controllers are ended too if the script is told to end.
    signal.signal(signal.SIGTERM, ended)

    async def run():
        await world.start()
        await case(world, trouble)

    try:
        asyncio.run(asyncio.wait_for(run(), 115.0))
        code = 1 if world.broken else 0
    except (CannotRun, asyncio.TimeoutError) as error:
        world.record(f"cannot run: {error!r}")
        code = 2
    except Exception as error:  # A fault of the script is no result.
        world.record(f"cannot run: {error!r}")
        code = 2
    finally:
        world.end()
        sys.stdout.flush()
    world.record(f"exit {code}")
    print({0: "held", 1: "broken: " + "; ".join(world.broken[:3]), 2: "could not run"}[code])
    sys.exit(code)
