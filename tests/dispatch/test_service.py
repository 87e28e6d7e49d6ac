"""Tests of flamingostack.dispatch.service: the stream as entry processes see it."""

import asyncio
import unittest

from grpclib.testing import ChannelFor

from flamingostack.dispatch.service import DispatchService
from flamingostack.generated import messages_pb2 as pb
from flamingostack.generated.messages_grpc import DispatchStub

from .support import NOT_RUN, OK, run_harness


def make_request(number: int, **fields) -> pb.SubRequest:
    defaults = {
        "request_id": "r1",
        "target": "t1",
        "snapshot": "s1",
        "high": 10,
        "deadline_ms": 1000,
        "request_class": "desk",
        "payload": b'"q"',
    }
    return pb.SubRequest(id=number, **{**defaults, **fields})


class ExchangeTest(unittest.IsolatedAsyncioTestCase):
    """Guards against lost, unbatched or misread messages between entry and dispatch."""

    async def exchange(self, harness, batch, count):
        batches = []
        service = DispatchService(harness.ownership)
        async with (
            ChannelFor([service]) as channel,
            DispatchStub(channel).Exchange.open() as stream,
        ):
            await stream.send_message(batch)
            while sum(len(item.replies) for item in batches) < count:
                batches.append(await asyncio.wait_for(stream.recv_message(), 3))
            await stream.end()
        return batches

    async def test_sub_request_is_served_end_to_end(self):
        async with run_harness() as (harness, searcher):
            batch = pb.EntryBatch(protocol=1, requests=[make_request(7)])
            batches = await self.exchange(harness, batch, 1)
            reply = batches[0].replies[0]
            self.assertEqual((reply.id, reply.status, reply.snapshot), (7, OK, "s1"))
            self.assertEqual(searcher.bodies, [{"low": 0, "high": 10, "query": "q"}])
            self.assertLessEqual(int(searcher.headers[0]["Deadline-Ms"]), 1000)
            self.assertEqual(searcher.headers[0]["path"], "/search")

    async def test_replies_of_one_iteration_share_a_batch(self):
        async with run_harness() as (harness, _):
            requests = [make_request(number, target="none") for number in range(20)]
            batches = await self.exchange(harness, pb.EntryBatch(protocol=1, requests=requests), 20)
            self.assertEqual([len(batch.replies) for batch in batches], [20])

    async def test_unknown_protocol_is_answered_for_each_request(self):
        async with run_harness() as (harness, searcher):
            requests = [make_request(1), make_request(2)]
            batches = await self.exchange(harness, pb.EntryBatch(protocol=9, requests=requests), 2)
            replies = [reply for batch in batches for reply in batch.replies]
            expected = [(NOT_RUN, "unsupported_protocol")] * 2
            self.assertEqual([(reply.status, reply.reason) for reply in replies], expected)
            self.assertEqual(searcher.bodies, [])


if __name__ == "__main__":
    unittest.main()
