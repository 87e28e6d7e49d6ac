"""Starts and ends real processes for tests, the demo and the bench, each by its process id."""

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
from collections.abc import Iterable
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
# Below the kernel's range for outgoing connections, so that a port stays free between its choice
# and its use, and while its process is being replaced.
PORTS = range(10_000, 32_000)
BLOCK_PORTS = 100
POLL_S = 0.05
READY_WITHIN_S = 20.0
READY_TIMEOUT_S = 0.3
PROCESSES = ("control", "dispatch", "entry")
PR_SET_PDEATHSIG = 1
LIBC = ctypes.CDLL(None, use_errno=True)
CALL_ERRORS = (TimeoutError, OSError, GRPCError, StreamTerminatedError)


class LauncherError(Exception):
    """A process or the cluster did not do what the launcher waited for."""


class PortPool:
    """Free loopback ports for one cluster, in blocks that no other cluster uses.

    A block belongs to whoever listens on its first port. Probing each port is not enough: a port
    that is chosen is free until its process starts, and again while the process is replaced.
    """

    __slots__ = ("_guards", "_free")

    def __init__(self) -> None:
        self._guards: list[socket.socket] = []
        self._free: list[int] = []

    def take(self, count: int) -> list[int]:
        """Return ports that were not returned before."""
        while len(self._free) < count:
            self._free += self._take_block()
        taken, self._free = self._free[:count], self._free[count:]
        return taken

    def _take_block(self) -> list[int]:
        starts = list(PORTS[::BLOCK_PORTS])
        random.Random().shuffle(starts)
        for start in starts:
            guard = bind_port(start)
            if guard is not None:
                self._guards.append(guard)
                return [port for port in range(start + 1, start + BLOCK_PORTS) if is_free(port)]
        raise LauncherError(f"no free ports from {PORTS.start} to {PORTS.stop}")

    def close(self) -> None:
        """Give the blocks back."""
        for guard in self._guards:
            guard.close()
        self._guards.clear()
        self._free.clear()


def bind_port(port: int) -> socket.socket | None:
    """Return a socket that listens on a loopback port, or None if the port is in use."""
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
    """Tell whether nothing listens on a loopback port."""
    listener = bind_port(port)
    if listener is None:
        return False
    listener.close()
    return True


def die_with_parent() -> None:
    """Let the kernel end the process if the launcher is killed and cannot do it."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Process:
    """One child process; its output goes to a log file."""

    __slots__ = ("name", "arguments", "log_path", "_child", "_log", "_log_start")

    def __init__(self, name: str, arguments: list[str], log_path: Path) -> None:
        self.name = name
        self.arguments = arguments
        self.log_path = log_path
        self._child: subprocess.Popen[bytes] | None = None
        self._log: IO[bytes] | None = None
        # Where the present run starts in the log, which earlier runs may have written to.
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
            preexec_fn=die_with_parent,
        )

    @property
    def pid(self) -> int:
        """The process id, or 0 if the process was never started."""
        return self._child.pid if self._child is not None else 0

    def status(self) -> int | None:
        """Return the exit status, negative for a signal, or None while the process runs."""
        return self._child.poll() if self._child is not None else None

    def is_running(self) -> bool:
        """Tell whether the process was started and has not ended."""
        return self._child is not None and self._child.poll() is None

    def send_signal(self, number: int) -> None:
        """Send a signal to a running process."""
        if self.is_running():
            self._child.send_signal(number)

    def kill(self) -> None:
        """End the process at once, also a stopped one, and reap it."""
        if self._child is not None:
            if self._child.poll() is None:
                self._child.kill()
            self._child.wait()
        self.close_log()

    def close_log(self) -> None:
        """Close the launcher's handle of the log file."""
        if self._log is not None:
            self._log.close()
            self._log = None

    async def wait_ended(self, within_s: float) -> int:
        """Return the exit status; LauncherError if the process still runs after `within_s`."""
        end = time.monotonic() + within_s
        while self.is_running():
            if time.monotonic() > end:
                raise LauncherError(f"{self.name} still runs after {within_s:g} s")
            await asyncio.sleep(POLL_S / 5)
        return self.status() or 0

    def read_log(self) -> str:
        """Return what the process has written since it was last started."""
        if not self.log_path.exists():
            return ""
        return self.log_path.read_bytes()[self._log_start :].decode(errors="replace")


class Instance:
    """One instance of the tier: its addresses, its settings and its three processes."""

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
    """A platform, searchers, optional proxies and instances of the tier; ends all of them on exit.

    Options:
        proxied: which connections go through the fault proxy: "instances" (between instances),
            "store", "searchers", "callers".
        settings: settings added to those of each instance, by section, such as
            {"fleet": {"lease_ms": 1000, "sync_ms": 200}}.
        searchers: fields of SearcherConfig that replace those of all searchers.
        preset: the preset put and used at start; "" starts without one.
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
        self.searcher_changes = searchers or {}
        self.searcher_processes = searcher_processes
        self.platform_arguments = list(platform_arguments)
        self.preset = preset
        self.first_snapshot = snapshot
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
        self._made_log_dir = log_dir is None
        self._ports = PortPool()
        self.log_dir = log_dir or Path(tempfile.mkdtemp(prefix="flamingostack-"))

    # ---- Start and end ----

    async def __aenter__(self) -> Cluster:
        atexit.register(self.kill_all)
        try:
            await self._start()
        except BaseException as error:
            await self.close(failed=isinstance(error, Exception))
            raise
        return self

    async def __aexit__(self, kind: type | None, error: object, trace: object) -> None:
        # An interrupt is no failure.
        await self.close(failed=kind is not None and issubclass(kind, Exception))

    async def close(self, failed: bool = False) -> None:
        """End everything; the logs stay if the directory was given or the context failed."""
        # Synchronous and first, so that a second Ctrl-C cannot leave a process behind.
        self.kill_all()
        atexit.unregister(self.kill_all)
        self._ports.close()
        if self.caller is not None:
            await self.caller.close()
        if self.session is not None:
            await self.session.close()
        if self._made_log_dir and failed:
            print(f"the logs are in {self.log_dir}", file=sys.stderr)
        elif self._made_log_dir:
            shutil.rmtree(self.log_dir, ignore_errors=True)

    def kill_all(self) -> None:
        """End all processes at once."""
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
        """Start all instances, and wait until their control processes answer."""
        await self.set_instance_list()
        for instance in self.instances.values():
            self.start_instance(instance.id)
        await self.wait_for_control()

    def _launch(self, name: str, arguments: list[str]) -> Process:
        process = Process(name, arguments, self.log_dir / f"{name}.log")
        self.processes.append(process)
        process.start()
        return process

    async def _start_platform(self) -> None:
        port, admin_port = self._ports.take(2)
        self.store_url = f"http://{HOST}:{port}"
        self.platform_admin = f"http://{HOST}:{admin_port}"
        arguments = ["--port", str(port), "--admin-port", str(admin_port), "--seed", str(self.seed)]
        process = self._launch(
            "platform", ["-m", "standins.platform", *arguments, *self.platform_arguments]
        )
        await self._wait_listening([process])

    async def _start_proxy(self) -> None:
        admin_port = self._ports.take(1)[0]
        self.proxy_admin = f"http://{HOST}:{admin_port}"
        config = proxy.Config(admin_port=admin_port, listeners=[], seed=self.seed)
        path = self._write_config("proxy", config)
        process = self._launch("proxy", ["-m", "standins.proxy", "--config", str(path)])
        await self._wait_listening([process])

    async def _start_searchers(self) -> None:
        count = sum(service.groups * service.replicas for service in self.deployment.services)
        workers = min(self.searcher_processes, count)
        ports = self._ports.take(count + workers)
        admin_ports, ports = ports[:workers], ports[workers:]
        configs = make_searcher_configs(
            self.deployment, ports, self.first_snapshot, self.searcher_changes
        )
        started = []
        for number, admin_port in enumerate(admin_ports):
            own = configs[number::workers]
            config = searcher.Config(admin_port=admin_port, searchers=own, seed=self.seed)
            path = self._write_config(f"searchers-{number}", config)
            arguments = ["-m", "standins.searcher", "--config", str(path)]
            started.append(self._launch(f"searchers-{number}", arguments))
            admin = f"http://{HOST}:{admin_port}"
            self.searcher_admins.append(admin)
            for item in own:
                self.searcher_admin_by_id[item.id] = admin
                self.target_addresses[item.id] = f"{HOST}:{item.port}"
        await self._wait_listening(started)
        if "searchers" in self.proxied:
            for target, address in list(self.target_addresses.items()):
                self.target_addresses[target] = await self.add_link(f"searcher>{target}", address)

    def _write_config(self, name: str, config: msgspec.Struct) -> Path:
        path = self.log_dir / f"{name}.json"
        path.write_bytes(msgspec.json.encode(config))
        return path

    async def _wait_listening(self, processes: list[Process]) -> None:
        end = time.monotonic() + READY_WITHIN_S
        for process in processes:
            while "event=listening" not in process.read_log():
                self._check_running(process)
                if time.monotonic() > end:
                    raise LauncherError(f"{process.name} does not listen; see {process.log_path}")
                await asyncio.sleep(POLL_S / 2)

    def _check_running(self, process: Process) -> None:
        if not process.is_running():
            last = process.read_log()[-2000:]
            raise LauncherError(f"{process.name} ended with {process.status()}:\n{last}")

    # ---- Instances ----

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
            for kind in PROCESSES
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
        """Start the processes of an instance that do not run, or the named one."""
        instance = self.instances[instance_id]
        instance.state = "live"
        for kind in PROCESSES if process is None else (process,):
            if not instance.processes[kind].is_running():
                instance.processes[kind].start()

    def _chosen(self, instance_id: str, process: str | None) -> list[Process]:
        processes = self.instances[instance_id].processes
        return list(processes.values()) if process is None else [processes[process]]

    async def kill(self, instance_id: str, process: str | None = None) -> None:
        """End an instance or one of its processes at once (SIGKILL)."""
        for item in self._chosen(instance_id, process):
            item.kill()
        if process is None:
            self.instances[instance_id].state = "gone"
            await self.set_instance_list()

    def pause(self, instance_id: str, process: str | None = None) -> None:
        """Freeze an instance or one of its processes (SIGSTOP)."""
        for item in self._chosen(instance_id, process):
            item.send_signal(signal.SIGSTOP)

    def resume(self, instance_id: str, process: str | None = None) -> None:
        """Let a frozen instance or process go on (SIGCONT)."""
        for item in self._chosen(instance_id, process):
            item.send_signal(signal.SIGCONT)

    async def terminate(
        self, instance_id: str, process: str | None = None, within_s: float = 40.0
    ) -> dict[str, int]:
        """Ask for a graceful shutdown (SIGTERM), wait for it, and return the exit statuses."""
        chosen = self._chosen(instance_id, process)
        if process is None:
            self.instances[instance_id].state = "leaving"
            await self.set_instance_list()
        for item in chosen:
            item.send_signal(signal.SIGTERM)
        statuses = {item.name: await item.wait_ended(within_s) for item in chosen}
        if process is None:
            self.instances[instance_id].state = "gone"
            await self.set_instance_list()
        return statuses

    async def replace(
        self, instance_id: str, process: str | None = None, graceful: bool = False
    ) -> None:
        """End an instance or one process and start it again at the same addresses."""
        if graceful:
            await self.terminate(instance_id, process)
        else:
            await self.kill(instance_id, process)
        self.start_instance(instance_id, process)
        await self.set_instance_list()

    async def add_instance(self, failure_domain: str) -> Instance:
        """Start one more instance in a failure domain."""
        number = sum(item.failure_domain == failure_domain for item in self.instances.values())
        instance = self._make_instance(f"{failure_domain}-{number + 1}", failure_domain)
        await self._add_links(only=instance.id)
        path = instance.settings_path
        path.write_text(format_toml(self._make_settings(instance)))
        self.start_instance(instance.id)
        await self.set_instance_list()
        return instance

    async def set_instance_list(self, lag_ms: float | None = None) -> None:
        """Tell the platform the present instances; it shows them after its lag."""
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
        await self.call("PUT", f"{self.platform_admin}/instances", body)

    def running_instances(self) -> list[Instance]:
        """Return the instances of which all processes run (also frozen ones)."""
        return [
            item
            for item in self.instances.values()
            if all(process.is_running() for process in item.processes.values())
        ]

    async def wait_for_control(self, within_s: float = READY_WITHIN_S) -> None:
        """Wait until all running instances' control processes know the fleet document."""
        await self._wait_until(self._all_have_document, within_s, "control has no fleet document")

    async def _all_have_document(self) -> bool:
        for instance in self.instances.values():
            if instance.state == "live":
                for process in instance.processes.values():
                    self._check_running(process)
        try:
            replies = [await self.status(item.id) for item in self.running_instances()]
        except CALL_ERRORS:
            return False
        return bool(replies) and all(reply.document.version > 0 for reply in replies)

    async def wait_ready(
        self, instance_ids: Iterable[str] | None = None, within_s: float = READY_WITHIN_S
    ) -> None:
        """Wait until the given (or all running) instances report ready, and the caller knows it."""
        ids = list(instance_ids or (item.id for item in self.running_instances()))

        async def all_ready() -> bool:
            if not set(ids) <= set(self.caller.ready):
                return False
            return all([await self.is_ready(item) for item in ids])

        await self._wait_until(all_ready, within_s, f"not ready: {', '.join(ids)}")

    async def is_ready(self, instance_id: str, timeout_s: float = 1.0) -> bool:
        """Ask an entry process whether it is ready."""
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
                raise LauncherError(f"{problem} after {within_s:g} s; the logs: {self.log_dir}")
            await asyncio.sleep(POLL_S)

    # ---- Operators' requests ----

    async def operate(
        self, request: pb.OperateRequest, instance_id: str | None = None
    ) -> pb.OperateReply:
        """Send an operator's request to the control process of an instance (the first running)."""
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
        """Store a preset; without a text, the one of the deployment's examples."""
        body = text if text is not None else self.deployment.preset_text(name)
        put = pb.PutPreset(name=name, body=body)
        return await self.operate(pb.OperateRequest(put_preset=put))

    async def use_preset(self, name: str) -> pb.OperateReply:
        """Put a stored preset in force."""
        return await self.operate(pb.OperateRequest(use_preset=pb.UsePreset(name=name)))

    async def use_new_preset(self, name: str, text: bytes | None = None) -> pb.OperateReply:
        """Store a preset and put it in force; LauncherError if either is refused."""
        stored = await self.put_preset(name, text)
        require_code(stored, f"put preset {name}")
        used = await self.use_preset(name)
        require_code(used, f"use preset {name}")
        return used

    async def mark(self, state: int, failure_domain: str = "", target: str = "") -> pb.OperateReply:
        """Set a mark on a failure domain or a target; MARK_STATE_UNSPECIFIED clears it."""
        mark = pb.SetMark(failure_domain=failure_domain, target=target, state=state)
        return await self.operate(pb.OperateRequest(set_mark=mark))

    async def status(self, instance_id: str) -> pb.StatusReply:
        """Ask a control process for its status."""
        host, _, port = self.instances[instance_id].addresses["control"].rpartition(":")
        channel = Channel(host, int(port))
        try:
            request = pb.StatusRequest(protocol=PROTOCOL)
            return await ControlStub(channel).Status(request, timeout=2)
        finally:
            channel.close()

    # ---- Index maps and snapshots ----

    async def publish_index(self) -> None:
        """Write the index maps of all services to the store."""
        for service in self.deployment.services:
            snapshots = self.snapshots_by_service.setdefault(
                service.name, [make_snapshot(service, self.first_snapshot)]
            )
            index = make_index(self.deployment, service, self.target_addresses, snapshots)
            await self.write_object(f"index/{service.name}", index.SerializeToString())

    async def write_object(self, key: str, value: bytes) -> int:
        """Create or replace an object as another user of the platform would."""
        url = f"{self.store_url}/v1/objects/{key}"
        async with self.session.get(url) as answer:
            version = answer.headers.get("Object-Version")
        condition = {"If-Match": version} if version else {"If-None-Match": "*"}
        async with self.session.put(url, data=value, headers=condition) as answer:
            if answer.status != 200:
                raise LauncherError(f"writing {key}: {answer.status} {await answer.text()}")
            return int(answer.headers["Object-Version"])

    async def publish_snapshot(
        self,
        snapshot: str,
        services: Iterable[str] | None = None,
        shift: int = 0,
        keep: int = 2,
        drop_after_s: float = 3.0,
    ) -> None:
        """Publish a snapshot: first to the searchers, then in the map, then drop old ones.

        `shift` moves the boundaries between the groups by so many keys, so that the shards are
        repartitioned. The searchers keep dropped snapshots for `drop_after_s`, since queries that
        pinned one may still run.
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
        """Give the searchers their shards of a snapshot."""
        shards_by_admin: dict[str, dict[str, Any]] = {}
        for key_range in snapshot.ranges:
            shard = {"id": snapshot.id, "low": key_range.low, "high": key_range.high}
            for target in key_range.targets:
                shards_by_admin.setdefault(self.searcher_admin_by_id[target], {})[target] = shard
        for admin, shards in shards_by_admin.items():
            await self.call("POST", f"{admin}/snapshots", {"add": shards})

    async def drop_snapshots(self, service: str, snapshots: list[str]) -> None:
        """Let the searchers of a service forget snapshots."""
        if not snapshots:
            return
        for admin, targets in self._by_admin(self.targets(service=service)).items():
            body = {"drop": snapshots, "searchers": targets}
            await self.call("POST", f"{admin}/snapshots", body)

    # ---- Searchers ----

    def targets(self, service: str | None = None, failure_domain: str | None = None) -> list[str]:
        """Return the ids of the searchers of a service, in a failure domain, or all."""
        return [
            item.target_id(group, replica)
            for item in self.deployment.services
            if service in (None, item.name)
            for group in range(item.groups)
            for replica in range(item.replicas)
            if failure_domain in (None, self.deployment.domain_of(group, replica))
        ]

    def _by_admin(self, targets: Iterable[str]) -> dict[str, list[str]]:
        grouped: dict[str, list[str]] = {}
        for target in targets:
            grouped.setdefault(self.searcher_admin_by_id[target], []).append(target)
        return grouped

    async def searcher_fault(self, targets: Iterable[str], fault: str, **options: Any) -> None:
        """Inject a fault in searchers: cold, slow, silent, down, up, drain (see inject_fault)."""
        for admin, ids in self._by_admin(targets).items():
            body = {"searchers": ids, "fault": fault, **options}
            await self.call("POST", f"{admin}/fault", body)

    async def witness(self) -> dict[str, dict[str, Any]]:
        """Return what each searcher saw, by target id."""
        found: dict[str, dict[str, Any]] = {}
        for admin in self.searcher_admins:
            found.update(await self.call("GET", f"{admin}/witness"))
        return found

    async def reset_witness(self) -> None:
        """Start the counts of all searchers again."""
        for admin in self.searcher_admins:
            await self.call("DELETE", f"{admin}/witness")

    async def runs_by_key(self) -> dict[str, int]:
        """Return how often each request key ran, over all searchers."""
        runs: dict[str, int] = {}
        for seen in (await self.witness()).values():
            for key, count in seen["runs_by_key"].items():
                runs[key] = runs.get(key, 0) + count
        return runs

    async def arrivals(self, after_ns: int, before_ns: int | None = None) -> dict[str, Any]:
        """Return the arrivals after a CLOCK_BOOTTIME moment, by target id."""
        query = f"after_ns={after_ns}" + (f"&before_ns={before_ns}" if before_ns else "")
        found: dict[str, Any] = {}
        for admin in self.searcher_admins:
            found.update(await self.call("GET", f"{admin}/arrivals?{query}"))
        return found

    async def runs_by_request_id(self, prefix: str = "") -> dict[str, int]:
        """Return the runs by request id under a prefix, over all searchers."""
        runs: dict[str, int] = {}
        for admin in self.searcher_admins:
            answer = await self.call("GET", f"{admin}/runs?prefix={prefix}")
            for request_id, count in answer["runs"].items():
                runs[request_id] = runs.get(request_id, 0) + count
        return runs

    # ---- Platform and proxy ----

    async def call(self, method: str, url: str, body: Any = None) -> Any:
        """Call an admin port."""
        async with self.session.request(method, url, json=body) as answer:
            if answer.status != 200:
                raise LauncherError(f"{method} {url}: {answer.status} {await answer.text()}")
            return await answer.json()

    async def store_outage(self, mode: str) -> None:
        """Start an outage of the store ("refuse" or "hang") or end it ("none")."""
        await self.call("POST", f"{self.platform_admin}/outage", {"mode": mode})

    async def store_fault(self, kind: str, **options: Any) -> None:
        """Make the store "slow" (delay_ms, jitter_ms) or "lose" answers (writes, prefix...)."""
        await self.call("POST", f"{self.platform_admin}/{kind}", options)

    async def store_counters(self) -> dict[str, Any]:
        """Return the store's counts of calls."""
        return await self.call("GET", f"{self.platform_admin}/counters")

    async def store_object(self, key: str) -> bytes | None:
        """Read an object past the API, also during an outage."""
        listed = await self.call("GET", f"{self.platform_admin}/objects?prefix={key}")
        for item in listed["objects"]:
            if item["key"] == key and item["value"] is not None:
                return base64.b64decode(item["value"])
        return None

    async def add_link(self, name: str, upstream: str, delay_ms: float = 0.0) -> str:
        """Start a listener of the proxy in front of `upstream`; return its address."""
        port = self._ports.take(1)[0]
        body = {"id": name, "port": port, "upstream": upstream, "delay_ms": delay_ms}
        await self.call("POST", f"{self.proxy_admin}/listeners", body)
        self.listeners[name] = f"{HOST}:{port}"
        return self.listeners[name]

    async def _add_links(self, only: str | None = None) -> None:
        """Add the listeners from and to each instance, or those of one instance."""
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
        """Return the names of listeners by the start of their source and destination."""
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

    async def link_fault(self, links: Iterable[str], fault: str, **options: Any) -> None:
        """Inject a fault in listeners: cut, refuse, drop, silent, pause, delay."""
        body = {"listeners": list(links), "fault": fault, **options}
        await self.call("POST", f"{self.proxy_admin}/fault", body)

    def caller_url(self, instance_id: str) -> str:
        """Return the base URL that callers use for an instance."""
        address = self.listeners.get(f"caller>{instance_id}.entry")
        return f"http://{address}" if address else self.instances[instance_id].entry_url


class Answer:
    """What a caller got: `status` is 0 if there was no HTTP answer."""

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
    """Asks queries through the entry processes that report ready, in turns."""

    __slots__ = ("cluster", "ready", "_session", "_watch", "_turn")

    def __init__(self, cluster: Cluster, poll_s: float = 0.1) -> None:
        self.cluster = cluster
        self.ready: list[str] = []
        self._session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        self._watch = asyncio.create_task(self._watch_ready(poll_s))
        self._turn = 0

    async def close(self) -> None:
        """Stop watching and close the connections."""
        self._watch.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._watch
        await self._session.close()

    async def _watch_ready(self, poll_s: float) -> None:
        while True:
            ids = list(self.cluster.instances)
            # Short, so that a frozen instance does not delay what is learnt about the others.
            states = await asyncio.gather(
                *(self.cluster.is_ready(item, timeout_s=READY_TIMEOUT_S) for item in ids)
            )
            self.ready = [item for item, ready in zip(ids, states, strict=True) if ready]
            await asyncio.sleep(poll_s)

    def pick(self) -> str | None:
        """Return the id of an instance that reports ready."""
        if not self.ready:
            return None
        self._turn += 1
        return self.ready[self._turn % len(self.ready)]

    def pick_url(self) -> str | None:
        """Return the base URL of an instance that reports ready."""
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
        """Ask a query; `fields` are low, high, deadline_ms and min_coverage."""
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
        """Send a request that must not be repeated; `key` is its position in the keyspace."""
        message = {"class": request_class, "tenant": tenant, "key": key, "body": body, **fields}
        headers = {"Idempotency-Key": idempotency_key}
        return await self._post("/v1/submit", message, headers, instance_id)

    async def _post(
        self, path: str, body: dict[str, Any], headers: dict[str, str], instance_id: str | None
    ) -> Answer:
        chosen = instance_id or self.pick()
        if chosen is None:
            return Answer(0, {}, "", 0.0, "no instance is ready")
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
            return Answer(0, {}, chosen, elapsed_ms, repr(error))
        elapsed_ms = (time.monotonic() - started) * 1000
        try:
            return Answer(status, json.loads(text), chosen, elapsed_ms)
        except ValueError:
            return Answer(status, {}, chosen, elapsed_ms, "the answer is not JSON")


def find_wrong(answer: dict[str, Any], query: Any, low: int, high: int) -> str:
    """Return what is wrong with an answer to a query over [low, high), or an empty string.

    An answer is right if all its parts echo the query and come from its snapshot, if the parts
    and the missing ranges together cover the asked range once, if the coverage is the share of
    the parts, and if the counts add up to the covered keys times the snapshot's number.
    """
    snapshot = answer["snapshot"]
    parts = answer["parts"]
    for part in parts:
        if part["echo"] != query:
            return f"a part answers the query {part['echo']!r} instead of {query!r}"
        if part["snapshot"] != snapshot:
            return f"a part of {part['snapshot']} in an answer of {snapshot}"
    covered = sum(part["high"] - part["low"] for part in parts)
    spans = [(part["low"], part["high"]) for part in parts]
    spans += [(missing[0], missing[1]) for missing in answer["missing"]]
    position = low
    for start, end in sorted(spans):
        if start != position or end < start:
            return f"the ranges do not follow each other at {position}: {sorted(spans)}"
        position = end
    if position != high:
        return f"the ranges end at {position} instead of {high}"
    if abs(answer["coverage"] - covered / (high - low)) > 1e-6:
        return f"the coverage is {answer['coverage']}, the parts cover {covered} of {high - low}"
    total = sum(part["count"] for part in parts)
    if total != covered * searcher.parse_snapshot_number(snapshot):
        return f"the counts add up to {total} for {covered} keys of {snapshot}"
    return ""


def require_code(reply: pb.OperateReply, what: str) -> None:
    """Raise LauncherError unless the change was written or accepted."""
    if reply.code not in ("accepted", "written"):
        raise LauncherError(f"{what}: {reply.code} {reply.message}")


def format_toml(sections: dict[str, dict[str, Any]]) -> str:
    """Return sections of strings, numbers, booleans and lists as TOML.

    JSON's notation of these values is valid TOML.
    """
    lines = []
    for section, values in sections.items():
        lines.append(f"[{section}]")
        lines += [f"{json.dumps(key)} = {json.dumps(value)}" for key, value in values.items()]
    return "\n".join(lines) + "\n"
