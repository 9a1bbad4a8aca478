"""Users submit jobs that wait on 175 others while the controllers are restarted one after the other, twice. Then one of
the 175 is cancelled: within `cancel_s` all jobs that wait on it must report `aborted`."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from standins import Cloud, Controllers, StateService, Users, job, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DOWN_S = 4.0
# Workers and controllers as of the courier platform (Rodi), rates of the state service as of Hinokuni, coming limits as
# in the example of docs/operations.md, "Upgrade".
DEPLOYMENT = {
    "count": 3, "zones": ["achaia", "kriti"], "skew_ms": 250.0,
    "teams": [{"name": "fleet-ops", "cpus": 1200.0, "cpus_max": 3000.0, "gpus": 0.0, "gpus_max": 0.0}],
    "workers": {"report_s": 1.0, "lease_s": 10.0, "gang_wait_s": 50.0, "gang_peer_s": 8.0, "cancel_s": 30.0},
    "state": {"rps": 250.0, "write_rps": 60.0, "value_kb": 8.0, "txn_ops": 16, "next": {"value_kb": 2.0, "txn_ops": 5}},
    "cloud": {"rps": 5.0, "list_lag_s": 4.0},
    "limits": {"cores": 0.12, "ram_mb": 72.0, "max_sockets": 1200},
}
FLAVORS = [{
    "Name": "lefka", "Cores": 32, "Gpus": 0, "MemoryGb": 64, "CacheGb": 40, "PullGbPerS": 1.0, "Rate": 1.28, "SpotPrice": 0.58,
    "ReadyS": 20, "Yards": ["achaia", "kriti"],
}]
FIRST = [f"j-{n:06}" for n in range(1, 176)]  # the first steps of the pipelines
MIDDLE = [f"j-{n:06}" for n in range(100001, 100341)]  # further steps: each waits on 110 of the first
LAST_S = 0.25  # a user submits a last step each quarter of a second: each waits on all of the first


async def case(record):
    # A page of the listing takes 0.3 s, all other answers 3 ms: "usually under 10 ms, occasionally a few hundred".
    state = StateService(record, DEPLOYMENT["state"], usual_s=0.003, list_s=0.3)
    state.on_list = lambda who, after, pairs, more: record.line(
        f"state: {who} lists after {after!r}: {len(pairs)} keys to {pairs[-1]['K'] if pairs else None}, more: {more}"
    )

    def on_change(who, event):
        key = event.get("Put") or event.get("Delete")
        if key.endswith("/leader"):
            record.say(f"state: the leader's key is {'held by ' + who if 'Put' in event else 'gone'}")
        if "Delete" in event and "/needs/" in key:
            record.say(f"state: {who} deletes {key}")

    state.on_change = on_change
    cloud = Cloud(record, FLAVORS, DEPLOYMENT, {("lefka", "achaia", False): 2, ("lefka", "kriti", False): 2}, run_s=lambda job: 600.0)
    controllers = Controllers(record, DEPLOYMENT, ["achaia", "kriti", "achaia"])
    users = Users(record, controllers)
    cloud.fronts, cloud.names = controllers.fronts, controllers.names
    routines = [asyncio.create_task(state.run_leases())]
    try:
        state_addresses = [await state.start(name) for name in controllers.names]
        cloud_addresses = [await cloud.start(name) for name in controllers.names]
        controllers.write_settings(state_addresses, cloud_addresses)
        for i in range(3):
            controllers.start(i)
        await controllers.wait_ready(range(3))
        routines.append(asyncio.create_task(users.probe()))
        await asyncio.sleep(1.0)
        accepted = {}

        async def submit(uid, waits):
            submission = job(uid, ExpectedS=600.0, **({"WaitsOn": waits} if waits else {}))
            cloud.jobs[uid] = submission
            status, answer = await users.submit(submission)
            if status in (200, 201):
                accepted[uid] = answer
            return status

        async def submit_all(pairs):
            queue = list(pairs)[::-1]

            async def user():
                while queue:
                    await submit(*queue.pop())

            await asyncio.gather(*(user() for _ in range(24)))

        await submit_all((uid, None) for uid in FIRST)
        record.say(f"{len(accepted)} first steps accepted")
        await submit_all((uid, FIRST[:110]) for uid in MIDDLE)
        record.say(f"{len(accepted) - len(FIRST)} further steps accepted")
        if len(accepted) != len(FIRST) + len(MIDDLE):
            raise RuntimeError("not all jobs were accepted")
        last = []
        ends = asyncio.Event()

        async def submit_last_steps():
            under_way = []
            while not ends.is_set():
                uid = f"j-{50001 + len(last):06}"
                last.append(uid)
                under_way.append(asyncio.create_task(submit(uid, FIRST)))
                await asyncio.sleep(LAST_S)
            await asyncio.gather(*under_way)

        submitting = asyncio.create_task(submit_last_steps())
        if TROUBLE:
            for _ in range(2):
                for i in range(3):
                    controllers.kill(i)
                    await asyncio.sleep(DOWN_S)
                    controllers.start(i)
                    await controllers.wait_ready([i])
                    record.say(f"{controllers.names[i]} is ready again")
        else:
            await asyncio.sleep(6 * (DOWN_S + 1.5))
        ends.set()
        await submitting
        last = [uid for uid in last if uid in accepted]
        record.say(f"{len(last)} last steps accepted")
        cancelled = FIRST[-1]
        status, answer = await users.withdraw(cancelled)
        told_at = time.monotonic()
        if status != 200 or answer["Status"] != "aborted":
            raise RuntimeError(f"the cancellation was answered {status} {answer}")
        record.say(f"the user of {cancelled} was told {answer}")
        await asyncio.sleep(told_at + DEPLOYMENT["workers"]["cancel_s"] + 1.0 - time.monotonic())
        wrong = {}
        for i in range(3):
            for uid in last:
                status, answer = await users.query(uid, i)
                if status == 200 and answer["Status"] in ("pending", "running"):
                    wrong.setdefault(uid, []).append((controllers.names[i], answer["Status"]))
        late_s = time.monotonic() - told_at
        if controllers.ended_by_itself():
            raise RuntimeError(f"ended by itself: {controllers.ended_by_itself()}")
        for uid, answers in sorted(wrong.items()):
            record.say(f"{uid} waits on {cancelled}, cancelled over {DEPLOYMENT['workers']['cancel_s']} s ago, and is called {answers}")
        record.say(f"{len(wrong)} of {len(last)} jobs, asked up to {late_s:.1f} s after the cancellation was told")
        return not wrong
    finally:
        for routine in routines:
            routine.cancel()
        controllers.close()


if __name__ == "__main__":
    run_case(HERE, case)
