"""A follower that restarts beside a cut of the leader's data centre takes over while the leader goes on."""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
from world import BOUNDS, CannotRun, configuration, main, spec_of, step

CUT_S = 6.5            # of data centre dc1
RESTART_DELAY_S = 0.6  # of a process that has ended
TASK_MS = 60000
BOUNDS["stop_timeout_ms"] = 200  # versos-quito


async def restart(world, daemon):
    """The platform's planned stop and start of a machine, while clients hand jobs in over slow links."""
    clients = [asyncio.ensure_future(
        world.submit(daemon, "%016x" % (0xd000 + i), [step(1)], spec_of(500), body_delay_s=0.4)) for i in range(3)]
    await asyncio.sleep(0.1)
    daemon.signal(signal.SIGTERM)
    await daemon.wait_for_exit()
    await asyncio.gather(*clients)


async def play(world, has_trouble):
    for name, zone in (("a1", "dc1"), ("a2", "dc1"), ("b1", "dc2")):
        world.add_daemon(name, zone)
    for i in range(4):
        world.add_executor("w%d" % i, "dc1" if i < 2 else "dc2", labels=("a", "r%d" % i))
    await world.boot(configuration())
    b1 = world.daemons["b1"]
    if await world.leader() is b1:  # a planned restart moves the term to the other data centre
        await restart(world, b1)
        await b1.start()
        await world.wait_until(world.are_ready, 10)
        await asyncio.sleep(3)
    for i in range(2):
        await world.submit(world.daemons["a1"], "%016x" % (0xc0 + i), [step(4, estimate_ms=TASK_MS)], spec_of(TASK_MS))
    await asyncio.sleep(2)
    leader = await world.leader()
    if leader is None or leader is b1 or len(world.runs) < 8:
        raise CannotRun("no leader in dc1, or the jobs do not run")
    world.record.line("%s leads" % leader.name)

    await restart(world, b1)
    await asyncio.sleep(0.3)
    if has_trouble:
        world.cut_zone("dc1", is_reset=True)
    await asyncio.sleep(RESTART_DELAY_S - 0.3)
    await b1.start()
    await asyncio.sleep(CUT_S - (RESTART_DELAY_S - 0.3))
    if has_trouble:
        world.heal_zone("dc1")
    await asyncio.sleep(3)


main(play)
