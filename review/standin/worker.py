"""A stand-in of a worker: runs tasks under leases, as PROTOCOL.md describes it.

How long a task works is told by its `spec`, as in `work_ms=4000`. Tasks that last have none.
"""

import re
import threading
import time

from .http_server import NoAnswer, serve

HEARTBEAT_S = 1.5
STOP_S = 0.05


class Run:
    def __init__(self, number, spec, began):
        self.number = number
        self.began = began
        work = re.search(r"work_ms=(\d+)", spec)
        self.work_s = int(work.group(1)) / 1000 if work else None

    def percent(self, now):
        if self.work_s is None:
            return 100
        return min(99, int(100 * (now - self.began) / self.work_s))


class Worker:
    """One life of a worker.

    `clock_rate` is the speed of its own clock. `needs` tells the resources of a task by its name.
    """

    def __init__(self, record, store, worker_id, *, service, zone, labels, capacity, hold_max_ms, needs, clock_rate=1.0):
        self.record, self.store, self.id = record, store, worker_id
        self.service, self.zone, self.labels, self.capacity = service, zone, labels, capacity
        self.hold_max_ms, self.needs, self.clock_rate = hold_max_ms, needs, clock_rate
        self.born = time.monotonic()
        self.changed = threading.Condition()
        self.is_up = True
        self.is_cut = False
        # Called with the name of a call and its body; returns the seconds after which the call is
        # carried out without an answer, or None.
        self.late_call = None
        self.fence = 0
        self.lease_ms = 0
        self.running = {}
        self.finished = []
        self.last_end = 0
        self.over = {}
        # Every run that ever began here: task, run, began, ended (None while it runs), how.
        self.log = []
        self.server, self.address = serve(self._route)
        threading.Thread(target=self._live, daemon=True).start()

    def clock_ms(self):
        return int((time.monotonic() - self.born) * 1000 * self.clock_rate) + 1000

    def copies(self, step):
        """Returns how many tasks with these needs there is room for."""
        with self.changed:
            used = [self.needs(task) for task in self.running]
        free = {part: has - sum(n[part] for n in used) for part, has in self.capacity.items()}
        return min(free[part] // step[part] for part in free if step.get(part))

    # Life.

    def entry(self):
        return {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": 8, "state": "ready", "coldLeftMs": 0, "capacity": self.capacity,
            "labels": self.labels, "clockMs": self.clock_ms(), "seq": int(time.monotonic() - self.born),
        }

    def crash(self):
        """Ends everything at once. The entry goes after three heartbeats of silence."""
        with self.changed:
            self.is_up = False
            now = time.monotonic()
            for task in list(self.running):
                self._close(task, now, "lost with the worker")
            self.record.add(self.id, "crashed")
            self.changed.notify_all()
        self.server.shutdown()
        self.server.server_close()
        threading.Timer(3 * HEARTBEAT_S, self.store.remove, [f"servers/{self.id}"]).start()

    def cut(self):
        """Cuts the worker off from the system; it runs on. The store still hears it."""
        with self.changed:
            self.is_cut = True
            self.changed.notify_all()
        self.record.add(self.id, "cut off from the system")

    def heal(self):
        with self.changed:
            self.is_cut = False
        self.record.add(self.id, "cut healed")

    def _live(self):
        beat_at = 0.0
        while self.is_up:
            now = time.monotonic()
            if now >= beat_at:
                beat_at = now + HEARTBEAT_S
                self.store.put(f"servers/{self.id}", self.entry())
            with self.changed:
                self._advance(now)
            time.sleep(0.01)

    def _advance(self, now):
        if self.running and self.clock_ms() > self.lease_ms:
            for task in list(self.running):
                self._end(task, now, "lapsed")
        for task, run in list(self.running.items()):
            if run.work_s is not None and now - run.began >= run.work_s:
                self._end(task, now, "done")

    def _end(self, task, now, how):
        run = self._close(task, now, how)
        self.last_end += 1
        self.finished.append([self.last_end, task, run.number, how, ""])
        self.changed.notify_all()

    def _close(self, task, now, how):
        run = self.running.pop(task)
        self.over[task] = max(self.over.get(task, 0), run.number)
        entry = next(e for e in self.log if e["task"] == task and e["run"] == run.number)
        entry["ended"], entry["how"] = now, how
        self.record.add(self.id, "run ended", task=task, run=run.number, how=how)
        return run

    # Calls.

    def _route(self, _method, path, _query, headers, body):
        if path == "/healthz":
            return 200, {}
        name = path.rsplit("/", 1)[1]
        if self.is_cut or not self.is_up:
            raise NoAnswer
        if headers.get("X-Stairstall-Expect-Instance", self.id) != self.id:
            return 421, {"clockMs": self.clock_ms()}
        late_after = self.late_call(name, body) if self.late_call else None
        if late_after is not None:
            self.record.add(self.id, "gets a call, leaves it unanswered, carries it out late", call=name, body=body, after_s=late_after)
            threading.Timer(late_after, self._carry_out_late, [name, body]).start()
            raise NoAnswer
        answer = self._carry_out(name, body, True)
        if self.is_cut:
            raise NoAnswer
        return answer

    def _carry_out_late(self, name, body):
        if self.is_up:
            status, _ = self._carry_out(name, body, False)
            self.record.add(self.id, "carried the late call out", call=name, status=status, lease_left_ms=self.lease_ms - self.clock_ms())

    def _carry_out(self, name, body, may_wait):
        with self.changed:
            if body.get("fenceToken", 0) < self.fence:
                return 409, {"clockMs": self.clock_ms(), "reason": "fence"}
            self.fence = body.get("fenceToken", 0)
            if name == "run-start":
                return self._start(body)
            if name == "run-stop":
                return self._stop(body)
            return self._hold(body, may_wait)

    def _renew(self, deadline_ms):
        """Extends the lease; never shortens it, and never beyond the longest hold."""
        self.lease_ms = max(self.lease_ms, min(deadline_ms, self.clock_ms() + self.hold_max_ms))

    def _refusal(self, body, reason):
        self.record.add(self.id, "refused a start", task=body["task"], run=body["run"], reason=reason)
        return 409, {"clockMs": self.clock_ms(), "reason": reason}

    def _start(self, body):
        task, number = body["task"], body["run"]
        if body["deadlineMs"] < self.clock_ms():
            return self._refusal(body, "late")
        self._renew(body["deadlineMs"])
        there = self.running.get(task)
        if there and there.number == number:
            return 200, {"clockMs": self.clock_ms()}
        if there or self.over.get(task, 0) >= number:
            return self._refusal(body, "old")
        used = [self.needs(name) for name in [*self.running, task]]
        if any(sum(n[part] for n in used) > self.capacity[part] for part in self.capacity):
            return self._refusal(body, "room")
        now = time.monotonic()
        self.running[task] = Run(number, body["spec"], now)
        self.log.append({"worker": self.id, "task": task, "run": number, "began": now, "ended": None, "how": None})
        self.record.add(self.id, "run began", task=task, run=number, fence=body.get("fenceToken", 0))
        return 200, {"clockMs": self.clock_ms()}

    def _stop(self, body):
        task, number = body["task"], body["run"]
        self.record.add(self.id, "gets a stop", task=task, run=number)
        run = self.running.get(task)
        if run and run.number <= number:
            threading.Timer(STOP_S, self._finish_stop, [task, run.number]).start()
        else:
            self.over[task] = max(self.over.get(task, 0), number)
        return 200, {"clockMs": self.clock_ms()}

    def _finish_stop(self, task, number):
        with self.changed:
            run = self.running.get(task)
            if run and run.number == number:
                self._end(task, time.monotonic(), "stopped")

    def _hold(self, body, may_wait):
        if "deadlineMs" in body:
            self._renew(body["deadlineMs"])
        seen = body.get("lastSeen", 0)
        self.finished = [end for end in self.finished if end[0] > seen]
        until = time.monotonic() + min(body.get("waitMs", 0), 2000) / 1000
        while may_wait and not self.finished and self.is_up and not self.is_cut:
            left = until - time.monotonic()
            if left <= 0:
                break
            self.changed.wait(left)
        now = time.monotonic()
        running = [[task, run.number, "", run.percent(now), 0] for task, run in self.running.items()]
        return 200, {"clockMs": self.clock_ms(), "running": running, "finished": self.finished[:500]}
