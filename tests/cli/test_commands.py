"""Tests of the commands that change nothing: presets, settings, status, query and explain."""

import time
from unittest import mock

from grpclib.const import Status

from flamingostack.status import ExitStatus
from tests.platform.test_settings import LINES as GATEWAY_SETTINGS

from .fakes import LOOPBACK, PRESET, CommandTest, find_free_port, make_member


class UsageTest(CommandTest):
    """Guards against invalid arguments that are accepted or cause a traceback."""

    async def test_wrong_arguments_name_the_problem(self):
        cases = {
            ("mark", "rack", "r1", "leaving"): "rack",
            ("mark", "target", "t-a", "gone"): "STATE",
            ("mark", "target", " ", "leaving"): "NAME",
            ("status", "--timeout", "5s"): "--timeout",
            ("status", "--timeout", "0"): "--timeout",
            ("status",): "FLAMINGOSTACK_CONTROL",
            ("status", "--control", "host"): "'host' is not HOST:PORT",
            ("preset", "use", "x", "--change-id", ""): "--change-id",
            ("preset", "use", "x", "--operator", "a" * 129): "--operator",
            # Python decodes an argument that is invalid in the locale's encoding to surrogates.
            ("preset", "use", "\udcff"): "NAME",
            ("preset", "use", "x", "--expect-version", "-1"): "--expect-version",
            ("explain", "r-1", "--entry", "x:99999"): "x:99999",
        }
        for args, part in cases.items():
            result = await self.run_command(*args)
            self.assertEqual(result.status, ExitStatus.USAGE, args)
            self.assertIn(part, result.stderr)

    async def test_help_goes_to_standard_output(self):
        result = await self.run_command("--help")
        self.assertEqual(result.status, ExitStatus.SUCCESS)
        self.assertIn("status", result.stdout)

    async def test_control_address_from_the_variable(self):
        control = await self.start_control()
        variables = {"FLAMINGOSTACK_CONTROL": f"{LOOPBACK}:{find_free_port()}, {control.address}"}
        result = await self.run_command("status", variables=variables)
        self.assertEqual(result.status, ExitStatus.SUCCESS)

    async def test_interrupted_change_keeps_its_id(self):
        # Without the id the operator could not find out whether the change was made.
        with mock.patch("flamingostack.core.execute", side_effect=KeyboardInterrupt):
            result = await self.run_command("preset", "use", "x", "--control", "127.0.0.1:1")
        self.assertEqual(result.status, ExitStatus.INTERRUPTED)
        self.assertIn("--change-id id-1", result.stderr)


class ReadPresetTest(CommandTest):
    """Guards against presets listed in the wrong state, and against altered preset texts."""

    async def test_list_tells_stored_invalid_and_in_force(self):
        control = await self.start_control()
        control.presets.append(type(control.presets[0])(name="calm", body=b"broken"))
        result = await self.run_command("preset", "list", control=[control.address])
        self.assertIn("in force: calm (revision 3)", result.stdout)
        self.assertRegex(result.stdout, r"peak +stored +7 +Peaks")
        self.assertRegex(result.stdout, r"calm +invalid .*preset calm: ")
        result = await self.run_command("preset", "list", "--json", control=[control.address])
        self.assertEqual([item["name"] for item in result.data["presets"]], ["calm", "peak"])

    async def test_show_prints_the_text(self):
        control = await self.start_control()
        result = await self.run_command("preset", "show", "peak", control=[control.address])
        self.assertEqual(result.stdout, PRESET.decode())
        args = ("preset", "show", "peak", "--json")
        result = await self.run_command(*args, control=[control.address])
        self.assertEqual(result.data["body"], PRESET.decode())
        self.assertFalse(result.data["in_force"])

    async def test_unknown_preset_is_not_found(self):
        control = await self.start_control()
        result = await self.run_command("preset", "show", "pek", control=[control.address])
        self.assertEqual(result.status, ExitStatus.NOT_FOUND)
        self.assertIn("known presets: calm, peak", result.stderr)


class CheckTest(CommandTest):
    """Guards against files that pass the check and are rejected later, or the reverse."""

    async def test_check_needs_no_control_and_names_file_and_key(self):
        settings = b'[instance]\nid = ""\nfailure_domain = "a"\n'
        cases = [
            (("preset", "check"), PRESET, ExitStatus.SUCCESS, "valid"),
            (("preset", "check"), b"name = 3", ExitStatus.INVALID_INPUT, "$.name"),
            (("settings", "check"), settings, ExitStatus.INVALID_INPUT, "$.instance.id"),
        ]
        for args, text, status, part in cases:
            path = self.write_file(text)
            result = await self.run_command(*args, path)
            self.assertEqual(result.status, status)
            self.assertIn(part, result.stdout + result.stderr)
            self.assertIn(path, result.stdout + result.stderr)
        gateway = GATEWAY_SETTINGS.encode()
        cases = (
            (gateway, ExitStatus.SUCCESS, "valid"),
            (gateway.replace(b"=1.5", b"=x"), ExitStatus.INVALID_INPUT, "line 13"),
            (b"\xff", ExitStatus.INVALID_INPUT, "utf-8"),
        )
        for text, status, part in cases:
            path = self.write_file(text)
            result = await self.run_command("settings", "check", "--gateway", path, "--json")
            self.assertEqual(result.status, status, part)
            self.assertIn(part, result.stdout if status else "valid")
        result = await self.run_command("settings", "check", "/", "--json")
        self.assertEqual(result.status, ExitStatus.INVALID_INPUT)
        self.assertEqual(result.data["code"], "file_unreadable")


class StatusTest(CommandTest):
    """Guards against a status that hides a lagging instance or a target without an owner."""

    async def test_human_form_names_what_needs_attention(self):
        control = await self.start_control()
        args = ("status", "--targets", "--partitions")
        result = await self.run_command(*args, control=[control.address])
        self.assertEqual(result.status, ExitStatus.SUCCESS)
        self.assertIn("lagging: b1", result.stdout)
        self.assertIn("marks: failure-domain b leaving", result.stdout)
        self.assertIn("without holder: 1", result.stdout)
        self.assertRegex(result.stdout, r"t-a +enquiry +a +0 +a1 +-")
        self.assertRegex(result.stdout, r"t-b +enquiry +b +1 +none +leaving")
        self.assertRegex(result.stdout, r"1 +2 +0 +none +b1-old")

    async def test_json_form(self):
        control = await self.start_control()
        data = (await self.run_command("status", "--json", control=[control.address])).data
        behind = {item["instance"]: item["versions_behind"] for item in data["instances"]}
        self.assertEqual(behind, {"a1": 0, "b1": 1})
        self.assertEqual({item["id"]: item["owner"] for item in data["targets"]}["t-b"], "")

    async def test_lag_of_the_asked_instance_shows(self):
        # The control process that replies may itself have an outdated document.
        control = await self.start_control()
        control.members[1].document_version = 8
        control.members[1].applied_version = 8
        data = (await self.run_command("status", "--json", control=[control.address])).data
        self.assertEqual(data["newest_version"], 8)
        self.assertEqual(data["instances"][0]["versions_behind"], 3)

    async def test_lagging_instance_is_shown_in_a_large_fleet(self):
        control = await self.start_control()
        control.members += [make_member(f"c{n:03}", "c", applied_version=5) for n in range(100)]
        control.members[-1].applied_version = 3
        result = await self.run_command("status", control=[control.address])
        self.assertRegex(result.stdout, r"c099 +c +live +5 +3 +2 ")
        self.assertIn("lagging: b1, c099", result.stdout)
        self.assertIn("... and 62 more", result.stdout)

    async def test_errors_of_control(self):
        control = await self.start_control()
        cases = {
            Status.UNIMPLEMENTED: ExitStatus.ERROR,
            Status.INTERNAL: ExitStatus.UNAVAILABLE,
        }
        for code, status in cases.items():
            control.status_error = code
            result = await self.run_command("status", control=[control.address])
            self.assertEqual(result.status, status)
            self.assertIn(code.name, result.stderr)

    async def test_server_of_another_protocol_is_an_error_not_a_traceback(self):
        address = await self.start_raw(b"HTTP/1.1 400 Bad Request\r\n\r\n")
        result = await self.run_command("status", "--timeout", "2", control=[address])
        self.assertEqual(result.status, ExitStatus.UNAVAILABLE)
        self.assertIn(address, result.stderr)


class QueryTest(CommandTest):
    """Guards against responses and refusals that the command reports wrongly to the operator."""

    async def test_options_replace_keys_of_the_json(self):
        entry = await self.start_entry()
        entry.answer = (200, {"request_id": "r-1", "coverage": 0.5, "missing": [[0, 5]]})
        result = await self.run_command(
            *("query", '{"class": "x", "tenant": "t", "query": "q"}', "--class", "enquiry"),
            *("--low", "3", "--entry", entry.address),
        )
        self.assertEqual(result.status, ExitStatus.SUCCESS)
        expected = {"class": "enquiry", "tenant": "t", "query": "q", "low": 3}
        self.assertEqual(entry.bodies, [expected])
        self.assertIn("missing: [[0, 5]]", result.stdout)

    async def test_entry_of_the_control_instance_is_the_default(self):
        entry = await self.start_entry()
        control = await self.start_control()
        args = ("query", "-", "--json")
        body = b'{"class": "c", "tenant": "t", "query": "q"}'
        result = await self.run_command(*args, control=[control.address], stdin=body)
        self.assertEqual(result.status, ExitStatus.NOT_FOUND)
        control.members[0].member.entry_address = entry.address
        result = await self.run_command(*args, control=[control.address], stdin=body)
        self.assertEqual(result.data["entry"], entry.address)

    async def test_refusals_have_their_exit_statuses(self):
        entry = await self.start_entry()
        cases = {
            "malformed": ExitStatus.INVALID_INPUT,
            "unknown_class": ExitStatus.NOT_FOUND,
            "not_current": ExitStatus.UNAVAILABLE,
            "coverage_too_low": ExitStatus.ERROR,
        }
        args = ("query", "--class", "c", "--tenant", "t", "--query", "q", "--entry", entry.address)
        for code, status in cases.items():
            entry.answer = (503, {"code": code, "message": "m", "ran": "not_run"})
            result = await self.run_command(*args)
            self.assertEqual(result.status, status)
            self.assertIn(f"{code}: m (ran: not_run", result.stderr)

    async def test_no_answer_is_unknown_and_not_sent_again(self):
        entry = await self.start_entry()
        args = ("query", "--class", "c", "--tenant", "t", "--query", "q", "--json")
        entry.answer = (200, None)
        result = await self.run_command(*args, "--entry", entry.address)
        self.assertEqual((result.status, result.data["ran"]), (ExitStatus.UNAVAILABLE, "unknown"))
        self.assertEqual(len(entry.bodies), 1)
        entry.answer = (502, "<html>")
        result = await self.run_command(*args, "--entry", entry.address)
        self.assertEqual(result.data["code"], "entry_bad_answer")
        result = await self.run_command(*args, "--entry", f"{LOOPBACK}:{find_free_port()}")
        self.assertEqual((result.status, result.data["ran"]), (ExitStatus.UNAVAILABLE, "not_run"))

    async def test_bad_input_is_refused_before_sending(self):
        entry = await self.start_entry()
        for body, part in (("{", "not JSON"), ("[]", "object"), ('{"class": "c"}', "--tenant")):
            result = await self.run_command("query", body, "--entry", entry.address)
            self.assertEqual(result.status, ExitStatus.INVALID_INPUT)
            self.assertIn(part, result.stderr)
        self.assertEqual(entry.bodies, [])


class ExplainTest(CommandTest):
    """Guards against reporting a request as unknown when a process that may know it is silent."""

    async def test_all_entries_and_dispatch_addresses_are_asked(self):
        control = await self.start_control()
        entries = [await self.start_entry(), await self.start_entry()]
        for member, entry in zip(control.members, entries, strict=True):
            member.member.entry_address = entry.address
        dispatch = await self.start_entry()
        attempts = [{"target": "t-a", "why": "primary"}, {"target": "t-b", "why": "hedge"}]
        trace = {"code": "ok", "attempts": attempts, "missing": [[0, 5]]}
        entries[1].traces_by_path = {"/v1/explain/r%2F1": trace}
        dispatch.traces_by_path = {"/explain/r%2F1": {"sent": 1}}
        args = ("explain", "r/1", "--dispatch-status", dispatch.address)
        result = await self.run_command(*args, control=[control.address])
        self.assertEqual(result.status, ExitStatus.SUCCESS)
        self.assertRegex(result.stdout, r"target +why\n +t-a +primary\n +t-b +hedge\n")
        self.assertRegex(result.stdout, r"missing:\n +-\n +0\n +5\n")
        self.assertIn("sent: 1", result.stdout)

    async def test_a_silent_entry_does_not_delay_a_trace_that_is_found(self):
        control = await self.start_control()
        entry = await self.start_entry()
        entry.traces_by_path = {"/v1/explain/r-1": {"code": "ok"}}
        control.members[0].member.entry_address = await self.start_raw(b"")
        control.members[1].member.entry_address = entry.address
        started = time.monotonic()
        result = await self.run_command("explain", "r-1", control=[control.address])
        self.assertEqual(result.status, ExitStatus.SUCCESS)
        self.assertLess(time.monotonic() - started, 5)

    async def test_unknown_and_not_answered_differ(self):
        control = await self.start_control()
        entry = await self.start_entry()
        control.members[0].member.entry_address = entry.address
        result = await self.run_command("explain", "r-1", control=[control.address])
        self.assertEqual(result.status, ExitStatus.NOT_FOUND)
        down = f"{LOOPBACK}:{find_free_port()}"
        control.members[1].member.entry_address = down
        result = await self.run_command("explain", "r-1", "--json", control=[control.address])
        self.assertEqual(result.status, ExitStatus.UNAVAILABLE)
        self.assertIn(down, result.data["not_answered"][0])

    async def test_given_entry_needs_no_control(self):
        entry = await self.start_entry()
        entry.traces_by_path = {"/v1/explain/r-1": {"code": "ok"}}
        down = f"{LOOPBACK}:{find_free_port()}"
        for control in ((), (down,)):
            result = await self.run_command(
                "explain", "r-1", "--entry", entry.address, control=control
            )
            self.assertEqual(result.status, ExitStatus.SUCCESS)
