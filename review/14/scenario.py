"""A start that gets no answer, then a killed leader, then a worker that is back under its id. The rule TWICE is judged.

The first worker that is told to start the task leaves both calls unanswered and carries them out late (PROTOCOL.md: "A call
that receives no response may have been executed. It may also be executed seconds later, after newer calls.").
"""
import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-3"))
import platform3  # noqa: E402
from platform3 import Client, Deployment, HttpServer, Worker, main  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
JOB = "00000000000000a1"
TASK = JOB + ".0.0.0"
RUN_MS = 20000
SHORT_JOB = "00000000000000b2"  # it makes the last worker the best one for the task, for a second
DOWN_S = 1.0


class Trouble:
    held = []  # (time, worker, request): calls without an answer, to be carried out late
    runs = {}  # workers that run the task
    overlaps = []


class LateWorker(Worker):
    async def handle(self, method, path, query, headers, body):
        is_start = path == "/run-start" and TASK.encode() in body
        if TROUBLE and is_start and len(Trouble.held) < 2 and (not Trouble.held or Trouble.held[0][1] is self):
            Trouble.held.append((time.monotonic(), self, (method, path, query, headers, body)))
            self.record("start left unanswered", worker=self.name, body=body.decode())
            await asyncio.sleep(30)
            raise ConnectionError
        return await super().handle(method, path, query, headers, body)

    def run_start(self, request, clock):
        before = len(self.starts)
        answer = super().run_start(request, clock)
        if len(self.starts) > before and request["task"] == TASK:
            others = [name for name, (worker, _) in Trouble.runs.items() if TASK in worker.running and worker is not self]
            if others:
                Trouble.overlaps.append((self.name, request["run_id"], others))
                self.record("OVERLAP", worker=self.name, run=request["run_id"], others=others)
            Trouble.runs[self.name] = (self, request["run_id"])
        return answer

    async def crash(self):
        """Ends without notice, and is back under its id: it knows nothing of before and its clock starts anew."""
        self.record("worker crashed", worker=self.name)
        port = self.http.port
        self.http.stop()
        for task in self.tasks:
            task.cancel()
        self.running.clear()
        await asyncio.sleep(DOWN_S)
        self.ended, self.highest, self.last_end, self.token, self.lease, self.seq = [], {}, 0, 0, 0, 0
        self.origin, self.born = now() - 10, int(time.time() * 1000)
        self.http = await HttpServer(self.handle).start(port)
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.tick())]
        self.record("worker back", worker=self.name)


def now():
    return platform3.now_ms()


async def until(condition, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end and not condition():
        await asyncio.sleep(0.02)
    return condition()


async def disturb(deployment):
    if not await until(lambda: len(Trouble.held) == 2, 5):
        return False
    await asyncio.sleep(0.2)
    leader = await deployment.leader()
    if not leader:
        return False
    leader.signal(signal.SIGKILL)
    if not await until(lambda: Trouble.runs, 9):
        return False
    worker = Trouble.held[0][1]
    await asyncio.sleep(max(0, Trouble.held[1][0] + 2.1 - DOWN_S - time.monotonic()))  # carried out 2 to 12 s later
    await worker.crash()
    for sent, _, call in Trouble.held:
        late = time.monotonic() - sent
        if not 2 <= late <= 12:
            return False
        status, answer = await Worker.handle(worker, *call)
        deployment.record("start carried out late", worker=worker.name, late_s=round(late, 2), status=status, answer=answer)
    return True


def cost(task):
    return (3000, 1000) if task.startswith(SHORT_JOB) else (1000, RUN_MS)


def job_of(tasks, cpu, estimate_ms):
    return {"spec": "x", "steps": [{"count": tasks, "cpu": cpu, "mem_mb": 100, "estimate_ms": estimate_ms}]}


async def scenario():
    platform3.Worker = LateWorker
    async with Deployment(FOLDER, cost, workers=8) as deployment:
        if not await deployment.ready():
            return 2
        await asyncio.sleep(4)
        client = Client(deployment.daemons, deployment.record)
        for job, tasks, cpu, run_ms in [(SHORT_JOB, 7, 3000, 1000), (JOB, 1, 1000, RUN_MS)]:
            if not await client.submit(job, job_of(tasks, cpu, run_ms)):
                return 2
            await asyncio.sleep(0.25)
        if TROUBLE and not await disturb(deployment):
            return 2
        await asyncio.sleep(5)
        starts = [(worker.name, task) for worker in deployment.workers for task, _ in worker.starts if task == TASK]
        print(f"starts of the task {starts}; two runs at the same time {Trouble.overlaps}")
        deployment.record("verdict", overlaps=Trouble.overlaps, starts=starts)
        return 1 if Trouble.overlaps else 0 if starts else 2


main(FOLDER, scenario)
