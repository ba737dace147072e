"""A minion is lost for good under a task with mayMiss; most of the others are idle."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
from bed import CouldNotRun, play  # noqa: E402

ZONES = ["cba-sala-a", "cba-sala-b", "cba-sala-c"]
MINIONS = 8
DESK_KEY, KITCHEN_KEY = "4f6a1c9be2d07835", "93b1e07ac4f52d68"
JOB = "5c0e7a21d94b36f8"
PREFIX = "/lasting/"
GUARANTEED_GPU = 40
# After the lost run's lease (10 s, on a clock that may be 2 % slow), 6 s after a last run, and 3 s.
LIMIT_S = 10.2 + 6 + 3
WATCH_S = 45.0
STEP = {
    "count": 3, "cpu": 8000, "memMb": 16000, "gpu": 8, "estimateMs": 1000,
    "longRunning": True, "mayMiss": 1,
}


async def wait_for(check, limit_s):
    loop = asyncio.get_running_loop()
    until = loop.time() + limit_s
    while not check() and loop.time() < until:
        await asyncio.sleep(0.02)
    return check()


async def case(bed, trouble):
    bed.configure(1, [bed.route("lasting", PREFIX, 2)], [
        {"name": "desk", "apiKeys": [DESK_KEY], "priority": 1, "guaranteed": {"gpu": 0}},
        {"name": "kitchen", "apiKeys": [KITCHEN_KEY], "priority": 1, "guaranteed": {"gpu": GUARANTEED_GPU}}])
    capacity = {"cpu": 32000, "memMb": 131072, "gpu": 8}
    for index in range(MINIONS):
        await bed.add_minion(f"m-{index}", ZONES[index % 3], f"r1-{index % 2}", capacity)
    await bed.start_daemons(ZONES)
    await asyncio.sleep(3)
    if await bed.submit(PREFIX, JOB, [STEP], DESK_KEY) != 200:
        raise CouldNotRun("the job was not accepted")
    all_run = lambda: sum(len(minion.runs) for minion in bed.minions) == STEP["count"]  # noqa: E731
    if not await wait_for(all_run, 10):
        raise CouldNotRun("the tasks did not start")
    await asyncio.sleep(3)
    lost_at = bed.record.now()
    if trouble:
        holder = bed.holder_of(f"{JOB}.0.0.0")
        holder.crash()
        bed.minions.remove(holder)
        room, share = bed.room_for(STEP), bed.share_in_use()
        bed.record(f"room for {room} tasks of the step; {share:.2f} of the service in use")
        if room < 2 or share >= 0.5:
            raise CouldNotRun("there is not the room that the rule names")
    await wait_for(all_run, WATCH_S)
    idle = sum(not minion.runs for minion in bed.minions)
    took = bed.record.now() - lost_at
    state = await bed.state(PREFIX, JOB, DESK_KEY, quiet=False)
    bed.record(f"state {state}; idle minions: {idle} of {len(bed.minions)}; all at work: {all_run()}")
    if not all_run():
        return f"LOST: a task that lasts has not started again {took:.0f} s after its minion was lost"
    if took > LIMIT_S:
        return f"LOST: a task that lasts started again only {took:.1f} s after its minion was lost"
    return ""


play(__file__, case)
