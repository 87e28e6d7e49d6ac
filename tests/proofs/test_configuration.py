"""Invariant 10: an accepted configuration takes effect everywhere within seconds, and stays."""

from __future__ import annotations

import asyncio

from flamingostack.generated import messages_pb2 as pb
from standins.launcher import CALL_ERRORS, Cluster
from tests.proofs.support import (
    IN_FORCE_WITHIN_S,
    SHORT_LEASES,
    Asked,
    Load,
    ProofCase,
    ask,
    now_ns,
    until,
    until_balanced,
    whole_share,
)

QUERIES_PER_S = 40
RACES = 6
# Queries that wait in the sockets of a frozen instance and are read when it wakes.
WAITING_QUERIES = 20
READY_WITHIN_S = 20.0
# Without the document of its peers an instance never gets ready; the check only has to see that.
NOT_READY_WITHIN_S = 4.0
SETTINGS = {"fleet": SHORT_LEASES, "entry": {"drain_notice_ms": 300}}
# Below the store client's timeout of 800 ms, so that each call succeeds, late.
SLOW_STORE = {"delay_ms": 500, "jitter_ms": 200}


async def use_preset(
    cluster: Cluster, name: str, instance: str, change_id: str = "", expected_version: int = 0
) -> pb.OperateReply:
    """Put a stored preset in force through an instance."""
    request = pb.OperateRequest(
        use_preset=pb.UsePreset(name=name),
        change_id=change_id,
        expected_version=expected_version,
    )
    return await cluster.operate(request, instance_id=instance)


async def read_document(cluster: Cluster) -> pb.FleetDocument:
    """Read the document past the store's API."""
    return pb.FleetDocument.FromString(await cluster.read_store_object("fleet/document"))


def find_stale(asked: list[Asked], preset: str) -> list[str]:
    """Return the answers that name another preset."""
    return [
        f"{item.instance} answered on {item.answer.body['preset']} instead of {preset}"
        for item in asked
        if item.answer.status == 200 and item.answer.body["preset"] != preset
    ]


class ConfigurationCase(ProofCase):
    """Common steps of the proofs about presets."""

    async def start_with_presets(self, mutant: str = "", **options: object) -> Cluster:
        """Return a cluster with all three presets stored, and `ordinary` in force."""
        cluster = await self.start(mutant, **options)
        for name in ("peak", "maintenance"):
            await cluster.put_preset(name)
        return cluster

    async def find_other_presets(self, cluster: Cluster, preset: str) -> list[str]:
        """Ask every control and every entry process for its preset; return what differs."""
        problems = []
        for instance in cluster.instances:
            in_force = (await cluster.fetch_status(instance)).document.preset.name
            if in_force != preset:
                problems.append(f"{instance} has {in_force} instead of {preset}")
            problems += find_stale([await ask(cluster, "q", instance)], preset)
        return problems


class OutageTest(ConfigurationCase):
    """Guards against an accepted preset that is lost with the processes that knew it."""

    async def replace_all(self, mode: str, mutant: str = "") -> list[str]:
        """Replace every instance while the store is down; return what was wrong."""
        cluster = await self.start_with_presets(mutant, settings=SETTINGS)
        first = {item: (await cluster.fetch_status(item)).own_member for item in cluster.instances}
        reply = await cluster.use_preset("peak")
        self.assertEqual(reply.code, "accepted")
        accepted_ns = now_ns()
        revision = (await read_document(cluster)).preset.revision
        within_s = NOT_READY_WITHIN_S if mutant else READY_WITHIN_S
        async with Load(cluster, QUERIES_PER_S) as load:
            await cluster.set_store_outage(mode)
            for instance in list(cluster.instances):
                await cluster.replace(instance, graceful=True)
                try:
                    await self.until_serves(cluster, instance, revision, within_s)
                except AssertionError as error:
                    return [str(error)]
            await cluster.set_store_outage("none")
            await until_balanced(cluster)
        problems = find_stale(load.since(accepted_ns), "peak")
        problems += await self.find_other_presets(cluster, "peak")
        for instance in cluster.instances:
            status = await cluster.fetch_status(instance)
            if status.own_member.incarnation == first[instance].incarnation:
                problems.append(f"{instance} was not replaced")
        if (await read_document(cluster)).preset.revision != revision:
            problems.append("the store has another preset")
        self.report(
            f"{mode}: {len(load.asked)} queries, {whole_share(load.asked):.2%} whole, "
            f"{len(problems)} problems"
        )
        after = await use_preset(cluster, "maintenance", next(iter(cluster.instances)))
        self.assertEqual(after.code, "accepted")
        return problems + await self.find_other_presets(cluster, "maintenance")

    async def until_serves(
        self, cluster: Cluster, instance: str, revision: int, within_s: float
    ) -> None:
        """Wait until an instance gives whole answers and has a revision of the preset."""

        async def serves() -> bool:
            if not (await ask(cluster, "q", instance)).is_whole:
                return False
            try:
                return (await cluster.fetch_status(instance)).document.preset.revision == revision
            except CALL_ERRORS:
                return False

        await until(serves, f"{instance} serves with revision {revision}", within_s)
        await until_balanced(cluster)

    async def test_preset_survives_the_replacement_of_all_in_an_outage(self):
        """Guards against new processes that need the store, or wait for its answers."""
        modes = ("refuse", "hang")
        problems = await asyncio.gather(*(self.replace_all(mode) for mode in modes))
        self.assertEqual(problems, [[], []])

    async def test_check_fails_if_peers_give_no_document(self):
        """Guards against a check that cannot fail."""
        self.assertNotEqual(await self.replace_all("refuse", mutant="no-peer-document"), [])


class OperatorsTest(ConfigurationCase):
    """Guards against changes that are lost, made twice, or overwritten unseen."""

    async def race(self, mutant: str = "") -> list[str]:
        """Let two operators race repeatedly; return what was wrong."""
        cluster = await self.start_with_presets(mutant, settings=SETTINGS)
        instances = list(cluster.instances)
        problems = []
        for number in range(RACES):
            before = await read_document(cluster)
            names = {f"peak-{number}": "peak", f"maintenance-{number}": "maintenance"}
            replies = await asyncio.gather(
                *(
                    use_preset(cluster, name, instances[item], change_id, before.version)
                    for item, (change_id, name) in enumerate(names.items())
                )
            )
            codes = sorted(reply.code for reply in replies)
            if codes != ["accepted", "conflict"]:
                problems.append(f"race {number}: {codes}")
                continue
            loser = next(reply for reply in replies if reply.code == "conflict")
            after = await read_document(cluster)
            made = [item.change_id for item in after.recent_changes if item.change_id in names]
            if made != [loser.winner.change_id]:
                problems.append(f"race {number}: {made} made, {loser.winner.change_id} told")
            if after.preset.revision != before.preset.revision + 1:
                problems.append(f"race {number}: {after.preset.revision} revisions")
            problems += await self.find_other_presets(cluster, names[made[0]])
        return problems

    async def repeat_change(self, mutant: str = "") -> list[str]:
        """Repeat a change whose store answer was lost through another instance."""
        cluster = await self.start_with_presets(mutant, settings=SETTINGS)
        problems = []
        for number, name in enumerate(("peak", "maintenance", "peak")):
            before = await read_document(cluster)
            await cluster.inject_store_fault("lose", writes=1, prefix="fleet/document")
            replies = [
                await use_preset(cluster, name, instance, change_id=f"change-{number}")
                for instance in cluster.instances
            ]
            after = await read_document(cluster)
            made = [item.change_id for item in after.recent_changes]
            if {(reply.code, reply.version) for reply in replies} != {("accepted", after.version)}:
                problems.append(f"{[(reply.code, reply.version) for reply in replies]}")
            if made.count(f"change-{number}") != 1:
                problems.append(f"change-{number} was made {made.count(f'change-{number}')} times")
            if after.preset.revision != before.preset.revision + 1:
                problems.append(f"the revision rose to {after.preset.revision}")
            problems += await self.find_other_presets(cluster, name)
        self.assertEqual((await cluster.fetch_store_counters())["lost_answers"], 3)
        return problems + await self.repeat_after_death(cluster)

    async def repeat_after_death(self, cluster: Cluster) -> list[str]:
        """Repeat a change through others after its instance died between write and reply."""
        first, *others = cluster.instances
        before = await read_document(cluster)
        await cluster.inject_store_fault("slow", delay_ms=300)
        change = asyncio.create_task(use_preset(cluster, "maintenance", first, "died"))
        # The third call of the change is the write, which takes effect after 0.9 s.
        await asyncio.sleep(0.75)
        await cluster.kill(first, "control")
        await asyncio.gather(change, return_exceptions=True)

        async def is_written() -> bool:
            return (await read_document(cluster)).version > before.version

        await until(is_written, "the write of the instance that died")
        await cluster.inject_store_fault("slow")
        codes = [(await use_preset(cluster, "maintenance", item, "died")).code for item in others]
        after = await read_document(cluster)
        made = [item.change_id for item in after.recent_changes].count("died")
        cluster.start_instance(first, "control")
        await cluster.wait_for_control()
        await cluster.wait_ready()
        problems = await self.find_other_presets(cluster, "maintenance")
        if codes != ["accepted"] * len(others) or made != 1:
            problems.append(f"after a death: {codes}, was made {made} times")
        return problems

    async def test_one_of_two_operators_wins_and_a_repeated_change_is_made_once(self):
        """Guards against a change that its operator never saw, or that is made again."""
        problems = await asyncio.gather(self.race(), self.repeat_change())
        self.assertEqual(problems, [[], []])

    async def test_check_fails_without_expected_version_or_change_ids(self):
        """Guards against checks that cannot fail."""
        raced, repeated = await asyncio.gather(
            self.race("no-expected-version"),
            self.repeat_change("no-change-ids"),
        )
        self.assertTrue(any("'accepted', 'accepted'" in item for item in raced), raced)
        self.assertTrue(any("was made" in item for item in repeated), repeated)


class EverywhereTest(ConfigurationCase):
    """Guards against an instance that serves on an older preset after a change was accepted."""

    async def change_during_freeze(
        self, cluster: Cluster, preset: str, frozen: str, process: str | None
    ) -> list[str]:
        """Change the preset while a process is frozen; return what it answered wrongly later."""
        other = next(item for item in cluster.instances if item != frozen)
        cluster.pause(frozen, process)
        waiting = [
            asyncio.create_task(ask(cluster, f"w{number}", frozen))
            for number in range(WAITING_QUERIES)
        ]
        async with Load(cluster, QUERIES_PER_S, cluster.instances) as load:
            reply = await use_preset(cluster, preset, other)
            accepted_ns = now_ns()
            # All waiting queries have to be in the frozen process's sockets.
            await asyncio.sleep(0.2)
            cluster.resume(frozen, process)
            asked = await asyncio.gather(*waiting)
            await until_balanced(cluster)
        # A frozen control process leaves the entry process its lease, so it answers some before.
        woken = [item for item in asked if item.ended_ns > accepted_ns]
        problems = find_stale([*woken, *load.since(accepted_ns)], preset)
        if reply.code != "accepted":
            problems.append(f"{reply.code} {reply.message} {list(reply.waiting_for)}")
        served = sum(item.answer.status == 200 for item in woken)
        self.report(
            f"{process or 'instance'} frozen: accepted after {reply.elapsed_ms} ms, "
            f"{served} of {len(woken)} queries answered that waited, {len(problems)} problems"
        )
        return problems

    async def test_woken_instance_does_not_serve_on_the_old_preset(self):
        """Guards against a process that goes on with what it knew before it was frozen."""
        cluster = await self.start_with_presets(settings=SETTINGS)
        steps = (("peak", None), ("maintenance", "entry"), ("ordinary", "control"))
        for preset, process in steps:
            found = await self.change_during_freeze(cluster, preset, "harbour-1", process)
            self.assertEqual(found, [], process)
            self.assertEqual(await self.find_settled(cluster, preset), [])

    async def find_settled(self, cluster: Cluster, preset: str) -> list[str]:
        """Wait until all instances are ready, then return those with another preset."""
        await cluster.wait_ready()
        return await self.find_other_presets(cluster, preset)

    async def test_check_fails_without_lease(self):
        """Guards against a check that cannot fail."""
        cluster = await self.start_with_presets("endless-lease", settings=SETTINGS)
        found = await self.change_during_freeze(cluster, "peak", "harbour-1", None)
        self.assertTrue(any("answered on ordinary" in item for item in found), found)

    async def test_change_with_a_slow_store_or_without_it(self):
        """Guards against changes that take long with a slow store, or miss a cut off instance."""
        cluster = await self.start_with_presets(proxied=["store"])
        instances = list(cluster.instances)
        async with Load(cluster, QUERIES_PER_S, instances) as load:
            await cluster.inject_store_fault("slow", **SLOW_STORE)
            reply = await use_preset(cluster, "peak", instances[1])
            accepted_ns = now_ns()
            self.assertEqual(reply.code, "accepted", reply)
            self.assertLessEqual(reply.elapsed_ms / 1000, IN_FORCE_WITHIN_S)
            self.assertEqual(await self.find_other_presets(cluster, "peak"), [])
            await cluster.inject_store_fault("slow")
            changed_ns = now_ns()
            await cluster.inject_link_fault([f"{instances[2]}>store"], "pause", on=True)
            cut = await use_preset(cluster, "maintenance", instances[0])
            cut_accepted_ns = now_ns()
            self.assertEqual(cut.code, "accepted", cut)
            self.assertLessEqual(cut.elapsed_ms / 1000, IN_FORCE_WITHIN_S)
            # Longer than a lease, so that the cut off instance lives on its peers' contact.
            await asyncio.sleep(4)
        between = [item for item in load.since(accepted_ns) if item.sent_ns < changed_ns]
        self.assertEqual(find_stale(between, "peak"), [])
        self.assertEqual(find_stale(load.since(cut_accepted_ns), "maintenance"), [])
        self.report(
            f"accepted after {reply.elapsed_ms} ms with a slow store, {cut.elapsed_ms} ms with an "
            f"instance cut off from it; {len(load.asked)} queries, "
            f"{whole_share(load.asked):.2%} whole"
        )
