"""A small deployment on loopback: daemons of this project as separate processes, and stand-ins of
the operator, executors and consumers in this process. Everything is written to a record file."""
import asyncio
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
import threading
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
STARTED = time.monotonic()
HOP = "route.example"
KEY = "key-of-the-tenant-0001"
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}


def now_ms():
    return int((time.monotonic() - STARTED) * 1000)


def free_port(host="127.0.0.1"):
    while True:
        port = random.randrange(20000, 32000)
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
                return port
            except OSError:
                continue


class Record:
    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, *words):
        self.file.write(f"{now_ms() / 1000:9.3f} " + " ".join(str(word) for word in words) + "\n")
        self.file.flush()


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def call(address, method, path, body=None, headers=None, timeout=3.0):
    """One request on a connection of its own: (status, body), or (0, reason) without an answer."""
    host, port = address.rsplit(":", 1)
    data = b"" if body is None else (body if isinstance(body, bytes) else json.dumps(body).encode())
    fields = {"Host": address, "Connection": "close", **(headers or {})}
    if body is not None:
        fields["Content-Type"] = "application/json"
    if body is not None or method == "POST":
        fields["Content-Length"] = str(len(data))
    text = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields.items()) + "\r\n"

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(text.encode("latin-1") + data)
            await writer.drain()
            first, answer_headers = await read_head(reader)
            status = int(first.split()[1])
            return status, await read_body(reader, answer_headers)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError) as failure:
        return 0, type(failure).__name__.encode()


class Executor:
    """One life of an executor, as PROTOCOL.md describes it (without gangs and pacing)."""

    def __init__(self, lab, name, capacity, labels, service="pool-a", zone="zone-1", host="127.0.3.1"):
        self.lab, self.name, self.capacity, self.labels = lab, name, capacity, labels
        self.service, self.zone, self.host = service, zone, host
        self.dark = False
        self.state = "ready"
        self.port = free_port(host)
        self.tasks = []
        self.live()

    def live(self):
        self.born = int(time.time() * 1000)
        self.base = time.monotonic()
        self.running = {}
        self.ended = []
        self.over = {}
        self.number = 0
        self.sequence = 0
        self.fence = 0
        self.until = 0
        self.changed = asyncio.Event()

    def clock(self):
        return int((time.monotonic() - self.base) * 1000)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port, backlog=4096)
        self.tasks = [asyncio.create_task(self.report()), asyncio.create_task(self.work())]

    async def beat(self):
        self.sequence += 1
        body = {"service": self.service, "address": f"{self.host}:{self.port}", "zone": self.zone, "version": "v1", "slots": 8,
                "state": self.state, "cold_left_ms": 0, "capacity": self.capacity, "labels": self.labels,
                "clock_ms": self.clock(), "seq": self.sequence, "born": self.born}
        for address in random.sample(self.lab.controls, len(self.lab.controls)):
            status, _ = await call(address, "POST", f"/Instances.Heartbeat/{self.name}", body, timeout=1.0)
            if 200 <= status < 300:
                return True
        return False

    async def report(self):
        while True:
            if not self.dark:
                await self.beat()
            await asyncio.sleep(self.lab.heartbeat_ms / 1000)

    async def work(self):
        while True:
            await asyncio.sleep(0.02)
            if self.dark:
                continue
            clock = self.clock()
            if self.running and clock > self.until:
                for task in list(self.running):
                    self.end(task, "lapsed")
            for task, entry in list(self.running.items()):
                duration = self.lab.duration(task)
                if duration is not None and clock - entry["at"] >= duration:
                    self.end(task, self.lab.outcome(task))

    def end(self, task, how):
        entry = self.running.pop(task)
        self.number += 1
        self.ended.append([self.number, task, entry["run"], how, ""])
        self.over[task] = max(self.over.get(task, 0), entry["run"])
        self.lab.on_end(self, task, entry["run"], how)
        self.changed.set()

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                body = json.loads(await read_body(reader, headers) or b"{}")
                if self.dark:
                    await asyncio.sleep(3600)
                life = self.born
                status, answer = await self.handle(first.split()[1], headers, body)
                if self.dark or life != self.born:
                    await asyncio.sleep(3600)
                data = json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            writer.close()

    async def handle(self, path, headers, body):
        clock = self.clock()
        token = body.get("fencing_token", 0)
        if headers.get("expect-instance", self.name) != self.name:
            return 421, {"clock_ms": clock}
        if token < self.fence:
            return 409, {"clock_ms": clock, "reason": "fence"}
        self.fence = token
        if path == "/hold":
            return await self.hold(body)
        if path == "/run-start":
            return self.run_start(body)
        if path == "/run-stop":
            task, run = body["task"], body["run"]
            self.over[task] = max(self.over.get(task, 0), run)
            if task in self.running and self.running[task]["run"] <= run:
                self.lab.record("executor", self.name, "stops", task, run)
                self.end(task, "stopped")
            return 200, {"clock_ms": clock}
        return 200, {"clock_ms": clock}

    def extend(self, body):
        if "until_ms" in body:
            self.until = max(self.until, min(body["until_ms"], self.clock() + self.lab.hold_max_ms))

    def run_start(self, body):
        clock = self.clock()
        task, run = body["task"], body["run"]
        if body["until_ms"] <= clock:
            return 409, {"clock_ms": clock, "reason": "late"}
        self.extend(body)
        if task in self.running and self.running[task]["run"] == run:
            return 200, {"clock_ms": clock}
        if run <= self.over.get(task, 0) or (task in self.running and run < self.running[task]["run"]):
            return 409, {"clock_ms": clock, "reason": "old"}
        self.running[task] = {"run": run, "at": clock}
        self.lab.on_start(self, task, run, body)
        return 200, {"clock_ms": clock}

    async def hold(self, body):
        self.extend(body)
        upto = body.get("acked_upto", 0)
        self.ended = [row for row in self.ended if row[0] > upto]
        deadline = time.monotonic() + body.get("wait_ms", 0) / 1000
        while not self.ended and time.monotonic() < deadline:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.001, deadline - time.monotonic()))
            except asyncio.TimeoutError:
                pass
        clock = self.clock()
        rows = [[task, entry["run"], "", self.lab.percent(task, clock - entry["at"]), 0] for task, entry in self.running.items()]
        return 200, {"clock_ms": clock, "born": self.born, "running": rows, "ended": self.ended[:500]}


class Daemon:
    def __init__(self, lab, role, ip, settings, bootstrap):
        self.lab, self.role, self.ip, self.settings = lab, role, ip, settings
        self.path = os.path.join(lab.folder, f"{role}-{ip}.json")
        self.log = os.path.join(lab.folder, f"{role}-{ip}.log")
        self.process = None
        self.starts = 0
        self.exits = []

    def start(self):
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(self.settings, file)
        environment = {name: value for name, value in os.environ.items() if name in ("PATH", "HOME", "JAVA_HOME", "LANG")}
        environment["MARJORAMNOTCH_BOOT"] = self.path
        output = open(self.log, "ab")
        if self.lab.collects_logs:
            reading, writing = os.pipe()
            output = os.fdopen(writing, "wb")
            threading.Thread(target=self.collect, args=(reading,), daemon=True).start()
        with output:
            self.process = subprocess.Popen(self.lab.run_line(self.role), cwd=ROOT, env=environment,
                                            stdout=output, stderr=subprocess.STDOUT, start_new_session=True)
        self.starts += 1
        # Only the first start of the whole system founds the group.
        self.settings["formation"]["foundsGroup"] = False
        self.lab.record("daemon", self.role, self.ip, "started, pid", self.process.pid)

    def collect(self, reading):
        """The collector of the logs: reads the standard output of a process unless it is stalled."""
        with open(self.log, "ab") as log:
            while True:
                while self.lab.collector_stalled:
                    time.sleep(0.1)
                data = os.read(reading, 65536)
                if not data:
                    return
                log.write(data)
                log.flush()

    def kill(self, kind=signal.SIGKILL):
        if self.process and self.process.poll() is None:
            self.process.send_signal(kind)

    def down(self):
        return self.process is None or self.process.poll() is not None


class Lab:
    """Replicas and entries with the commands of the deploy file, and settings like those of a small site."""

    def __init__(self, record_path, replicas=4, entries=2, hold_max_ms=6000, heartbeat_ms=1500, collects_logs=False):
        self.record = Record(record_path)
        self.folder = tempfile.mkdtemp(prefix="lab3-")
        self.hold_max_ms, self.heartbeat_ms = hold_max_ms, heartbeat_ms
        self.collects_logs, self.collector_stalled = collects_logs, False
        self.starts, self.ends = [], []
        self.durations, self.outcomes = {}, {}
        self.executors = []
        self.version = 0
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.deploy = tomllib.load(file)
        net = random.randrange(10, 250)
        cores = [f"127.{net}.1.{number + 1}" for number in range(replicas)]
        edges = [f"127.{net}.2.{number + 1}" for number in range(entries)]
        link, control, front, ready, http = (free_port() for _ in range(5))
        seeds = [f"{ip}:{control}" for ip in cores[:3]]
        self.controls = [f"{ip}:{control}" for ip in cores]
        self.fronts = [f"{ip}:{front}" for ip in edges]
        self.readies = [f"{ip}:{ready}" for ip in edges]
        self.daemons = []
        zones = ["zone-1", "zone-2", "zone-3", "zone-4"]
        for number, ip in enumerate(cores + edges):
            core = ip in cores
            settings = {
                "vm": ip, "availabilityZone": zones[number % 4], "roles": ["entry", "replica"] if core else ["entry"],
                "httpHost": ip, "httpPort": http, "linkHost": ip, "linkPort": link,
                "formation": {"seeds": seeds, "foundsGroup": True, "tolerableLosses": 1},
                "workflow": {"longestLeaseMilliseconds": hold_max_ms, "reportIntervalMilliseconds": heartbeat_ms, "retentionMilliseconds": 120000},
                "availabilityZones": zones,
                "adapter": {"advisor": "127.0.0.1:1"},
                "limits": {"electionTimeoutMinimumMilliseconds": 500, "electionTimeoutMaximumMilliseconds": 650,
                           "heartbeatIntervalMilliseconds": 100, "graceSeconds": 6.0, "linkDeadlineMilliseconds": 700}}
            if core:
                settings["dataFolder"] = os.path.join(self.folder, f"data-{ip}")
                settings["adapter"]["control"] = f"{ip}:{control}"
            else:
                settings["adapter"]["callers"] = f"{ip}:{front}"
                settings["adapter"]["readiness"] = f"{ip}:{ready}"
            self.daemons.append(Daemon(self, "replica" if core else "entry", ip, settings, True))

    def run_line(self, role):
        return self.deploy["roles"][role]["run"].split(" ")

    def duration(self, task):
        return self.durations.get(task.split(".")[0])

    def outcome(self, task):
        return self.outcomes.get(task.split(".")[0], "done")

    def percent(self, task, age):
        duration = self.duration(task)
        return 100 if duration is None else min(99, int(100 * age / max(1, duration)))

    def on_start(self, executor, task, run, body):
        self.starts.append((now_ms(), executor.name, task, run))
        self.record("executor", executor.name, "begins", task, run)

    def on_end(self, executor, task, run, how):
        self.ends.append((now_ms(), executor.name, task, run, how))
        self.record("executor", executor.name, "ends", task, run, how)

    async def boot(self, configuration, timeout=40):
        for daemon in self.daemons:
            daemon.start()
        self.supervisor = asyncio.create_task(self.supervise())
        return await self.configure(configuration, timeout)

    async def supervise(self):
        """Restarts processes that have ended, as the platform does."""
        while True:
            await asyncio.sleep(0.2)
            for daemon in self.daemons:
                if daemon.process and daemon.process.poll() is not None:
                    daemon.exits.append((now_ms(), daemon.process.returncode))
                    self.record("daemon", daemon.role, daemon.ip, "ended with", daemon.process.returncode)
                    await asyncio.sleep(0.3)
                    daemon.start()

    async def configure(self, configuration, timeout=40):
        """The operator: sends a configuration to one daemon after the other until it is acknowledged."""
        self.version += 1
        configuration = {"version": self.version, **configuration}
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            for address in random.sample(self.controls, len(self.controls)):
                status, answer = await call(address, "POST", "/Config.Replace", configuration, timeout=2.0)
                if 200 <= status < 300:
                    self.record("operator: version", self.version, "acknowledged by", address)
                    return True
                if status in (400, 409, 412, 413, 422):
                    self.record("operator: refused", status, answer[:200])
                    return False
            await asyncio.sleep(0.3)
        return False

    async def add_executors(self, executors):
        for executor in executors:
            self.executors.append(executor)
            await executor.start()

    async def consumer(self, method, path, body=None, address=None, key=KEY, timeout=3.0, log=True):
        address = address or random.choice(self.fronts)
        headers = {"Host": HOP, "Deadline-Ms": str(int(timeout * 1000))}
        if key:
            headers["Authorization"] = f"Bearer {key}"
        sent = now_ms()
        status, answer = await call(address, method, path, body, headers, timeout)
        if log:
            self.record("consumer:", method, path, "at", address, "->", status, answer[:120].decode("latin-1"), f"after {now_ms() - sent} ms")
        return status, answer

    async def submit(self, prefix, identifier, steps, duration, spec="work", attempts=5, outcome="done", **more):
        self.durations[identifier] = duration
        self.outcomes[identifier] = outcome
        for _ in range(attempts):
            status, answer = await self.consumer("POST", prefix + identifier, {"spec": spec, "steps": steps, **more})
            if 200 <= status < 300 or status in (400, 401, 404):
                return status
            await asyncio.sleep(0.5)
        return status

    def close(self):
        for daemon in self.daemons:
            daemon.kill()
        for daemon in self.daemons:
            if daemon.process:
                daemon.process.wait()
        keep = os.environ.get("LAB_KEEP")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def configuration(routes=None, tenants=None, service="pool-a"):
    queue = {"host": HOP, "kind": "non_idempotent", "timeout_ms": 3000, "target_duration_ms": 1200, "priority": 1,
             "service": service, "max_attempts": 4, "stretch": 2.2, "public": False}
    return {"routes": routes or [{"name": "r-main", "path_prefix": "/main/", **queue}],
            "services": [{"name": service, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": False, "admission_check": False, "standby": False}],
            "limits": LIMITS,
            "tenants": tenants or [{"name": "tenant-1", "api_keys": [KEY], "priority": 1, "weight": 9, "cap": {"cpu": 0, "mem_mb": 0, "gpu": 0}}]}


def identifier():
    return "".join(random.choice("0123456789abcdef") for _ in range(16))


def finish(lab, code, *words):
    lab.record("verdict:", {0: "the rule held", 1: "the rule was broken", 2: "the case couldn't run"}[code], *words)
    print({0: "held:", 1: "broken:", 2: "could not run:"}[code], *words)
    return code


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def main(case, folder):
    """Runs a case and ends all processes that it has started, whatever happens."""
    lab = None

    async def guarded():
        nonlocal lab
        lab = Lab(os.path.join(folder, "record.txt"), **getattr(case, "options", {}))
        try:
            return await asyncio.wait_for(case(lab), 110)
        except asyncio.TimeoutError:
            return finish(lab, 2, "out of time")

    code = 2
    try:
        code = asyncio.run(guarded())
    finally:
        if lab:
            lab.close()
    sys.stdout.flush()
    os._exit(code)
