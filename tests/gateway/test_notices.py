"""Tests of what targets say of themselves with their answers."""

import unittest

from .fakes import FakeTarget, GatewayCase, make_route


async def answer_leaving(target, request):
    answer = target.answer(request)
    answer.headers["Server-Leaving"] = "1"
    return answer


class NoticeLogTest(GatewayCase, unittest.IsolatedAsyncioTestCase):
    """Guards against notices of targets that operators cannot find in the logs."""

    async def test_first_notice_is_logged_with_the_word_of_the_store(self):
        target = FakeTarget(answer_leaving)
        routes = [make_route("one", service="s")]
        running = await self.start_gateway({"s": [target]}, routes)
        await running.get("/one/a", "r1")
        await running.get("/one/a", "r2")
        (event,) = [event for event in running.events if event["event"] == "target_notice"]
        self.assertEqual(event["target"], target.id)
        self.assertEqual(event["request_id"], "r1")
        self.assertTrue(event["leaving"])
        self.assertFalse(event["draining"])
