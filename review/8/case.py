"""Case 8: one job with a very large image keeps all others from machines that are nearly empty."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from standins import ERMIS, ERMIS_NODES, World, ermis_flavors, job, main, now  # noqa: E402

# An image of 0.7 GB, given in MB.
IMAGE_GB = {True: 700.0, False: 0.7}
DAY_S = 90.0


def prepare(folder):
    world = World(folder, ERMIS, ermis_flavors(), {}, ERMIS_NODES)  # the cloud has no more machines
    world.run_s = lambda submission: 5.0
    return world


async def case(world, trouble):
    for rig, yard in [("kelyfos", "attiki"), ("kelyfos", "makedonia"), ("kelyfos", "attiki"), ("kelyfos", "makedonia")]:
        world.cloud.add(rig, yard, False, boot_s=0.1, held_s=300.0)
    await world.until_ready()
    await world.until(lambda: world.leader() is not None, 15.0, "a leader")
    await asyncio.sleep(4.0)
    # One task for each machine: 9 of 16 CPUs.
    large = job("j-000001", Legs=4, Cores=9.0, Bundle="img-02", ImageGb=IMAGE_GB[trouble], Urgency="idle")
    if not await world.submit(large):
        return
    await asyncio.sleep(6.0)
    accepted = 0
    for number in range(2, 5):
        accepted += await world.submit(job(f"j-{number:06}", Legs=2, Urgency="prod"), first=number, limit_s=10.0)
    begin = now()
    while now() - begin < DAY_S and not world.starts:
        for number in range(1, 5):
            await world.poll(f"j-{number:06}", number)
        await asyncio.sleep(5.0)
    used = {m["Uid"]: sum(world.jobs[leg.rsplit("/", 1)[0]]["Cores"] for leg, _ in m["worker"].tasks)
            for m in world.cloud.machines.values() if m["worker"] and m["gone"] is None}
    world.record(f"tasks started: {len(world.starts)}; CPUs in use of 16: {used}")
    if not world.starts:
        world.fail(f"nothing_ran: no task was started in {now() - begin:.0f} s, with {accepted} jobs of the highest "
                   f"priority accepted and these CPUs in use on the machines: {used}")


main(os.path.dirname(os.path.abspath(__file__)), prepare, case)
