"""Starts the project's daemons with the command of the deploy file."""

import os
import re
import signal
import socket
import subprocess
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]

# Bounds and limits of the small deployment tpts-fontgrid, as its sheet gives them.
SETTINGS = {
    "bounds.holdMaxMs": "6000",
    "bounds.stopMs": "200",
    "bounds.reclaimMs": "2700",
    "bounds.farFactor": "3",
    "bounds.status_s": "120",
    "bounds.configApplyMs": "2000",
    "limits.cpuShare": "0.25",
    "limits.linkMbps": "1000.0",
    "limits.memoryMb": "260",
    "limits.maxFds": "4100",
}


class CannotRun(Exception):
    """The case can't be tried here."""


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for s in sockets:
        s.bind(("127.0.0.1", 0))
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


def fill(text, values):
    return re.sub(r"\{\{([^}]*)\}\}", lambda gap: values.get(gap.group(1), ""), text)


class Daemon:
    """One daemon as a process of its own."""

    def __init__(self, record, node, zone, store_address, log_dir):
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]
        http, ready, rpc, metrics = free_ports(4)
        values = {
            **SETTINGS,
            "node": node,
            "zone": zone,
            "ip": "127.0.0.1",
            "listen.http": f"127.0.0.1:{http}",
            "listen.readiness": f"127.0.0.1:{ready}",
            "portRange.0": str(rpc),
            "portRange.1": str(metrics),
            "platform.address": store_address,
        }
        command = [fill(part, values) for part in role["run"].split()]
        program = ROOT / command[0]
        if not program.exists():
            raise CannotRun(f"{command[0]} is missing: build it as deploy/system.toml says")
        env = {name: fill(text, values) for name, text in role.get("env", {}).items()}
        env = {name: text for name, text in env.items() if text}
        env |= {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        self.node, self.address, self.ready_address = node, values["listen.http"], values["listen.readiness"]
        self.log_path = Path(log_dir) / f"{node}.log"
        self.log = open(self.log_path, "wb")
        self.process = subprocess.Popen([str(program), *command[1:]], cwd=ROOT, env=env, stdout=self.log, stderr=self.log)
        record.add(node, "started", command=" ".join(command), pid=self.process.pid)

    def end(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
        self.log.close()
