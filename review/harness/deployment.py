"""A small deployment: gateway processes, started by the deploy file, and what a script records."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

from .requester import Outcome, Requester
from .searcher import Run, Searcher
from .store import Store

ROOT = Path(__file__).resolve().parents[2]
HOST_NAME = "search.example"
FRONT_PORT = 8226
READINESS_PORT = 8227
CONTROL_PORT = 8224
METRICS_PORT = 9464
INTERNAL_PORTS = range(7740, 7756)
PORTS = (FRONT_PORT, READINESS_PORT, CONTROL_PORT, METRICS_PORT, INTERNAL_PORTS[0])
START_TIMEOUT_S = 20.0
# The platform restarts a process that has ended after a short delay.
RESTART_DELAY_S = 0.3
GRACE_PERIOD_S = 6.0
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 262144,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}
# The settings and bounds of `ata-prairie-grown`.
SETTINGS = """nodeName={name}
role=gateway
machineClass=front
serves=front
ipAddress={host}
zone={zone}
region=prairie-west
listen.front={host}:8226
listen.readiness={host}:8227
internalPortRange=7740,7755
seeds=
bootstrap=true
limits.cpuShare=1
limits.memoryMb=300
limits.fileDescriptors=4100
discovery=platform
entryPoint=virtual_ip
heartbeatIntervalMs=1200
bounds.stabilityWindowMs=5000
bounds.drainTimeoutMs=5000
bounds.gracePeriodS=6
bounds.lossSlackMs=200
bounds.configApplyMs=5000
bounds.downgradeSlackMs=250
bounds.retryBudgetRatio=0.2
bounds.retryWindowS=10
bounds.retryBudgetSlack=222
bounds.coldOvershoot=1.5
bounds.coldSlack=5
bounds.evacuationMs=5000
bounds.recoveryS=15
platform.address={store}
platform.form=objects
platform.writesPerS=1200
platform.readsPerS=6000
platform.historyS=20
platform.valueBytes=1048576
"""


class CannotRunError(Exception):
    """The case could not run; nothing is said about the rule."""


class Gateway:
    """One machine with a gateway process."""

    def __init__(self, name: str, zone: str, host: str, settings: Path, log: Path) -> None:
        self.name = name
        self.zone = zone
        self.host = host
        self.settings = settings
        self.log = log
        self.process: asyncio.subprocess.Process | None = None
        # When its last process was started.
        self.started_at = 0.0

    async def start(self, command: list[str]) -> None:
        """Start a process."""
        kept = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env = kept | {
            "FLAMINGOSTACK_NODE_FILE": str(self.settings),
            "PYTHONPATH": str(ROOT / "target/deps"),
        }
        self.started_at = time.monotonic()
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    async def end(self, signal_number: int) -> None:
        """Send a signal, and kill the process if it still runs after the grace period."""
        process = self.process
        if process is None or process.returncode is not None:
            return
        process.send_signal(signal_number)
        try:
            async with asyncio.timeout(GRACE_PERIOD_S):
                await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()


class Deployment:
    """Store, searchers, gateways and requesters of one script, on loopback addresses."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.store = Store()
        self.searchers: list[Searcher] = []
        self.gateways: list[Gateway] = []
        self.requesters: list[Requester] = []
        self.runs: list[Run] = []
        self.outcomes: list[Outcome] = []
        self.lines: list[str] = []
        self.version = 0
        self.store_address = ""
        self.began_at = time.monotonic()
        self.command = read_command()
        self._hosts = choose_hosts()
        self.host = next(self._hosts)

    def note(self, text: str) -> None:
        """Add a line to the record."""
        line = f"{time.monotonic() - self.began_at:8.3f} s  {text}"
        self.lines.append(line)

    async def start_store(self) -> None:
        """Start the store."""
        self.store_address = f"{self.host}:{await self.store.start(self.host)}"

    async def add_searcher(self, searcher: Searcher) -> None:
        """Start a searcher and register it."""
        self.searchers.append(searcher)
        await searcher.start(self.host)
        self.store.put("servers", searcher.id, searcher.make_entry())

    def put_config(self, routes: list[dict], services: list[str]) -> None:
        """Write the next version of the config; routes lack only what is the same for all."""
        self.version += 3
        common = {"host": HOST_NAME, "kind": "safe", "priority": 1, "maxAttempts": 2}
        limits = [
            {"name": name, "healthCheckPath": "/health", "maxConnections": 110, "coldPerS": 0.0}
            for name in services
        ]
        spec = {
            "version": self.version,
            "routes": [common | route for route in routes],
            "services": limits,
            "limits": LIMITS,
        }
        self.store.put("config", "main", spec)
        self.note(f"config version {self.version} acked")

    async def add_gateway(self, name: str, zone: str) -> Gateway:
        """Start a machine and wait until it is ready."""
        host = next(self._hosts)
        settings = self.folder / f"{name}.conf"
        text = SETTINGS.format(name=name, zone=zone, host=host, store=self.store_address)
        settings.write_text(text)
        gateway = Gateway(name, zone, host, settings, self.folder / f"{name}.log")
        self.gateways.append(gateway)
        await gateway.start(self.command)
        await self.wait_ready(gateway)
        self.note(f"{name} in {zone} is ready")
        return gateway

    async def wait_ready(self, gateway: Gateway) -> None:
        """Wait until a gateway reports that it is ready."""
        until = time.monotonic() + START_TIMEOUT_S
        while not await is_ready(gateway.host):
            if time.monotonic() > until or gateway.process.returncode is not None:
                raise CannotRunError(f"{gateway.name} does not become ready")
            await asyncio.sleep(0.02)

    def add_requester(self, name: str, gateway: Gateway) -> Requester:
        """Return a requester of one gateway."""
        requester = Requester(name, gateway.host, FRONT_PORT, self.outcomes)
        self.requesters.append(requester)
        return requester

    async def close(self) -> None:
        """End all processes that were started, and all stand-ins."""
        for gateway in self.gateways:
            process = gateway.process
            if process is not None and process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()
        for part in (*self.requesters, *self.searchers, self.store):
            part.close()


def read_command() -> list[str]:
    """Return the command of the deploy file, with this interpreter."""
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    words = deploy["roles"]["gateway"]["run"].split()
    return [sys.executable if word == "python3" else word for word in words]


def choose_hosts():
    """Yield loopback addresses on which all ports of a machine are free."""
    prefix = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
    for number in range(1, 250):
        host = f"{prefix}.{number}"
        if all(is_free(host, port) for port in PORTS):
            yield host


def is_free(host: str, port: int) -> bool:
    """Return whether nothing listens at an address."""
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


async def is_ready(host: str) -> bool:
    """Ask a gateway whether it is ready, as the platform does."""
    try:
        reader, writer = await asyncio.open_connection(host, READINESS_PORT)
    except OSError:
        return False
    writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
    try:
        return (await reader.read(15)).startswith(b"HTTP/1.1 200")
    except OSError:
        return False
    finally:
        writer.close()


def run_case(
    file: str, play: Callable[[Deployment, bool], Awaitable[list[str]]], limit_s: float
) -> None:
    """Play a case, write `record.txt` beside it, and exit with 0, 1 or 2.

    `play` gets whether there is a disruption, and returns what broke the rule.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    folder = Path(tempfile.mkdtemp(prefix="review-"))

    async def main() -> tuple[int, Deployment | None]:
        deployment = Deployment(folder)
        try:
            async with asyncio.timeout(limit_s):
                await deployment.start_store()
                broken = await play(deployment, has_trouble)
        except (CannotRunError, TimeoutError, OSError) as error:
            deployment.note(f"the case could not run: {error!r}")
            return 2, deployment
        finally:
            await deployment.close()
        for text in broken:
            deployment.note(f"BROKEN {text}")
        deployment.note(f"result: {'broken' if broken else 'held'}, disruption: {has_trouble}")
        return (1 if broken else 0), deployment

    try:
        status, deployment = asyncio.run(main())
        record = [*deployment.lines, "", "sent and answered:"]
        record += [outcome.describe() for outcome in deployment.outcomes]
        record += ["", "run:"]
        record += [
            f"{run.at - deployment.began_at:8.3f} s  {run.request_id} at {run.target} "
            f"({run.service}), status {run.status}"
            for run in deployment.runs
        ]
        Path(file).with_name("record.txt").write_text("\n".join(record) + "\n")
        print("\n".join(deployment.lines[-12:]))
    finally:
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {folder}")
        else:
            shutil.rmtree(folder, ignore_errors=True)
    sys.exit(status)


SIGTERM, SIGKILL, SIGSTOP = signal.SIGTERM, signal.SIGKILL, signal.SIGSTOP
