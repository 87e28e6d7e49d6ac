"""Gateway processes of the soak: their settings, start, signals and restarts."""

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
# Time from SIGTERM until the process is killed.
GRACE_PERIOD_S = 3.0
# The longest time without a processor that is not counted, and how often it is read at the end.
MAX_WAITING_S = 10.0
EXIT_POLL_S = 0.05
# The platform restarts an exited process after a short delay.
RESTART_DELAY_S = 0.3
# Part of the path of each library that a process loads after its own first statements.
LIBRARY_FOLDER = "site-packages"
NS_PER_S = 1e9
SETTINGS_TEMPLATE = """nodeName={name}
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
    """One instance, whose process is restarted whenever it exits, as on the platform."""

    command = (sys.executable, "-m", "flamingostack.gateway")

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
        # The parts that the settings name as in force, besides those that need no name.
        self.contracts = ""
        # Processes started so far.
        self.process_number = 0
        self.process: asyncio.subprocess.Process | None = None
        self.is_exit_expected = False
        # Whether the last SIGHUP came before the process ran any of its own code.
        self.was_reloaded_too_early = False
        # When SIGTERM was sent to the running process; None before that.
        self.sigterm_sent_at: float | None = None
        # Times of SIGTERM and of the exit of each process that got SIGTERM, for the checks.
        self.stops: list[tuple[float, float]] = []
        self.settings_path = folder / f"{name}.conf"

    def write_settings(self) -> None:
        """Write the settings file."""
        text = SETTINGS_TEMPLATE.format(
            name=self.name,
            host=self.host,
            domain=self.domain,
            caller_port=CALLER_PORT,
            readiness_port=READINESS_PORT,
            store=f"{self.store_proxy.host}:{self.store_proxy.config.port}",
            **self.bounds,
        )
        if self.contracts:
            text += f"contracts={self.contracts}\n"
        self.settings_path.write_text(text)

    async def run(self) -> None:
        """Run a process and restart it after each exit, until cancelled; then kill it."""
        self.write_settings()
        loop = asyncio.get_running_loop()
        log_path = self.folder / f"{self.name}.log"
        while True:
            self.process_number += 1
            self.is_exit_expected = False
            self.sigterm_sent_at = None
            with log_path.open("ab") as log:
                self.process = await asyncio.create_subprocess_exec(
                    *self.command,
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
            if status == -signal.SIGHUP and self.was_reloaded_too_early:
                self.is_exit_expected = True
            if not self.is_exit_expected:
                self.ledger.immediate_violations.append(
                    f"{self.name} ended by itself with status {status}"
                )
            if self.sigterm_sent_at is not None:
                self.stops.append((self.sigterm_sent_at, loop.time()))
            await asyncio.sleep(RESTART_DELAY_S)

    def send_signal(self, signal_number: int) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal_number)

    def reload(self) -> None:
        """Write the settings file and send SIGHUP.

        Until its interpreter has started, no program can keep the signal from ending it; the
        platform then starts it again, with the new settings.
        """
        self.write_settings()
        if self.process is not None and self.process.returncode is None:
            self.was_reloaded_too_early = is_interpreter_starting(self.process.pid)
            self.process.send_signal(signal.SIGHUP)

    def read_resident_bytes(self) -> int:
        """Return the resident memory of the process; 0 if it is not running."""
        if self.process is None or self.process.returncode is not None:
            return 0
        try:
            pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        except OSError:
            return 0
        return pages * os.sysconf("SC_PAGE_SIZE")

    async def terminate(self) -> None:
        """Stop the process with SIGTERM, and kill it if it is still running after the grace period.

        While the machine has no processor for the process, the grace period does not pass: a busy
        one took five seconds to start a process that was to stop in three, and callers in its
        backlog were cut. Does nothing if the process has exited or is already being stopped.
        """
        process = self.process
        if process is None or process.returncode is not None or self.sigterm_sent_at is not None:
            return
        self.is_exit_expected = True
        loop = asyncio.get_running_loop()
        self.sigterm_sent_at = loop.time()
        waited_before_s = read_waiting_s(process.pid)
        self.send_signal(signal.SIGTERM)
        exit_waiter = asyncio.create_task(process.wait())
        while process.returncode is None:
            waited_s = max(read_waiting_s(process.pid) - waited_before_s, 0.0)
            waited_s = min(waited_s, MAX_WAITING_S)
            left_s = self.sigterm_sent_at + GRACE_PERIOD_S + waited_s - loop.time()
            if left_s <= 0:
                process.kill()
            await asyncio.wait({exit_waiter}, timeout=max(left_s, EXIT_POLL_S))

    def kill(self) -> None:
        """Kill the process with SIGKILL."""
        self.is_exit_expected = True
        self.send_signal(signal.SIGKILL)


def read_waiting_s(pid: int) -> float:
    """Return for how long a process has waited for a processor; 0 if it has exited."""
    try:
        _, waited_ns, _ = Path(f"/proc/{pid}/schedstat").read_text().split()
    except (OSError, ValueError):
        return 0.0
    return int(waited_ns) / NS_PER_S


def is_interpreter_starting(pid: int) -> bool:
    """Return whether SIGHUP ends a process, and it has not loaded any library yet."""
    folder = Path(f"/proc/{pid}")
    try:
        fields = dict(line.split(":", 1) for line in (folder / "status").read_text().splitlines())
        maps = (folder / "maps").read_text()
    except OSError:
        return False
    kept = 0
    for name in ("SigBlk", "SigIgn", "SigCgt"):
        kept |= int(fields.get(name, "0"), 16)
    return not kept & 1 << (signal.SIGHUP - 1) and LIBRARY_FOLDER not in maps
