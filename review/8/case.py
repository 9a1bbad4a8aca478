"""Case 8: a gang of more tasks than the machines may list is accepted and never started; no machine is rented for it."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from standins import ERMIS, ERMIS_CAPACITY, ERMIS_NODES, World, ermis_flavors, job, main, now  # noqa: E402

TASKS = {True: 3_000, False: 1_500}
DAY_S = 80.0


def prepare(folder):
    world = World(folder, ERMIS, ermis_flavors(), ERMIS_CAPACITY, ERMIS_NODES)
    world.run_s = lambda submission: 5.0
    return world


async def case(world, trouble):
    for yard in ("attiki", "makedonia", "attiki", "makedonia"):
        world.cloud.add("kelyfos", yard, False, boot_s=0.1, held_s=300.0)
    await world.until_ready()
    await world.until(lambda: world.leader() is not None, 15.0, "a leader")
    await asyncio.sleep(4.0)
    tasks = TASKS[trouble]
    # 30 CPUs and 12 GB in all; the four machines have 64 CPUs and 128 GB, and the cloud has more of all kinds.
    gang = job("j-000001", Jobclass="mesh", Shape="group", Legs=tasks, Cores=0.01, MemoryGb=0.004, ExpectedS=10.0,
               Loaner=False)
    if not await world.submit(gang):
        return
    begin = now()
    while now() - begin < DAY_S and not world.starts:
        await asyncio.sleep(5.0)
        await world.poll("j-000001", int(now()))
    rentals = [body for _, _, path, body in world.cloud.requests if path == "/hosts"]
    up = sum(1 for machine in world.cloud.machines.values() if machine["gone"] is None)
    world.record(f"tasks started: {len(world.starts)} of {tasks}; machines left: {up}; rentals asked for: {rentals}")
    if not world.starts:
        world.fail(f"nothing_ran: none of the {tasks} tasks of the accepted gang was started in {DAY_S:.0f} s; "
                   f"{len(rentals)} requests for machines, {up} machines up at the end, nothing else to run")


main(os.path.dirname(os.path.abspath(__file__)), prepare, case)
