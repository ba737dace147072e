"""A large job of tasks that last takes the whole fleet. Can a customer still claim its guarantee?"""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from standin.case import TENANTS, ZONES, main  # noqa: E402
from standin.daemons import SETTINGS, CannotRun  # noqa: E402

WORKERS = 6
ACCELERATORS = 8 * WORKERS
LASTING, CLAIM = "1a57000000000001", "c1a1000000000002"
RECLAIM_S = int(SETTINGS["bounds.reclaimMs"]) / 1000
WATCHED_S = 20


def wait_for_runs(deployment, job, count, limit_s):
    until = time.monotonic() + limit_s
    while time.monotonic() < until and len(deployment.runs(job)) < count:
        time.sleep(0.05)
    return len(deployment.runs(job))


def scenario(deployment, has_trouble):
    for index in range(WORKERS):
        deployment.add_worker(f"i-{index}", zone=ZONES[index % len(ZONES)], rack=f"r{index % len(ZONES) + 1}-1")
    deployment.start_daemons()
    time.sleep(2)
    if has_trouble:
        step = {"count": ACCELERATORS, "cpu": 2800, "memMb": 5000, "gpu": 1, "estimateMs": 6000, "longRunning": True}
        status, _ = deployment.submit(LASTING, "ebook-batch", "shule", "lasts", [step])
        if status != 200:
            raise CannotRun(f"the large job was not taken: {status}")
        begun = wait_for_runs(deployment, LASTING, ACCELERATORS, 10)
        deployment.record.add("script", "tasks of the large job at work", begun=begun)
        if begun < ACCELERATORS:
            raise CannotRun(f"only {begun} tasks of the large job began")
        time.sleep(2)
    guaranteed = TENANTS["gazeti"][1]
    step = {"count": 1, "cpu": 3700, "memMb": 11000, "gpu": guaranteed, "estimateMs": 2500}
    status, _ = deployment.submit(CLAIM, "glyph-subset", "gazeti", "work_ms=2500", [step])
    if status != 200:
        raise CannotRun(f"the claim was not accepted: {status}")
    accepted = time.monotonic()
    wait_for_runs(deployment, CLAIM, 1, WATCHED_S)
    runs = deployment.runs(CLAIM)
    deployment.state(CLAIM, "glyph-subset", "gazeti")
    if not runs:
        return False, f"RECLAIM: a claim of {guaranteed} guaranteed accelerators has not begun {WATCHED_S} s after it was accepted"
    took = runs[0]["began"] - accepted
    return took <= RECLAIM_S, f"the claim began {took:.2f} s after it was accepted (at most {RECLAIM_S} s)"


if __name__ == "__main__":
    main(scenario, Path(__file__).resolve().parent)
