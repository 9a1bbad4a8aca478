"""Case 4: one accepted job whose owner's estimate is far too high keeps every controller busy for ever."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from standins import ERMIS, ERMIS_CAPACITY, ERMIS_NODES, World, ermis_flavors, job, main, now  # noqa: E402

# 25 seconds, given in nanoseconds.
ESTIMATE_S = {True: 25e9, False: 25.0}
# How long the day goes on after the ordinary jobs were accepted, in seconds.
DAY_S = 70.0


def prepare(folder):
    world = World(folder, ERMIS, ermis_flavors(), ERMIS_CAPACITY, ERMIS_NODES)
    world.run_s = lambda submission: 4.0
    return world


async def case(world, trouble):
    # Machines that are up at the start, as in the brief. None of the type that the first job asks for.
    for rig, yard in [("kelyfos", "attiki"), ("kelyfos", "makedonia"), ("plaisio", "attiki"), ("plaisio", "attiki")]:
        world.cloud.add(rig, yard, False, boot_s=0.1)
    await world.until_ready()
    await world.until(lambda: world.leader() is not None, 15.0, "a leader")
    await asyncio.sleep(4.0)
    large = job("j-000001", Legs=100_000, ExpectedS=ESTIMATE_S[trouble], Rigs=["sasi"], Urgency="idle")
    if not await world.submit(large):
        return
    await asyncio.sleep(8.0)
    # The users retry at each controller in turn, and give up early so that the case ends in time.
    submissions = (world.submit(job(f"j-{number:06}", Legs=4), first=number, limit_s=12.0) for number in range(2, 6))
    accepted = sum(await asyncio.gather(*submissions))
    world.record(f"ordinary jobs accepted: {accepted}")
    begin, silent_since = now(), now()
    longest = 0.0
    while now() - begin < DAY_S and not world.starts:
        answers = await asyncio.gather(*(world.poll("j-000001", at) for at in range(3)))
        if any(status for status, _ in answers):
            silent_since = now()
        longest = max(longest, now() - silent_since)
        await asyncio.sleep(1.0)
    world.record(f"tasks started: {len(world.starts)}; no controller answered for {longest:.0f} s")
    if not world.starts:
        world.fail(f"nothing_ran: no task was started, with 4 machines up and {accepted} ordinary jobs accepted; "
                   f"no controller answered any user for {longest:.0f} s")


main(os.path.dirname(os.path.abspath(__file__)), prepare, case)
