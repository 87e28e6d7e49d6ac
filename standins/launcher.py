"""Starts and ends the real processes of a cluster, for tests, the demo and the bench.

Each process is signalled by its own process id.
"""

from __future__ import annotations

import asyncio
import atexit
import base64
import contextlib
import ctypes
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import uuid
from collections.abc import Coroutine, Iterable
from pathlib import Path
from typing import IO, Any

import aiohttp
import msgspec
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError

from flamingostack.generated import messages_pb2 as pb
from flamingostack.generated.messages_grpc import ControlStub

from . import proxy, searcher
from .deployments import Deployment, make_index, make_searcher_configs, make_snapshot

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
PROTOCOL = 1
# Below the kernel's ephemeral port range, so that no outgoing connection takes a port between its
# choice and its use, or while its process is being replaced.
PORT_RANGE = range(10_000, 32_000)
PORTS_PER_BLOCK = 100
POLL_INTERVAL_S = 0.05
STARTUP_TIMEOUT_S = 20.0
READY_CHECK_TIMEOUT_S = 0.3
CHECK_TURN_S = 0.03
# The caller checks each 0.1 s; a check that takes the whole timeout is followed by the next.
MAX_READY_AGE_S = 0.5
MAX_PICKS = 2
NOT_SENT = "the instance had closed the connection before the request was written"
LAST_LOG_LINES = 15
PROCESS_KINDS = ("control", "dispatch", "entry")
# Option of Linux's prctl(2).
PR_SET_PDEATHSIG = 1
LIBC = ctypes.CDLL(None, use_errno=True)
CALL_ERRORS = (TimeoutError, OSError, GRPCError, StreamTerminatedError)


class LauncherError(Exception):
    """A process ended or did not start in time, or a request to the cluster failed."""


class PortPool:
    """Free loopback ports for one cluster, in blocks that no other cluster uses.

    A pool owns a block by listening on its first port. It is not enough to probe each port: a
    chosen port looks free until its process starts, and again while the process is replaced.
    """

    __slots__ = ("_block_sockets", "_free")

    def __init__(self) -> None:
        self._block_sockets: list[socket.socket] = []
        self._free: list[int] = []

    def take(self, count: int) -> list[int]:
        """Return `count` ports that this pool has not returned before."""
        while len(self._free) < count:
            self._free += self._take_block()
        taken, self._free = self._free[:count], self._free[count:]
        return taken

    def _take_block(self) -> list[int]:
        starts = list(PORT_RANGE[::PORTS_PER_BLOCK])
        random.Random().shuffle(starts)
        for start in starts:
            block_socket = bind_port(start)
            if block_socket is not None:
                self._block_sockets.append(block_socket)
                return [port for port in range(start + 1, start + PORTS_PER_BLOCK) if is_free(port)]
        raise LauncherError(f"no free ports from {PORT_RANGE.start} to {PORT_RANGE.stop}")

    def close(self) -> None:
        """Release all blocks."""
        for block_socket in self._block_sockets:
            block_socket.close()
        self._block_sockets.clear()
        self._free.clear()


def bind_port(port: int) -> socket.socket | None:
    """Return a socket that listens on a loopback port, or None if it cannot be bound."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((HOST, port))
        listener.listen()
    except OSError:
        listener.close()
        return None
    return listener


def is_free(port: int) -> bool:
    """Return whether a loopback port can be bound."""
    listener = bind_port(port)
    if listener is None:
        return False
    listener.close()
    return True


def set_parent_death_signal() -> None:
    """Make the kernel kill this process when the launcher ends, even if that was killed itself."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Process:
    """One child process, which can be started again; its output is appended to a log file."""

    __slots__ = ("name", "arguments", "log_path", "_child", "_log", "_log_start")

    def __init__(self, name: str, arguments: list[str], log_path: Path) -> None:
        self.name = name
        self.arguments = arguments
        self.log_path = log_path
        self._child: subprocess.Popen[bytes] | None = None
        self._log: IO[bytes] | None = None
        # Offset in bytes at which the current run starts in the log, after those of earlier runs.
        self._log_start = 0

    def start(self) -> None:
        """Start the process in a session of its own, so that Ctrl-C reaches the launcher only."""
        self.close_log()
        self._log = self.log_path.open("ab")
        self._log_start = self._log.tell()
        environment = {**os.environ, "PYTHONPATH": str(ROOT), "PYTHONUNBUFFERED": "1"}
        self._child = subprocess.Popen(
            [sys.executable, *self.arguments],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=subprocess.STDOUT,
            start_new_session=True,
            preexec_fn=set_parent_death_signal,
        )

    @property
    def pid(self) -> int:
        """The process id, or 0 if the process was never started."""
        return self._child.pid if self._child is not None else 0

    def exit_status(self) -> int | None:
        """Return the exit status, negative for a signal, or None while the process runs."""
        return self._child.poll() if self._child is not None else None

    def is_running(self) -> bool:
        """Return whether the process was started and has not ended."""
        return self._child is not None and self._child.poll() is None

    def send_signal(self, number: int) -> None:
        """Send a signal if the process runs."""
        if self.is_running():
            self._child.send_signal(number)

    def kill(self) -> None:
        """Kill the process, even if it is stopped by SIGSTOP, and reap it."""
        if self._child is not None:
            if self._child.poll() is None:
                self._child.kill()
            self._child.wait()
        self.close_log()

    def close_log(self) -> None:
        """Close the launcher's own handle of the log file."""
        if self._log is not None:
            self._log.close()
            self._log = None

    async def wait_for_exit(self, within_s: float) -> int:
        """Wait for the end and return the exit status; LauncherError after `within_s`."""
        end = time.monotonic() + within_s
        while self.is_running():
            if time.monotonic() > end:
                raise LauncherError(f"{self.name} did not end within {within_s:g} s")
            await asyncio.sleep(POLL_INTERVAL_S / 5)
        return self.exit_status() or 0

    def read_log(self) -> str:
        """Return the output of the process since its last start."""
        if not self.log_path.exists():
            return ""
        return self.log_path.read_bytes()[self._log_start :].decode(errors="replace")


def describe_end(process: Process) -> str:
    """Return whether a process runs, and the last lines of its log."""
    state = "runs" if process.is_running() else f"ended with status {process.exit_status()}"
    lines = process.read_log().splitlines()[-LAST_LOG_LINES:]
    return "\n".join([f"{process.name} {state}:", *lines])


class Instance:
    """One instance of the tier: its addresses, settings file and processes (PROCESS_KINDS).

    `state` is "live", "leaving" or "gone", as the platform's instance list has it.
    """

    __slots__ = ("id", "failure_domain", "addresses", "settings_path", "processes", "state")

    def __init__(self, id: str, failure_domain: str, ports: list[int]) -> None:
        self.id = id
        self.failure_domain = failure_domain
        names = ("control", "dispatch", "status", "entry")
        self.addresses = {name: f"{HOST}:{port}" for name, port in zip(names, ports, strict=True)}
        self.settings_path = Path()
        self.processes: dict[str, Process] = {}
        self.state = "live"

    @property
    def entry_url(self) -> str:
        """Base URL of the callers' HTTP API."""
        return f"http://{self.addresses['entry']}"


class Cluster:
    """A context manager that runs a platform, searchers, an optional proxy and instances.

    Options:
        log_dir: directory of logs and configuration files; None: a temporary one, which is kept
            if the context ends with an error.
        proxied: which connections go through the fault proxy: "instances" (between instances),
            "store", "searchers", "callers".
        settings: settings added to those of each instance, by section, such as
            {"fleet": {"lease_ms": 1000, "sync_ms": 200}}.
        searchers: fields of SearcherConfig that override those of all searchers.
        searcher_processes: how many processes share the searchers.
        preset: the preset to store and use at start; "" starts without one.
        snapshot: id of the snapshot that all searchers hold at start.
        wrapper: arguments of a program that runs an instance's module, such as
            ["-m", "standins.mutants", "no-fence"]; empty: the module itself.
    """

    def __init__(
        self,
        deployment: Deployment,
        log_dir: Path | None = None,
        proxied: Iterable[str] = (),
        settings: dict[str, dict[str, Any]] | None = None,
        searchers: dict[str, Any] | None = None,
        searcher_processes: int = 2,
        platform_arguments: Iterable[str] = (),
        preset: str = "ordinary",
        snapshot: str = "s1",
        seed: int = 1,
        start_instances: bool = True,
        wrapper: Iterable[str] = (),
    ) -> None:
        self.deployment = deployment
        self.wrapper = list(wrapper) or ["-m"]
        self.proxied = frozenset(proxied)
        self.settings = settings or {}
        self.searcher_overrides = searchers or {}
        self.searcher_processes = searcher_processes
        self.platform_arguments = list(platform_arguments)
        self.preset = preset
        self.initial_snapshot = snapshot
        self.seed = seed
        self.start_instances = start_instances
        self.instances: dict[str, Instance] = {}
        self.processes: list[Process] = []
        self.store_url = ""
        self.platform_admin = ""
        self.proxy_admin = ""
        self.searcher_admins: list[str] = []
        self.searcher_admin_by_id: dict[str, str] = {}
        self.listeners: dict[str, str] = {}
        self.snapshots_by_service: dict[str, list[pb.Snapshot]] = {}
        self.target_addresses: dict[str, str] = {}
        self.session: aiohttp.ClientSession | None = None
        self.caller: Caller | None = None
        self._is_log_dir_temporary = log_dir is None
        self._ports = PortPool()
        self.log_dir = log_dir or Path(tempfile.mkdtemp(prefix="flamingostack-"))

    async def __aenter__(self) -> Cluster:
        atexit.register(self.kill_all)
        try:
            await self._start()
        except BaseException as error:
            await self.close(failed=isinstance(error, Exception))
            raise
        return self

    async def __aexit__(self, kind: type | None, error: object, trace: object) -> None:
        # An interrupt (KeyboardInterrupt, CancelledError) is not a failure.
        await self.close(failed=kind is not None and issubclass(kind, Exception))

    async def close(self, failed: bool = False) -> None:
        """End everything; delete the logs if their directory is temporary and nothing failed."""
        # First, and without await, so that a second Ctrl-C cannot leave a process running.
        self.kill_all()
        atexit.unregister(self.kill_all)
        self._ports.close()
        if self.caller is not None:
            await self.caller.close()
        if self.session is not None:
            await self.session.close()
        if self._is_log_dir_temporary and failed:
            print(f"logs kept in {self.log_dir}", file=sys.stderr)
        elif self._is_log_dir_temporary:
            shutil.rmtree(self.log_dir, ignore_errors=True)

    def kill_all(self) -> None:
        """Kill and reap all processes."""
        for process in self.processes:
            process.send_signal(signal.SIGKILL)
        for process in self.processes:
            process.kill()

    async def _start(self) -> None:
        self.log_dir.mkdir(parents=True, exist_ok=True)
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        await self._start_platform()
        if self.proxied:
            await self._start_proxy()
        await self._start_searchers()
        await self.publish_index()
        self._make_instances()
        await self._add_links()
        self._write_settings()
        self.caller = Caller(self)
        if self.start_instances:
            await self.start_all()
            if self.preset:
                await self.use_new_preset(self.preset)
                await self.wait_ready()

    async def start_all(self) -> None:
        """Start all instances, and wait until their control processes have the fleet document."""
        await self.set_instance_list()
        for instance in self.instances.values():
            self.start_instance(instance.id)
        await self.wait_for_control()

    def _start_process(self, name: str, arguments: list[str]) -> Process:
        process = Process(name, arguments, self.log_dir / f"{name}.log")
        self.processes.append(process)
        process.start()
        return process

    async def _start_platform(self) -> None:
        port, admin_port = self._ports.take(2)
        self.store_url = f"http://{HOST}:{port}"
        self.platform_admin = f"http://{HOST}:{admin_port}"
        arguments = ["--port", str(port), "--admin-port", str(admin_port), "--seed", str(self.seed)]
        process = self._start_process(
            "platform", ["-m", "standins.platform", *arguments, *self.platform_arguments]
        )
        await self._wait_until_listening([process])

    async def _start_proxy(self) -> None:
        admin_port = self._ports.take(1)[0]
        self.proxy_admin = f"http://{HOST}:{admin_port}"
        config = proxy.Config(admin_port=admin_port, listeners=[], seed=self.seed)
        path = self._write_config("proxy", config)
        process = self._start_process("proxy", ["-m", "standins.proxy", "--config", str(path)])
        await self._wait_until_listening([process])

    async def _start_searchers(self) -> None:
        count = sum(service.groups * service.replicas for service in self.deployment.services)
        workers = min(self.searcher_processes, count)
        ports = self._ports.take(count + workers)
        admin_ports, ports = ports[:workers], ports[workers:]
        configs = make_searcher_configs(
            self.deployment, ports, self.initial_snapshot, self.searcher_overrides
        )
        started = []
        for number, admin_port in enumerate(admin_ports):
            own = configs[number::workers]
            config = searcher.Config(admin_port=admin_port, searchers=own, seed=self.seed)
            path = self._write_config(f"searchers-{number}", config)
            arguments = ["-m", "standins.searcher", "--config", str(path)]
            started.append(self._start_process(f"searchers-{number}", arguments))
            admin = f"http://{HOST}:{admin_port}"
            self.searcher_admins.append(admin)
            for item in own:
                self.searcher_admin_by_id[item.id] = admin
                self.target_addresses[item.id] = f"{HOST}:{item.port}"
        await self._wait_until_listening(started)
        if "searchers" in self.proxied:
            for target, address in list(self.target_addresses.items()):
                self.target_addresses[target] = await self.add_link(f"searcher>{target}", address)

    def _write_config(self, name: str, config: msgspec.Struct) -> Path:
        path = self.log_dir / f"{name}.json"
        path.write_bytes(msgspec.json.encode(config))
        return path

    async def _wait_until_listening(self, processes: list[Process]) -> None:
        end = time.monotonic() + STARTUP_TIMEOUT_S
        for process in processes:
            while "event=listening" not in process.read_log():
                self._check_running(process)
                if time.monotonic() > end:
                    raise LauncherError(
                        f"{process.name} did not listen in time; see {process.log_path}"
                    )
                await asyncio.sleep(POLL_INTERVAL_S / 2)

    def _check_running(self, process: Process) -> None:
        if not process.is_running():
            last = process.read_log()[-2000:]
            raise LauncherError(
                f"{process.name} ended with status {process.exit_status()}:\n{last}"
            )

    def _make_instances(self) -> None:
        domains = self.deployment.failure_domains
        for number in range(self.deployment.instances):
            domain = domains[number % len(domains)]
            self._make_instance(f"{domain}-{number // len(domains) + 1}", domain)

    def _make_instance(self, instance_id: str, failure_domain: str) -> Instance:
        instance = Instance(instance_id, failure_domain, self._ports.take(4))
        settings_path = self.log_dir / f"{instance_id}.toml"
        instance.settings_path = settings_path
        instance.processes = {
            kind: Process(
                name=f"{instance_id}.{kind}",
                arguments=[
                    *self.wrapper,
                    f"flamingostack.{kind}",
                    "--settings",
                    str(instance.settings_path),
                ],
                log_path=self.log_dir / f"{instance_id}.{kind}.log",
            )
            for kind in PROCESS_KINDS
        }
        self.processes.extend(instance.processes.values())
        self.instances[instance_id] = instance
        return instance

    def _write_settings(self) -> None:
        for instance in self.instances.values():
            instance.settings_path.write_text(format_toml(self._make_settings(instance)))

    def _make_settings(self, instance: Instance) -> dict[str, dict[str, Any]]:
        others = [item for item in self.instances.values() if item is not instance]
        store = self.listeners.get(f"{instance.id}>store")
        sections: dict[str, dict[str, Any]] = {
            "instance": {"id": instance.id, "failure_domain": instance.failure_domain},
            "control": {
                "listen": instance.addresses["control"],
                "peers": [item.addresses["control"] for item in others],
            },
            "dispatch": {
                "listen": instance.addresses["dispatch"],
                "status_listen": instance.addresses["status"],
            },
            "entry": {"listen": instance.addresses["entry"]},
            "store": {"url": f"http://{store}" if store else self.store_url},
            "fleet": {"failure_domains": list(self.deployment.failure_domains)},
            "routes": {
                item.addresses[kind]: self.listeners[f"{instance.id}>{item.id}.{kind}"]
                for item in others
                for kind in ("control", "dispatch")
                if f"{instance.id}>{item.id}.{kind}" in self.listeners
            },
        }
        for section, values in self.settings.items():
            sections.setdefault(section, {}).update(values)
        return sections

    def start_instance(self, instance_id: str, process: str | None = None) -> None:
        """Start the processes of an instance, or the named one, unless they run already."""
        instance = self.instances[instance_id]
        instance.state = "live"
        for kind in PROCESS_KINDS if process is None else (process,):
            if not instance.processes[kind].is_running():
                instance.processes[kind].start()

    def _select_processes(self, instance_id: str, process: str | None) -> list[Process]:
        processes = self.instances[instance_id].processes
        return list(processes.values()) if process is None else [processes[process]]

    async def kill(self, instance_id: str, process: str | None = None) -> None:
        """Kill an instance or one of its processes (SIGKILL)."""
        for item in self._select_processes(instance_id, process):
            item.kill()
        if process is None:
            self.instances[instance_id].state = "gone"
            await self.set_instance_list()

    def pause(self, instance_id: str, process: str | None = None) -> None:
        """Freeze an instance or one of its processes (SIGSTOP)."""
        for item in self._select_processes(instance_id, process):
            item.send_signal(signal.SIGSTOP)

    def resume(self, instance_id: str, process: str | None = None) -> None:
        """Resume a frozen instance or process (SIGCONT)."""
        for item in self._select_processes(instance_id, process):
            item.send_signal(signal.SIGCONT)

    async def terminate(
        self, instance_id: str, process: str | None = None, within_s: float = 40.0
    ) -> dict[str, int]:
        """Request a graceful shutdown (SIGTERM), wait for it, return exit statuses by process.

        The error of a process that does not end has the last log lines of all of them: what one
        waits for is mostly in the log of another, and the logs are gone after a test.
        """
        chosen = self._select_processes(instance_id, process)
        if process is None:
            self.instances[instance_id].state = "leaving"
            await self.set_instance_list()
        for item in chosen:
            item.send_signal(signal.SIGTERM)
        try:
            statuses = {item.name: await item.wait_for_exit(within_s) for item in chosen}
        except LauncherError as error:
            ends = "\n".join(describe_end(item) for item in chosen)
            raise LauncherError(f"{error}\n{ends}") from error
        if process is None:
            self.instances[instance_id].state = "gone"
            await self.set_instance_list()
        return statuses

    async def replace(
        self, instance_id: str, process: str | None = None, graceful: bool = False
    ) -> None:
        """End an instance or one process, and start it again with the same addresses."""
        if graceful:
            await self.terminate(instance_id, process)
        else:
            await self.kill(instance_id, process)
        self.start_instance(instance_id, process)
        await self.set_instance_list()

    async def add_instance(self, failure_domain: str) -> Instance:
        """Start an additional instance in a failure domain."""
        number = sum(item.failure_domain == failure_domain for item in self.instances.values())
        instance = self._make_instance(f"{failure_domain}-{number + 1}", failure_domain)
        await self._add_links(only=instance.id)
        path = instance.settings_path
        path.write_text(format_toml(self._make_settings(instance)))
        self.start_instance(instance.id)
        await self.set_instance_list()
        return instance

    async def set_instance_list(self, lag_ms: float | None = None) -> None:
        """Send the current instances to the platform, which lists them after its lag.

        `lag_ms` replaces the platform's configured lag.
        """
        instances = [
            {
                "id": item.id,
                "failure_domain": item.failure_domain,
                "control_address": item.addresses["control"],
                "state": item.state,
            }
            for item in self.instances.values()
            if item.state != "gone"
        ]
        body = {"instances": instances, "lag_ms": lag_ms}
        await self.call_admin("PUT", f"{self.platform_admin}/instances", body)

    def running_instances(self) -> list[Instance]:
        """Return the instances whose processes all run; frozen ones count as running."""
        return [
            item
            for item in self.instances.values()
            if all(process.is_running() for process in item.processes.values())
        ]

    async def wait_for_control(self, within_s: float = STARTUP_TIMEOUT_S) -> None:
        """Wait until the control processes of all running instances have the fleet document."""
        await self._wait_until(self._all_have_document, within_s, "control has no fleet document")

    async def _all_have_document(self) -> bool:
        for instance in self.instances.values():
            if instance.state == "live":
                for process in instance.processes.values():
                    self._check_running(process)
        try:
            replies = [await self.fetch_status(item.id) for item in self.running_instances()]
        except CALL_ERRORS:
            return False
        return bool(replies) and all(reply.document.version > 0 for reply in replies)

    async def wait_ready(
        self, instance_ids: Iterable[str] | None = None, within_s: float = STARTUP_TIMEOUT_S
    ) -> None:
        """Wait until the given (or all running) instances are ready and the caller uses them."""
        ids = list(instance_ids or (item.id for item in self.running_instances()))

        async def all_ready() -> bool:
            if not set(ids) <= set(self.caller.ready):
                return False
            return all([await self.is_ready(item) for item in ids])

        await self._wait_until(all_ready, within_s, f"not ready: {', '.join(ids)}")

    async def is_ready(self, instance_id: str, timeout_s: float | None = 1.0) -> bool:
        """Return whether an entry process reports ready; an unreachable one does not."""
        url = f"{self.caller_url(instance_id)}/ready"
        try:
            timeout = aiohttp.ClientTimeout(total=timeout_s)
            async with self.session.get(url, timeout=timeout) as answer:
                return answer.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def _wait_until(self, condition: Any, within_s: float, problem: str) -> None:
        end = time.monotonic() + within_s
        while not await condition():
            if time.monotonic() > end:
                raise LauncherError(f"{problem} after {within_s:g} s; logs in {self.log_dir}")
            await asyncio.sleep(POLL_INTERVAL_S)

    async def operate(
        self, request: pb.OperateRequest, instance_id: str | None = None
    ) -> pb.OperateReply:
        """Send an operator's request to the control process of an instance (default: the first).

        Only running instances count. Empty change_id, operator and wait_ms are filled in.
        """
        request.protocol = PROTOCOL
        request.change_id = request.change_id or f"launcher-{uuid.uuid4().hex[:12]}"
        request.operator = request.operator or "launcher"
        request.wait_ms = request.wait_ms or 5000
        chosen = instance_id or self.running_instances()[0].id
        host, _, port = self.instances[chosen].addresses["control"].rpartition(":")
        channel = Channel(host, int(port))
        try:
            timeout_s = request.wait_ms / 1000 + 5
            return await ControlStub(channel).Operate(request, timeout=timeout_s)
        finally:
            channel.close()

    async def put_preset(self, name: str, text: bytes | None = None) -> pb.OperateReply:
        """Store a preset; without `text`, the one from the deployment's examples."""
        body = text if text is not None else self.deployment.preset_text(name)
        put = pb.PutPreset(name=name, body=body)
        return await self.operate(pb.OperateRequest(put_preset=put))

    async def use_preset(self, name: str) -> pb.OperateReply:
        """Switch to a stored preset."""
        return await self.operate(pb.OperateRequest(use_preset=pb.UsePreset(name=name)))

    async def use_new_preset(self, name: str, text: bytes | None = None) -> pb.OperateReply:
        """Store a preset and switch to it; LauncherError if either is refused."""
        stored = await self.put_preset(name, text)
        require_accepted(stored, f"put preset {name}")
        used = await self.use_preset(name)
        require_accepted(used, f"use preset {name}")
        return used

    async def mark(self, state: int, failure_domain: str = "", target: str = "") -> pb.OperateReply:
        """Set a mark on a failure domain or a target; MARK_STATE_UNSPECIFIED clears it."""
        mark = pb.SetMark(failure_domain=failure_domain, target=target, state=state)
        return await self.operate(pb.OperateRequest(set_mark=mark))

    async def fetch_status(self, instance_id: str) -> pb.StatusReply:
        """Return the status that the control process of an instance reports."""
        host, _, port = self.instances[instance_id].addresses["control"].rpartition(":")
        channel = Channel(host, int(port))
        try:
            request = pb.StatusRequest(protocol=PROTOCOL)
            return await ControlStub(channel).Status(request, timeout=2)
        finally:
            channel.close()

    async def publish_index(self) -> None:
        """Write the index maps of all services to the store."""
        for service in self.deployment.services:
            snapshots = self.snapshots_by_service.setdefault(
                service.name, [make_snapshot(service, self.initial_snapshot)]
            )
            index = make_index(self.deployment, service, self.target_addresses, snapshots)
            await self.write_object(f"index/{service.name}", index.SerializeToString())

    async def write_object(self, key: str, value: bytes) -> int:
        """Create or replace an object through the API, as another client would; return its version.

        LauncherError if the write is refused.
        """
        url = f"{self.store_url}/v1/objects/{key}"
        async with self.session.get(url) as answer:
            version = answer.headers.get("Object-Version")
        condition = {"If-Match": version} if version else {"If-None-Match": "*"}
        async with self.session.put(url, data=value, headers=condition) as answer:
            if answer.status != 200:
                raise LauncherError(
                    f"writing object {key} failed: {answer.status} {await answer.text()}"
                )
            return int(answer.headers["Object-Version"])

    async def publish_snapshot(
        self,
        snapshot: str,
        services: Iterable[str] | None = None,
        shift: int = 0,
        keep: int = 2,
        drop_after_s: float = 3.0,
    ) -> None:
        """Add a snapshot to the searchers, then to the index maps, then drop old snapshots.

        `shift` moves the boundaries between the groups by that many keys, which repartitions the
        shards. The maps keep the latest `keep` snapshots. The searchers keep dropped ones for
        another `drop_after_s`, since queries that pinned one may still run.
        """
        names = [item.name for item in self.deployment.services] if services is None else services
        dropped: dict[str, list[str]] = {}
        for name in names:
            service = self.deployment.service(name)
            new = make_snapshot(service, snapshot, shift)
            await self.add_shards(new)
            snapshots = [*self.snapshots_by_service[name], new]
            dropped[name] = [item.id for item in snapshots[:-keep]]
            self.snapshots_by_service[name] = snapshots[-keep:]
        await self.publish_index()
        await asyncio.sleep(drop_after_s)
        for name, ids in dropped.items():
            await self.drop_snapshots(name, ids)

    async def add_shards(self, snapshot: pb.Snapshot) -> None:
        """Add their shards of a snapshot to the searchers."""
        shards_by_admin: dict[str, dict[str, Any]] = {}
        for key_range in snapshot.ranges:
            shard = {"id": snapshot.id, "low": key_range.low, "high": key_range.high}
            for target in key_range.targets:
                shards_by_admin.setdefault(self.searcher_admin_by_id[target], {})[target] = shard
        for admin, shards in shards_by_admin.items():
            await self.call_admin("POST", f"{admin}/snapshots", {"add": shards})

    async def drop_snapshots(self, service: str, snapshots: list[str]) -> None:
        """Drop snapshots, by id, from the searchers of a service."""
        if not snapshots:
            return
        for admin, targets in self._group_by_admin(self.targets(service=service)).items():
            body = {"drop": snapshots, "searchers": targets}
            await self.call_admin("POST", f"{admin}/snapshots", body)

    def targets(self, service: str | None = None, failure_domain: str | None = None) -> list[str]:
        """Return the ids of all searchers, or of those of a service or in a failure domain."""
        return [
            item.target_id(group, replica)
            for item in self.deployment.services
            if service in (None, item.name)
            for group in range(item.groups)
            for replica in range(item.replicas)
            if failure_domain in (None, self.deployment.failure_domain_of(group, replica))
        ]

    def _group_by_admin(self, targets: Iterable[str]) -> dict[str, list[str]]:
        grouped: dict[str, list[str]] = {}
        for target in targets:
            grouped.setdefault(self.searcher_admin_by_id[target], []).append(target)
        return grouped

    async def inject_searcher_fault(
        self, targets: Iterable[str], fault: str, **options: Any
    ) -> None:
        """Inject a fault in searchers: cold, slow, silent, down, up, drain.

        For the options see searcher.inject_fault.
        """
        for admin, ids in self._group_by_admin(targets).items():
            body = {"searchers": ids, "fault": fault, **options}
            await self.call_admin("POST", f"{admin}/fault", body)

    async def fetch_searcher_counters(self) -> dict[str, dict[str, Any]]:
        """Return the counters and the state of each searcher, by target id."""
        found: dict[str, dict[str, Any]] = {}
        for admin in self.searcher_admins:
            found.update(await self.call_admin("GET", f"{admin}/witness"))
        return found

    async def reset_searcher_counters(self) -> None:
        """Reset the counters of all searchers."""
        for admin in self.searcher_admins:
            await self.call_admin("DELETE", f"{admin}/witness")

    async def fetch_runs_by_key(self) -> dict[str, int]:
        """Return how often each request key ran, as a sum over all searchers."""
        runs: dict[str, int] = {}
        for seen in (await self.fetch_searcher_counters()).values():
            for key, count in seen["runs_by_key"].items():
                runs[key] = runs.get(key, 0) + count
        return runs

    async def fetch_arrivals(self, after_ns: int, before_ns: int | None = None) -> dict[str, Any]:
        """Return the arrivals between two CLOCK_BOOTTIME times, by target id.

        Each value holds the `count` and the first `arrivals` (see Searcher.arrivals).
        """
        query = f"after_ns={after_ns}" + (f"&before_ns={before_ns}" if before_ns else "")
        found: dict[str, Any] = {}
        for admin in self.searcher_admins:
            found.update(await self.call_admin("GET", f"{admin}/arrivals?{query}"))
        return found

    async def fetch_runs_by_request_id(self, prefix: str = "") -> dict[str, int]:
        """Return how often each request id under a prefix ran, as a sum over all searchers."""
        runs: dict[str, int] = {}
        for admin in self.searcher_admins:
            answer = await self.call_admin("GET", f"{admin}/runs?prefix={prefix}")
            for request_id, count in answer["runs"].items():
                runs[request_id] = runs.get(request_id, 0) + count
        return runs

    async def call_admin(self, method: str, url: str, body: Any = None) -> Any:
        """Call an admin port with a JSON body; LauncherError unless it answers 200."""
        async with self.session.request(method, url, json=body) as answer:
            if answer.status != 200:
                raise LauncherError(f"{method} {url}: {answer.status} {await answer.text()}")
            return await answer.json()

    async def set_store_outage(self, mode: str) -> None:
        """Start an outage of the store ("refuse" or "hang") or end it ("none")."""
        await self.call_admin("POST", f"{self.platform_admin}/outage", {"mode": mode})

    async def inject_store_fault(self, kind: str, **options: Any) -> None:
        """Make the store "slow" or "lose" responses.

        Options of "slow": delay_ms, jitter_ms; of "lose": writes, probability, prefix, seed.
        """
        await self.call_admin("POST", f"{self.platform_admin}/{kind}", options)

    async def fetch_store_counters(self) -> dict[str, Any]:
        """Return the store's call counters and its revision."""
        return await self.call_admin("GET", f"{self.platform_admin}/counters")

    async def read_store_object(self, key: str) -> bytes | None:
        """Read an object over the admin port, which works during an outage; None if missing."""
        listed = await self.call_admin("GET", f"{self.platform_admin}/objects?prefix={key}")
        for item in listed["objects"]:
            if item["key"] == key and item["value"] is not None:
                return base64.b64decode(item["value"])
        return None

    async def add_link(self, name: str, upstream: str, delay_ms: float = 0.0) -> str:
        """Start a proxy listener in front of the address `upstream`; return its own address.

        `delay_ms` is one-way.
        """
        port = self._ports.take(1)[0]
        body = {"id": name, "port": port, "upstream": upstream, "delay_ms": delay_ms}
        await self.call_admin("POST", f"{self.proxy_admin}/listeners", body)
        self.listeners[name] = f"{HOST}:{port}"
        return self.listeners[name]

    async def _add_links(self, only: str | None = None) -> None:
        """Add the proxy listeners from and to all instances, or from and to the instance `only`."""
        # The deployment has round-trip times, a listener one-way delays.
        zone_ms = self.deployment.zone_ms / 2
        store_address = self.store_url.removeprefix("http://")
        for instance in self.instances.values():
            if "store" in self.proxied and only in (None, instance.id):
                await self.add_link(f"{instance.id}>store", store_address)
            if "callers" in self.proxied and only in (None, instance.id):
                delay_ms = self.deployment.caller_ms / 2
                address = instance.addresses["entry"]
                await self.add_link(f"caller>{instance.id}.entry", address, delay_ms)
            for other in self.instances.values():
                if "instances" not in self.proxied or other is instance:
                    continue
                if only in (None, instance.id, other.id):
                    delay_ms = 0 if other.failure_domain == instance.failure_domain else zone_ms
                    for kind in ("control", "dispatch"):
                        name = f"{instance.id}>{other.id}.{kind}"
                        await self.add_link(name, other.addresses[kind], delay_ms)

    def links(self, source: str = "", destination: str = "") -> list[str]:
        """Return the listeners (source>destination) whose two ends have the given prefixes."""
        return [
            name
            for name in self.listeners
            if name.split(">")[0].startswith(source) and name.split(">")[1].startswith(destination)
        ]

    def links_between(self, group: Iterable[str], others: Iterable[str]) -> list[str]:
        """Return the listeners between two groups of instances, in both directions."""
        first, second = set(group), set(others)
        found = []
        for name in self.listeners:
            source, _, destination = name.partition(">")
            peer = destination.rpartition(".")[0]
            if (source in first and peer in second) or (source in second and peer in first):
                found.append(name)
        return found

    async def inject_link_fault(self, links: Iterable[str], fault: str, **options: Any) -> None:
        """Inject a fault in listeners: cut, refuse, drop, silent, pause, delay.

        For the options see proxy.inject_fault.
        """
        body = {"listeners": list(links), "fault": fault, **options}
        await self.call_admin("POST", f"{self.proxy_admin}/fault", body)

    def caller_url(self, instance_id: str) -> str:
        """Return the base URL that callers use for an instance."""
        address = self.listeners.get(f"caller>{instance_id}.entry")
        return f"http://{address}" if address else self.instances[instance_id].entry_url


class Answer:
    """The result of a caller's request; `status` is 0 if there was no HTTP response.

    `problem` describes what went wrong on the way, such as a lost connection, or is empty.
    """

    __slots__ = ("status", "body", "instance", "elapsed_ms", "problem")

    def __init__(
        self, status: int, body: dict[str, Any], instance: str, elapsed_ms: float, problem: str = ""
    ) -> None:
        self.status = status
        self.body = body
        self.instance = instance
        self.elapsed_ms = elapsed_ms
        self.problem = problem


class Caller:
    """A client that sends requests to the entry processes that report ready, round robin."""

    __slots__ = ("cluster", "ready", "_checked_at", "_session", "_watch_task", "_pick_count")

    def __init__(self, cluster: Cluster, poll_s: float = 0.1) -> None:
        self.cluster = cluster
        self.ready: list[str] = []
        self._checked_at = 0.0
        self._session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        self._watch_task = asyncio.create_task(self._watch_ready(poll_s))
        self._pick_count = 0

    async def close(self) -> None:
        """Stop the readiness checks and close the connections."""
        self._watch_task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._watch_task
        await self._session.close()

    async def _watch_ready(self, poll_s: float) -> None:
        while True:
            await self._check_ready()
            await asyncio.sleep(poll_s)

    async def _check_ready(self) -> None:
        """Find out which instances are ready.

        The timeout is short, so that a frozen instance does not delay the checks of others. It
        does not count a stall of this process, in which the answers wait unread: on a machine with
        a load of three for each core all instances were taken for not ready after one of 1.2 s.
        """
        ids = list(self.cluster.instances)
        started_at = time.monotonic()
        checks = [self.cluster.is_ready(item, timeout_s=None) for item in ids]
        states = await asyncio.gather(
            *(run_without_stalls(check, READY_CHECK_TIMEOUT_S) for check in checks)
        )
        self.ready = [item for item, is_ready in zip(ids, states, strict=True) if is_ready]
        self._checked_at = started_at

    async def _pick_checked(self) -> str | None:
        """Return the id of the next instance by a check that a stall has not made obsolete."""
        if time.monotonic() - self._checked_at > MAX_READY_AGE_S:
            await self._check_ready()
        return self.pick()

    def pick(self) -> str | None:
        """Return the id of the next instance that reports ready, or None if none does."""
        if not self.ready:
            return None
        self._pick_count += 1
        return self.ready[self._pick_count % len(self.ready)]

    def pick_url(self) -> str | None:
        """Return the base URL of the next instance that reports ready, or None if none does."""
        chosen = self.pick()
        return None if chosen is None else self.cluster.caller_url(chosen)

    async def query(
        self,
        request_class: str,
        query: Any,
        tenant: str = "t",
        instance_id: str | None = None,
        **fields: Any,
    ) -> Answer:
        """Send a query; `fields` may hold low, high, deadline_ms and min_coverage."""
        body = {"class": request_class, "tenant": tenant, "query": query, **fields}
        return await self._post("/v1/query", body, {}, instance_id)

    async def submit(
        self,
        request_class: str,
        idempotency_key: str,
        key: int,
        body: Any,
        tenant: str = "t",
        instance_id: str | None = None,
        **fields: Any,
    ) -> Answer:
        """Send a request that must run at most once; `key` is its position in the keyspace."""
        message = {"class": request_class, "tenant": tenant, "key": key, "body": body, **fields}
        headers = {"Idempotency-Key": idempotency_key}
        return await self._post("/v1/submit", message, headers, instance_id)

    async def _post(
        self, path: str, body: dict[str, Any], headers: dict[str, str], instance_id: str | None
    ) -> Answer:
        for _ in range(MAX_PICKS):
            chosen = instance_id or await self._pick_checked()
            if chosen is None:
                return Answer(0, {}, "", 0.0, "no instance is ready")
            answer = await self._send(path, body, headers, chosen)
            if answer.problem != NOT_SENT:
                break
        return answer

    async def _send(
        self, path: str, body: dict[str, Any], headers: dict[str, str], chosen: str
    ) -> Answer:
        started = time.monotonic()
        url = f"{self.cluster.caller_url(chosen)}{path}"
        timeout = aiohttp.ClientTimeout(total=10)
        try:
            async with self._session.post(
                url, json=body, headers=headers, timeout=timeout
            ) as answer:
                text = await answer.read()
                status = answer.status
        except (aiohttp.ClientError, TimeoutError) as error:
            elapsed_ms = (time.monotonic() - started) * 1000
            # An idle connection was closed by the instance before a byte of the request was
            # written to it, which a stall between the choice and the write leaves unnoticed.
            is_unsent = isinstance(error.__cause__, aiohttp.ClientConnectionResetError)
            return Answer(0, {}, chosen, elapsed_ms, NOT_SENT if is_unsent else repr(error))
        elapsed_ms = (time.monotonic() - started) * 1000
        try:
            return Answer(status, json.loads(text), chosen, elapsed_ms)
        except ValueError:
            return Answer(status, {}, chosen, elapsed_ms, "the answer is not JSON")


async def run_without_stalls(check: Coroutine[Any, Any, bool], timeout_s: float) -> bool:
    """Return the result of a check; False after `timeout_s` in which this process could run.

    A stall of the process counts as one turn, however long it is.
    """
    task = asyncio.create_task(check)
    for _ in range(max(round(timeout_s / CHECK_TURN_S), 1)):
        done, _ = await asyncio.wait({task}, timeout=CHECK_TURN_S)
        if done:
            return task.result()
    task.cancel()
    return False


def find_answer_error(answer: dict[str, Any], query: Any, low: int, high: int) -> str:
    """Return what is wrong with the body of an answer to a query over [low, high), or "".

    An answer is correct if all its parts echo the query and come from its snapshot, if the parts
    and the missing ranges together cover the requested range exactly once, if the coverage is the
    share of the keys that the parts cover, and if the counts add up to the number of covered keys
    times the number in the snapshot id.
    """
    snapshot = answer["snapshot"]
    parts = answer["parts"]
    for part in parts:
        if part["echo"] != query:
            return f"a part echoes the query {part['echo']!r} instead of {query!r}"
        if part["snapshot"] != snapshot:
            return f"a part from snapshot {part['snapshot']} in an answer from {snapshot}"
    covered = sum(part["high"] - part["low"] for part in parts)
    spans = [(part["low"], part["high"]) for part in parts]
    spans += [(missing[0], missing[1]) for missing in answer["missing"]]
    position = low
    for start, end in sorted(spans):
        if start != position or end < start:
            return f"the ranges are not contiguous at key {position}: {sorted(spans)}"
        position = end
    if position != high:
        return f"the ranges end at key {position} instead of {high}"
    if abs(answer["coverage"] - covered / (high - low)) > 1e-6:
        return f"coverage is {answer['coverage']}, but parts cover {covered} of {high - low} keys"
    total = sum(part["count"] for part in parts)
    if total != covered * searcher.parse_snapshot_number(snapshot):
        return f"the counts add up to {total} for {covered} keys of {snapshot}"
    return ""


def require_accepted(reply: pb.OperateReply, what: str) -> None:
    """Raise LauncherError unless the change was accepted or at least written."""
    if reply.code not in ("accepted", "written"):
        raise LauncherError(f"{what}: {reply.code} {reply.message}")


def format_toml(sections: dict[str, dict[str, Any]]) -> str:
    """Return sections of strings, numbers, booleans and lists as TOML.

    These values have the same notation in JSON, which is used to write them.
    """
    lines = []
    for section, values in sections.items():
        lines.append(f"[{section}]")
        lines += [f"{json.dumps(key)} = {json.dumps(value)}" for key, value in values.items()]
    return "\n".join(lines) + "\n"
