"""Tests that a request runs at most once for each Idempotency-Key."""

import asyncio
import json
import types
import unittest

from flamingostack.entry.once import Submission, SubmitAnswer, decode_record, make_body_hash
from flamingostack.entry.refusals import EntryReason
from flamingostack.entry.single import SendKind, SendOutcome
from flamingostack.generated import messages_pb2 as pb
from flamingostack.store import StoreFailure, StoreReason
from tests.entry.fakes import EntryHarness, FakeStore, answer, refuse

KEY = "once/k"
MAX_FAULTS = 2
MAX_BACKOFFS = 3
# "lost_before" loses the request, "lost_after" the reply; a "late" write takes effect later.
WRITE_FAULTS = ("lost_before", "lost_after", "late", "down")
FAULTS_BY_OPERATION = {
    "create": WRITE_FAULTS,
    "replace": WRITE_FAULTS,
    "delete": WRITE_FAULTS,
    "get": ("down",),
    "send": ("not_run", "unknown_ran", "unknown_not_run"),
}


class ChoiceReplayer:
    """Replays a list of choices, then takes first options; lists are enumerated depth first."""

    def __init__(self, choices: list[int]) -> None:
        self.choices = choices
        self.option_counts: list[int] = []

    def choose(self, options: list):
        place = len(self.option_counts)
        self.option_counts.append(len(options))
        if place == len(self.choices):
            self.choices.append(0)
        return options[self.choices[place]]

    def next_choices(self) -> list[int] | None:
        """Return the choices of the next run, or None after the last one."""
        choices = self.choices[: len(self.option_counts)]
        while choices and choices[-1] + 1 == self.option_counts[len(choices) - 1]:
            choices.pop()
        return choices[:-1] + [choices[-1] + 1] if choices else None


@types.coroutine
def schedule(name: str, act):
    """Yield an operation to the scheduler and return the result that it sends back."""
    return (yield name, act)


class ScheduledStore(FakeStore):
    """A store whose operations take effect when the scheduler runs them."""

    async def get(self, key):
        return await schedule("get", lambda: self.do_get(key))

    async def create(self, key, value):
        return await schedule("create", lambda: self.do_write(key, value, 0))

    async def replace(self, key, value, version):
        return await schedule("replace", lambda: self.do_write(key, value, version))

    async def delete(self, key, version):
        return await schedule("delete", lambda: self.do_delete(key, version))


class SimulatedProcess:
    """An entry process that handles one attempt of the caller with the same key."""

    def __init__(self, simulation: "Simulation", name: str) -> None:
        self.simulation = simulation
        self.name = name
        self.answers: list[SubmitAnswer] = []
        self.runs = 0
        self.backoff_count = 0
        self.is_crashed = False
        self.submission = Submission(
            store=simulation.store,
            key=KEY,
            attempt=name,
            body_hash="same",
            send=lambda: schedule("send", self.run_at_target),
            back_off=self.back_off,
            answer=self.record_answer,
        )
        self.coroutine = self.submission.run()
        self.operation = None
        self.resume(None)

    def record_answer(self, given: SubmitAnswer) -> None:
        self.answers.append(given)
        if given.reason is EntryReason.OVERLOADED:
            # "Not run" is a correct answer only once the record of this attempt is gone.
            found = self.simulation.store.objects.get(KEY)
            assert found is None or decode_record(found.value).attempt != self.name

    async def back_off(self, _tries: int) -> bool:
        self.backoff_count += 1
        return self.backoff_count <= MAX_BACKOFFS

    def run_at_target(self) -> SendOutcome:
        self.runs += 1
        return SendOutcome(SendKind.RAN, body=b'"%s"' % self.name.encode())

    def resume(self, result) -> None:
        try:
            self.operation = self.coroutine.send(result)
        except StopIteration:
            self.operation = None

    def step(self, fault: str) -> None:
        _, act = self.operation
        match fault:
            case "":
                result = act()
            case "crash":
                self.is_crashed = True
                self.operation = None
                self.coroutine.close()
                return
            case "deadline":
                if not self.answers:
                    self.answers.append(self.submission.answer_at_deadline())
                    self.submission._is_answered = True
                return
            case "down":
                result = StoreFailure(StoreReason.UNAVAILABLE)
            case "lost_after":
                act()
                result = StoreFailure(StoreReason.OUTCOME_UNKNOWN)
            case "late":
                self.simulation.late.append(act)
                result = StoreFailure(StoreReason.OUTCOME_UNKNOWN)
            case "lost_before":
                result = StoreFailure(StoreReason.OUTCOME_UNKNOWN)
            case "not_run":
                result = SendOutcome(SendKind.NOT_RUN)
            case _:
                if fault == "unknown_ran":
                    act()
                result = SendOutcome(SendKind.UNKNOWN)
        self.resume(result)


class Simulation:
    """One run of two processes, with the order of operations and the faults from the replayer.

    `late` holds writes that take effect after their caller got an unknown outcome.
    """

    def __init__(self, replayer: ChoiceReplayer) -> None:
        self.replayer = replayer
        self.store = ScheduledStore()
        self.late: list = []
        self.faults = 0
        self.processes = [SimulatedProcess(self, "p"), SimulatedProcess(self, "q")]

    def run(self) -> None:
        while True:
            options = [
                (process, fault)
                for process in self.processes
                if process.operation
                for fault in self.list_faults(process)
            ]
            if not options:
                break
            options += [(None, act) for act in self.late]
            process, fault = self.replayer.choose(options)
            if process is None:
                self.late.remove(fault)
                fault()
            else:
                self.faults += fault != ""
                process.step(fault)
        for act in self.late:
            act()

    def list_faults(self, process: SimulatedProcess) -> tuple[str, ...]:
        if self.faults >= MAX_FAULTS:
            return ("",)
        deadline = () if process.answers else ("deadline",)
        return ("", "crash", *deadline, *FAULTS_BY_OPERATION[process.operation[0]])


class InterleavingsTest(unittest.TestCase):
    """Guards against a second run and a wrong answer, for any order of operations and faults.

    Either could follow from lost requests, lost replies, writes that take effect late, deadlines
    and crashes while two processes handle the same key.
    """

    def check(self, simulation: Simulation) -> None:
        choices_made = simulation.replayer.choices
        runs = sum(process.runs for process in simulation.processes)
        self.assertLessEqual(runs, 1, choices_made)
        for process in simulation.processes:
            self.assertTrue(process.is_crashed or process.answers, choices_made)
            for item in process.answers:
                if item.reason is None:
                    self.assertEqual(runs, 1, choices_made)
                elif item.reason.ran == "not_run":
                    self.assertEqual(process.runs, 0, choices_made)
        self.check_third_attempt(simulation, runs)

    def check_third_attempt(self, simulation: Simulation, runs: int) -> None:
        third = SimulatedProcess(simulation, "r")
        while third.operation:
            third.step("")
        self.assertLessEqual(runs + third.runs, 1, simulation.replayer.choices)
        reason = third.answers[0].reason
        if not simulation.faults:
            self.assertIsNone(reason, simulation.replayer.choices)
        if reason is None:
            body = json.loads(third.answers[0].body)
            ran = [item.name for item in (*simulation.processes, third) if item.runs]
            self.assertEqual([body], ran, simulation.replayer.choices)

    def test_every_interleaving_of_two_processes_with_two_faults(self):
        choices: list[int] | None = []
        count = 0
        while choices is not None:
            replayer = ChoiceReplayer(choices)
            simulation = Simulation(replayer)
            simulation.run()
            self.check(simulation)
            choices = replayer.next_choices()
            count += 1
        self.assertGreater(count, 10_000)


class SubmitTest(unittest.IsolatedAsyncioTestCase):
    """Guards against submits that run twice, lose their outcome, or have a wrong `ran`.

    The causes are retries by the caller, refusals by targets and failures of the store.
    """

    async def test_second_attempt_gets_the_recorded_outcome(self):
        async with EntryHarness() as harness:
            status, first = await harness.submit()
            self.assertEqual((status, first["ran"]), (200, "ran"))
            status, second = await harness.submit()
            self.assertEqual((status, second["outcome"]), (200, first["outcome"]))
            self.assertTrue(second["recorded_earlier"])
            self.assertEqual(len(harness.requests), 1)
            self.assertTrue(harness.requests[0].once_key)

    async def test_other_body_is_a_conflict(self):
        async with EntryHarness() as harness:
            await harness.submit(body={"a": 1, "b": 2})
            status, result = await harness.submit(body={"b": 2, "a": 1})
            self.assertEqual(status, 200)
            status, result = await harness.submit(body={"a": 2})
            self.assertEqual((status, result["code"]), (422, "key_conflict"))

    async def test_unknown_send_is_not_sent_again(self):
        async with EntryHarness() as harness:
            harness.behave(lambda item: (0, refuse(item, pb.SUB_STATUS_FAILED)))
            for _ in range(2):
                status, result = await harness.submit()
                self.assertEqual((status, result["code"]), (409, "outcome_unknown"))
                self.assertEqual(result["ran"], "unknown")
            self.assertEqual(len(harness.requests), 1)

    async def test_not_run_is_tried_at_another_replica(self):
        async with EntryHarness() as harness:
            refused: list[str] = []

            def behave(item):
                if len(refused) < 2:
                    refused.append(item.target)
                    return 0, refuse(item, pb.SUB_STATUS_NOT_RUN, "not_owner")
                return 0, answer(item)

            harness.behave(behave)
            status, _ = await harness.submit()
            self.assertEqual(status, 200)
            self.assertEqual(len({item.target for item in harness.requests}), 3)

    async def test_shed_is_not_run_and_leaves_no_record(self):
        async with EntryHarness() as harness:
            harness.behave(lambda item: (0, refuse(item, pb.SUB_STATUS_TARGET_SHED, "shed")))
            status, result = await harness.submit()
            self.assertEqual((status, result["code"]), (503, "overloaded"))
            self.assertEqual((len(harness.requests), harness.store.objects), (1, {}))

    async def test_not_run_is_unknown_while_the_record_cannot_be_deleted(self):
        async with EntryHarness() as harness:
            harness.behave(lambda item: (0, refuse(item, pb.SUB_STATUS_TARGET_SHED, "shed")))
            harness.store.faults = ["", "lost_before", "down", "down"]
            _, result = await harness.submit()
            self.assertEqual(result["code"], "outcome_unknown")
            await harness.server.submits.settle()
            self.assertEqual(harness.store.objects, {})

    async def test_store_down_refuses_without_sending(self):
        async with EntryHarness() as harness:
            harness.store.is_down = True
            status, result = await harness.submit()
            self.assertEqual((status, result["code"]), (503, "store_unavailable"))
            self.assertEqual((result["ran"], harness.requests), ("not_run", []))

    async def test_lost_create_is_resolved_by_reading_back(self):
        for fault in ("lost_before", "lost_after"):
            async with EntryHarness() as harness:
                harness.store.faults = [fault]
                status, _ = await harness.submit()
                self.assertEqual((status, len(harness.requests)), (200, 1))

    async def test_outcome_is_recorded_before_the_process_ends(self):
        async with EntryHarness() as harness:
            harness.store.faults = ["", "down", "lost_before", "down", "down"]
            status, first = await harness.submit()
            self.assertEqual(status, 200)
            self.assertEqual(await harness.server.submits.settle(), 0)
            _, second = await harness.submit()
            self.assertEqual(second["outcome"], first["outcome"])
            self.assertEqual(len(harness.requests), 1)

    async def test_late_outcome_is_recorded_for_the_next_attempt(self):
        async with EntryHarness() as harness:
            harness.behave(lambda item: (0.15, answer(item)))
            status, result = await harness.submit(deadline_ms=60)
            self.assertEqual((status, result["code"]), (409, "outcome_unknown"))
            for _ in range(100):
                await asyncio.sleep(0.05)
                status, _ = await harness.submit(deadline_ms=60)
                if status == 200:
                    break
            self.assertEqual((status, len(harness.requests)), (200, 1))

    async def test_rate_of_writes_is_bounded(self):
        async with EntryHarness() as harness:
            write_limit = harness.server.submits.write_limit
            # The clock is stopped, so that a slow machine adds no tokens during the first submit.
            stopped_at = write_limit._now()
            write_limit._now = lambda: stopped_at
            write_limit.try_acquire(write_limit.per_second - 2)
            self.assertEqual((await harness.submit("a"))[0], 200)
            status, result = await harness.submit("b")
            self.assertEqual((status, result["code"]), (503, "overloaded"))
            # A repeated request that has run must not be refused as "not run".
            status, result = await harness.submit("a")
            self.assertEqual((status, result["recorded_earlier"]), (200, True))

    def test_body_hash_depends_on_position_and_value(self):
        hashes = [make_body_hash(1, b'{"a": 1}'), make_body_hash(1, b'{ "a":1}')]
        self.assertEqual(hashes[0], hashes[1])
        self.assertNotEqual(hashes[0], make_body_hash(2, b'{"a": 1}'))
