"""Stand-ins of the platform for the cases of the second review: store, executors, client and links that can be cut.

One process of asyncio servers on loopback plays everything that the daemons talk to. Each daemon reaches the store and
each executor over a port of its own, and the other daemons over a proxy of its own, so that any pair can be cut off
from each other. The daemons are started with the command of the deploy file and settings made from its template.
"""
import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "127.0.0.1"

# Bounds of cetka-loft on the pages (SYSTEM.md), ms unless named otherwise.
BOUNDS = {
    "max_hold_ms": 6000, "stop_timeout_ms": 900, "impact_ms": 4000, "status_s": 120, "config_apply_ms": 2000,
    "grace_s": 6, "gang_timeout_ms": 3000,
}
HEARTBEAT_S = 1.5      # of an executor (settings: heartbeat_ms)
SILENT_HEARTBEATS = 3  # after which the entry of a silent executor is removed
ENDS_PER_REPORT = 500


def now_ms():
    return time.monotonic() * 1000


FIRST_PORT, PORTS_PER_PROCESS, PORT_BLOCKS = 26000, 300, 20  # below those that the system gives to connections
used_ports = set()


def free_ports(count):
    """Of a block that the process id chooses, so that plays beside each other seldom meet."""
    first = FIRST_PORT + os.getpid() % PORT_BLOCKS * PORTS_PER_PROCESS
    ports = []
    while len(ports) < count:
        port = random.randrange(first, first + PORTS_PER_PROCESS)
        if port in used_ports:
            continue
        with socket.socket() as s:
            try:
                s.bind((HOST, port))
            except OSError:
                continue
        used_ports.add(port)
        ports.append(port)
    return ports


class Record:
    """record.txt: what was sent, answered and run, with ms since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = now_ms()

    def line(self, text):
        self.file.write("%8.0f %s\n" % (now_ms() - self.started, text))
        self.file.flush()


# --- HTTP ---

async def read_message(reader):
    """First line, headers and body of a request or response; None at the end of the stream."""
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
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


def encode_response(status, body):
    data = json.dumps(body, ensure_ascii=False).encode() if body is not None else b""
    return b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (status, len(data)) + data


class Link:
    """The way between two parties. While it is cut, bytes are neither read nor delivered, without a reset; connections
    that were open during a cut stay silent for good. With `is_reset`, open connections are reset at the begin of the
    cut, and new ones as soon as they are made."""

    def __init__(self):
        self.is_cut = False
        self.is_reset = False
        self.generation = 0
        self.transports = set()  # of open connections

    def cut(self, is_reset=False):
        self.is_cut, self.is_reset = True, is_reset
        self.generation += 1
        if is_reset:
            for transport in list(self.transports):
                transport.abort()

    def heal(self):
        self.is_cut = self.is_reset = False


class HttpServer:
    """Serves `handle(method, target, headers, body)`, which returns (status, body), or None for no answer at all."""

    def __init__(self, port, link, handle):
        self.port, self.link, self.handle = port, link, handle
        self.writers = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port, backlog=256)

    def stop(self):
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        generation = self.link.generation
        if self.link.is_reset:
            writer.transport.abort()
            return
        self.writers.add(writer)
        self.link.transports.add(writer.transport)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                if self.link.is_cut or self.link.generation != generation:
                    await self.wait_for_end(reader)
                    return
                method, target, _ = message[0].split(" ", 2)
                answer = await self.handle(method, target, message[1], message[2])
                if answer is None or self.link.is_cut or self.link.generation != generation:
                    await self.wait_for_end(reader)
                    return
                writer.write(encode_response(*answer))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.link.transports.discard(writer.transport)
            writer.transport.abort()

    @staticmethod
    async def wait_for_end(reader):
        while await reader.read(65536):
            pass


async def request(port, method, path, headers=None, body=None, timeout=4.0, body_delay_s=0.0):
    """One request on a connection of its own. Returns (status, body), or (None, reason). `body_delay_s`: time that the
    body takes on the client's link."""
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(HOST, port)
        data = body if body is not None else b""
        head = "%s %s HTTP/1.1\r\n" % (method, path)
        for name, value in (headers or {}).items():
            head += "%s: %s\r\n" % (name, value)
        if method == "POST":
            head += "Content-Type: application/json\r\nContent-Length: %d\r\n" % len(data)
        writer.write(head.encode() + b"\r\n")
        if body_delay_s > 0 and data:
            writer.write(data[:-1])
            await asyncio.sleep(body_delay_s)
            writer.write(data[-1:])
        else:
            writer.write(data)
        message = await read_message(reader)
        if message is None:
            return None, "the connection ended without an answer"
        return int(message[0].split(" ")[1]), message[2].decode("utf-8", "replace")

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except asyncio.TimeoutError:
        return None, "no answer in time"
    except (OSError, ValueError) as error:
        return None, str(error)
    finally:
        if writer:
            writer.transport.abort()


# --- Store ---

class Store:
    def __init__(self, record):
        self.record = record
        self.items = {}  # key: [value, revision, created]
        self.events = []  # (revision, key, value or None, created)
        self.revision = 1
        self.changed = asyncio.Condition()
        self.views = {}  # daemon: [(bytes, bytes)], addresses as that daemon reaches them

    async def change(self, writes, deletes):
        self.revision += 1
        for key, value in writes:
            created = self.items[key][2] if key in self.items else self.revision
            self.items[key] = [value, self.revision, created]
            self.events.append((self.revision, key, value, created))
        for key in deletes:
            if self.items.pop(key, None):
                self.events.append((self.revision, key, None, 0))
        async with self.changed:
            self.changed.notify_all()

    async def put(self, key, document):
        await self.change([(key, document if isinstance(document, bytes) else json.dumps(document).encode())], [])

    async def remove(self, key):
        await self.change([], [key])

    def row(self, daemon, key, value, revision, created):
        for raw, seen in self.views.get(daemon, []):
            value = value.replace(raw, seen)
        return {"key": key, "value": base64.b64encode(value).decode(), "revision": revision, "created": created,
                "lease": 0}

    async def handle(self, daemon, method, target, body):
        path, _, query = target.partition("?")
        arguments = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        unquote = lambda text: re.sub("%([0-9A-Fa-f]{2})", lambda m: chr(int(m.group(1), 16)), text)
        if path == "/kv-key":
            key = unquote(arguments["key"])
            if key not in self.items:
                return 404, {"at": self.revision}
            return 200, dict(self.row(daemon, key, *self.items[key]), at=self.revision)
        if path == "/kv-range":
            prefix, after = unquote(arguments.get("prefix", "")), unquote(arguments.get("after", ""))
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            rows = [self.row(daemon, k, *self.items[k]) for k in keys[:500]]
            return 200, {"items": rows, "has_more": len(keys) > 500, "at": self.revision}
        if path == "/kv-watch":
            return await self.watch(daemon, unquote(arguments.get("prefix", "")), int(arguments["after"]),
                                    int(arguments["wait_ms"]))
        if path == "/kv-txn" and method == "POST":
            return await self.transact(daemon, json.loads(body))
        return 404, {}

    async def watch(self, daemon, prefix, after, wait_ms):
        def found():
            return [e for e in self.events if e[0] > after and e[1].startswith(prefix)]
        if not found():
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait_for(found), wait_ms / 1000)
                except asyncio.TimeoutError:
                    pass
        rows = [{"key": key, "revision": revision, "tombstone": True} if value is None
                else self.row(daemon, key, value, revision, created) for revision, key, value, created in found()]
        return 200, {"events": rows, "at": self.revision}

    async def transact(self, daemon, body):
        expected = body.get("expected_rev", [])
        if any((self.items[r["key"]][1] if r["key"] in self.items else 0) != r["revision"] for r in expected):
            current = [self.row(daemon, r["key"], *self.items[r["key"]]) for r in expected if r["key"] in self.items]
            return 412, {"items": current}
        writes = [(w["key"], base64.b64decode(w["value"])) for w in body.get("writes", [])]
        deletes = body.get("deletes", [])
        if any(key.startswith(("op/", "servers/")) for key in [k for k, _ in writes] + deletes):
            return 403, {}
        await self.change(writes, deletes)
        return 200, {"revision": self.revision}


# --- Executors ---

class Executor:
    """An executor as PROTOCOL.md says. `spec` of a task is JSON: `ms`, how long it works, 0 for a task that lasts;
    `stop_ms`, how long its stop takes; `cpu` and `mem_mb`, what it asks for; `gang`, how many tasks work only together."""

    def __init__(self, world, name, zone, cpu=16000, mem_mb=64000, labels=("a", "r1"), guards=True):
        self.world, self.name, self.zone, self.guards = world, name, zone, guards
        self.cpu, self.mem_mb, self.labels = cpu, mem_mb, list(labels)
        self.ports = {}    # daemon: port
        self.servers = []
        self.store_link = Link()
        self.is_up = False
        self.service = "pool"
        self.drains_until = 0  # ms; 0: it does not leave
        self.is_late = lambda body: False  # start orders that get no answer and are carried out late
        self.late_orders = []  # (ms at which it was sent, daemon, body)
        self.tasks = []
        self.seen_beat = 0

    def clock(self):
        return int(now_ms() - self.clock_origin)

    async def start(self):
        """A new incarnation, which knows nothing of the one before."""
        self.clock_origin = now_ms() - 1000
        self.born = int(time.time() * 1000)
        self.token, self.seq, self.end_number, self.lease_end = 0, 0, 0, 0
        self.running = {}  # task: dict
        self.finished = []
        self.closed = {}   # task: highest run that was stopped or ended
        self.ended = asyncio.Condition()
        self.is_up = True
        self.world.record.line("executor %s starts, cpu %d, labels %s" % (self.name, self.cpu, ",".join(self.labels)))
        await self.beat()
        for daemon, port in self.ports.items():
            server = HttpServer(port, self.world.link(daemon, self.name),
                                lambda m, t, h, b, d=daemon: self.handle(d, t, h, b))
            await server.start()
            self.servers.append(server)
        self.tasks = [asyncio.ensure_future(self.beats()), asyncio.ensure_future(self.work())]

    async def carry_out_late_orders(self):
        """Orders that were held up on their way arrive, whichever incarnation is there now."""
        orders, self.late_orders = self.late_orders, []
        for sent_at, daemon, body in orders:
            if body.get("fencing_token", 0) < self.token:
                answer = 409, {"reason": "fence"}
            else:
                self.token = body.get("fencing_token", 0)
                answer = await self.run_start(daemon, body)
            self.world.record.line("start of %s run %d on %s, sent %.1f s before, is carried out: %d %s" % (
                body["task"], body["run_id"], self.name, (now_ms() - sent_at) / 1000, answer[0],
                answer[1].get("reason", "")))

    def crash(self):
        """Ends without notice; its entry is removed after three heartbeats."""
        self.is_up = False
        for server in self.servers:
            server.stop()
        self.servers = []
        for task in self.tasks:
            task.cancel()
        lost, self.running = self.running, {}
        for name, run in lost.items():
            self.world.on_end(self, name, run["run"], "lost with its executor")
            asyncio.ensure_future(self.world.break_gang(run, name))
        self.world.record.line("executor %s crashes" % self.name)

    async def beat(self):
        self.seq += 1
        self.seen_beat = now_ms()
        entry = {"backend": self.service, "address": "%s-address" % self.name, "zone": self.zone, "version": "v1",
                 "slots": 8, "state": "draining" if self.drains_until else "ready", "cold_remaining_ms": 0,
                 "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpu": 0}, "labels": self.labels,
                 "clock_ms": self.clock(), "seq": self.seq, "born": self.born}
        if self.drains_until:
            entry["remaining_ms"] = max(0, int(self.drains_until - now_ms()))
        if not self.store_link.is_cut:
            await self.world.store.put("servers/" + self.name, entry)

    def drain(self, seconds):
        """Leaves gracefully: says so, serves on for that time, and is gone."""
        self.drains_until = now_ms() + seconds * 1000
        self.world.record.line("executor %s drains and leaves after %.1f s" % (self.name, seconds))
        asyncio.ensure_future(self.leave(seconds))

    async def leave(self, seconds):
        await self.beat()
        await asyncio.sleep(seconds)
        self.crash()
        await self.world.store.remove("servers/" + self.name)

    async def beats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.beat()

    async def work(self):
        while True:
            await asyncio.sleep(0.01)
            clock = self.clock()
            for name, run in list(self.running.items()):
                if clock >= self.lease_end:
                    await self.end(name, "lapsed")
                elif run["stopped_at"] and clock >= run["stopped_at"]:
                    await self.end(name, "stopped")
                elif not run["stopped_at"] and run["ends_at"] and clock >= run["ends_at"]:
                    await self.end(name, "done")
                elif run["gang"] and len(self.world.gangs[run["gang"]]) < run["members"] \
                        and clock - run["started_at"] > BOUNDS["gang_timeout_ms"]:
                    await self.end(name, "alone")

    async def end(self, name, how):
        run = self.running.pop(name, None)
        if run is None:  # ended with another member of its gang
            return
        self.closed[name] = max(self.closed.get(name, 0), run["run"])
        self.end_number += 1
        self.finished.append([self.end_number, name, run["run"], how, ""])
        self.world.on_end(self, name, run["run"], how)
        async with self.ended:
            self.ended.notify_all()
        await self.world.break_gang(run, name)

    def report(self):
        clock = self.clock()
        rows = []
        for name, run in self.running.items():
            total = run["ends_at"] - run["started_at"]
            percent = 100 if total <= 0 else min(99, int(100 * (clock - run["started_at"]) / total))
            if run["gang"] and len(self.world.gangs[run["gang"]]) < run["members"]:
                percent = 0
            rows.append([name, run["run"], "", percent, 3 if run["ends_at"] == 0 else run["cpu"]])
        return {"clock_ms": clock, "born": self.born, "running": rows, "finished": self.finished[:ENDS_PER_REPORT]}

    def extend_lease(self, body):
        if body.get("expires_ms", 0) > 0:
            self.lease_end = max(self.lease_end, min(body["expires_ms"], self.clock() + BOUNDS["max_hold_ms"]))

    async def handle(self, daemon, target, headers, data):
        body = json.loads(data) if data else {}
        if headers.get("lacewingloft-expect-instance", self.name) != self.name:
            return 421, {"clock_ms": self.clock()}
        token = body.get("fencing_token", 0)
        if token < self.token:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.token = token
        if target == "/hold":
            return await self.hold(body)
        if target == "/run-start" and self.is_late(body):
            self.late_orders.append((now_ms(), daemon, body))
            self.world.record.line("start of %s run %d on %s is held up" % (body["task"], body["run_id"], self.name))
            return None
        if target == "/run-start":
            return await self.run_start(daemon, body)
        if target == "/run-stop":
            return await self.run_stop(body)
        return 404, {"clock_ms": self.clock()}

    async def hold(self, body):
        self.extend_lease(body)
        self.finished = [row for row in self.finished if row[0] > body.get("seen_seq", 0)]
        wait = body.get("wait_ms", 0)
        if wait and not self.finished:
            async with self.ended:
                try:
                    await asyncio.wait_for(self.ended.wait_for(lambda: self.finished), wait / 1000)
                except asyncio.TimeoutError:
                    pass
        return 200, self.report()

    def used(self):
        return sum(run["cpu"] for run in self.running.values()), sum(run["mem_mb"] for run in self.running.values())

    async def run_start(self, daemon, body):
        name, number = body["task"], body["run_id"]
        if name in self.running and self.running[name]["run"] == number:
            return 200, {"clock_ms": self.clock()}
        if number <= self.closed.get(name, 0) or name in self.running:
            self.extend_lease(body)
            return 409, {"clock_ms": self.clock(), "reason": "old"}
        if body["expires_ms"] < self.clock():
            return 409, {"clock_ms": self.clock(), "reason": "late"}
        shape = json.loads(body["spec"].lstrip("\ufeff"))
        cpu, mem_mb = self.used()
        if self.guards and (cpu + shape["cpu"] > self.cpu or mem_mb + shape["mem_mb"] > self.mem_mb):
            self.extend_lease(body)
            return 409, {"clock_ms": self.clock(), "reason": "room"}
        self.extend_lease(body)
        clock = self.clock()
        self.running[name] = {
            "run": number, "started_at": clock, "ends_at": clock + shape["ms"] if shape["ms"] else 0,
            "stop_ms": shape.get("stop_ms", 100), "stopped_at": 0, "cpu": shape["cpu"], "mem_mb": shape["mem_mb"],
            "members": shape.get("gang", 0), "gang": (name.rsplit(".", 1)[0], number) if "gang" in shape else None}
        if "gang" in shape:
            self.world.gangs.setdefault(self.running[name]["gang"], {})[name] = self
        self.world.on_start(self, daemon, name, number, body)
        return 200, {"clock_ms": self.clock()}

    async def run_stop(self, body):
        name, number = body["task"], body["run_id"]
        self.closed[name] = max(self.closed.get(name, 0), number)
        run = self.running.get(name)
        if run and run["run"] <= number and not run["stopped_at"]:
            run["stopped_at"] = self.clock() + run["stop_ms"]
            self.world.record.line("executor %s is told to stop %s run %d" % (self.name, name, number))
        return 200, {"clock_ms": self.clock()}


# --- Daemons ---

class Daemon:
    def __init__(self, world, name, zone):
        self.world, self.name, self.zone = world, name, zone
        self.callers, self.ready, self.admin, self.peers, self.store = free_ports(5)
        self.process = None
        self.server = None

    def settings(self):
        with open(os.path.join(ROOT, "deploy", "settings.json"), encoding="utf-8") as file:
            text = file.read()
        values = {
            "node": self.name, "zone": self.zone, "ip": HOST, "internal_ports": [self.peers],
            "limits": {"cpu_share": self.world.cpu_share, "link_mbps": 1000.0, "memory_mb": 260, "max_fds": 4100},
            "listen_addrs": {"front": "%s:%d" % (HOST, self.callers), "ready": "%s:%d" % (HOST, self.ready),
                             "control": "%s:%d" % (HOST, self.admin)},
            "platform": {"address": "%s:%d" % (HOST, self.store)}, "bounds": BOUNDS}
        return render(text, values)

    async def start(self):
        path = os.path.join(self.world.folder, self.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        if self.server is None:
            self.server = HttpServer(self.store, self.world.link(self.name, "store"),
                                     lambda m, t, h, b: self.world.store.handle(self.name, m, t, b))
            await self.server.start()
        command = self.world.command.split(" ")
        if not os.path.exists(os.path.join(ROOT, command[0])):
            raise CannotRun("%s is missing: run the build of the deploy file" % command[0])
        with open(os.path.join(self.world.folder, self.name + ".log"), "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL,
                env={"PATH": os.environ.get("PATH", ""), "HOME": self.world.folder, "LACEWINGLOFT_SETTINGS": path})
        self.world.record.line("daemon %s starts" % self.name)

    def signal(self, number):
        self.world.record.line("daemon %s gets %s" % (self.name, signal.Signals(number).name))
        self.process.send_signal(number)

    async def wait_for_exit(self):
        code = await self.process.wait()
        self.world.record.line("daemon %s has ended with %d" % (self.name, code))
        return code

    async def status(self):
        code, body = await request(self.admin, "GET", "/v1/status", {"Host": HOST}, timeout=1.0)
        return json.loads(body) if code == 200 else {}


def render(text, values):
    """The template of the deploy file with the platform's fields (DEPLOY.md), as far as this project uses them."""
    def look_up(path, scope):
        value = scope
        for part in path.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match):
        value = look_up(match.group(1), values)
        return match.group(2).replace("{{.|json}}", json.dumps(value)) if value else ""

    text = re.sub(r"\{\{#([a-z_.0-9]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
    text = re.sub(r"\{\{([a-z_.0-9]+)\|json\}\}", lambda m: json.dumps(look_up(m.group(1), values)), text)
    return re.sub(r"\{\{([a-z_.0-9]+)\}\}", lambda m: str(look_up(m.group(1), values)), text)


class PeerProxy:
    """TCP proxy from one daemon to the address of another one for daemons."""

    def __init__(self, port, target, link):
        self.port, self.target, self.link = port, target, link
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port)

    async def serve(self, reader, writer):
        generation = self.link.generation
        if self.link.is_reset:
            writer.transport.abort()
            return
        self.link.transports.add(writer.transport)
        try:
            other_reader, other_writer = await asyncio.open_connection(HOST, self.target)
        except OSError:
            if self.link.is_cut:
                await HttpServer.wait_for_end(reader)
            writer.transport.abort()
            return

        async def copy(source, sink):
            try:
                while True:
                    data = await source.read(65536)
                    if not data:
                        break
                    if not self.link.is_cut and self.link.generation == generation:
                        sink.write(data)
                        await sink.drain()
            except (ConnectionError, asyncio.CancelledError):
                pass
            sink.transport.abort()

        await asyncio.gather(copy(reader, other_writer), copy(other_reader, writer))
        self.link.transports.discard(writer.transport)


# --- World ---

class World:
    def __init__(self, folder, record_path, cpu_share=1.0):
        self.folder, self.cpu_share = folder, cpu_share
        self.record = Record(record_path)
        self.store = Store(self.record)
        self.daemons, self.executors, self.links = {}, {}, {}
        self.runs = []         # dict: task, run, executor, spec, started, ended, how
        self.gangs = {}        # (step, run): members that are there, with their executors
        self.violations = []
        self.start_checks = []  # called with (executor, daemon, run) at each start
        with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
            self.command = re.search(r'^run = "(.*)"', file.read(), re.M).group(1)

    def link(self, a, b):
        return self.links.setdefault(tuple(sorted((a, b))), Link())

    def violate(self, text):
        self.violations.append(text)
        self.record.line("RULE BROKEN: " + text)

    def on_start(self, executor, daemon, task, run, body):
        entry = {"task": task, "run": run, "executor": executor.name, "spec": body["spec"], "started": now_ms(),
                 "ended": None, "how": None, "checkpointed": body.get("checkpointed", "")}
        self.record.line("start of %s run %d on %s, by %s, token %d" % (
            task, run, executor.name, daemon, body["fencing_token"]))
        for other in self.runs:
            if other["task"] == task and other["ended"] is None:
                self.violate("TWICE: %s runs on %s (run %d) and on %s (run %d) at the same time" % (
                    task, other["executor"], other["run"], executor.name, run))
        self.runs.append(entry)
        for check in self.start_checks:
            check(executor, daemon, entry)

    def on_end(self, executor, task, run, how):
        self.record.line("end of %s run %d on %s: %s" % (task, run, executor.name, how))
        for entry in self.runs:
            if entry["task"] == task and entry["run"] == run and entry["executor"] == executor.name \
                    and entry["ended"] is None:
                entry["ended"], entry["how"] = now_ms(), how

    async def break_gang(self, run, name):
        """A member has ended: so do the others of its run."""
        if not run["gang"]:
            return
        members = self.gangs[run["gang"]]
        members.pop(name, None)
        for other, executor in list(members.items()):
            if other in executor.running and executor.running[other]["gang"] == run["gang"]:
                await executor.end(other, "broken")

    def add_daemon(self, name, zone):
        self.daemons[name] = Daemon(self, name, zone)

    def add_executor(self, name, zone, **shape):
        self.executors[name] = Executor(self, name, zone, **shape)

    async def start(self, configuration):
        """Starts executors and daemons; addresses are placeholders in the store, as each daemon has its own ports."""
        await self.store.put("op/config", configuration)
        for name, daemon in self.daemons.items():
            view = []
            for executor in self.executors.values():
                executor.ports[name] = free_ports(1)[0]
                view.append((b'"%s-address"' % executor.name.encode(),
                             b'"%s:%d"' % (HOST.encode(), executor.ports[name])))
            for other in self.daemons.values():
                if other is daemon:
                    continue
                port = free_ports(1)[0]
                await PeerProxy(port, other.peers, self.link(name, other.name)).start()
                view.append((b"%s:%d" % (HOST.encode(), other.peers), b"%s:%d" % (HOST.encode(), port)))
            self.store.views[name] = view
        for executor in self.executors.values():
            await executor.start()
        self.expiry = asyncio.ensure_future(self.expire_entries())
        for daemon in self.daemons.values():
            await daemon.start()

    async def expire_entries(self):
        while True:
            await asyncio.sleep(0.1)
            for executor in self.executors.values():
                silent_ms = now_ms() - executor.seen_beat
                is_silent = not executor.is_up or executor.store_link.is_cut
                if is_silent and silent_ms > SILENT_HEARTBEATS * HEARTBEAT_S * 1000 \
                        and "servers/" + executor.name in self.store.items:
                    self.record.line("the store removes the entry of %s" % executor.name)
                    await self.store.remove("servers/" + executor.name)

    def zone_links(self, zone):
        """All links between the machines of the zone and the rest of the world, the store included."""
        inside = {m.name for m in list(self.daemons.values()) + list(self.executors.values()) if m.zone == zone}
        outside = {m.name for m in list(self.daemons.values()) + list(self.executors.values())} - inside | {"store"}
        return [self.link(a, b) for a in inside for b in outside] \
            + [e.store_link for e in self.executors.values() if e.zone == zone]

    def cut_zone(self, zone, is_reset=False):
        for link in self.zone_links(zone):
            link.cut(is_reset)
        self.record.line("zone %s is cut off from the other zones and from the store" % zone)

    def heal_zone(self, zone):
        for link in self.zone_links(zone):
            link.heal()
        self.record.line("zone %s is back" % zone)

    async def wait_until(self, condition, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return result
            await asyncio.sleep(0.05)
        return None

    async def leader(self):
        for daemon in self.daemons.values():
            if daemon.process and daemon.process.returncode is None \
                    and (await daemon.status()).get("role") == "leader":
                return daemon
        return None

    async def are_ready(self):
        for daemon in self.daemons.values():
            code, _ = await request(daemon.ready, "GET", "/readiness", {"Host": HOST}, timeout=1.0)
            if code != 200:
                return False
        return await self.leader() is not None

    async def boot(self, document):
        await self.start(document)
        if not await self.wait_until(self.are_ready, 15):
            raise CannotRun("the daemons did not become ready")
        await asyncio.sleep(1)

    async def submit(self, daemon, job_id, steps, spec, prefix="/jobs/", **options):
        """One attempt of a client to hand a job in."""
        body = json.dumps({"spec": spec, "steps": steps}, ensure_ascii=False).encode()
        code, text = await request(daemon.callers, "POST", prefix + job_id,
                                   {"Host": "jobs.example", "Lacewingloft-Deadline-Ms": "3000"}, body, **options)
        self.record.line("POST %s at %s: %s %s" % (job_id, daemon.name, code, text))
        return code

    async def state(self, daemon, job_id, prefix="/jobs/"):
        code, text = await request(daemon.callers, "GET", prefix + job_id,
                                   {"Host": "jobs.example", "Lacewingloft-Deadline-Ms": "3000"})
        self.record.line("GET %s at %s: %s %s" % (job_id, daemon.name, code, text))
        return json.loads(text).get("state") if code == 200 else code

    async def cancel(self, daemon, job_id, prefix="/jobs/"):
        code, text = await request(daemon.callers, "DELETE", prefix + job_id,
                                   {"Host": "jobs.example", "Lacewingloft-Deadline-Ms": "3000"})
        self.record.line("DELETE %s at %s: %s %s" % (job_id, daemon.name, code, text))
        return code

    async def stop(self):
        for daemon in self.daemons.values():
            if daemon.process and daemon.process.returncode is None:
                daemon.process.kill()
                await daemon.process.wait()
        for executor in self.executors.values():
            for server in executor.servers:
                server.stop()


def configuration(version=1, rejects_overload=True, max_attempts=3):
    route = {"name": "r-jobs", "hostname": "jobs.example", "prefix": "/jobs/", "type": "non_idempotent",
             "timeout_ms": 3000, "goal_ms": 1000, "priority": 0, "backend": "pool", "max_attempts": max_attempts,
             "stretch": 2.0}
    service = {"name": "pool", "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": False,
               "cold_start_s": 0.0, "cold_per_s": 0.0, "rejects_overload": rejects_overload, "standby": False}
    return {"version": version, "routes": [route], "services": [service],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}


def step(count, cpu=1000, mem_mb=500, estimate_ms=1000, **more):
    return dict({"count": count, "cpu": cpu, "mem_mb": mem_mb, "estimate_ms": estimate_ms}, **more)


def spec_of(ms, cpu=1000, mem_mb=500, stop_ms=100):
    return json.dumps({"ms": ms, "cpu": cpu, "mem_mb": mem_mb, "stop_ms": stop_ms})


class CannotRun(Exception):
    """The case could not be played as intended, so that it says nothing about the rule."""


def main(play):
    """Runs `play(world, has_trouble)` and writes the record to the file that the first argument names. Ends with 1 if a
    rule was broken, 0 if all held, 2 if it could not run."""
    import tempfile
    record_path = os.path.join(os.path.dirname(os.path.abspath(sys.argv[0])), sys.argv[1])
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run(work):
        world = World(work, record_path)
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            await asyncio.wait_for(play(world, has_trouble), 110)
        finally:
            await world.stop()
        return world

    with tempfile.TemporaryDirectory() as work:
        try:
            world = asyncio.run(run(work))
        except (CannotRun, asyncio.TimeoutError, asyncio.CancelledError, OSError) as error:
            print("could not run: %s" % (error or type(error).__name__))
            keep_logs(work)
            sys.exit(2)
        keep_logs(work)
    for text in world.violations[:20]:
        print("broken: " + text)
    print("%d violations" % len(world.violations))
    sys.exit(1 if world.violations else 0)


def keep_logs(work):
    """Copies the daemons' logs where REVIEW_LOGS names a folder, for a look at a run."""
    target = os.environ.get("REVIEW_LOGS")
    if not target:
        return
    import shutil
    os.makedirs(target, exist_ok=True)
    for name in os.listdir(work):
        if name.endswith(".log"):
            shutil.copy(os.path.join(work, name), target)
