"""In-process fakes of a control and an entry process, and the base class of command tests."""

from __future__ import annotations

import asyncio
import io
import itertools
import json
import socket
import tempfile
import time
import unittest
from collections.abc import Callable, Sequence
from pathlib import Path

from aiohttp import web
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Server

from flamingostack.cli.environment import CommandEnvironment
from flamingostack.core import main
from flamingostack.generated import messages_pb2 as pb
from flamingostack.generated.messages_grpc import ControlBase
from flamingostack.status import ExitStatus

LOOPBACK = "127.0.0.1"

PRESET = b"""\
name = "peak"
description = "Peaks"
[classes.enquiry]
service = "enquiry"
deadline_ms = 250
"""

ReplyMaker = Callable[[pb.OperateRequest], pb.OperateReply | None]


class FakeControl(ControlBase):
    """Fake control process: keeps a document and applies each change id once.

    Each Operate call removes the first of `reply_makers`, if any, and sends what it returns
    instead of the regular reply. None stands for a reply that is lost after the change was made.
    """

    def __init__(self, document: pb.FleetDocument | None = None) -> None:
        self.document = document or make_document()
        self.requests: list[pb.OperateRequest] = []
        self.applied: list[str] = []
        self.reply_makers: list[ReplyMaker] = []
        self.presets = [pb.StoredPreset(name="peak", body=PRESET, store_version=7)]
        self.members = [
            make_member("a1", "a", applied_version=5),
            make_member("b1", "b", applied_version=4),
        ]
        self.status_error: Status | None = None
        self.address = ""

    async def Operate(self, stream):  # noqa: N802
        request = await stream.recv_message()
        self.requests.append(request)
        reply = self.apply(request)
        if self.reply_makers:
            reply = self.reply_makers.pop(0)(request)
        if reply is None:
            raise GRPCError(Status.UNAVAILABLE, "the reply was lost")
        await stream.send_message(reply)

    def apply(self, request: pb.OperateRequest) -> pb.OperateReply:
        """Apply a change, unless its change id was applied before."""
        if request.change_id not in self.applied:
            if request.expected_version not in (0, self.document.version):
                return self.make_conflict()
            self.applied.append(request.change_id)
            self.document.version += 1
        return pb.OperateReply(code="accepted", version=self.document.version, elapsed_ms=3)

    def make_conflict(self) -> pb.OperateReply:
        """Return the reply to a change that expects another version than the current one."""
        winner = pb.Change(
            change_id="w-1",
            version=self.document.version,
            summary="use preset calm",
            operator="amara",
            at_unix_ms=1_700_000_000_000,
        )
        return pb.OperateReply(code="conflict", version=self.document.version, winner=winner)

    async def Status(self, stream):  # noqa: N802
        request = await stream.recv_message()
        if self.status_error is not None:
            raise GRPCError(self.status_error, "no")
        await stream.send_message(
            pb.StatusReply(
                document=self.document,
                members=self.members,
                partitions=self.document.partitions,
                indexes=[make_index()],
                store_reachable=True,
                lease_remaining_ms=2500,
                presets=self.presets if request.include_presets else [],
                own_member=self.members[0].member,
                lease_source="store",
            )
        )

    async def Sync(self, stream): ...  # noqa: N802

    async def Transfer(self, stream): ...  # noqa: N802

    async def Release(self, stream): ...  # noqa: N802

    async def Follow(self, stream): ...  # noqa: N802


def make_document() -> pb.FleetDocument:
    """Return a fleet document with two failure domains, one of them leaving."""
    holder = pb.Member(instance="a1", incarnation="a1-x")
    return pb.FleetDocument(
        version=5,
        partition_count=2,
        voter_count=2,
        preset=pb.PresetInForce(name="calm", revision=3, body=b'name = "calm"\n'),
        marks=[pb.Mark(failure_domain="b", state=pb.MARK_STATE_LEAVING, version=5)],
        partitions=[
            pb.Partition(number=0, term=1, holder=holder),
            pb.Partition(number=1, term=2, unresolved_holders=["b1-old"]),
        ],
        failure_domains=["a", "b"],
        recent_changes=[
            pb.Change(change_id="c-1", version=5, summary="mark b leaving", operator="kofi")
        ],
    )


def make_member(instance: str, failure_domain: str, applied_version: int) -> pb.MemberStatus:
    """Return the status of an instance; tests that need its entry address set it."""
    member = pb.Member(
        instance=instance,
        incarnation=f"{instance}-x",
        failure_domain=failure_domain,
    )
    return pb.MemberStatus(
        member=member,
        document_version=5,
        applied_version=applied_version,
        last_heard_ms=120,
    )


def make_index() -> pb.ServiceIndex:
    """Return a service index with one target in each failure domain."""
    return pb.ServiceIndex(
        service="enquiry",
        keyspace=100,
        targets=[
            pb.Target(id="t-a", failure_domain="a"),
            pb.Target(id="t-b", failure_domain="b"),
        ],
        snapshots=[pb.Snapshot(id="s1")],
    )


class FakeEntry:
    """Fake entry process: answers /v1/query and the explain paths with prepared responses.

    A body of None in `answer` closes the connection without a response.
    """

    def __init__(self) -> None:
        self.answer: tuple[int, object] = (200, {})
        self.traces_by_path: dict[str, dict] = {}
        self.bodies: list[dict] = []
        self.address = ""

    async def query(self, request: web.Request) -> web.StreamResponse:
        self.bodies.append(await request.json())
        status, body = self.answer
        if body is None:
            request.transport.close()
        if isinstance(body, dict):
            return web.json_response(body, status=status)
        return web.Response(text=str(body), status=status)

    async def explain(self, request: web.Request) -> web.StreamResponse:
        trace = self.traces_by_path.get(request.raw_path)
        if trace is None:
            return web.json_response({"code": "unknown"}, status=404)
        return web.json_response(trace)


class Result:
    """Exit status and output of a command."""

    def __init__(self, status: ExitStatus, stdout: str, stderr: str) -> None:
        self.status = status
        self.stdout = stdout
        self.stderr = stderr

    @property
    def data(self) -> dict:
        """JSON object on standard output."""
        return json.loads(self.stdout)


class CommandTest(unittest.IsolatedAsyncioTestCase):
    """Base of tests that start fakes on loopback and run commands against them in a thread."""

    async def start_control(self, control: FakeControl | None = None) -> FakeControl:
        control = control or FakeControl()
        control.address = f"{LOOPBACK}:{find_free_port()}"
        server = Server([control])
        await server.start(LOOPBACK, int(control.address.rpartition(":")[2]))
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        return control

    async def start_entry(self) -> FakeEntry:
        entry = FakeEntry()
        app = web.Application()
        app.router.add_post("/v1/query", entry.query)
        app.router.add_get("/{path:.*}", entry.explain)
        runner = web.AppRunner(app, shutdown_timeout=0.1)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        entry.address = f"{LOOPBACK}:{find_free_port()}"
        await web.TCPSite(runner, LOOPBACK, int(entry.address.rpartition(":")[2])).start()
        return entry

    async def start_raw(self, answer: bytes) -> str:
        """Start a TCP server that sends `answer` to each connection; return its address.

        With empty bytes the server accepts connections and stays silent.
        """

        def handle(_reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.addCleanup(writer.close)
            writer.write(answer)

        server = await asyncio.start_server(handle, LOOPBACK, 0)
        self.addCleanup(server.close)
        return f"{LOOPBACK}:{server.sockets[0].getsockname()[1]}"

    def write_file(self, text: bytes) -> str:
        """Write a temporary file and return its path."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name, "new.toml")
        path.write_bytes(text)
        return str(path)

    async def run_command(
        self,
        *args: str,
        control: Sequence[str] = (),
        stdin: bytes = b"",
        variables: dict[str, str] | None = None,
    ) -> Result:
        ids = (f"id-{number}" for number in itertools.count(1))
        environment = CommandEnvironment(
            stdin=io.BytesIO(stdin),
            stdout=io.StringIO(),
            stderr=io.StringIO(),
            variables={"USER": "abena"} if variables is None else variables,
            now_s=time.monotonic,
            make_id=lambda: next(ids),
        )
        options = [part for address in control for part in ("--control", address)]
        status = await asyncio.to_thread(main, [*args, *options], environment)
        return Result(status, environment.stdout.getvalue(), environment.stderr.getvalue())


def find_free_port() -> int:
    """Return a port on which nothing listens."""
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return probe.getsockname()[1]
