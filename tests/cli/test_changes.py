"""Tests of the commands that change the fleet: `preset put`, `preset use` and `mark`."""

from flamingostack.generated import messages_pb2 as pb
from flamingostack.status import ExitStatus

from .fakes import LOOPBACK, PRESET, CommandTest, find_free_port


def reply_with(**fields):
    return lambda _request: pb.OperateReply(**fields)


def lose_reply(_request):
    return None


class UseAndMarkTest(CommandTest):
    """Guards against a wrong report on a change: made, not made, or not yet in force everywhere."""

    async def test_accepted_change_says_after_what_time(self):
        control = await self.start_control()
        result = await self.run_command("preset", "use", "peak", control=[control.address])
        self.assertEqual(result.status, ExitStatus.SUCCESS)
        self.assertRegex(result.stdout, r"preset peak: in force everywhere after \d+\.\d\d s")
        request = control.requests[0]
        self.assertEqual(request.use_preset.name, "peak")
        self.assertEqual((request.change_id, request.operator), ("id-1", "abena"))

    async def test_change_builds_on_the_version_seen_or_given(self):
        # With version 0, which matches any, two concurrent changes would both succeed and neither
        # operator would notice.
        control = await self.start_control()
        await self.run_command("preset", "use", "peak", control=[control.address])
        self.assertEqual(control.requests[0].expected_version, 5)
        result = await self.run_command(
            *("preset", "use", "peak", "--expect-version", "6", "--change-id", "mine"),
            control=[control.address],
        )
        self.assertEqual(result.status, ExitStatus.SUCCESS)
        self.assertEqual(control.requests[1].expected_version, 6)
        self.assertEqual(control.requests[1].change_id, "mine")

    async def test_marks_reach_control_as_given(self):
        control = await self.start_control()
        cases = {
            ("failure-domain", "a", "leaving"): pb.SetMark(
                failure_domain="a", state=pb.MARK_STATE_LEAVING
            ),
            ("target", "t-a", "returning"): pb.SetMark(target="t-a", state=pb.MARK_STATE_RETURNING),
            ("target", "t-a", "clear"): pb.SetMark(target="t-a"),
        }
        for args, expected in cases.items():
            result = await self.run_command("mark", *args, control=[control.address])
            self.assertEqual(result.status, ExitStatus.SUCCESS)
            self.assertEqual(control.requests[-1].set_mark, expected)

    async def test_unconfirmed_instances_are_named(self):
        control = await self.start_control()
        control.reply_makers = [reply_with(code="written", version=6, waiting_for=["b1"])] * 99
        args = ("preset", "use", "peak", "--timeout", "1")
        result = await self.run_command(*args, control=[control.address])
        self.assertEqual(result.status, ExitStatus.NOT_YET_ACCEPTED)
        self.assertIn("not confirmed: b1", result.stdout)
        self.assertIn("--change-id id-1", result.stdout)
        self.assertEqual({request.change_id for request in control.requests}, {"id-1"})
        result = await self.run_command(*args, "--json", control=[control.address])
        self.assertEqual(result.data["waiting_for"], ["b1"])
        self.assertEqual(result.data["exit_status"], 6)

    async def test_written_then_accepted_is_success(self):
        control = await self.start_control()
        control.reply_makers = [reply_with(code="written", version=6, waiting_for=["b1"])]
        result = await self.run_command("preset", "use", "peak", control=[control.address])
        self.assertEqual(result.status, ExitStatus.SUCCESS)
        self.assertEqual(len(control.requests), 2)

    async def test_loser_of_a_race_is_told_who_won_and_what_to_do(self):
        control = await self.start_control()
        args = ("preset", "use", "peak", "--expect-version", "4")
        result = await self.run_command(*args, control=[control.address])
        self.assertEqual(result.status, ExitStatus.CONFLICT)
        for part in ("use preset calm", "by amara", "w-1", "status", "--expect-version 5"):
            self.assertIn(part, result.stderr)
        result = await self.run_command(*args, "--json", control=[control.address])
        self.assertEqual(result.data["winner"]["operator"], "amara")

    async def test_codes_have_their_exit_statuses(self):
        control = await self.start_control()
        cases = {
            "store_unavailable": ExitStatus.UNAVAILABLE,
            "invalid": ExitStatus.INVALID_INPUT,
            "surprise": ExitStatus.ERROR,
        }
        for code, status in cases.items():
            control.reply_makers = [reply_with(code=code, message="target t-z is not known")]
            result = await self.run_command(
                *("mark", "target", "t-z", "leaving"), control=[control.address]
            )
            self.assertEqual(result.status, status)
            self.assertIn(f"{code}: mark target t-z leaving: target t-z", result.stderr)


class RetryTest(CommandTest):
    """Guards against a change that is made twice or lost when a control process fails."""

    async def test_lost_answer_is_retried_elsewhere_with_the_same_id(self):
        first = await self.start_control()
        second = await self.start_control()
        second.document = first.document
        second.applied = first.applied
        first.reply_makers = [lose_reply]
        result = await self.run_command(
            "preset", "use", "peak", control=[first.address, second.address]
        )
        self.assertEqual(result.status, ExitStatus.SUCCESS)
        self.assertEqual(first.requests[0].change_id, second.requests[0].change_id)
        self.assertEqual(first.applied, ["id-1"])
        self.assertEqual(first.document.version, 6)

    async def test_lost_answers_everywhere_leave_the_outcome_unknown(self):
        control = await self.start_control()
        control.reply_makers = [lose_reply]
        args = ("preset", "use", "peak", "--expect-version", "5")
        result = await self.run_command(*args, control=[control.address])
        self.assertEqual(result.status, ExitStatus.OUTCOME_UNKNOWN)
        self.assertIn("may have been made", result.stderr)
        self.assertIn("--change-id id-1", result.stderr)
        result = await self.run_command(*args, "--change-id", "id-1", control=[control.address])
        self.assertEqual(result.status, ExitStatus.SUCCESS)
        self.assertEqual(control.applied, ["id-1"])

    async def test_control_that_cannot_tell_is_not_the_last_word(self):
        # Control replies "unknown" when the store's response to its write was lost. The command
        # has to ask the next control process.
        first = await self.start_control()
        second = await self.start_control()
        unknown_reply = reply_with(code="unknown", message="may have been written")
        args = ("preset", "use", "peak")
        first.reply_makers = [unknown_reply]
        result = await self.run_command(*args, control=[first.address, second.address])
        self.assertEqual(result.status, ExitStatus.SUCCESS)
        first.reply_makers = [unknown_reply]
        result = await self.run_command(*args, control=[first.address])
        self.assertEqual(result.status, ExitStatus.OUTCOME_UNKNOWN)
        self.assertIn("may have been written", result.stderr)

    async def test_lost_answer_then_store_down_is_not_called_unchanged(self):
        first = await self.start_control()
        second = await self.start_control()
        first.reply_makers = [lose_reply]
        second.reply_makers = [reply_with(code="store_unavailable")]
        result = await self.run_command(
            "preset", "use", "peak", control=[first.address, second.address]
        )
        self.assertEqual(result.status, ExitStatus.OUTCOME_UNKNOWN)

    async def test_written_change_stays_written_when_control_stops(self):
        control = await self.start_control()
        control.reply_makers = [
            reply_with(code="written", version=6, waiting_for=["b1"]),
            lose_reply,
        ]
        result = await self.run_command("preset", "use", "peak", control=[control.address])
        self.assertEqual(result.status, ExitStatus.NOT_YET_ACCEPTED)

    async def test_store_reached_by_another_control(self):
        first = await self.start_control()
        second = await self.start_control()
        first.reply_makers = [reply_with(code="store_unavailable")]
        result = await self.run_command(
            "preset", "use", "peak", control=[first.address, second.address]
        )
        self.assertEqual(result.status, ExitStatus.SUCCESS)

    async def test_refused_and_silent_addresses_are_passed_over(self):
        control = await self.start_control()
        addresses = [f"{LOOPBACK}:{find_free_port()}", await self.start_raw(b""), control.address]
        result = await self.run_command("preset", "use", "peak", control=addresses)
        self.assertEqual(result.status, ExitStatus.SUCCESS)
        self.assertEqual(len(control.requests), 1)

    async def test_no_control_reachable_means_nothing_changed(self):
        address = f"{LOOPBACK}:{find_free_port()}"
        for extra in ((), ("--expect-version", "5")):
            result = await self.run_command("preset", "use", "peak", *extra, control=[address])
            self.assertEqual(result.status, ExitStatus.UNAVAILABLE)
            self.assertIn("this command changed nothing", result.stderr)
            self.assertIn(address, result.stderr)


class PutPresetTest(CommandTest):
    """Guards against storing an invalid preset, and against errors without file, line or key."""

    async def put(self, text: bytes, *extra: str):
        self.control = await self.start_control()
        args = ("preset", "put", self.write_file(text), *extra)
        return await self.run_command(*args, control=[self.control.address])

    async def assert_refused(self, text: bytes, *parts: str):
        result = await self.put(text)
        self.assertEqual(result.status, ExitStatus.INVALID_INPUT)
        for part in ("new.toml", *parts):
            self.assertIn(part, result.stderr)
        self.assertEqual(self.control.requests, [])

    async def test_valid_preset_is_sent_unchanged(self):
        result = await self.put(PRESET)
        self.assertEqual(result.status, ExitStatus.SUCCESS)
        sent = self.control.requests[0].put_preset
        self.assertEqual((sent.name, sent.body), ("peak", PRESET))

    async def test_invalid_toml(self):
        await self.assert_refused(b'name = "a"\nclasses = \n', "line 2")

    async def test_unknown_key(self):
        await self.assert_refused(PRESET + b"deadlin = 3\n", "deadlin", "$.classes.enquiry")

    async def test_wrong_unit(self):
        text = PRESET.replace(b"250", b'"250ms"')
        await self.assert_refused(text, "$.classes.enquiry.deadline_ms")

    async def test_over_a_megabyte(self):
        await self.assert_refused(PRESET + b"#" * (1 << 20), "more than 1048576 bytes")

    async def test_race_on_a_preset_text_is_a_conflict(self):
        control = await self.start_control()
        message = "preset peak has version 9, not 7"
        control.reply_makers = [reply_with(code="conflict", message=message, version=9)]
        args = ("preset", "put", "-", "--expect-version", "7")
        result = await self.run_command(*args, control=[control.address], stdin=PRESET)
        self.assertEqual(result.status, ExitStatus.CONFLICT)
        self.assertIn(message, result.stderr)
        self.assertIn("--expect-version 9", result.stderr)

    async def test_standard_input_is_read_and_named(self):
        control = await self.start_control()
        args = ("preset", "put", "-")
        result = await self.run_command(*args, control=[control.address], stdin=PRESET)
        self.assertEqual(result.status, ExitStatus.SUCCESS)
        result = await self.run_command(*args, control=[control.address], stdin=b"x")
        self.assertIn("standard input", result.stderr)
        result = await self.run_command(*args, "--jsn", control=[control.address], stdin=PRESET)
        self.assertEqual(result.status, ExitStatus.USAGE)
