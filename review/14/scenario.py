"""Jobs whose spec begins with U+FEFF. The rule UNASKED is judged as written: a task is started with another spec."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-3"))
from platform3 import Client, Deployment, main  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MARK = "\ufeff" if TROUBLE else ""
SPECS = {"0000000000000001": MARK + "order;price\n17;4.20\n", "0000000000000002": MARK,
         "0000000000000003": MARK + "{\"run\": \"\u043f\u043e\u0440\u044a\u0447\u043a\u0430\"}"}


async def scenario():
    async with Deployment(FOLDER, lambda task: (1000, 300)) as deployment:
        if not await deployment.ready():
            return 2
        client = Client(deployment.daemons, deployment.record)
        step = {"count": 2, "cpu": 1000, "mem_mb": 100, "estimate_ms": 300}
        for job, spec in SPECS.items():
            if not await client.submit(job, {"spec": spec, "steps": [step]}):
                return 2
        await asyncio.sleep(5)
        states = [await client.state(job) for job in SPECS]
        starts = [start for worker in deployment.workers for start in worker.starts]
        others = [(task, spec) for task, spec in starts if spec != SPECS[task.split(".")[0]]]
        for task, spec in others:
            print(f"{task}: sent {SPECS[task.split('.')[0]]!a}, started with {spec!a}")
        print(f"starts {len(starts)}, with another spec {len(others)}, states {states}")
        deployment.record("verdict", starts=len(starts), others=len(others), states=states)
        return 1 if others else 0 if len(starts) >= 6 else 2


main(FOLDER, scenario)
