"""Faults of the soak, drawn from the seed; they come in series and overlap."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable

from standins.proxy import DIRECTIONS, Listener, inject_fault

from .instances import RESTART_S, Instance
from .targets import SoakTarget
from .world import DOMAINS, SERVICES, World, process_name

TARGET_FAULTS = ("slow", "hang", "lose", "fail", "cut", "garbage", "twice", "shed")
FAULTS_PER_S = 0.7
# A process that has just started is not held to bounds in time.
START_S = 2.0
# After a path is free again, for what was under way.
SETTLE_S = 1.0

Fault = Callable[[World, random.Random, float], Awaitable[str]]


async def hold(world: World, names: list[str], seconds: float) -> None:
    """Note a fault on instances, or at targets, for some time."""
    intervals = world.ledger.disturb(names, world.now())
    try:
        await asyncio.sleep(seconds)
    finally:
        for interval in intervals:
            interval[1] = world.now() + SETTLE_S


def name_processes(instances: list[Instance]) -> list[str]:
    """Return the names under which faults of instances and their processes are noted."""
    names = [instance.name for instance in instances]
    return names + [process_name(name) for name in names]


async def harm_path(listener: Listener, rng: random.Random, seconds: float) -> str:
    """Cut, silence, block one way, hold or delay the connections through a proxy."""
    kind = rng.choice(("cut", "refuse", "silent", "drop", "pause", "delay"))
    body: dict = {"fault": kind}
    end = {"fault": kind, "on": False}
    if kind == "drop":
        body["direction"] = rng.choice(DIRECTIONS)
        end = {"fault": "drop", "direction": ""}
    if kind == "delay":
        body |= {"delay_ms": rng.uniform(20, 200), "jitter_ms": 30}
        end = {"fault": "delay", "delay_ms": 0, "jitter_ms": 0}
    await inject_fault(listener, body)
    if kind == "refuse":
        listener.cut()
    try:
        await asyncio.sleep(seconds)
    finally:
        if kind not in ("cut", "silent"):
            await inject_fault(listener, end)
    return kind


async def store_path(world: World, rng: random.Random, seconds: float) -> str:
    """Harm the path of some instances to the store."""
    chosen = rng.sample(world.instances, rng.randint(1, max(len(world.instances) // 3, 1)))
    names = [instance.name for instance in chosen]
    held = asyncio.create_task(hold(world, names, seconds))
    kinds = await asyncio.gather(
        *(harm_path(instance.store_proxy, rng, seconds) for instance in chosen)
    )
    await held
    return f"path to the store of {names}: {kinds}"


async def store_itself(world: World, rng: random.Random, seconds: float) -> str:
    """Stop the store, slow it, lose its answers, its history, or entries."""
    kind = rng.choice(("down", "silent", "slow", "lost", "history", "lapse"))
    store = world.store
    held = asyncio.create_task(hold(world, [i.name for i in world.instances], seconds))
    if kind == "down":
        store.go_down()
    store.is_silent = kind == "silent"
    store.delay_s = 0.3 if kind == "slow" else 0.0
    store.lost_share = 0.4 if kind == "lost" else 0.0
    if kind == "history":
        store.discard_history()
    lapsed = []
    if kind == "lapse":
        present = [t for t in world.targets if t.id in store.objects_by_kind["servers"]]
        lapsed = rng.sample(present, len(present) // 2)
        store.expire_objects("servers", [target.id for target in lapsed])
    await asyncio.sleep(1.5 if lapsed else seconds)
    store.is_down = store.is_silent = False
    store.delay_s = store.lost_share = 0.0
    for target in lapsed:
        if not target.is_draining:
            world.register(target)
    await held
    return f"store: {kind}"


async def targets(world: World, rng: random.Random, seconds: float) -> str:
    """Let some targets misbehave, or harm the paths to them."""
    serving = [t for t in world.targets if not t.is_draining]
    chosen = rng.sample(serving, rng.randint(1, 5))
    held = asyncio.create_task(hold(world, [t.id for t in chosen], seconds))
    if rng.random() < 0.4:
        paths = [harm_path(world.proxy_by_target[t.id], rng, seconds) for t in chosen]
        kinds = await asyncio.gather(*paths)
    else:
        kinds = [rng.choice(TARGET_FAULTS) for _ in chosen]
        for target, kind in zip(chosen, kinds, strict=True):
            target.fault, target.fault_share = kind, rng.choice((0.2, 1.0))
        await asyncio.sleep(seconds)
        for target in chosen:
            target.fault = ""
    await held
    return f"targets {[t.id for t in chosen]}: {kinds}"


async def cold_restart(world: World, rng: random.Random, seconds: float) -> str:
    """Crash a target and start it cold under a new id."""
    old = rng.choice([t for t in world.targets if not t.is_draining])
    held = asyncio.create_task(hold(world, [old.id], 2.0))
    old.is_draining = True
    await old.stop()
    await asyncio.sleep(0.5)
    world.unregister(old)
    await replace(world, old, old.service, is_cold=True)
    await held
    return f"target {old.id} started again cold"


async def replace(world: World, old: SoakTarget, service: str, is_cold: bool) -> SoakTarget:
    """Start a target at the address of one that has ended."""
    proxy = world.proxy_by_target[old.id]
    new = await world.add_target(service, old.domain, port=old.port, proxy=proxy)
    if is_cold:
        new.cold_until = world.now() + 3.0
        world.register(new)
    return new


async def drain(world: World, rng: random.Random, seconds: float) -> str:
    """Let a target leave; afterwards another service has its address."""
    old = rng.choice([t for t in world.targets if not t.is_draining])
    old.is_draining = True
    if rng.random() < 0.5:
        world.register(old)
    else:
        world.unregister(old)
    change = world.note("drain", old.id)
    await asyncio.sleep(5.0)
    world.unregister(old)
    held = asyncio.create_task(hold(world, [old.id], 0.1))
    await old.stop()
    change.undone_at = world.now()
    await held
    await asyncio.sleep(1.0)
    await replace(world, old, rng.choice(SERVICES), is_cold=False)
    # The service that it left has one target less; its failure domain gets one again.
    await world.add_target(old.service, old.domain)
    return f"target {old.id} of {old.service} drained, its address used again"


async def evacuate(world: World, rng: random.Random, seconds: float) -> str:
    """Take a failure domain out and back in."""
    domain = rng.choice(DOMAINS)
    if world.store.objects_by_kind.get("evacuations", {}).get(domain):
        return f"failure domain {domain} is evacuated already"
    world.store.put("evacuations", domain, {})
    change = world.note("evacuation", domain)
    await asyncio.sleep(6.0 + seconds)
    world.store.delete("evacuations", domain)
    change.undone_at = world.now()
    return f"failure domain {domain} evacuated"


async def configurations(world: World, rng: random.Random, seconds: float) -> str:
    """Write versions in quick succession."""
    count = rng.randint(1, 6)
    for _ in range(count):
        world.put_configuration()
        await asyncio.sleep(rng.uniform(0.05, 0.6))
    return f"{count} versions up to {world.version}"


async def terminate(world: World, rng: random.Random, seconds: float) -> str:
    """Stop instances one after the other, with overlaps."""
    chosen = rng.sample(world.instances, rng.randint(1, len(world.instances)))
    stops = []
    for instance in chosen:
        stops.append(asyncio.create_task(restart(world, instance, instance.terminate())))
        await asyncio.sleep(rng.uniform(0.2, 2.0))
    await asyncio.gather(*stops)
    return f"stopped {[i.name for i in chosen]}"


async def restart(world: World, instance: Instance, ending: Awaitable[None]) -> None:
    """End a process; the one after it is excused while it starts."""
    await ending
    await hold(world, [instance.name], RESTART_S + START_S)


async def kill(world: World, rng: random.Random, seconds: float) -> str:
    """Kill processes at the same moment."""
    chosen = rng.sample(world.instances, rng.randint(1, len(world.instances)))
    for instance in chosen:
        instance.kill()
    await hold(world, name_processes(chosen), RESTART_S + START_S)
    return f"killed {[i.name for i in chosen]}"


async def freeze(world: World, rng: random.Random, seconds: float) -> str:
    """Pause processes and let them go on."""
    chosen = rng.sample(world.instances, rng.randint(1, max(len(world.instances) // 2, 1)))
    held = asyncio.create_task(hold(world, name_processes(chosen), seconds))
    for instance in chosen:
        instance.send(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    for instance in chosen:
        instance.send(signal.SIGCONT)
    await held
    return f"froze {[i.name for i in chosen]}"


async def reload(world: World, rng: random.Random, seconds: float) -> str:
    """Change the settings file and send SIGHUP, several times."""
    chosen = rng.sample(world.instances, rng.randint(1, len(world.instances)))
    for _ in range(3):
        for instance in chosen:
            instance.bounds["cold_slack"] = rng.randint(1, 5)
            instance.write_settings()
            instance.send(signal.SIGHUP)
        await asyncio.sleep(0.3)
    return f"reloaded {[i.name for i in chosen]}"


FAULTS: tuple[Fault, ...] = (
    store_path,
    store_itself,
    targets,
    cold_restart,
    drain,
    evacuate,
    configurations,
    terminate,
    kill,
    freeze,
    reload,
)


async def run_faults(world: World, duration_s: float, log: Callable[[str], None]) -> None:
    """Start faults at drawn times until the duration is over, and wait for their ends."""
    rng = random.Random(world.rng.random())
    count = max(round(duration_s * FAULTS_PER_S), 4)
    began_at = world.now()
    starts = sorted(rng.uniform(0.5, duration_s) for _ in range(count))

    async def play(at: float, fault: Fault, own: random.Random) -> None:
        await asyncio.sleep(at)
        log(f"{world.now() - began_at:.2f} {fault.__name__} begins")
        done = await fault(world, own, own.uniform(0.5, 4.0))
        log(f"{world.now() - began_at:.2f} {fault.__name__} ends: {done}")

    async with asyncio.TaskGroup() as group:
        for at in starts:
            group.create_task(play(at, rng.choice(FAULTS), random.Random(rng.random())))
