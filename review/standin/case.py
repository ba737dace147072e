"""What the scripts share: a small deployment, its callers, and the exit codes."""

import http.client
import json
import os
import signal
import sys
import tempfile
import time
import traceback

from .daemons import CannotRun, Daemon
from .record import Record
from .store import Store
from .worker import Worker

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

ZONES = ["kariakoo", "msasani", "ubungo"]
SERVICE = "fontgrid"
HOST = "jobs.example"
# Path prefix, priority and the rest of each queue.
QUEUES = {
    "glyph-subset": {"priority": 0, "attempts": 2, "stretch": 1.5, "targetLatencyMs": 250},
    "hinting-preview": {"priority": 1, "attempts": 3, "stretch": 3.0, "targetLatencyMs": 1000},
    "ebook-batch": {"priority": 2, "attempts": 3, "stretch": 3.0, "targetLatencyMs": 3000},
}
# Name, key and guaranteed accelerators of each customer.
TENANTS = {"gazeti": ("key-gazeti", 8), "shule": ("key-shule", 8)}
WORKER_CAPACITY = {"cpu": 32000, "memMb": 65536, "gpu": 8}
DAEMONS = 3


class Deployment:
    """Daemons on three entry VMs, the store, and workers."""

    def __init__(self, record, log_dir):
        self.record = record
        self.store = Store(record)
        self.store.put("op/config", configuration())
        self.steps = {}
        self.workers = []
        self.daemons = []
        self.log_dir = log_dir

    def start_daemons(self):
        """Starts a daemon in each zone, and waits until all of them say that they are ready."""
        for index in range(DAEMONS):
            zone = ZONES[index % len(ZONES)]
            self.daemons.append(Daemon(self.record, f"edge-{zone}-1", zone, self.store.address, self.log_dir))
        self.wait_until_ready()

    def add_worker(self, name, *, zone=ZONES[0], rack="r1-1", clock_rate=1.0):
        worker = Worker(
            self.record, self.store, name, service=SERVICE, zone=zone, labels=["a", rack],
            capacity=WORKER_CAPACITY, hold_max_ms=6000, needs=self.needs, clock_rate=clock_rate,
        )
        self.workers.append(worker)
        self.record.add(name, "up", address=worker.address, zone=zone, rack=rack)
        return worker

    def needs(self, task):
        """Returns the resources of a task JOB.TIME.STEP.INDEX."""
        job, _, step, _ = task.split(".")
        wanted = self.steps[job][int(step)]
        return {part: wanted.get(part, 0) for part in WORKER_CAPACITY}

    def wait_until_ready(self, limit_s=10):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if all(get_status(d.ready_address, "/v1/readyz") == 200 for d in self.daemons):
                return
            time.sleep(0.1)
        raise CannotRun("the daemons do not become ready")

    def check_daemons(self):
        """A play in which a daemon ended tells nothing of the case."""
        ended = [daemon.node for daemon in self.daemons if daemon.process.poll() is not None]
        if ended:
            raise CannotRun(f"ended during the play: {', '.join(ended)}")

    def room_for(self, step):
        """Returns how many tasks like this the workers that are up have room for."""
        return sum(worker.copies(step) for worker in self.workers if worker.is_up and not worker.is_cut)

    def share_in_use(self):
        """Returns the share of the service's capacity that is in use, of the part that is used most."""
        up = [worker for worker in self.workers if worker.is_up]
        used = [self.needs(task) for worker in up for task in list(worker.running)]
        return max(sum(n[part] for n in used) / (len(up) * has) for part, has in WORKER_CAPACITY.items())

    def runs(self, job=None):
        """Returns every run that ever began, oldest first."""
        runs = [run for worker in self.workers for run in worker.log]
        runs = [run for run in runs if job is None or run["task"].startswith(job + ".")]
        return sorted(runs, key=lambda run: run["began"])

    # Callers.

    def call(self, method, job, queue, tenant, body=None, daemon=0, timeout_s=5):
        """Makes a call as a caller; returns its status, or None without an answer, and its body."""
        address = self.daemons[daemon].address
        path = f"/{queue}/{job}"
        headers = {"Host": HOST, "Authorization": "Bearer " + TENANTS[tenant][0], "X-Stairstall-Deadline-Ms": "3000"}
        data = json.dumps(body) if body is not None else None
        if data:
            headers["Content-Type"] = "application/json"
        self.record.add("caller", method, path=path, node=self.daemons[daemon].node, body=body)
        connection = http.client.HTTPConnection(address, timeout=timeout_s)
        try:
            connection.request(method, path, data, headers)
            response = connection.getresponse()
            status, text = response.status, response.read().decode()
        except OSError as error:
            status, text = None, str(error)
        finally:
            connection.close()
        self.record.add("caller", f"{method} answered", path=path, status=status, answer=text)
        return status, text

    def submit(self, job, queue, tenant, spec, steps, **where):
        self.steps[job] = steps
        return self.call("POST", job, queue, tenant, {"spec": spec, "steps": steps}, **where)

    def state(self, job, queue, tenant, **where):
        status, text = self.call("GET", job, queue, tenant, **where)
        return json.loads(text)["state"] if status == 200 else status

    def end(self):
        for daemon in self.daemons:
            daemon.end()


def configuration():
    routes = [
        {"name": name, "host": HOST, "pathPrefix": f"/{name}/", "type": "unsafe", "timeoutMs": 3000,
         "service": SERVICE, "public": False, **queue}
        for name, queue in QUEUES.items()
    ]
    service = {"name": SERVICE, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": False,
               "rejectsOverload": True, "spare": False}
    tenants = [{"name": name, "apiKeys": [key], "guaranteed": {"gpu": gpus}} for name, (key, gpus) in TENANTS.items()]
    return {"version": 3, "routes": routes, "services": [service], "tenants": tenants,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


def get_status(address, path):
    connection = http.client.HTTPConnection(address, timeout=1)
    try:
        connection.request("GET", path)
        return connection.getresponse().status
    except OSError:
        return None
    finally:
        connection.close()


def main(scenario, folder):
    """Runs `scenario(deployment, has_trouble)`, which returns whether the rule held and why."""
    # Whoever ends the script ends its daemons with it.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    record.add("script", "begins", trouble=has_trouble)
    code = COULD_NOT_RUN
    with tempfile.TemporaryDirectory() as log_dir:
        deployment = None
        try:
            deployment = Deployment(record, log_dir)
            held, why = scenario(deployment, has_trouble)
            deployment.check_daemons()
            code = HELD if held else BROKEN
        except CannotRun as error:
            why = str(error)
        except Exception:
            why = traceback.format_exc()
        finally:
            if deployment:
                deployment.end()
                keep = os.environ.get("KEEP_LOGS")
                if keep:
                    for daemon in deployment.daemons:
                        os.replace(daemon.log_path, os.path.join(keep, daemon.log_path.name))
    verdict = {HELD: "held", BROKEN: "broken", COULD_NOT_RUN: "could not run"}[code]
    record.add("script", "ends", verdict=verdict, why=why)
    record.close()
    print(f"{verdict}: {why}")
    sys.stdout.flush()
    os._exit(code)
