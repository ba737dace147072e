"""The planner is killed, and two minions crash and come back under their ids; the queue carries advice."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
from bed import Adviser, CouldNotRun, play  # noqa: E402

ZONES = ["cba-sala-a", "cba-sala-b", "cba-sala-c"]
MINIONS = 16
KEY = "4f6a1c9be2d07835"
FIRST, SECOND = "5c0e7a21d94b36f8", "71d94b36f85c0e7a"
PREFIX = "/desk/"
DOWN_S, KILLED_S, CALM_S, WATCH_S = 2.0, 1.0, 20.0, 30.0
STEP = {"count": 2, "cpu": 4000, "memMb": 8000, "gpu": 1, "estimateMs": 1500, "requirements": "b"}


async def wait_for(check, limit_s):
    loop = asyncio.get_running_loop()
    until = loop.time() + limit_s
    while not check() and loop.time() < until:
        await asyncio.sleep(0.02)
    return check()


async def case(bed, trouble):
    adviser = Adviser(bed.record)
    await adviser.open()
    bed.advice_address, bed.names_born = adviser.address, True
    advice = {"decideMs": 20, "eachMs": 1, "validMs": adviser.valid_ms}
    bed.configure(1, [{**bed.route("desk", PREFIX, 1), "advice": advice}], [
        {"name": "mesa", "apiKeys": [KEY], "priority": 1, "guaranteed": {"gpu": 0}}])
    capacity = {"cpu": 32000, "memMb": 131072, "gpu": 8}
    for index in range(MINIONS):
        kind = "b" if index < 2 else "a"
        await bed.add_minion(f"m-{index}", ZONES[index % 3], f"r1-{index // 8}", capacity, kind=kind)
    await bed.start_daemons(ZONES)
    await asyncio.sleep(3)
    if await bed.submit(PREFIX, FIRST, [STEP], KEY, work_s=1.5) != 200:
        raise CouldNotRun("the first job was not accepted")
    done = lambda job: sum(end[1].startswith(job) and end[4] == "done" for end in bed.run_ends)  # noqa: E731
    if not await wait_for(lambda: done(FIRST) == STEP["count"], 15):
        raise CouldNotRun("the first job did not run")
    await asyncio.sleep(2)
    if trouble:
        await bed.kill(bed.planner(), KILLED_S)
        await asyncio.sleep(2)
        kind_b = [minion for minion in bed.minions if minion.kind == "b"]
        await asyncio.gather(*(bed.crash(minion, DOWN_S) for minion in kind_b))
    await asyncio.sleep(CALM_S)
    if await bed.submit(PREFIX, SECOND, [STEP], KEY, work_s=1.5) != 200:
        raise CouldNotRun("the second job was not accepted")
    accepted_at = bed.record.now()
    room, share = bed.room_for(STEP), bed.share_in_use()
    bed.record(f"room for {room} tasks of the step; {share:.2f} of the service in use")
    if room < 2 * STEP["count"] or share >= 0.5:
        raise CouldNotRun("there is not the room that the rule names")
    await wait_for(lambda: done(SECOND) == STEP["count"], WATCH_S)
    state = await bed.state(PREFIX, SECOND, KEY, quiet=False)
    starts = [round(start[0] - accepted_at, 3) for start in bed.starts if start[1].startswith(SECOND)]
    bed.record(f"state {state}; starts after the acknowledgement, in s: {starts}; done: {done(SECOND)}")
    if not starts:
        return f"LOST: nothing of the job has run {WATCH_S:.0f} s after it was accepted, with idle minions for it"
    if starts[0] > 3:
        return f"LOST: nothing of the job has run for {starts[0]:.1f} s after it was accepted"
    return ""


play(__file__, case)
