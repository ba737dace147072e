"""A minion is lost for good under a task that serves; a step that fills runs on all the others."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
from bed import CouldNotRun, play  # noqa: E402

ZONES = ["cba-sala-a", "cba-sala-b", "cba-sala-c"]
MINIONS = 8
KEY = "4f6a1c9be2d07835"
SERVING, FILLING = "5c0e7a21d94b36f8", "71d94b36f85c0e7a"
# After the lost run's lease (10 s, on a clock that may be 2 % slow), 6 s after a last run, and 3 s.
LIMIT_S = 10.2 + 6 + 3
WATCH_S = 45.0
COMMON = {"memMb": 8000, "estimateMs": 1000, "longRunning": True}
SERVING_STEP = {**COMMON, "count": 1, "cpu": 8000, "image": "web", "targetMs": 200}
FILLING_STEP = {**COMMON, "count": MINIONS - 1, "cpu": 8000, "image": "index", "fills": True, "antiAffinity": 1}


async def wait_for(check, limit_s):
    loop = asyncio.get_running_loop()
    until = loop.time() + limit_s
    while not check() and loop.time() < until:
        await asyncio.sleep(0.02)
    return check()


async def case(bed, trouble):
    bed.configure(1, [bed.route("web", "/web/", 1), bed.route("index", "/index/", 1)], [
        {"name": "desk", "apiKeys": [KEY], "priority": 1, "guaranteed": {"gpu": 0}}])
    capacity = {"cpu": 32000, "memMb": 131072, "gpu": 8}
    for index in range(MINIONS):
        await bed.add_minion(f"m-{index}", ZONES[index % 3], f"r1-{index % 2}", capacity)
    await bed.start_daemons(ZONES)
    await asyncio.sleep(3)
    if await bed.submit("/web/", SERVING, [SERVING_STEP], KEY) != 200:
        raise CouldNotRun("the serving job was not accepted")
    serves = lambda: bed.holder_of(f"{SERVING}.0.0.0") is not None  # noqa: E731
    if not await wait_for(serves, 10):
        raise CouldNotRun("the serving task did not start")
    if await bed.submit("/index/", FILLING, [FILLING_STEP], KEY) != 200:
        raise CouldNotRun("the filling job was not accepted")
    fills = lambda: sum(len(minion.runs) for minion in bed.minions) == MINIONS  # noqa: E731
    if not await wait_for(fills, 10):
        raise CouldNotRun("the filling tasks did not start")
    await asyncio.sleep(3)
    lost_at = bed.record.now()
    if trouble:
        holder = bed.holder_of(f"{SERVING}.0.0.0")
        holder.crash()
        bed.minions.remove(holder)
    await wait_for(serves, WATCH_S)
    took = bed.record.now() - lost_at
    state = await bed.state("/web/", SERVING, KEY, quiet=False)
    for minion in bed.minions:
        bed.record(f"minion {minion.id} holds {sorted(minion.runs)}: {minion.used()} of {minion.capacity}")
    bed.record(f"state {state}; the serving task is at work: {serves()}")
    if not serves():
        return f"LOST: a task that lasts has not started again {took:.0f} s after its minion was lost"
    if took > LIMIT_S:
        return f"LOST: a task that lasts started again only {took:.1f} s after its minion was lost"
    return ""


play(__file__, case)
