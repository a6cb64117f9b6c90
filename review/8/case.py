"""A start order that was given up is carried out by the next life of its executor, beside the task's next run."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
from world import CannotRun, configuration, main, spec_of, step

LONG = "00000000000000b0"  # the job of which one task's order is late
DOWN_S = 1.0               # of the executor


async def play(world, has_trouble):
    for name, zone in (("a1", "dc1"), ("a2", "dc1"), ("b1", "dc2")):
        world.add_daemon(name, zone)
    for i in range(8):
        world.add_executor("w%d" % i, "dc%d" % (1 + i % 2))
    executor = world.executors["w0"]
    late_tasks = set()  # one at most

    def is_late(body):
        if body["task"].startswith(LONG) and not late_tasks:
            late_tasks.add(body["task"])
        return body["task"] in late_tasks and body["run_id"] == 1

    await world.boot(configuration())
    daemons = list(world.daemons.values())
    await asyncio.sleep(4)
    if has_trouble:
        executor.is_late = is_late
    if await world.submit(daemons[0], LONG, [step(16, cpu=4000, estimate_ms=20000)], spec_of(20000, cpu=4000)) != 200:
        raise CannotRun("the job was not accepted")
    for i in range(4):  # other work, of which no order is late
        await world.submit(daemons[i % 3], "%016x" % (0xb1 + i), [step(16, cpu=500, estimate_ms=400)],
                           spec_of(400, cpu=500))
        await asyncio.sleep(0.6)
    await asyncio.sleep(0.2)
    if has_trouble:
        if len(executor.late_orders) != 2 or not any(run["task"] in late_tasks for run in world.runs):
            raise CannotRun("no start order of w0 was given up")
        executor.crash()
        await asyncio.sleep(DOWN_S)
        await executor.start()
        await executor.carry_out_late_orders()  # they were held up on the way, and reach it as it is back
    await asyncio.sleep(5)


main(play)
