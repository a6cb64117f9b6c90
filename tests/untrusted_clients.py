#!/usr/bin/env python3
"""Plays one crowd of hostile clients against a real lacewingd and checks that the process survives it.

Guards against a daemon that is killed for its memory, runs out of descriptors, hangs, or keeps what a crowd made it hold.
Starts lacewing-standin and lacewingd on loopback with lowered limits. The bounds do not depend on the speed of the machine;
the give-up times only end a run that hangs.

Usage: untrusted_clients.py [--build DIR] [--base-port N] [--clients-factor F] [--descriptors N] CROWD
       untrusted_clients.py --list
"""
import argparse
import base64
import http.client
import json
import os
import random
import resource
import selectors
import socket
import struct
import subprocess
import sys
import tempfile
import time

# --- Limits in the test's settings, and the bounds ---
MEMORY_MB = 160  # smallest machine
DESCRIPTORS = 512
PEAK_MB = 110  # resident memory at any time; idle 23 MB
SETTLED_MB = 50  # resident memory after the crowd has left
UNREAD_MB = 32  # bytes in the kernel's receive buffers of the daemon's listeners
SPARE_DESCRIPTORS = 16  # above the number before the crowd, after it has left

# --- Give-up times in s, on a busy machine ---
START_LIMIT = 60
CROWD_LIMIT = 120
ANSWER_LIMIT = 60
SETTLE_LIMIT = 60
BLOCKED = 2  # without progress of any client, the crowd has sent what the daemon takes

CALLERS, READINESS, ADMIN, PEERS = range(4)
HTTP = (CALLERS, READINESS, ADMIN)
HEAD = b"POST /jobs/%016x HTTP/1.1\r\nHost: jobs.example\r\nContent-Type: application/json\r\n"


class Client:
    """One connection: sends the pieces in order, never reads, then keeps the connection or resets it."""

    def __init__(self, listener, pieces=(), pause=0.0, resets=False):
        self.listener, self.pieces, self.pause, self.resets = listener, iter(pieces), pause, resets
        self.socket, self.rest, self.next_at, self.is_done = None, b"", 0.0, False

    def finish(self):
        self.is_done = True
        if self.resets:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.socket.close()

    def send(self, now):
        """Returns True when bytes were taken or the client is done."""
        if not self.rest:
            self.rest = next(self.pieces, b"")
            self.next_at = now + self.pause
        try:
            if self.rest:
                self.rest = self.rest[self.socket.send(self.rest):]
                return True
        except BlockingIOError:
            return False
        except OSError:
            pass
        self.finish()
        return True


# --- Kinds of clients; index is the number of the client in its crowd ---
def chunks(index, size, count):
    yield HEAD % index + b"Transfer-Encoding: chunked\r\n\r\n"
    piece = b"%x\r\n" % size + b"x" * size + b"\r\n"
    batch = max(1, 65536 // len(piece))
    for _ in range(count // batch):
        yield piece * batch


def length(index, announced, sent):
    yield HEAD % index + b"Content-Length: %d\r\n\r\n" % announced
    for _ in range(sent // 65536):
        yield b"x" * 65536


def large_chunks(index):
    return Client(HTTP[index % 3], chunks(index, 65536, 15))


def small_chunks(index):
    return Client(HTTP[index % 3], chunks(index, 1, 20000))


def unfinished_length(index):
    return Client(HTTP[index % 3], length(index, 1000000, 983040))


def oversized(index):
    if index % 2:
        return Client(HTTP[index % 3], length(index, 50000000, 1048576))
    return Client(HTTP[index % 3], chunks(index, 65536, 64))


def unread_pipeline(index):
    path = (b"/jobs/%016x" % index, b"/readiness", b"/metrics")[index % 3]
    request = b"GET " + path + b" HTTP/1.1\r\nHost: jobs.example\r\n\r\n"
    return Client(HTTP[index % 3], (request * 1000 for _ in range(100)))


def slow_head(index):
    text = HEAD % index + b"X-Filler: " + b"x" * 200
    return Client(HTTP[index % 3], (text[i:i + 4] for i in range(0, len(text), 4)), pause=0.05)


def abandoned(index):
    return Client(HTTP[index % 3])


def reset(index):
    complete = HEAD % index + b"Content-Length: 2\r\n\r\n{}"
    pieces = [(), [complete[:9]], [complete[:-2]], [complete[:-1]], [complete], [complete * 50],
              chunks(index, 65536, 8)][index % 7]
    return Client(HTTP[index % 3], pieces, resets=True)


# The handshake of nng's TCP transport as a client of req0, then the length of a message and its start.
NNG_HELLO = b"\0SP\0" + struct.pack(">HH", 0x30, 0)


def unfinished_frame(index):
    size = 2097152 if index % 2 else 32768  # both within the limit of 2 MiB

    def pieces():
        yield NNG_HELLO
        yield struct.pack(">Q", size) + struct.pack(">I", 0x80000000 + index)
        for _ in range(size // 1024 - 1):
            yield b"x" * 1024
    return Client(PEERS, pieces())


def large_frame(index):
    announced = (1 << 62, 2097153, 0, 7)[index % 4]
    hello = NNG_HELLO if index % 5 else b"GET / HTTP/1.1\r\n\r\n"
    return Client(PEERS, [hello, struct.pack(">Q", announced) + b"x" * 65536])


KINDS = {
    "large-chunks": (large_chunks, 200),
    "small-chunks": (small_chunks, 150),
    "unfinished-length": (unfinished_length, 200),
    "oversized": (oversized, 90),
    "unread-pipeline": (unread_pipeline, 24),
    "slow-heads": (slow_head, 200),
    "abandoned": (abandoned, 600),
    "resets": (reset, 420),
    "unfinished-frames": (unfinished_frame, 160),
    "large-frames": (large_frame, 90),
}


def crowd(name, factor):
    if name == "mixture":
        clients = [kind(i) for kind, count in KINDS.values() for i in range(int(count * factor / 5))]
        random.Random(1).shuffle(clients)
        return clients
    kind, count = KINDS[name]
    return [kind(i) for i in range(int(count * factor))]


# --- The system's processes ---
class System:
    def __init__(self, build, base, descriptors):
        self.base, self.folder = base, tempfile.TemporaryDirectory()
        self.processes = []
        operator = f"127.0.0.1:{base + 11}"
        self.run(build + "/lacewing-standin", "--store", f"127.0.0.1:{base + 10}", "--operator", operator,
                 "--first-port", str(base + 20))
        config = {"version": 1, "routes": [{"name": "jobs", "hostname": "jobs.example", "prefix": "/jobs/",
                  "timeout_ms": 3000, "goal_ms": 1000, "priority": 0, "backend": "pool", "max_attempts": 3,
                  "stretch": 2}], "services": [{"name": "pool", "rejects_overload": True}], "limits": {}}
        write = {"writes": [{"key": "op/config", "value": base64.b64encode(json.dumps(config).encode()).decode()}]}
        wait_for(lambda: self.request(base + 11, "POST", "/kv-txn", json.dumps(write)) == 200, START_LIMIT)
        listen = {name: f"127.0.0.1:{base + i}" for i, name in enumerate(("callers", "readiness", "admin", "peers"))}
        settings = {"daemon": {"name": "d0", "dataCentre": "dc1"}, "listen": listen,
                    "store": {"address": f"127.0.0.1:{base + 10}"}, "log": {"level": "notice"}}
        # Versions without these settings refuse them; the bounds hold for all.
        if "limits.memoryMb" in subprocess.run([build + "/lacewingd", "--settings-schema"], capture_output=True,
                                               text=True, check=True).stdout:
            settings["limits"] = {"memoryMb": MEMORY_MB, "descriptors": descriptors}
        path = self.folder.name + "/settings.json"
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.daemon = self.run(build + "/lacewingd", "--settings", path)
        wait_for(lambda: self.request(base + READINESS, "GET", "/readiness") == 200, START_LIMIT)
        wait_for(self.is_answered, START_LIMIT)

    def run(self, *command):
        log = open(f"{self.folder.name}/{len(self.processes)}.log", "w", encoding="utf-8")
        self.processes.append(subprocess.Popen(command, stdout=log, stderr=log))
        return self.processes[-1]

    def stop(self):
        for process in reversed(self.processes):
            process.kill()
            process.wait()

    @staticmethod
    def request(port, method, path, body=None):
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
        try:
            connection.request(method, path, body, {"Host": "jobs.example"})
            return connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()

    def is_answered(self):
        """An ordinary request: the state of an unknown job."""
        return self.request(self.base + CALLERS, "GET", "/jobs/ffffffffffffffff") == 410

    def memory(self, field):  # MB
        with open(f"/proc/{self.daemon.pid}/status", encoding="utf-8") as file:
            return next((int(line.split()[1]) / 1024 for line in file if line.startswith(field + ":")), 0)

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.daemon.pid}/fd"))

    def unread(self):  # MB
        total = 0
        with open("/proc/net/tcp", encoding="utf-8") as file:
            for fields in (line.split() for line in file):
                local = fields[1].rpartition(":")[2]
                if fields[3] == "01" and self.base <= int(local, 16) < self.base + 4:
                    total += int(fields[4].rpartition(":")[2], 16)
        return total / 1048576

    def is_alive(self):
        return self.daemon.poll() is None


def wait_for(condition, limit):
    end = time.monotonic() + limit
    while not condition():
        if time.monotonic() > end:
            return False
        time.sleep(0.1)
    return True


class Peaks:
    def __init__(self, system):
        self.system, self.descriptors, self.unread, self.next_at = system, 0, 0.0, 0.0

    def sample(self, now):
        if now < self.next_at or not self.system.is_alive():
            return
        self.next_at = now + 0.1
        self.descriptors = max(self.descriptors, self.system.descriptors())
        self.unread = max(self.unread, self.system.unread())


def play(clients, system, peaks):
    """Sends until every client is done or none makes progress."""
    selector = selectors.DefaultSelector()
    for client in clients:
        client.socket = socket.socket()
        client.socket.setblocking(False)
        client.socket.connect_ex(("127.0.0.1", system.base + client.listener))
        selector.register(client.socket, selectors.EVENT_WRITE, client)
    start = progress = now = time.monotonic()
    waiting = []  # clients that pause
    while (selector.get_map() or waiting) and now < min(start + CROWD_LIMIT, progress + BLOCKED):
        for key, _ in selector.select(0.02):
            client = key.data
            now = time.monotonic()
            progress = now if client.send(now) else progress
            if client.is_done or client.pause:
                selector.unregister(key.fileobj)
                waiting += [] if client.is_done else [client]
        now = time.monotonic()
        for client in [client for client in waiting if client.next_at <= now]:
            waiting.remove(client)
            selector.register(client.socket, selectors.EVENT_WRITE, client)
        peaks.sample(now)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("crowd", nargs="?", choices=[*KINDS, "mixture"])
    parser.add_argument("--list", action="store_true")
    parser.add_argument("--build", default="build")
    parser.add_argument("--base-port", type=int, default=25000)
    parser.add_argument("--clients-factor", type=float, default=1)
    parser.add_argument("--descriptors", type=int, default=DESCRIPTORS)
    options = parser.parse_args()
    if options.list or not options.crowd:
        print("\n".join([*KINDS, "mixture"]))
        return 0
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 16384), hard))
    system = System(options.build, options.base_port, options.descriptors)
    try:
        return check(options, system)
    finally:
        system.stop()


def check(options, system):
    failures = []

    def expect(condition, text):
        if not condition:
            failures.append(text)

    idle, idle_descriptors = system.memory("VmRSS"), system.descriptors()
    peaks = Peaks(system)
    clients = crowd(options.crowd, options.clients_factor)
    play(clients, system, peaks)
    expect(wait_for(lambda: not system.is_alive() or system.is_answered(), ANSWER_LIMIT),
           "no ordinary request was answered beside the crowd")
    peaks.sample(time.monotonic() + 1)
    peak = system.memory("VmHWM") if system.is_alive() else 0
    for client in clients:
        client.socket.close()
    if not system.is_alive():
        print(f"{options.crowd}: the daemon ended with {system.daemon.returncode}")
        return 1

    def is_settled():
        return (system.memory("VmRSS") <= SETTLED_MB
                and system.descriptors() <= idle_descriptors + SPARE_DESCRIPTORS)

    expect(wait_for(is_settled, SETTLE_LIMIT), "memory or descriptors are not released")
    expect(wait_for(system.is_answered, ANSWER_LIMIT), "no ordinary request is answered after the crowd")
    expect(peak <= PEAK_MB, f"peak memory above {PEAK_MB} MB")
    expect(peaks.unread <= UNREAD_MB, f"more than {UNREAD_MB} MB in receive buffers")
    expect(peaks.descriptors <= options.descriptors, f"more than {options.descriptors} descriptors")
    print(f"{options.crowd}: {len(clients)} clients, idle {idle:.0f} MB, peak {peak:.0f} MB, settled "
          f"{system.memory('VmRSS'):.0f} MB, unread {peaks.unread:.1f} MB, descriptors {peaks.descriptors}"
          + "".join(f"; {failure}" for failure in failures))
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
