"""Gateway processes of the soak: settings, start, signals and restart."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path

from standins.proxy import Listener

from .ledger import Ledger

ROOT = Path(__file__).resolve().parents[1]
CALLER_PORT = 8226
READINESS_PORT = 8227
GRACE_S = 3.0
# The platform starts a process again after a short delay.
RESTART_S = 0.3
SETTINGS = """nodeName={name}
ipAddress={host}
zone={domain}
listen.front={host}:{caller_port}
listen.readiness={host}:{readiness_port}
internalPortRange=7740,7755
bounds.gracePeriodS={grace_s}
bounds.retryBudgetRatio={ratio}
bounds.retryWindowS={window_s}
bounds.retryBudgetSlack={slack}
bounds.coldOvershoot={overshoot}
bounds.coldSlack={cold_slack}
platform.address={store}
platform.historyS=20
"""


class Instance:
    """One instance: its process is started again whenever it has ended, as the platform does."""

    def __init__(
        self,
        name: str,
        domain: str,
        host: str,
        store_proxy: Listener,
        folder: Path,
        ledger: Ledger,
        bounds: dict,
    ):
        self.name = name
        self.domain = domain
        self.host = host
        self.store_proxy = store_proxy
        self.folder = folder
        self.ledger = ledger
        self.bounds = dict(bounds)
        self.boot = 0
        self.process: asyncio.subprocess.Process | None = None
        self.is_expected_to_end = False
        # When SIGTERM was sent to the process that runs now.
        self.terminated_at: float | None = None
        # Terminations and the ends of these processes, for the checks.
        self.stops: list[tuple[float, float]] = []
        self.settings_path = folder / f"{name}.conf"

    def write_settings(self) -> None:
        """Write the settings file."""
        text = SETTINGS.format(
            name=self.name,
            host=self.host,
            domain=self.domain,
            caller_port=CALLER_PORT,
            readiness_port=READINESS_PORT,
            store=f"{self.store_proxy.host}:{self.store_proxy.config.port}",
            **self.bounds,
        )
        self.settings_path.write_text(text)

    async def run(self) -> None:
        """Keep a process running until cancelled."""
        self.write_settings()
        loop = asyncio.get_running_loop()
        log_path = self.folder / f"{self.name}.log"
        while True:
            self.boot += 1
            self.is_expected_to_end = False
            self.terminated_at = None
            with log_path.open("ab") as log:
                self.process = await asyncio.create_subprocess_exec(
                    *(sys.executable, "-m", "flamingostack.gateway"),
                    cwd=ROOT,
                    env=os.environ | {"FLAMINGOSTACK_NODE_FILE": str(self.settings_path)},
                    stdout=log,
                    stderr=log,
                )
            try:
                status = await self.process.wait()
            except asyncio.CancelledError:
                self.process.kill()
                await self.process.wait()
                raise
            if not self.is_expected_to_end:
                self.ledger.notes.append(f"{self.name} ended by itself with status {status}")
            if self.terminated_at is not None:
                self.stops.append((self.terminated_at, loop.time()))
            await asyncio.sleep(RESTART_S)

    def send(self, number: int) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def terminate(self) -> None:
        """Stop the process gracefully, and kill it when the grace period is over."""
        process = self.process
        if process is None or process.returncode is not None or self.terminated_at is not None:
            return
        self.is_expected_to_end = True
        self.terminated_at = asyncio.get_running_loop().time()
        self.send(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S):
                await process.wait()
        except TimeoutError:
            if process.returncode is None:
                process.kill()

    def kill(self) -> None:
        """Kill the process."""
        self.is_expected_to_end = True
        self.send(signal.SIGKILL)
