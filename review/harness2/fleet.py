"""Processes of the system, started with the command of the deploy file."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import tomllib
from pathlib import Path

from .http1 import Client
from .record import Record

ROOT = Path(__file__).resolve().parents[2]
READY_S = 20.0
# The metrics address has the same port on all machines, so each has a loopback address of its own.
METRICS_PORT = 9464
SETTINGS = """nodeName={name}
role=gateway
machineClass=front
serves=front
ipAddress={host}
zone={zone}
region=east
zones.east-a=east
zones.east-b=east
listen.front={host}:{front}
listen.readiness={host}:{readiness}
internalPortRange={internal},{last}
bootstrap=true
limits.cpuShare=0.537
limits.cpuCores=2
limits.memoryMb=300
limits.fileDescriptors=4100
limits.linkMbps=1000.0
discovery=platform
entryPoint=virtual_ip
heartbeatIntervalMs=1200
contracts=base,drain,config,cost,retry,recover,scatter,places,platform
bounds.stabilityWindowMs=4000
bounds.ackTimeoutMs=5000
bounds.drainTimeoutMs=3000
bounds.gracePeriodS=6
bounds.lossSlackMs=200
bounds.configApplyMs=3000
bounds.downgradeSlackMs=250
bounds.maxSkewMs=12000
bounds.retryBudgetRatio=0.2
bounds.retryWindowS=10
bounds.retryBudgetSlack=56
bounds.coldOvershoot=1.5
bounds.coldSlack=5
bounds.evacuationMs=5000
bounds.recoveryS=12
platform.address={store}
platform.form=objects
platform.writesPerS=400
platform.readsPerS=2000
platform.historyS=20
platform.valueBytes=1048576
"""


def find_free_ports(host: str, count: int) -> list[int]:
    """Return ports that are free at an address for TCP and UDP."""
    ports: list[int] = []
    while len(ports) < count:
        with (
            socket.socket(socket.AF_INET, socket.SOCK_STREAM) as stream,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagram,
        ):
            stream.bind((host, 0))
            port = stream.getsockname()[1]
            try:
                datagram.bind((host, port))
            except OSError:
                continue
            if port not in ports:
                ports.append(port)
    return ports


def find_free_hosts(count: int) -> list[str]:
    """Return loopback addresses at which the port of the metrics is free."""
    hosts: list[str] = []
    for number in range(2, 250):
        host = f"127.{os.getpid() % 200 + 20}.77.{number}"
        with socket.socket() as probe:
            try:
                probe.bind((host, METRICS_PORT))
            except OSError:
                continue
        hosts.append(host)
        if len(hosts) == count:
            return hosts
    raise OSError("no free loopback addresses")


class Gateway:
    """One process of the system."""

    def __init__(
        self, record: Record, name: str, zone: str, host: str, store: str, folder: Path
    ) -> None:
        self.record = record
        self.name = name
        self.zone = zone
        self.host = host
        self.front_port, self.readiness_port, internal = find_free_ports(host, 3)
        self.folder = folder
        self.settings_path = folder / f"{name}.conf"
        self.settings_path.write_text(
            SETTINGS.format(
                name=name,
                zone=zone,
                host=host,
                store=store,
                front=self.front_port,
                readiness=self.readiness_port,
                internal=internal,
                last=internal + 1,
            )
        )
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process with the command and the variables that the deploy file gives it."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = deploy["roles"]["gateway"]["run"].split(" ")
        variables = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        variables["PYTHONPATH"] = str(ROOT / "target" / "deps")
        variables["PYTHONDONTWRITEBYTECODE"] = "1"
        variables["FLAMINGOSTACK_NODE_FILE"] = str(self.settings_path)
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=variables, stdout=log, stderr=log
            )
        self.record.add("started", gateway=self.name, pid=self.process.pid)

    async def wait_ready(self, timeout_s: float = READY_S) -> bool:
        """Wait until it reports ready; return False if it does not in time."""
        loop = asyncio.get_running_loop()
        until = loop.time() + timeout_s
        while loop.time() < until:
            client = Client(self.host, self.readiness_port)
            answer = await client.send("GET", "/-/readiness", {"Host": "x"}, timeout_s=1.0)
            client.close()
            if answer.status == 200:
                self.record.add("ready", gateway=self.name)
                return True
            await asyncio.sleep(0.05)
        return False

    def read_memory(self) -> int:
        """Return the resident bytes of the process; 0 if it is not running."""
        if self.process is None or self.process.returncode is not None:
            return 0
        try:
            pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        except (OSError, IndexError):
            return 0
        return pages * os.sysconf("SC_PAGE_SIZE")

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            self.send_signal(signal.SIGCONT)
            self.send_signal(signal.SIGKILL)
            await self.process.wait()
