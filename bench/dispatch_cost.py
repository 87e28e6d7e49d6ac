"""Measure the CPU time of the dispatch process for each sub-request.

Run `python -m bench.dispatch_cost`. It starts a dispatch process and a process with minimal
searchers, acts as the control process and as an entry process, and reads the CPU time of the
dispatch process from /proc.
"""

from __future__ import annotations

import argparse
import asyncio
import multiprocessing
import os
import sys
import tempfile
import time

from grpclib.client import Channel
from grpclib.server import Server

from flamingostack.clock import boottime_ns, ms_to_ns
from flamingostack.generated import messages_pb2 as pb
from flamingostack.generated.messages_grpc import ControlBase, DispatchStub

CONTROL_PORT = 27800
DISPATCH_PORT = 27801
SEARCHER_PORT = 27900
SETTINGS = f"""
[instance]
id = "a1"
failure_domain = "a"
[control]
listen = "127.0.0.1:{CONTROL_PORT}"
[dispatch]
listen = "127.0.0.1:{DISPATCH_PORT}"
[entry]
listen = "127.0.0.1:27802"
[store]
url = "http://127.0.0.1:27803"
"""
PRESET = b"""
name = "ordinary"
[classes.desk]
service = "search"
deadline_ms = 2000
max_queue_ms = 2000
"""
BODY = b'{"snapshot":"s1","low":0,"high":10,"count":1,"echo":"q"}'
ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nSearcher-Cold: 0\r\n"
    b"Searcher-In-Flight: 1\r\nContent-Length: %d\r\n\r\n%b" % (len(BODY), BODY)
)


class FakeSearcher(asyncio.Protocol):
    """Searcher that sends a fixed answer to each request after a delay."""

    delay_s = 0.005

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport for the answers."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Schedule the answer; requests are small enough to arrive complete in one call."""
        if data.endswith(b"}"):
            asyncio.get_running_loop().call_later(self.delay_s, self.transport.write, ANSWER)


def run_searchers(count: int) -> None:
    """Serve `count` searchers on consecutive ports, starting with SEARCHER_PORT."""

    async def serve() -> None:
        loop = asyncio.get_running_loop()
        for number in range(count):
            await loop.create_server(FakeSearcher, "127.0.0.1", SEARCHER_PORT + number)
        await asyncio.Event().wait()

    asyncio.run(serve())


class FakeControl(ControlBase):
    """Control process that grants all targets to the dispatch process and renews its lease."""

    def __init__(self, targets: int) -> None:
        self.targets = targets

    async def Follow(self, stream) -> None:  # noqa: N802
        """Send the complete state once, then a renewed lease every 0.5 s."""
        update = pb.StateUpdate(
            protocol=1,
            document=pb.FleetDocument(
                version=1,
                partition_count=1,
                preset=pb.PresetInForce(name="ordinary", revision=1, body=PRESET),
            ),
            grants=[pb.PartitionGrant(number=0, term=1)],
        )
        update.indexes.add(service="search", keyspace=10, targets=make_targets(self.targets))
        while True:
            update.lease_until_ns = boottime_ns() + ms_to_ns(3000)
            await stream.send_message(update)
            update.ClearField("document")
            update.ClearField("indexes")
            await asyncio.sleep(0.5)

    Sync = Transfer = Release = Operate = Status = None


def make_targets(count: int) -> list[pb.Target]:
    """Return the searchers as targets of 6 slots and 50 connections."""
    return [
        pb.Target(
            id=f"t{number}",
            address=f"127.0.0.1:{SEARCHER_PORT + number}",
            failure_domain="a",
            slots=6,
            connections=50,
            cold_limit=2,
        )
        for number in range(count)
    ]


class SubRequestSender:
    """Keeps `in_flight` sub-requests in flight on an Exchange stream until `total` are answered.

    `statuses` counts the replies by status.
    """

    def __init__(self, targets: int, in_flight: int, total: int) -> None:
        self.targets = targets
        self.in_flight = in_flight
        self.total = total
        self.sent = 0
        self.statuses: dict[int, int] = {}

    def _make_batch(self, count: int) -> pb.EntryBatch:
        batch = pb.EntryBatch(protocol=1, sender="bench")
        for _ in range(min(count, self.total - self.sent)):
            self.sent += 1
            batch.requests.add(
                id=self.sent,
                request_id="bench",
                target=f"t{self.sent % self.targets}",
                snapshot="s1",
                high=10,
                deadline_ms=2000,
                request_class="desk",
                payload=b'"find the nearest survey slot"',
            )
        return batch

    async def run(self) -> float:
        """Send all sub-requests and await their replies; return the elapsed seconds."""
        channel = Channel("127.0.0.1", DISPATCH_PORT)
        started = time.monotonic()
        async with DispatchStub(channel).Exchange.open() as stream:
            await stream.send_message(self._make_batch(self.in_flight))
            answered = 0
            while answered < self.total:
                replies = (await stream.recv_message()).replies
                answered += len(replies)
                for reply in replies:
                    self.statuses[reply.status] = self.statuses.get(reply.status, 0) + 1
                batch = self._make_batch(len(replies))
                if batch.requests:
                    await stream.send_message(batch)
            await stream.end()
        channel.close()
        return time.monotonic() - started


def read_cpu_s(pid: int) -> float:
    """Return the CPU time (user and system) of a process in seconds."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def measure(options: argparse.Namespace, pid: int) -> None:
    """Warm up the targets, measure, and print the results."""
    server = Server([make_control(options.targets)])
    await server.start("127.0.0.1", CONTROL_PORT)
    await asyncio.sleep(1.5)
    await SubRequestSender(options.targets, options.in_flight, options.targets * 100).run()
    sender = SubRequestSender(options.targets, options.in_flight, options.total)
    cpu_before_s = read_cpu_s(pid)
    elapsed_s = await sender.run()
    cpu_s = read_cpu_s(pid) - cpu_before_s
    statuses = {pb.SubStatus.Name(key): count for key, count in sender.statuses.items()}
    print(f"sub-requests: {options.total}, statuses: {statuses}")
    print(f"processor time: {cpu_s / options.total * 1e6:.0f} us for each sub-request")
    print(f"rate: {options.total / elapsed_s:.0f}/s, dispatch used {cpu_s / elapsed_s:.2f} cores")
    server.close()
    await server.wait_closed()


def make_control(targets: int) -> FakeControl:
    """Return a FakeControl.

    It implements only Follow, so its abstract methods are cleared to allow instantiation.
    """
    FakeControl.__abstractmethods__ = frozenset()
    return FakeControl(targets)


async def main(options: argparse.Namespace) -> None:
    """Start the processes, measure, and stop them."""
    searchers = multiprocessing.Process(target=run_searchers, args=(options.targets,))
    searchers.start()
    with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
        file.write(SETTINGS)
        file.flush()
        command = [sys.executable, "-m", "flamingostack.dispatch", "--settings", file.name]
        dispatch = await asyncio.create_subprocess_exec(*command)
        try:
            await measure(options, dispatch.pid)
        finally:
            dispatch.terminate()
            await dispatch.wait()
            searchers.terminate()


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--targets", type=int, default=30)
    parser.add_argument("--in-flight", type=int, default=64)
    parser.add_argument("--total", type=int, default=20_000)
    asyncio.run(main(parser.parse_args()))
