"""Stand-in of the platform for the scripts of the third review: store, workers, supervisor of the daemons, clients.

It follows PROTOCOL.md and DEPLOY.md. Everything runs in this process on loopback addresses, except the daemons, which are
started with the command of the deploy file and settings rendered like its template.
"""
import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
BOUNDS = {"maxHoldMs": 6000, "stopTimeoutMs": 900, "impactMs": 4000, "statusSeconds": 120, "configurationMs": 2000,
          "graceSeconds": 6}

SETTINGS_EXTRA = {}  # further settings of the daemons, as `advice`


def now_ms():
    return time.monotonic() * 1000


def free_ports(count):
    sockets = []
    for _ in range(count):
        s = socket.socket()
        s.bind(("127.0.0.1", 0))
        sockets.append(s)
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


class Record:
    """What was sent, answered and run, one line each."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.begun = time.monotonic()

    def __call__(self, what, **fields):
        text = " ".join(f"{k}={json.dumps(v)}" for k, v in fields.items())
        self.file.write(f"{time.monotonic() - self.begun:9.3f} {what} {text}\n")


class HttpServer:
    """Keep-alive HTTP/1.1 server; `handle(method, path, query, headers, body)` returns (status, object)."""

    def __init__(self, handle, host="127.0.0.1"):
        self.handle = handle
        self.host = host
        self.server = None
        self.connections = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, self.host, port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.host}:{self.port}"
        return self

    def stop(self):
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                line = await reader.readline()
                if not line:
                    break
                method, target, _ = line.decode("latin1").split(" ", 2)
                headers = {}
                while True:
                    field = await reader.readline()
                    if field in (b"\r\n", b""):
                        break
                    name, _, value = field.decode("latin1").partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                url = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(url.query).items()}
                status, answer = await self.handle(method, url.path, query, headers, body)
                data = json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


class Store:
    def __init__(self):
        self.items = {}  # key -> (value, revision, created)
        self.events = []  # (revision, key, value or None, created), oldest first
        self.event_bytes = 0
        self.history_from = 0  # events up to this revision are no longer available
        self.revision = 1
        self.too_long = []  # (time, key, bytes) of refused values
        self.changed = asyncio.Condition()

    async def start(self):
        self.http = await HttpServer(self.handle).start()
        return self

    def row(self, key):
        value, revision, created = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(), "revision": revision, "created": created,
                "lease": 0}

    def apply(self, writes, deletes):
        self.revision += 1
        for key, value in writes:
            created = self.items[key][2] if key in self.items else self.revision
            self.items[key] = (value, self.revision, created)
            self.events.append((self.revision, key, value, created))
            self.event_bytes += len(value)
        for key in deletes:
            if self.items.pop(key, None) is not None:
                self.events.append((self.revision, key, None, 0))
        while self.event_bytes > 64_000_000:
            revision, _, value, _ = self.events.pop(0)
            self.event_bytes -= len(value or b"")
            self.history_from = revision

    @staticmethod
    def event_row(event):
        revision, key, value, created = event
        if value is None:
            return {"key": key, "revision": revision, "tombstone": True}
        return {"key": key, "value": base64.b64encode(value).decode(), "revision": revision, "created": created,
                "lease": 0}

    async def put(self, key, value):
        """As the operator, or as a worker that writes its entry."""
        async with self.changed:
            self.apply([(key, json.dumps(value).encode())], [])
            self.changed.notify_all()

    async def remove(self, key):
        async with self.changed:
            self.apply([], [key])
            self.changed.notify_all()

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(0.004)
        if path == "/kv-key":
            key = query.get("key", "")
            return (200, {**self.row(key), "at": self.revision}) if key in self.items else (404, {})
        if path == "/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and (not after or k > after))
            rows, size = [], 0
            for key in keys:
                if len(rows) >= 500 or size > 1_000_000:
                    break
                rows.append(self.row(key))
                size += len(rows[-1]["value"])
            return 200, {"items": rows, "has_more": len(rows) < len(keys), "at": self.revision}
        if path == "/kv-watch":
            prefix, after = query.get("prefix", ""), int(query.get("after", "0"))
            end = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
            while True:
                if after < self.history_from:
                    return 410, {}
                events = [self.event_row(e) for e in self.events if e[0] > after and e[1].startswith(prefix)]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "at": self.revision}
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
        if path == "/kv-txn":
            request = json.loads(body)
            keys = [(row["key"], row["revision"]) for row in request.get("expected_rev", [])]
            if any((self.items[k][1] if k in self.items else 0) != r for k, r in keys):
                return 412, {"items": [self.row(k) for k, _ in keys if k in self.items]}
            writes = [(row["key"], base64.b64decode(row["value"])) for row in request.get("writes", [])]
            deletes = request.get("deletes", [])
            if len(keys) + len(writes) + len(deletes) > 32:
                return 400, {}
            if any(k.startswith(("op/", "servers/")) for k, _ in writes):
                return 403, {}
            too_long = [(k, len(value)) for k, value in writes if len(value) > 1048576]
            if too_long:
                self.too_long.append((time.monotonic(), *too_long[0]))
                return 400, {}
            async with self.changed:
                self.apply(writes, deletes)
                self.changed.notify_all()
            return 200, {"revision": self.revision}
        return 404, {}


class Worker:
    """One worker. `cost(task)` gives (millicores, run ms) of a task; a run of 0 ms lasts until it is stopped."""

    def __init__(self, store, record, name, zone, cost, capacity=None, guards=True, service="pool", labels=None,
                 heartbeat_s=1.5, stop_s=0.0, done=None):
        self.done = {} if done is None else done  # tasks that have ended done, by job
        self.store, self.record, self.name, self.zone, self.cost = store, record, name, zone, cost
        self.capacity = capacity or {"cpu": 16000, "mem_mb": 64000, "gpu": 0}
        self.guards, self.service, self.labels = guards, service, labels or ["a", "r1"]
        self.heartbeat_s, self.stop_s = heartbeat_s, stop_s
        self.born = int(time.time() * 1000)
        self.origin = now_ms() - 1000
        self.running, self.ended, self.highest = {}, [], {}
        self.last_end, self.token, self.lease = 0, 0, 0
        self.seq = 0
        self.wake = asyncio.Event()
        self.starts = []  # (task, spec)
        self.over = []  # starts that brought it over its capacity

    def clock(self):
        return int(now_ms() - self.origin)

    async def start(self):
        self.http = await HttpServer(self.handle).start()
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.tick())]
        return self

    async def beat(self):
        while True:
            self.seq += 1
            await self.store.put("servers/" + self.name, {
                "backend": self.service, "address": self.http.address, "zone": self.zone, "version": "v1", "slots": 8,
                "state": "ready", "cold_remaining_ms": 0, "capacity": self.capacity, "labels": self.labels,
                "clock_ms": self.clock(), "seq": self.seq, "born": self.born})
            await asyncio.sleep(self.heartbeat_s)

    async def tick(self):
        while True:
            await asyncio.sleep(0.02)
            now = self.clock()
            for task, run in list(self.running.items()):
                if now >= self.lease:
                    self.end(task, "lapsed")
                elif run["stop_at"] and now >= run["stop_at"]:
                    self.end(task, "stopped")
                elif run["ms"] and now >= run["at"] + run["ms"]:
                    self.end(task, "done")

    def end(self, task, how):
        run = self.running.pop(task)
        self.highest[task] = max(self.highest.get(task, 0), run["run"])
        self.last_end += 1
        self.ended.append([self.last_end, task, run["run"], how, run.get("saved", "")])
        self.record("end", worker=self.name, task=task, run=run["run"], how=how)
        if how == "done":
            self.done.setdefault(task.split(".")[0], set()).add(task)
        self.wake.set()

    def used(self):
        return sum(run["cpu"] for run in self.running.values())

    async def handle(self, method, path, query, headers, body):
        clock = {"clock_ms": self.clock(), "born": self.born}
        if path == "/health":
            return 200, {}
        if headers.get("lacewingloft-expect-instance", self.name) != self.name:
            return 421, clock
        request = json.loads(body)
        token = request.get("fencing_token", 0)
        if token < self.token:
            return 409, {**clock, "reason": "fence"}
        self.token = token
        if path == "/run-start":
            return self.run_start(request, clock)
        if path == "/run-stop":
            task, number = request["task"], request["run_id"]
            self.highest[task] = max(self.highest.get(task, 0), number)
            run = self.running.get(task)
            if run and run["run"] <= number and not run["stop_at"]:
                run["stop_at"] = self.clock() + 1 + int(self.stop_s * 1000)
                self.record("stop ordered", worker=self.name, task=task, run=number)
            return 200, clock
        if path == "/hold":
            return await self.hold(request)
        if path == "/pace":
            return 200, clock
        return 404, clock

    def run_start(self, request, clock):
        task, number = request["task"], request["run_id"]
        self.lease = max(self.lease, min(request["expires_ms"], self.clock() + 6000))
        run = self.running.get(task)
        if run and run["run"] == number:
            return 200, clock
        if run or number <= self.highest.get(task, 0):
            return 409, {**clock, "reason": "old"}
        if request["expires_ms"] < self.clock():
            return 409, {**clock, "reason": "late"}
        cpu, ms = self.cost(task)
        is_over = self.used() + cpu > self.capacity["cpu"]
        if is_over and self.guards:
            return 409, {**clock, "reason": "room"}
        self.running[task] = {"run": number, "at": self.clock(), "ms": ms, "cpu": cpu, "stop_at": 0}
        self.starts.append((task, request["spec"]))
        self.record("start", worker=self.name, task=task, run=number, spec=request["spec"], used=self.used())
        if is_over:
            self.over.append((task, number, self.used()))
        return 200, clock

    async def hold(self, request):
        if "expires_ms" in request:
            self.lease = max(self.lease, min(request["expires_ms"], self.clock() + 6000))
        self.ended = [row for row in self.ended if row[0] > request.get("seen_seq", 0)]
        end = time.monotonic() + request.get("wait_ms", 0) / 1000
        while not self.ended and time.monotonic() < end:
            self.wake.clear()
            try:
                await asyncio.wait_for(self.wake.wait(), end - time.monotonic())
            except asyncio.TimeoutError:
                pass
        rows = []
        for task, run in self.running.items():
            percent = 100 if not run["ms"] else min(99, int(100 * (self.clock() - run["at"]) / run["ms"]))
            rows.append([task, run["run"], run.get("saved", ""), percent, run["cpu"]])
        return 200, {"clock_ms": self.clock(), "born": self.born, "running": rows, "finished": self.ended[:500]}

    def stop(self):
        for task in self.tasks:
            task.cancel()
        self.http.stop()


class Daemon:
    """One entry machine: starts `target/lacewingd` again whenever it ends, and kills it above its memory limit."""

    def __init__(self, name, zone, store, record, folder, memory_mb=260):
        self.name, self.zone, self.record, self.folder, self.memory_mb = name, zone, record, folder, memory_mb
        front, ready, control, peers = free_ports(4)
        self.front, self.ready, self.control = f"127.0.0.1:{front}", f"127.0.0.1:{ready}", f"127.0.0.1:{control}"
        self.file = os.path.join(folder, name + ".json")
        settings = {"daemon": {"name": name, "dataCentre": zone, "processorShare": 0.1, "linkMbps": 1000.0},
                    "listen": {"callers": self.front, "readiness": self.ready, "admin": self.control,
                               "peers": f"127.0.0.1:{peers}"},
                    "store": {"address": store.http.address}, "bounds": BOUNDS,
                    "limits": {"memoryMb": memory_mb, "descriptors": 4100, "clientShare": 0.25}, **SETTINGS_EXTRA}
        with open(self.file, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.process = None
        self.is_stopped = False
        self.own_ends = []  # (time, reason) of ends without a disruption
        self.expected_end = False
        self.peak_mb = 0

    async def start(self):
        await self.spawn()
        self.loop = asyncio.create_task(self.supervise())
        self.memory = asyncio.create_task(self.watch_memory())
        return self

    async def spawn(self):
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["LACEWINGLOFT_SETTINGS"] = self.file
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec("target/lacewingd", cwd=ROOT, env=environment, stdout=log,
                                                            stderr=log)
        log.close()
        self.record("daemon started", daemon=self.name)

    async def supervise(self):
        while True:
            code = await self.process.wait()
            if self.is_stopped:
                return
            self.record("daemon ended", daemon=self.name, code=code, disrupted=self.expected_end)
            if not self.expected_end:
                self.own_ends.append(time.monotonic())
            self.expected_end = False
            await asyncio.sleep(0.5)
            if self.is_stopped:
                return
            await self.spawn()

    async def watch_memory(self):
        """A process that exceeds memory_mb is killed (DEPLOY.md, Memory and descriptors)."""
        page = os.sysconf("SC_PAGE_SIZE")
        while True:
            await asyncio.sleep(0.05)
            try:
                with open(f"/proc/{self.process.pid}/statm", encoding="ascii") as file:
                    resident = int(file.read().split()[1]) * page / 1e6
            except (OSError, IndexError, AttributeError):
                continue
            self.peak_mb = max(self.peak_mb, resident)
            if resident > self.memory_mb and self.process.returncode is None:
                self.record("daemon killed above its memory limit", daemon=self.name, resident_mb=round(resident))
                self.process.kill()
                await asyncio.sleep(0.2)

    def signal(self, number):
        self.expected_end = number in (signal.SIGKILL, signal.SIGTERM)
        self.record("signal", daemon=self.name, number=int(number))
        self.process.send_signal(number)

    async def stop(self):
        self.is_stopped = True
        self.memory.cancel()
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        self.loop.cancel()


async def http(address, method, path, headers=None, body=None, timeout=3.0):
    """One request on a connection of its own; None when there was no complete answer in time."""

    async def call():
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            data = body or b""
            lines = [f"{method} {path} HTTP/1.1"] + [
                f"{k}: {v}" for k, v in {"Host": address, **(headers or {})}.items()]
            lines += [f"Content-Length: {len(data)}", "Connection: close", "", ""]
            writer.write("\r\n".join(lines).encode() + data)
            await writer.drain()
            status = int((await reader.readline()).split()[1])
            length = 0
            while True:
                field = await reader.readline()
                if field in (b"\r\n", b""):
                    break
                if field.lower().startswith(b"content-length:"):
                    length = int(field.split(b":")[1])
            return status, await reader.readexactly(length)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(call(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, IndexError, ValueError):
        return None


class Client:
    def __init__(self, daemons, record, host="jobs.example", prefix="/jobs/"):
        self.daemons, self.record, self.host, self.prefix = daemons, record, host, prefix
        self.turn = 0

    async def call(self, method, path, body=None, daemon=None, timeout=3.0):
        if daemon is None:
            daemon = self.daemons[self.turn % len(self.daemons)]
            self.turn += 1
        headers = {"Host": self.host, "Lacewingloft-Deadline-Ms": str(int(timeout * 1000))}
        if body is not None:
            headers["Content-Type"] = "application/json"
        answer = await http(daemon.front, method, self.prefix + path, headers, body, timeout)
        self.record("call", method=method, path=path, daemon=daemon.name, status=answer[0] if answer else None,
                    answer=answer[1].decode("utf-8", "replace")[:200] if answer else None)
        return answer

    async def submit(self, job, body, attempts=20):
        """As clients do: after no answer, a 502, 503 or 504 the job is handed in again, at another daemon."""
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        for _ in range(attempts):
            answer = await self.call("POST", job, data)
            if answer and 200 <= answer[0] < 300:
                return True
            if answer and answer[0] in (400, 404, 410):
                return False
            await asyncio.sleep(0.3)
        return False

    async def state(self, job, attempts=6):
        for _ in range(attempts):
            answer = await self.call("GET", job)
            if answer and answer[0] == 200:
                return json.loads(answer[1])["state"]
            if answer and answer[0] == 410:
                return "unknown"
            await asyncio.sleep(0.3)
        return None


def configuration(version=1, rejects_overload=True, max_attempts=3, priority=0):
    return {"version": version,
            "routes": [{"name": "r-jobs", "hostname": "jobs.example", "prefix": "/jobs/", "type": "non_idempotent",
                        "timeout_ms": 3000, "goal_ms": 1000, "priority": priority, "backend": "pool",
                        "max_attempts": max_attempts, "stretch": 2.0}],
            "services": [{"name": "pool", "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": False,
                          "cold_start_s": 0.0, "cold_per_s": 0.0, "rejects_overload": rejects_overload,
                          "standby": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}


class Deployment:
    """A small deployment: a store, workers in two data centres and daemons; `run` ends all of it."""

    def __init__(self, folder, cost, workers=4, daemons=3, memory_mb=260, config=None, **worker_options):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp()
        self.cost, self.worker_count, self.daemon_count = cost, workers, daemons
        self.memory_mb, self.config, self.worker_options = memory_mb, config or configuration(), worker_options
        self.daemons, self.workers = [], []
        self.done = {}

    async def __aenter__(self):
        self.store = await Store().start()
        await self.store.put("op/config", self.config)
        for i in range(self.worker_count):
            self.workers.append(await Worker(self.store, self.record, f"i-{i:04x}", f"dc{i % 2 + 1}", self.cost,
                                             done=self.done, **self.worker_options).start())
        for i in range(self.daemon_count):
            self.daemons.append(await Daemon(f"edge-{i + 1}", f"dc{i % 2 + 1}", self.store, self.record, self.folder,
                                             self.memory_mb).start())
        return self

    async def __aexit__(self, *error):
        for daemon in self.daemons:
            await daemon.stop()
        for worker in self.workers:
            worker.stop()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def ready(self, timeout=30):
        """True once a daemon leads and all of them report themselves ready."""
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            answers = [await http(d.ready, "GET", "/readiness", timeout=1) for d in self.daemons]
            if all(a and a[0] == 200 for a in answers) and await self.leader():
                return True
            await asyncio.sleep(0.2)
        return False

    async def leader(self):
        for daemon in self.daemons:
            answer = await http(daemon.control, "GET", "/v1/status", timeout=1)
            if answer and answer[0] == 200 and json.loads(answer[1]).get("role") == "leader":
                return daemon
        return None


def main(folder, scenario):
    """Runs the scenario: 1 the rule was broken, 0 it held, 2 the case could not run."""

    async def bounded():
        return await asyncio.wait_for(scenario(), 110)

    try:
        code = asyncio.run(bounded())
    except Exception as error:  # pylint: disable=broad-except
        print("could not run:", repr(error))
        code = 2
    print({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code])
    sys.exit(code)
