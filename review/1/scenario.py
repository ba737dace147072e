"""A worker has been idle for a while. It then gets a task, carries out one renewal of its lease late,
and is cut off while it runs on. Does the task start elsewhere before the lease there is over?
"""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from standin.case import ZONES, main  # noqa: E402
from standin.daemons import CannotRun  # noqa: E402

# PROTOCOL.md: the steady clock of a minion "may be 2% slow".
CLOCK_RATE = 0.98
IDLE_S = 88
# One of them is cut off: a twelfth, where `node_cut` takes up to twice 0.17 of the workers.
WORKERS = 12
# `applied_late`: "carried out 2 to 12 s later".
LATE_S = 2.0
JOB = "5c0e7a21d94b36f8"
WORK_MS = 7_400
WATCHED_S = 16
# `node_cut`, servers: 5.5 s as a rule, so twice that at most.
CUT_S = 10


def cut_off_once_renewed(worker, has_late_renewal):
    """Cuts the worker off as soon as it runs the task and has got the renewal."""
    has_late_renewal.wait()
    while not worker.running:
        time.sleep(0.005)
    time.sleep(0.05)
    worker.cut()
    threading.Timer(CUT_S, worker.heal).start()


def bring_trouble(worker, is_taken):
    """The first worker that gets a renewal carries it out late and is cut off."""
    has_late_renewal = threading.Event()

    def late_call(name, body):
        is_renewal = name == "hold" and "deadlineMs" in body
        if not is_renewal or is_taken.is_set():
            return None
        is_taken.set()
        has_late_renewal.set()
        return LATE_S

    worker.late_call = late_call
    threading.Thread(target=cut_off_once_renewed, args=[worker, has_late_renewal], daemon=True).start()


def overlap(runs):
    """Returns two runs of one task that were there at the same time, and for how long."""
    now = time.monotonic()
    for first in runs:
        for second in runs:
            shared = min(first["ended"] or now, second["ended"] or now) - max(first["began"], second["began"])
            if first is not second and first["task"] == second["task"] and first["began"] <= second["began"] and shared > 0:
                return first, second, shared
    return None


def scenario(deployment, has_trouble):
    for index in range(WORKERS):
        zone = index % len(ZONES)
        deployment.add_worker(f"i-{index}", zone=ZONES[zone], rack=f"r{zone + 1}-1", clock_rate=CLOCK_RATE)
    deployment.start_daemons()
    time.sleep(IDLE_S)
    is_taken = threading.Event()
    if has_trouble:
        for worker in deployment.workers:
            bring_trouble(worker, is_taken)
    step = {"count": 1, "cpu": 13000, "memMb": 26000, "gpu": 4, "estimateMs": WORK_MS}
    status, _ = deployment.submit(JOB, "hinting-preview", "gazeti", f"work_ms={WORK_MS}", [step])
    if status != 200:
        raise CannotRun(f"the job was not accepted: {status}")
    time.sleep(WATCHED_S)
    deployment.state(JOB, "hinting-preview", "gazeti")
    if not deployment.runs(JOB) or has_trouble != is_taken.is_set():
        raise CannotRun("the job did not start, or the disruption did not come about")
    twice = overlap(deployment.runs(JOB))
    if twice:
        first, second, shared = twice
        return False, (
            f"TWICE: run {second['run']} of {second['task']} began on {second['worker']} while run {first['run']} "
            f"was still at work on {first['worker']}, for {shared:.2f} s"
        )
    return True, f"{len(deployment.runs(JOB))} runs of the task, one after the other"


if __name__ == "__main__":
    main(scenario, Path(__file__).resolve().parent)
