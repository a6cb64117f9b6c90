"""Jobs that were accepted before a route was given another service are lost with the next change of the leader."""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
from world import CannotRun, configuration, main, now_ms, spec_of, step

JOB = "00000000000000e0"
FINISH_S = 14   # bound of the rule: after the end of the traffic jobs are asked for
IDLE_S = 3      # bound of the rule: a job has nothing running for so long


def document(version, services):
    """The route goes to the first of the services."""
    result = configuration(version)
    result["routes"][0]["backend"] = services[0]
    result["services"] = [dict(result["services"][0], name=name) for name in services]
    return result


async def play(world, has_trouble):
    for name, zone in (("a1", "dc1"), ("a2", "dc1"), ("b1", "dc2")):
        world.add_daemon(name, zone)
    for i in range(2):
        world.add_executor("old%d" % i, "dc%d" % (1 + i % 2))
        world.executors["old%d" % i].service = "pool-old"
    for i in range(12):
        world.add_executor("new%d" % i, "dc%d" % (1 + i % 2))
        world.executors["new%d" % i].service = "pool-new"
    await world.boot(document(1, ["pool-old", "pool-new"]))
    daemons = list(world.daemons.values())
    steps = [step(2, estimate_ms=4000), step(2, estimate_ms=4000, after=[0])]
    if await world.submit(daemons[0], JOB, steps, spec_of(4000)) != 200:
        raise CannotRun("the job was not accepted")
    traffic_ended = asyncio.get_running_loop().time()
    await asyncio.sleep(1)
    if len(world.runs) != 2:
        raise CannotRun("the job does not run")
    await world.store.put("op/config", document(2, ["pool-new"]))
    world.record.line("version 2: the route goes to pool-new")
    await asyncio.sleep(1)
    for name in ("old0", "old1"):
        world.executors[name].drain(6)
    await asyncio.sleep(1)
    if has_trouble:
        leader = await world.leader()
        world.record.line("%s leads" % leader.name)
        leader.signal(signal.SIGTERM)
        await leader.wait_for_exit()
        await asyncio.sleep(0.6)
        await leader.start()

    async def is_completed():
        return await world.state(daemons[0], JOB) == "completed"
    while asyncio.get_running_loop().time() < traffic_ended + FINISH_S:
        await asyncio.sleep(0.5)
    if not await world.wait_until(is_completed, IDLE_S + 1):
        idle_since = max(run["ended"] or float("inf") for run in world.runs)
        empty = sum(1 for e in world.executors.values() if e.service == "pool-new" and not e.running)
        if now_ms() - idle_since >= IDLE_S * 1000 and empty == 12:
            world.violate("LOST: %s is not completed, has had nothing running for %.1f s, and %d executors of pool-new "
                          "are empty" % (JOB, (now_ms() - idle_since) / 1000, empty))
    # For the record only: any further change of the configuration gives the job its service back.
    await world.store.put("op/config", document(3, ["pool-new"]))
    world.record.line("version 3: nothing but the number has changed")
    await world.wait_until(is_completed, 12)


main(play)
