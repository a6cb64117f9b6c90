"""Six jobs that run each minute, 10,000 times, and a small one. The rule LOST is judged as written, for the small job.

The supervisor kills a process whose resident memory exceeds memory_mb and starts it again (DEPLOY.md).
"""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-3"))
from platform3 import Client, Deployment, main  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
REPEATS = 10000 if TROUBLE else 100
STANDING, TASKS = 6, 10
FINISH_S, IDLE_S = 14, 3
SMALL = "00000000000000ff"


async def scenario():
    async with Deployment(FOLDER, lambda task: (1000, 300), workers=8) as deployment:
        if not await deployment.ready():
            return 2
        client = Client(deployment.daemons, deployment.record)
        step = {"count": TASKS, "cpu": 1000, "mem_mb": 100, "estimate_ms": 300}
        start = int(time.time() * 1000) + 8000
        for i in range(STANDING):
            if not await client.submit(f"{i + 1:016x}", {"spec": "each minute", "steps": [step],
                                                         "repeat_count": REPEATS, "start_at_ms": start + 500 * i,
                                                         "interval_ms": 60000}):
                return 2
            await asyncio.sleep(1)
        if not await client.submit(SMALL, {"spec": "small", "steps": [{**step, "count": 1}]}):
            return 2
        await asyncio.sleep(FINISH_S)
        idle_since, is_broken = None, False
        end = time.monotonic() + 30
        while time.monotonic() < end:
            await asyncio.sleep(0.05)
            is_idle = SMALL not in deployment.done and not any(
                task.startswith(SMALL) for w in deployment.workers for task in w.running)
            idle_since = (idle_since or time.monotonic()) if is_idle else None
            is_broken = is_broken or (idle_since is not None and time.monotonic() - idle_since > IDLE_S)
        state = await client.state(SMALL)
        timed = sum(len(tasks) for job, tasks in deployment.done.items() if job != SMALL)
        print(f"small job: {state}, ended done {len(deployment.done.get(SMALL, ()))} of 1; tasks of the standing jobs "
              f"ended done {timed}")
        for daemon in deployment.daemons:
            print(f"{daemon.name}: peak {daemon.peak_mb:.0f} MB of {daemon.memory_mb}, ended by itself "
                  f"{len(daemon.own_ends)} times")
        deployment.record("verdict", broken=is_broken, state=state,
                          own_ends=[len(d.own_ends) for d in deployment.daemons])
        return 1 if is_broken else 0


main(FOLDER, scenario)
