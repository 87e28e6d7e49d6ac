"""`make demo`: a fleet of gateways on loopback, and the operators' commands in turn.

The fleet, its store, targets and callers are those of the soak. Each step runs the command as an
operator would, in a process of its own, and prints it before its output.
"""

from __future__ import annotations

import asyncio
import os
import shlex
import shutil
import signal
import sys
import time
from pathlib import Path
from typing import Annotated

import cyclopts

from flamingostack.store import make_session

from .callers import Caller
from .checks import find_violations
from .faults import RECOVERY_SLACK_S
from .instances import RESTART_DELAY_S
from .ledger import Outcome
from .world import START_TIMEOUT_S, Environment, make_process_key

OUTPUT_FOLDER = Path("out/demo")
# A seed whose fleet has followers: one failure domain of six instances.
SEED = 6
# Address ranges; runs at the same time need different ones.
SLOTS = 100
# In two and a half seconds the callers send some hundred requests.
LOAD_S = 2.5
# Time after which all requests have to be served again.
RECOVERY_S = 3.0

app = cyclopts.App(name="demo", help="A fleet of gateways on loopback, operated step by step.")


class Demo:
    """The fleet and the number of commands that did not end as expected."""

    def __init__(self, environment: Environment) -> None:
        self.environment = environment
        self.failed_steps = 0

    @property
    def settings_file(self) -> str:
        """The settings file of an instance, by which the commands find the fleet."""
        return str(self.environment.instances[0].settings_path)

    @property
    def logs(self) -> list[str]:
        """The logs of all instances."""
        folder = self.environment.folder
        return [str(folder / f"{item.name}.log") for item in self.environment.instances]

    async def run(self) -> None:
        """Run all steps."""
        say("The fleet as an operator sees it")
        await self.operate("status", "--gateway", self.settings_file)
        say("A query over six shards")
        show_answer(await self.query())
        await self.take_target_out()
        await self.evacuate()
        await self.kill_instance()
        await self.lose_shard()
        say("All of it in one page")
        await self.operate("report", *self.logs, "--output", str(OUTPUT_FOLDER / "report.html"))

    async def take_target_out(self) -> None:
        """Mark a target as leaving, and clear the mark."""
        target = next(item for item in self.environment.targets if item.service == "one")
        say(f"Target {target.id} leaves, and returns")
        for state in ("leaving", "clear"):
            arguments = ("mark", "target", target.id, state, "--gateway", self.settings_file)
            await self.operate(*arguments)
            await asyncio.sleep(LOAD_S / 2)

    async def evacuate(self) -> None:
        """Evacuate a failure domain, as the platform's operators do."""
        say("The platform's operators evacuate failure domain b")
        store = self.environment.store
        store.put("evacuations", "b", {})
        change = self.environment.record_change("evacuation", "b")
        await asyncio.sleep(LOAD_S)
        show_answer(await self.query())
        store.delete("evacuations", "b")
        change.reverted_at = self.environment.now()

    async def kill_instance(self) -> None:
        """Suspend the process of an instance, and kill it; it restarts by itself."""
        instance = self.environment.instances[-1]
        say(f"The process of {instance.name} hangs, and is killed")
        names = [instance.name, make_process_key(instance.name)]
        intervals = self.environment.ledger.record_fault_start(names, self.environment.now())
        instance.send_signal(signal.SIGSTOP)
        await self.operate("status", "--gateway", self.settings_file, expected=6)
        instance.kill()
        await asyncio.sleep(RESTART_DELAY_S)
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self.environment.is_ready(instance):  # noqa: ASYNC110
                await asyncio.sleep(0.1)
        self.end_faults(intervals)
        await self.operate("status", "--gateway", self.settings_file)

    def end_faults(self, intervals: list[list[float]]) -> None:
        """Record that faults have ended; requests then in flight may still suffer from them."""
        for interval in intervals:
            interval[1] = self.environment.now() + RECOVERY_SLACK_S

    async def lose_shard(self) -> None:
        """Let all targets of a shard fail, and explain a query that lacks it."""
        say("All targets of shard s3 hang: answers lack it, and say so")
        broken = [item for item in self.environment.targets if item.service == "s3"]
        intervals = self.environment.ledger.record_fault_start(
            [item.id for item in broken], self.environment.now()
        )
        for target in broken:
            target.fault = "hang"
        await asyncio.sleep(LOAD_S)
        answer = await self.query()
        show_answer(answer)
        for target in broken:
            target.fault = ""
        self.end_faults(intervals)
        await asyncio.sleep(RECOVERY_S)
        self.environment.recovery_check_from = self.environment.now()
        await asyncio.sleep(LOAD_S)
        await self.operate("explain", answer.request_id, *self.logs)

    async def query(self) -> Outcome:
        """Send one query over all shards to the first instance."""
        caller = Caller(self.environment, self.environment.instances[0], self.environment.rng)
        async with make_session() as session:
            return await caller.send(session, "all")

    async def operate(self, *arguments: str, expected: int = 0) -> None:
        """Run the operators' command and print it with its output."""
        shown = [Path(item).name if item in self.logs else item for item in arguments]
        print(f"$ flamingostack {shlex.join(shown)}", flush=True)
        command = (sys.executable, "-c", "from flamingostack.core import run; exit(run())")
        process = await asyncio.create_subprocess_exec(*command, *arguments)
        status = await process.wait()
        if status != expected:
            self.failed_steps += 1
            print(f"exit status {status}, expected {expected}", flush=True)


def say(text: str) -> None:
    """Print the heading of a step."""
    print(f"\n== {text}", flush=True)


def show_answer(outcome: Outcome) -> None:
    """Print how a query ended, and what its answer covers."""
    stamps = [item for item in outcome.headers.get("X-Part-Stamps", "").split(",") if item]
    missing = outcome.headers.get("X-Missing-Parts", "0")
    elapsed_ms = (outcome.ended_at - outcome.sent_at) * 1000
    print(
        f"{outcome.request_id}: status {outcome.status} after {elapsed_ms:.0f} ms,"
        f" {len(stamps)} parts, {missing} missing",
        flush=True,
    )


async def run_demo(is_kept: bool) -> int:
    """Run the demo; return how many steps and answers were wrong."""
    environment = Environment(SEED, os.getpid() % SLOTS, OUTPUT_FOLDER)
    demo = Demo(environment)
    started = time.monotonic()
    try:
        await environment.start()
        elapsed_s = time.monotonic() - started
        count = len(environment.instances)
        print(f"{count} gateways, {len(environment.targets)} targets, ready in {elapsed_s:.1f} s")
        await demo.run()
        if is_kept:
            say("The fleet runs until Ctrl-C; its settings files and logs are in out/demo")
            await asyncio.Event().wait()
    finally:
        await environment.stop()
    violations = find_violations(environment)
    answered = sum(item.status == 200 for item in environment.ledger.outcomes_by_id.values())
    say(f"{answered} answers checked, {len(violations) + demo.failed_steps} problems")
    for line in violations[:10]:
        print(f"  {line}")
    return len(violations) + demo.failed_steps


@app.default
def main(
    *,
    keep: Annotated[
        bool, cyclopts.Parameter(help="keep the fleet until Ctrl-C", negative="")
    ] = False,
) -> None:
    """Run the demo; exit with status 1 if a step or an answer was wrong."""
    shutil.rmtree(OUTPUT_FOLDER, ignore_errors=True)
    OUTPUT_FOLDER.mkdir(parents=True)
    try:
        sys.exit(int(asyncio.run(run_demo(keep)) > 0))
    except KeyboardInterrupt:
        sys.exit(0)


if __name__ == "__main__":
    app()
