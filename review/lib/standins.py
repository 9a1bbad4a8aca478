"""Stand-ins for the cases of this review: a state service, a cloud with machines and their workers, users, and a
starter of controller processes. All of them follow the protocol page, listen on loopback addresses and need nothing but
the Python standard library. One asyncio loop runs them all, so their records have one order and one clock."""

import asyncio
import bisect
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

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.realpath(__file__)), "..", ".."))


class Record:
    """record.txt: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.started_at = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def now(self):
        return time.monotonic() - self.started_at

    def line(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        self.line(text)
        print(f"{self.now():8.3f} {text}", flush=True)


# ---------------------------------------------------------------------------------------------------------------- HTTP


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def serve_http(handler, host="127.0.0.1", port=0):
    """Serves `handler(method, path, body) -> (status, object)`; returns the server and its address."""

    async def connection(reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                method, path = line.split(" ")[:2]
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                status, answer = await handler(method, path, body)
                if status is None:
                    # No answer at all: the connection stays open and silent.
                    await asyncio.sleep(3600)
                text = json.dumps(answer, separators=(",", ":")).encode()
                writer.write(
                    f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n".encode()
                    + text
                )
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    return
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connection, host, port, limit=1 << 20, backlog=1024)
    return server, server.sockets[0].getsockname()


async def call(address, method, path, body=None, timeout=5.0):
    """One request over a new connection; returns (status, object), or (None, reason) without an answer in time."""

    async def exchange():
        reader, writer = await asyncio.open_connection(*address, limit=1 << 20)
        try:
            text = b"" if body is None else json.dumps(body, separators=(",", ":")).encode()
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: {address[0]}\r\nContent-Length: {len(text)}\r\nConnection: close\r\n\r\n".encode()
                + text
            )
            await writer.drain()
            line, headers = await read_head(reader)
            answer = await reader.readexactly(int(headers.get("content-length", "0")))
            return int(line.split(" ")[1]), json.loads(answer or b"null")
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError, ValueError) as error:
        return None, type(error).__name__


class Bucket:
    """A rate limit with a burst."""

    def __init__(self, rate, burst):
        self.rate, self.burst, self.tokens, self.at = rate, burst, burst, time.monotonic()

    def take(self, count):
        now = time.monotonic()
        self.tokens = min(self.burst, self.tokens + (now - self.at) * self.rate)
        self.at = now
        if self.tokens < count:
            return False
        self.tokens -= count
        return True


def query_of(path):
    name, _, text = path.partition("?")
    return name, dict(part.partition("=")[::2] for part in text.split("&") if part)


# ------------------------------------------------------------------------------------------------------- state service


class StateService:
    """The state service. Each controller is given an address of its own, so the record tells who asked."""

    def __init__(self, record, limits, usual_s=0.003, list_s=0.003):
        self.record, self.limits = record, limits
        self.usual_s, self.list_s = usual_s, list_s
        self.epoch = 0
        self.keys = {}  # key -> (value, stamp, permit)
        self.sorted_keys = []
        self.leases = {}  # id -> [life_s, ends_at, who]
        self.next_lease = 1
        self.news = []  # (stamp, event)
        self.changed = asyncio.Event()
        self.requests = Bucket(limits["rps"], limits["rps"])
        self.writes = Bucket(limits["write_rps"], limits["write_rps"])
        self.refused = 0
        self.on_list = None  # called with (who, after, truncated) when a page has been read
        self.on_change = None  # called with (who, event)

    async def start(self, who):
        return (await serve_http(lambda method, path, body: self.handle(who, method, path, body)))[1]

    async def run_leases(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [i for i, (_, ends_at, _) in self.leases.items() if ends_at <= now]:
                self.record.line(f"state: lease {lease} of {self.leases[lease][2]} expired")
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        attached = [key for key, (_, _, permit) in self.keys.items() if permit == lease]
        if attached:
            self.epoch += 1
            for key in attached:
                self.change("state", {"Delete": key, "Stamp": self.epoch})
            self.signal()

    def change(self, who, event, permit=None):
        if "Put" in event:
            if event["Put"] not in self.keys:
                bisect.insort(self.sorted_keys, event["Put"])
            self.keys[event["Put"]] = (event["V"], event["Stamp"], permit)
        elif event["Delete"] in self.keys:
            del self.keys[event["Delete"]]
            del self.sorted_keys[bisect.bisect_left(self.sorted_keys, event["Delete"])]
        else:
            return
        self.news.append((event["Stamp"], event))
        if self.on_change:
            self.on_change(who, event)

    def signal(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, who, method, path, body):
        if not self.requests.take(1):
            self.refused += 1
            return 429, {"error": "too many requests"}
        name, query = query_of(path)
        if name == "/follow":
            return await self.follow(query)
        if name == "/keys":
            answer = self.list(who, query)
            await asyncio.sleep(self.list_s)
            return 200, answer
        await asyncio.sleep(self.usual_s / 2)
        answer = self.execute(who, method, name, body)
        await asyncio.sleep(self.usual_s / 2)
        return answer

    def execute(self, who, method, name, body):
        if name.startswith("/keys/"):
            key = name[len("/keys/"):]
            if key not in self.keys:
                return 404, {"Epoch": self.epoch}
            value, stamp, permit = self.keys[key]
            return 200, {"K": key, "V": value, "Stamp": stamp, "Permit": permit}
        if name == "/txn":
            return self.transaction(who, body)
        if name == "/leases":
            life_s = json.loads(body)["LifeMs"] / 1000
            lease = self.next_lease
            self.next_lease += 1
            self.leases[lease] = [life_s, time.monotonic() + life_s + 0.05, who]
            return 200, {"Permit": lease}
        if name.startswith("/leases/"):
            lease = int(name.split("/")[2])
            if method == "DELETE":
                known = lease in self.leases
                self.end_lease(lease)
                return (200 if known else 404), {}
            if lease not in self.leases:
                return 404, {}
            life_s = self.leases[lease][0]
            self.leases[lease][1] = time.monotonic() + life_s + 0.05
            return 200, {}
        return 400, {"error": "no such path"}

    def transaction(self, who, body):
        txn = json.loads(body)
        conditions, changes = txn.get("If") or [], txn.get("Then") or []
        if len(changes) > self.limits["txn_ops"] or len(conditions) > 4 * self.limits["txn_ops"] or len(body) > 65536:
            return 400, {"error": "transaction too large"}
        for change in changes:
            if "Put" in change and len(json.dumps(change["V"], separators=(",", ":"))) > self.limits["value_kb"] * 1024:
                return 400, {"error": "value too large"}
        if changes and not self.writes.take(len(changes)):
            self.refused += 1
            return 429, {"error": "too many writes"}
        for change in changes:
            if change.get("Permit") and change["Permit"] not in self.leases:
                return 400, {"error": "no such lease"}
        failed = [c["K"] for c in conditions if self.keys.get(c["K"], (0, 0, 0))[1] != c["Stamp"]]
        if failed:
            return 409, {"failed": failed, "Epoch": self.epoch}
        if changes:
            self.epoch += 1
            for change in changes:
                if "Put" in change:
                    event = {"Put": change["Put"], "V": change["V"], "Stamp": self.epoch}
                    self.change(who, event, change.get("Permit"))
                else:
                    self.change(who, {"Delete": change["Delete"], "Stamp": self.epoch})
            self.signal()
        return 200, {"Epoch": self.epoch}

    def list(self, who, query):
        prefix, after = query.get("Prefix", ""), query.get("After", "")
        limit = min(int(query.get("Limit", 1000)), 1000)
        pairs, size, truncated = [], 0, False
        for key in self.sorted_keys[bisect.bisect_right(self.sorted_keys, after) if after else 0:]:
            if not key.startswith(prefix):
                continue
            value, stamp, _ = self.keys[key]
            pair = {"K": key, "V": value, "Stamp": stamp}
            size += len(json.dumps(pair, separators=(",", ":"))) + 1
            if len(pairs) == limit or (size > 512 * 1024 - 64 and pairs):
                truncated = True
                break
            pairs.append(pair)
        if self.on_list:
            self.on_list(who, after, pairs, truncated)
        return {"Pairs": pairs, "Truncated": truncated, "Epoch": self.epoch}

    async def follow(self, query):
        prefix, after = query.get("Prefix", ""), int(query.get("After", 0))
        ends_at = time.monotonic() + int(query.get("BlockMs", 0)) / 1000
        while True:
            if len(self.news) > 10000 and after < self.news[-10000][0] - 1:
                return 410, {"error": "too old"}
            first = bisect.bisect_right(self.news, after, key=lambda item: item[0])
            events = [event for _, event in self.news[first:] if (event.get("Put") or event.get("Delete")).startswith(prefix)]
            left = ends_at - time.monotonic()
            if events or left <= 0:
                answer = {"Epoch": self.epoch, "News": events}
                await asyncio.sleep(self.usual_s / 2)
                return 200, answer
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


# --------------------------------------------------------------------------------------------------- cloud and workers


class Cloud:
    """The cloud. A machine that is up runs a worker."""

    def __init__(self, record, flavors, settings, capacity, run_s, latency_s=0.2):
        self.record, self.flavors, self.settings = record, flavors, settings
        self.capacity = dict(capacity)  # (rig, yard, loaner) -> machines left
        self.run_s, self.latency_s = run_s, latency_s
        self.requests = Bucket(settings["cloud"]["rps"], 2 * settings["cloud"]["rps"])
        self.machines = {}  # uid -> Worker
        self.hires = {}  # name of the request -> uids
        self.next_machine = 1
        self.jobs = {}  # uid -> submission, which users upload for the workers
        self.fronts = []  # addresses of the controllers, for the workers
        self.names = []  # names of the controllers
        self.calls = []  # (time, who, path, body, status)
        self.on_answer = None
        self.fails = lambda job: False  # whether the tasks of a job end with `error` on every machine
        self.on_delete = None  # called with (uid, names of the tasks that run) for a machine that is deleted
        self.starts = []  # (time, task, attempt, machine)

    async def start(self, who):
        return (await serve_http(lambda method, path, body: self.handle(who, method, path, body)))[1]

    async def handle(self, who, method, path, body):
        if not self.requests.take(1):
            return 429, {"error": "too many requests"}
        arrived_at = self.record.now()
        await asyncio.sleep(self.latency_s / 2)
        name, query = query_of(path)
        status, answer = self.execute(method, name, query, body)
        if method == "POST":
            text = body.decode()
            self.calls.append((arrived_at, who, name, json.loads(text), status))
            self.record.line(f"cloud: {who} sent at {arrived_at:.3f} POST {name} {text} -> {status} {json.dumps(answer)}")
        await asyncio.sleep(self.latency_s / 2)
        if self.on_answer and method == "POST":
            self.on_answer(who, name, json.loads(body), status)
        return status, answer

    def execute(self, method, name, query, body):
        if (method, name) == ("GET", "/flavors"):
            return 200, {"Rigs": self.flavors}
        if (method, name) == ("GET", "/hosts"):
            return 200, self.list(query)
        if (method, name) == ("POST", "/hosts"):
            return self.rent(json.loads(body))
        if (method, name) == ("POST", "/hosts/delete"):
            for uid in json.loads(body)["Hosts"]:
                worker = self.machines.get(uid)
                if worker and not worker.gone_at:
                    running = [task for (task, _), t in worker.tasks.items() if t["Status"] == "running"]
                    if running and self.on_delete:
                        self.on_delete(uid, running)
                    worker.remove()
                    pool = (worker.rig["Name"], worker.yard, worker.loaner)
                    self.capacity[pool] = self.capacity.get(pool, 0) + 1
            return 200, {}
        return 400, {"error": "malformed"}

    def rent(self, request):
        if request["Hire"] in self.hires:
            return 200, {"Hosts": self.hires[request["Hire"]]}
        rig = next((r for r in self.flavors if r["Name"] == request["Rig"]), None)
        if rig is None or request["Yard"] not in rig["Yards"] or not 1 <= request["Count"] <= 50:
            return 400, {"error": "malformed"}
        pool = (request["Rig"], request["Yard"], request["Loaner"])
        count = min(request["Count"], self.capacity.get(pool, 0))
        if count == 0:
            return 503, {"error": "no capacity"}
        self.capacity[pool] -= count
        uids = []
        for _ in range(count):
            uid = f"i-{self.next_machine:06}"
            self.next_machine += 1
            self.machines[uid] = Worker(self, uid, rig, request["Yard"], request["Loaner"])
            uids.append(uid)
        self.hires[request["Hire"]] = uids
        return 200, {"Hosts": uids}

    def list(self, query):
        """The list as it was `list_lag_s` ago."""
        now, lag_s = time.monotonic(), self.settings["cloud"]["list_lag_s"]
        hosts = []
        for uid, worker in self.machines.items():
            if uid <= query.get("After", "") or worker.rented_at > now - lag_s:
                continue
            if worker.gone_at and worker.gone_at <= now - lag_s:
                continue
            up = worker.up_at is not None and worker.up_at <= now - lag_s
            hosts.append({
                "Uid": uid, "Addr": worker.addr_text(), "Rig": worker.rig["Name"], "Yard": worker.yard,
                "Loaner": worker.loaner, "Status": "running" if up else "starting",
                "HeldS": round(now - lag_s - worker.rented_at, 3),
            })
        limit = min(int(query.get("Limit", 500)), 500)
        return {"Hosts": hosts[:limit], "Truncated": len(hosts) > limit}


class Worker:
    """A machine and its worker. It runs arrays; a task runs for the time that the case gives it."""

    def __init__(self, cloud, uid, rig, yard, loaner):
        self.cloud, self.uid, self.rig, self.yard, self.loaner = cloud, uid, rig, yard, loaner
        self.rented_at, self.up_at, self.gone_at = time.monotonic(), None, None
        self.address = None
        self.shift, self.tick, self.baton = 1, 0, 0
        self.tasks = {}  # (task, attempt) -> dict
        self.images = set()
        self.lease_from = None
        self.target = 0
        self.changed = asyncio.Event()
        self.routines = [asyncio.create_task(self.live())]
        self.server = None

    def addr_text(self):
        return f"{self.address[0]}:{self.address[1]}" if self.address else "127.0.0.1:9"

    def remove(self):
        self.gone_at = time.monotonic()
        for routine in self.routines:
            routine.cancel()
        if self.server:
            self.server.close()
        live = [f"{task}.{attempt}" for (task, attempt), t in self.tasks.items() if t["Status"] != "exited"]
        self.cloud.record.line(f"worker {self.uid}: the machine is gone, with tasks {live}")
        self.tasks.clear()

    async def live(self):
        await asyncio.sleep(self.rig["ReadyS"] * random.uniform(0.8, 1.2))
        self.server, self.address = await serve_http(self.direct)
        self.up_at = self.lease_from = time.monotonic()
        self.cloud.record.line(f"worker {self.uid}: up at {self.addr_text()}, {self.rig['Name']} in {self.yard}")
        self.routines.append(asyncio.create_task(self.run_tasks()))
        self.target = random.randrange(len(self.cloud.fronts))
        report_s = self.cloud.settings["workers"]["report_s"]
        while True:
            pause_s = await self.report()
            if pause_s is None:
                await asyncio.sleep(0.5)
                try:
                    await asyncio.wait_for(self.changed.wait(), report_s * random.uniform(0.75, 1.25) - 0.5)
                except asyncio.TimeoutError:
                    pass
            else:
                await asyncio.sleep(pause_s)

    def message(self):
        self.tick += 1
        legs = []
        for (task, attempt), t in self.tasks.items():
            leg = {"Leg": task, "Try": attempt, "Status": t["Status"]}
            if t["Status"] == "exited":
                leg["Cause"] = t["Cause"]
            legs.append(leg)
        return {
            "Host": self.uid, "Addr": self.addr_text(), "Rig": self.rig["Name"], "Yard": self.yard, "Loaner": self.loaner,
            "Shift": self.shift, "Tick": self.tick, "Baton": self.baton, "RecallS": None, "Legs": legs,
        }

    async def report(self):
        """Sends a report; returns seconds to the next one, or None for the usual interval."""
        self.changed.clear()
        shift, sent_at = self.shift, time.monotonic()
        status, answer = await call(self.cloud.fronts[self.target], "POST", "/checkin", self.message(), 4.0)
        if status == 200:
            if shift == self.shift and (answer.get("Baton") or 0) >= self.baton and answer.get("Baton"):
                self.see(answer["Baton"])
                self.lease_from = max(self.lease_from, sent_at)
                self.execute(answer["Orders"])
            return None
        if status == 421 and isinstance(answer, dict) and answer.get("ReportsTo") in self.cloud.names:
            next_target = self.cloud.names.index(answer["ReportsTo"])
            if next_target != self.target:
                self.target = next_target
                return random.uniform(0.0, 0.5)
        self.target = (self.target + 1) % len(self.cloud.fronts)
        return 1.0

    def see(self, baton):
        if baton > self.baton:
            self.baton = baton
            self.changed.set()

    async def direct(self, method, path, body):
        if path == "/show":
            return 200, self.message()
        request = json.loads(body)
        if "Baton" not in request or "Shift" not in request:
            return 400, {"error": "malformed"}
        if request["Baton"] < self.baton or request["Shift"] != self.shift:
            return 409, self.message()
        self.see(request["Baton"])
        self.execute(request["Orders"])
        return 200, self.message()

    def execute(self, orders):
        for order in orders:
            key = (order["Leg"], order["Try"])
            if order["Verb"] == "launch":
                self.launch(*key)
            elif order["Verb"] == "kill" and key in self.tasks and self.tasks[key]["Status"] != "exited":
                self.exit(key, "halted")
            elif order["Verb"] == "reap" and key in self.tasks and self.tasks[key]["Status"] == "exited":
                del self.tasks[key]

    def launch(self, task, attempt):
        if (task, attempt) in self.tasks:
            return
        job = self.cloud.jobs.get(task.split("/")[0])
        t = self.tasks[task, attempt] = {"Status": "pulling", "Cause": None, "since": time.monotonic(), "job": job}
        self.changed.set()
        self.cloud.record.line(f"worker {self.uid}: launch {task}.{attempt}")
        live = [o for o in self.tasks.values() if o is not t and o["Status"] != "exited"]
        if job is None or int(task.split("/")[1]) >= job["Legs"]:
            self.exit((task, attempt), "no_such")
        elif any(name == task and number != attempt and o["Status"] != "exited" for (name, number), o in self.tasks.items()):
            self.exit((task, attempt), "in_use")
        elif sum(o["job"]["Cores"] for o in live) + job["Cores"] > self.rig["Cores"] + 1e-6:
            self.exit((task, attempt), "full")

    def exit(self, key, cause):
        self.tasks[key]["Status"], self.tasks[key]["Cause"] = "exited", cause
        self.cloud.record.line(f"worker {self.uid}: {key[0]}.{key[1]} exited, {cause}")
        self.changed.set()

    async def run_tasks(self):
        lease_s = self.cloud.settings["workers"]["lease_s"]
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            if now - self.lease_from > lease_s:
                self.cloud.record.line(f"worker {self.uid}: lease of session {self.shift} is over")
                self.shift, self.tick, self.lease_from = self.shift + 1, 0, now
                self.tasks.clear()
                self.changed.set()
                continue
            for key, t in list(self.tasks.items()):
                if t["Status"] == "pulling" and now - t["since"] >= t["job"]["ImageGb"] / self.rig["PullGbPerS"]:
                    t["Status"], t["since"] = "running", now
                    self.cloud.starts.append((self.cloud.record.now(), key[0], key[1], self.uid))
                    self.cloud.record.line(f"worker {self.uid}: {key[0]}.{key[1]} runs")
                    self.changed.set()
                elif t["Status"] == "running" and now - t["since"] >= self.cloud.run_s(t["job"]):
                    self.exit(key, "error" if self.cloud.fails(t["job"]) else "done")


# --------------------------------------------------------------------------------------------------------- controllers


class Controllers:
    """Starts, kills, stops and continues the controllers, with the command of the deploy file."""

    def __init__(self, record, deployment, zones):
        self.record, self.deployment, self.zones = record, deployment, zones
        with open(os.path.join(ROOT, "deploy", "service.toml"), "rb") as file:
            run = tomllib.load(file)["run"].split()
        self.command = [os.path.join(ROOT, run[0])] + run[1:]
        if not os.access(self.command[0], os.X_OK):
            raise RuntimeError(f"{run[0]} is not built")
        self.folder = tempfile.mkdtemp(prefix="capervale-review-")
        count = deployment["count"]
        self.names = [f"stall-{i}" for i in range(count)]
        self.fronts = [free_address(2 * i + 1) for i in range(count)]
        self.peers = [free_address(2 * i + 2) for i in range(count)]
        self.processes = [None] * count
        self.logs = [os.path.join(self.folder, f"{name}.log") for name in self.names]

    def write_settings(self, state, cloud):
        """`state` and `cloud`: the addresses of these services, one for each controller."""
        for i, name in enumerate(self.names):
            settings = {
                "host_name": name, "domain": self.zones[i],
                "front": "%s:%d" % self.fronts[i], "cluster_listen": "%s:%d" % self.peers[i],
                "known": [
                    {"host_name": self.names[j], "domain": self.zones[j], "endpoint": "%s:%d" % self.peers[j]}
                    for j in range(len(self.names)) if j != i
                ],
                "services": {"cloud": "%s:%d" % cloud[i], "state": "%s:%d" % state[i]},
                "deployment": self.deployment,
            }
            with open(self.settings_path(i), "w") as file:
                file.write(to_toml(settings))

    def settings_path(self, i):
        return os.path.join(self.folder, f"{self.names[i]}.toml")

    def start(self, i):
        log = open(self.logs[i], "a")
        environment = dict(os.environ, LOG_LEVEL=os.environ.get("LOG_LEVEL", "info"))
        self.processes[i] = subprocess.Popen(
            self.command + [self.settings_path(i)], stdin=subprocess.DEVNULL, stdout=log, stderr=log, env=environment
        )
        self.record.say(f"{self.names[i]} started, process {self.processes[i].pid}")

    def kill(self, i):
        process = self.processes[i]
        if process and process.poll() is None:
            process.send_signal(signal.SIGKILL)
            process.wait()
            self.record.say(f"{self.names[i]} killed")
        self.processes[i] = None

    def stop(self, i):
        self.processes[i].send_signal(signal.SIGSTOP)
        self.record.say(f"{self.names[i]} stopped (SIGSTOP)")

    def go_on(self, i):
        self.processes[i].send_signal(signal.SIGCONT)
        self.record.say(f"{self.names[i]} continued (SIGCONT)")

    def ended_by_itself(self):
        return [self.names[i] for i, p in enumerate(self.processes) if p and p.poll() is not None]

    async def wait_ready(self, which, timeout_s=20.0):
        ends_at = time.monotonic() + timeout_s
        for i in which:
            while (await call(self.fronts[i], "GET", "/ready", timeout=1.0))[0] != 200:
                if time.monotonic() > ends_at:
                    raise RuntimeError(f"{self.names[i]} is not ready")
                await asyncio.sleep(0.1)

    def close(self):
        for process in self.processes:
            if process and process.poll() is None:
                process.send_signal(signal.SIGKILL)
                process.wait()
        for name, path in zip(self.names, self.logs):
            if os.path.exists(path):
                with open(path) as file:
                    for line in file.read().splitlines()[-400:]:
                        self.record.file.write(f"log of {name}: {line}\n")
        self.record.file.flush()
        shutil.rmtree(self.folder, ignore_errors=True)


def free_address(number):
    """A free port on a loopback address that is not used for outgoing connections."""
    host = f"127.{1 + os.getpid() % 250}.0.{number}"
    with socket.socket() as listener:
        listener.bind((host, 0))
        return listener.getsockname()


def to_toml(settings):
    lines, tables = [], []

    def scalar(value):
        return json.dumps(value)

    def walk(table, name):
        for key, value in table.items():
            if not isinstance(value, dict) and not (isinstance(value, list) and value and isinstance(value[0], dict)):
                lines.append(f"{key} = {scalar(value)}")
        for key, value in table.items():
            path = f"{name}.{key}" if name else key
            if isinstance(value, dict):
                lines.append(f"[{path}]")
                walk(value, path)
            elif isinstance(value, list) and value and isinstance(value[0], dict):
                for item in value:
                    lines.append(f"[[{path}]]")
                    walk(item, path)

    walk(settings, "")
    return "\n".join(lines) + "\n"


def job(uid, **fields):
    submission = {
        "Uid": uid, "Jobclass": "ride-rollup", "Crew": "fleet-ops", "Shape": "batch", "Urgency": "normal", "Legs": 1,
        "Cores": 2.0, "Gpus": 0.0, "MemoryGb": 2.8, "Bundle": "img-01", "ImageGb": 0.7, "Together": False, "Apart": False,
        "Loaner": True, "ExpectedS": 25.0, "WaypointS": 0.0, "StashS": 0.0,
    }
    submission.update(fields)
    return submission


class Users:
    """Users behind the load balancer: a request goes to the controllers that were ready at the last probe, and is
    repeated after a second or after Retry-After, for up to 60 s, as the page says."""

    def __init__(self, record, controllers):
        self.record, self.controllers = record, controllers
        self.ready = [False] * len(controllers.names)

    async def probe(self):
        async def one(i):
            self.ready[i] = (await call(self.controllers.fronts[i], "GET", "/ready", timeout=1.0))[0] == 200

        while True:
            await asyncio.gather(*(one(i) for i in range(len(self.ready))))
            await asyncio.sleep(1.0)

    def choose(self):
        healthy = [i for i, ready in enumerate(self.ready) if ready] or list(range(len(self.ready)))
        return random.choice(healthy)

    async def until(self, accepted, method, path, body, timeout_s, what):
        ends_at = time.monotonic() + 60.0
        while time.monotonic() < ends_at:
            i = self.choose()
            status, answer = await call(self.controllers.fronts[i], method, path, body, timeout_s)
            if status in accepted:
                self.record.line(f"user: {what} at {self.controllers.names[i]} -> {status} {json.dumps(answer)}")
                return status, answer
            self.record.line(f"user: {what} at {self.controllers.names[i]} -> {status}, repeated")
            await asyncio.sleep(1.0)
        return None, None

    async def submit(self, submission):
        waits = submission.get("WaitsOn", [])
        what = f"submit {submission['Uid']}" + (f" waiting on {len(waits)} jobs ({waits[0]} … {waits[-1]})" if waits else "")
        return await self.until((200, 201, 400, 422), "POST", "/v1/jobs", submission, 5.0, what)

    async def withdraw(self, uid):
        return await self.until((200,), "POST", f"/v1/jobs/{uid}/withdraw", {}, 5.0, f"withdraw {uid}")

    async def query(self, uid, i=None):
        i = self.choose() if i is None else i
        status, answer = await call(self.controllers.fronts[i], "GET", f"/v1/jobs/{uid}", timeout=2.0)
        self.record.line(f"user: query {uid} at {self.controllers.names[i]} -> {status} {json.dumps(answer)}")
        return status, answer


def run_case(folder, case):
    """Runs `case(record)`, which returns True if the rule held; exits as the issue asks: 0 held, 1 broken, 2 not run."""
    record = Record(folder)
    random.seed(os.environ.get("SEED", "1"))

    async def main():
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            held = await asyncio.wait_for(case(record), 112.0)
        except BaseException as error:  # the case could not run
            record.say(f"the case could not run: {type(error).__name__}: {error}")
            code = 2
        else:
            record.say("the rule held" if held else "THE RULE WAS BROKEN")
            code = 0 if held else 1
        record.file.close()
        sys.stdout.flush()
        # The stand-ins' routines have nothing to finish: they end with this process. The controllers have been killed.
        os._exit(code)

    asyncio.run(main())
