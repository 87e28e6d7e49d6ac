"""Faults that the soak injects at random times drawn from the seed; they may overlap.

Each function in FAULTS injects one fault, waits until it has ended, and returns a description for
the fault log. `seconds` is the duration of faults that have a variable one.
"""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable

from flamingostack.gateway.readers import rank_instance
from standins.hostile import HOST as HOSTILE_HOST
from standins.hostile import HostileTarget
from standins.proxy import DIRECTIONS, Listener, inject_fault

from .callers import Caller
from .hostile import HostileCaller, make_disturbed_answer, play_answer
from .instances import RESTART_DELAY_S, Instance
from .targets import SoakTarget
from .tenants import LIMITED_TENANT, UNLIMITED_TENANT
from .world import DOMAINS, SERVICES, Environment, make_process_key

# Kinds of faulty responses, simulated by `SoakTarget`.
TARGET_FAULTS = ("slow", "hang", "lose", "fail", "cut", "garbage", "twice", "shed")
# Mean rate at which faults start.
FAULTS_PER_S = 0.7
# Deadlines don't apply to a process until this long after its start.
STARTUP_S = 2.0
# A limit of requests counts from this long after a target first named one.
LIMIT_SETTLE_S = 4.0
# Callers of a hot tenant, and how many requests each sends in a second while none is in flight.
HOT_CALLERS = 12
HOT_REQUESTS_PER_S = 40.0
# A fault counts until this long after its end, for requests and calls then in flight.
RECOVERY_SLACK_S = 1.0

Fault = Callable[[Environment, random.Random, float], Awaitable[str]]


async def record_fault(environment: Environment, names: list[str], seconds: float) -> None:
    """Wait for `seconds`, and record a fault on instances, processes or targets for that time.

    The recorded fault ends RECOVERY_SLACK_S later, also if the wait is cancelled.
    """
    intervals = environment.ledger.record_fault_start(names, environment.now())
    try:
        await asyncio.sleep(seconds)
    finally:
        for interval in intervals:
            interval[1] = environment.now() + RECOVERY_SLACK_S


def list_fault_names(instances: list[Instance]) -> list[str]:
    """Return the ledger's names for faults of the instances and of their processes."""
    names = [instance.name for instance in instances]
    return names + [make_process_key(name) for name in names]


async def disrupt_path(listener: Listener, rng: random.Random, seconds: float) -> str:
    """Inject a random fault into the connections through a proxy, and return its kind.

    Ends all but "cut" and "silent" after `seconds`; those two affect only the connections open at
    the start.
    """
    kind = rng.choice(("cut", "refuse", "silent", "drop", "pause", "delay"))
    body: dict = {"fault": kind}
    end_body = {"fault": kind, "on": False}
    if kind == "drop":
        body["direction"] = rng.choice(DIRECTIONS)
        end_body = {"fault": "drop", "direction": ""}
    if kind == "delay":
        body |= {"delay_ms": rng.uniform(20, 200), "jitter_ms": 30}
        end_body = {"fault": "delay", "delay_ms": 0, "jitter_ms": 0}
    await inject_fault(listener, body)
    if kind == "refuse":
        listener.cut()
    try:
        await asyncio.sleep(seconds)
    finally:
        if kind not in ("cut", "silent"):
            await inject_fault(listener, end_body)
    return kind


async def store_path(environment: Environment, rng: random.Random, seconds: float) -> str:
    """Inject faults into the connections of up to a third of the instances to the store."""
    chosen = rng.sample(
        environment.instances, rng.randint(1, max(len(environment.instances) // 3, 1))
    )
    names = [instance.name for instance in chosen]
    recording = asyncio.create_task(record_fault(environment, names, seconds))
    kinds = await asyncio.gather(
        *(disrupt_path(instance.store_proxy, rng, seconds) for instance in chosen)
    )
    await recording
    return f"path to the store of {names}: {kinds}"


async def store_itself(environment: Environment, rng: random.Random, seconds: float) -> str:
    """Inject a random fault into the store.

    The store refuses calls, doesn't respond, responds late, loses 40 % of its responses, loses its
    watch history, or loses the entries of half the targets at once, as missed heartbeats do.
    """
    kind = rng.choice(("down", "silent", "slow", "lost", "history", "lapse"))
    store = environment.store
    recording = asyncio.create_task(
        record_fault(environment, [i.name for i in environment.instances], seconds)
    )
    if kind == "down":
        store.go_down()
    store.is_silent = kind == "silent"
    store.delay_s = 0.3 if kind == "slow" else 0.0
    store.lost_share = 0.4 if kind == "lost" else 0.0
    if kind == "history":
        store.discard_history()
    expired = []
    if kind == "lapse":
        present = [t for t in environment.targets if t.id in store.objects_by_kind["servers"]]
        expired = rng.sample(present, len(present) // 2)
        store.expire_objects("servers", [target.id for target in expired])
    await asyncio.sleep(1.5 if expired else seconds)
    store.is_down = store.is_silent = False
    store.delay_s = store.lost_share = 0.0
    for target in expired:
        if not target.is_draining:
            environment.register(target)
    await recording
    return f"store: {kind}"


async def store_returns(environment: Environment, rng: random.Random, seconds: float) -> str:
    """Let the store be away, come back from a copy of `seconds` before, and be written again.

    Targets write their entries at once, operators theirs up to a second later.
    """
    store = environment.store
    if not environment.is_store_whole.is_set():
        return "store is away already"
    environment.is_store_whole.clear()
    store.save()
    lost_from = store.revision
    await asyncio.sleep(seconds)
    away_s, rewritten_s = rng.uniform(0.1, 1.5), rng.uniform(0.0, 1.0)
    names = [instance.name for instance in environment.instances]
    recording = asyncio.create_task(record_fault(environment, names, away_s + rewritten_s))
    store.go_down()
    await asyncio.sleep(away_s)
    lost = store.revision - lost_from
    before_by_kind = {kind: dict(items) for kind, items in store.objects_by_kind.items()}
    store.come_back()
    revived_by_kind = {
        kind: store.objects_by_kind.get(kind, {}).keys() - before_by_kind.get(kind, {}).keys()
        for kind in ("servers", "evacuations")
    }
    for name in revived_by_kind["servers"]:
        store.delete("servers", name)
    rewrite_missing(environment, "servers", before_by_kind)
    await asyncio.sleep(rewritten_s)
    for name in revived_by_kind["evacuations"]:
        store.delete("evacuations", name)
    rewrite_missing(environment, "evacuations", before_by_kind)
    if store.objects_by_kind["config"]["main"]["spec"]["version"] < environment.version:
        store.put("config", "main", before_by_kind["config"]["main"]["spec"])
    environment.is_store_whole.set()
    await recording
    return f"store came back in era {store.era} without {lost} changes"


def rewrite_missing(
    environment: Environment, kind: str, before_by_kind: dict[str, dict[str, dict]]
) -> None:
    """Write the objects of a kind again that the store has lost, or has as they were before."""
    present = environment.store.objects_by_kind.get(kind, {})
    for name, stored in before_by_kind.get(kind, {}).items():
        if name not in present or present[name]["spec"] != stored["spec"]:
            environment.store.put(kind, name, stored["spec"])


async def targets(environment: Environment, rng: random.Random, seconds: float) -> str:
    """Make one to five targets respond wrongly, or inject faults into the connections to them."""
    serving = [t for t in environment.targets if not t.is_draining]
    chosen = rng.sample(serving, rng.randint(1, 5))
    recording = asyncio.create_task(record_fault(environment, [t.id for t in chosen], seconds))
    if rng.random() < 0.4:
        paths = [disrupt_path(environment.proxy_by_target[t.id], rng, seconds) for t in chosen]
        kinds = await asyncio.gather(*paths)
    else:
        kinds = [rng.choice(TARGET_FAULTS) for _ in chosen]
        for target, kind in zip(chosen, kinds, strict=True):
            target.fault, target.fault_probability = kind, rng.choice((0.2, 1.0))
        await asyncio.sleep(seconds)
        for target in chosen:
            target.fault = ""
    await recording
    return f"targets {[t.id for t in chosen]}: {kinds}"


async def hostile_targets(environment: Environment, rng: random.Random, seconds: float) -> str:
    """Make up to a third of the targets misbehave at the byte level."""
    serving = [t for t in environment.targets if not t.is_draining and not t.fault]
    chosen = rng.sample(serving, rng.randint(1, max(len(serving) // 3, 1)))
    recording = asyncio.create_task(record_fault(environment, [t.id for t in chosen], seconds))
    for target in chosen:
        target.fault, target.fault_probability = "hostile", rng.choice((0.2, 1.0))
    await asyncio.sleep(seconds)
    for target in chosen:
        target.fault = ""
    await recording
    return f"hostile targets {[t.id for t in chosen]}"


async def hostile_callers(environment: Environment, rng: random.Random, seconds: float) -> str:
    """Send malformed, ambiguous, endless, slow and cut requests to all instances."""
    callers = [
        asyncio.create_task(HostileCaller(environment, instance, random.Random(rng.random())).run())
        for instance in environment.instances
        for _ in range(rng.randint(1, 3))
    ]
    try:
        await asyncio.sleep(seconds)
    finally:
        for caller in callers:
            caller.cancel()
        results = await asyncio.gather(*callers, return_exceptions=True)
    failed = [result for result in results if isinstance(result, Exception)]
    environment.ledger.immediate_violations += [f"the soak itself failed: {e!r}" for e in failed]
    return f"{len(callers)} hostile callers"


async def hostile_store(environment: Environment, rng: random.Random, seconds: float) -> str:
    """Answer half of the calls to the store with hostile bytes."""
    names = [instance.name for instance in environment.instances]

    async def disturb(transport: asyncio.Transport, body: bytes) -> None:
        if rng.random() < 0.5:
            await play_answer(transport, {"Content-Type": "application/json"}, body, rng)

    environment.store.disturb = disturb
    try:
        await record_fault(environment, names, seconds)
    finally:
        environment.store.disturb = None
    return "hostile store"


async def hostile_instance(environment: Environment, rng: random.Random, seconds: float) -> str:
    """Register an instance whose answers to the polls of others are hostile bytes."""
    name = f"hostile-{rng.randrange(1000)}"
    peer = HostileTarget(lambda _: make_disturbed_answer({}, b"{}\n", rng))
    await peer.start()
    address = f"{HOSTILE_HOST}:{peer.port}"
    entry = {"failure_domain": rng.choice(DOMAINS), "address": address}
    environment.store.put("flamingostack-instances", name, entry)
    try:
        await asyncio.sleep(seconds)
    finally:
        environment.store.delete("flamingostack-instances", name)
        await peer.stop()
    return f"{name} in {entry['failure_domain']}, polled {len(peer.request_ids)} times"


async def cold_restart(environment: Environment, rng: random.Random, seconds: float) -> str:
    """Crash a target and start a cold one with a new ID at its address."""
    old = rng.choice([t for t in environment.targets if not t.is_draining])
    recording = asyncio.create_task(record_fault(environment, [old.id], 2.0))
    old.is_draining = True
    await old.stop()
    await asyncio.sleep(0.5)
    environment.unregister(old)
    await replace_target(environment, old, old.service, is_cold=True)
    await recording
    return f"target {old.id} restarted cold"


async def replace_target(
    environment: Environment, old: SoakTarget, service: str, is_cold: bool
) -> SoakTarget:
    """Start a target at the address of one that has stopped."""
    proxy = environment.proxy_by_target[old.id]
    new = await environment.add_target(service, old.domain, port=old.port, proxy=proxy)
    if is_cold:
        new.cold_until = environment.now() + 3.0
        environment.register(new)
    return new


async def drain(
    environment: Environment, rng: random.Random, seconds: float, old: SoakTarget | None = None
) -> str:
    """Drain a target, stop it after 5 s, and reuse its address for a target of a random service.

    The target drains by changing the state in its entry or by deleting the entry. By default it is
    drawn at random.
    """
    if old is None or old.is_draining:
        old = rng.choice([t for t in environment.targets if not t.is_draining])
    old.is_draining = True
    if rng.random() < 0.5:
        environment.register(old)
    else:
        environment.unregister(old)
    change = environment.record_change("drain", old.id)
    await asyncio.sleep(5.0)
    environment.unregister(old)
    recording = asyncio.create_task(record_fault(environment, [old.id], 0.1))
    await old.stop()
    change.reverted_at = environment.now()
    await recording
    await asyncio.sleep(1.0)
    await replace_target(environment, old, rng.choice(SERVICES), is_cold=False)
    # Restores the number of targets that the service has in this failure domain.
    await environment.add_target(old.service, old.domain)
    return f"target {old.id} of {old.service} drained, its address reused"


async def change_and_leave(environment: Environment, rng: random.Random, seconds: float) -> str:
    """Let a target write its entry several times in quick succession, and then drain it."""
    target = rng.choice([t for t in environment.targets if not t.is_draining])
    for _ in range(rng.randint(2, 6)):
        target.sequence += 1
        environment.register(target)
        await asyncio.sleep(rng.uniform(0.01, 0.4))
    return await drain(environment, rng, seconds, target)


async def lose_power(environment: Environment, rng: random.Random, seconds: float) -> str:
    """Take the power of the first instances, in the order of readers, of the largest domain.

    A version is written and a target leaves at the same moment.
    """
    domains = [instance.domain for instance in environment.instances]
    largest = max(sorted(set(domains)), key=domains.count)
    inside = [instance for instance in environment.instances if instance.domain == largest]
    inside.sort(key=lambda instance: rank_instance(instance.name))
    lost = inside[: rng.randint(1, max(len(inside) - 1, 1))]
    recording = asyncio.create_task(
        record_fault(environment, list_fault_names(lost), 5.0 + RESTART_DELAY_S + STARTUP_S)
    )
    for instance in lost:
        instance.send_signal(signal.SIGSTOP)
    leaving = asyncio.create_task(drain(environment, rng, seconds))
    environment.put_configuration()
    await asyncio.sleep(5.0)
    for instance in lost:
        instance.kill()
    await asyncio.gather(recording, leaving)
    return f"no power for {[instance.name for instance in lost]}"


async def leave_by_answers(environment: Environment, rng: random.Random, seconds: float) -> str:
    """Let a target say only in its answers that it leaves, and stop it some seconds later.

    The store is silent meanwhile in half of the cases.
    """
    old = rng.choice([t for t in environment.targets if not t.is_draining and not t.is_leaving])
    old.is_leaving = True
    if rng.random() < 0.5:
        await store_itself(environment, rng, seconds)
    await asyncio.sleep(6.0)
    old.is_draining = True
    recording = asyncio.create_task(record_fault(environment, [old.id], 0.1))
    environment.unregister(old)
    await old.stop()
    await recording
    await environment.add_target(old.service, old.domain)
    return f"target {old.id} of {old.service} left by its answers"


async def name_limits(environment: Environment, rng: random.Random, seconds: float) -> str:
    """Let up to a third of the targets name limits, which change once, and then end."""
    serving = [t for t in environment.targets if not t.is_draining and t.limit is None]
    chosen = rng.sample(serving, rng.randint(1, max(len(serving) // 3, 1)))
    for target in chosen:
        target.limit = rng.choice((0.0, 0.5, 2.0, 6.5))
    await asyncio.sleep(LIMIT_SETTLE_S + seconds)
    for target in chosen:
        target.limit = rng.choice((1.0, 3.0))
    await asyncio.sleep(LIMIT_SETTLE_S + seconds)
    for target in chosen:
        target.limit = None
    return f"limits of {[t.id for t in chosen]}"


async def close_targets(environment: Environment, rng: random.Random, seconds: float) -> str:
    """Let some targets refuse half of their requests, and want none from the caller for a time."""
    serving = [t for t in environment.targets if not t.is_draining and not t.closed_s]
    chosen = rng.sample(serving, rng.randint(1, 4))
    for target in chosen:
        target.closed_s, target.closed_probability = rng.uniform(0.6, 3.0), 0.5
    await asyncio.sleep(seconds)
    for target in chosen:
        target.closed_s = 0.0
    return f"targets {[t.id for t in chosen]} were closed by turns"


async def evacuate(environment: Environment, rng: random.Random, seconds: float) -> str:
    """Evacuate a failure domain and end the evacuation after `seconds` and 6 s more."""
    domain = rng.choice(DOMAINS)
    if environment.store.objects_by_kind.get("evacuations", {}).get(domain):
        return f"failure domain {domain} is already evacuated"
    environment.store.put("evacuations", domain, {})
    change = environment.record_change("evacuation", domain)
    await asyncio.sleep(6.0 + seconds)
    await environment.is_store_whole.wait()
    environment.store.delete("evacuations", domain)
    change.reverted_at = environment.now()
    return f"failure domain {domain} evacuated"


async def configurations(environment: Environment, rng: random.Random, seconds: float) -> str:
    """Write up to six configuration versions in quick succession."""
    count = rng.randint(1, 6)
    for _ in range(count):
        environment.put_configuration()
        await asyncio.sleep(rng.uniform(0.05, 0.6))
    return f"{count} configuration versions, up to {environment.version}"


async def revoke_keys(environment: Environment, rng: random.Random, seconds: float) -> str:
    """Revoke all keys of a tenant at once, and give it another one after `seconds`.

    In half of the cases the tenant has its new key before it loses the others.
    """
    tenants = environment.tenants
    tenant = rng.choice((UNLIMITED_TENANT, LIMITED_TENANT))
    is_new_key_first = rng.random() < 0.5
    if is_new_key_first:
        tenants.add_key(tenant)
        environment.put_configuration()
        await asyncio.sleep(seconds)
    tenants.revoke_keys(tenant, is_new_key_first)
    environment.put_configuration()
    if not is_new_key_first:
        await asyncio.sleep(seconds)
        tenants.add_key(tenant)
        environment.put_configuration()
    return f"keys of {tenant} revoked"


async def overuse_quota(environment: Environment, rng: random.Random, seconds: float) -> str:
    """Let the limited tenant send far more than its quota, most of it to a few instances."""
    chosen = rng.sample(environment.instances, rng.randint(1, 3))
    callers = []
    for instance in chosen:
        for _ in range(HOT_CALLERS // len(chosen)):
            caller = Caller(environment, instance, random.Random(rng.random()))
            caller.tenant = LIMITED_TENANT
            callers.append(asyncio.create_task(caller.run(HOT_REQUESTS_PER_S)))
    interval = [environment.now(), float("inf")]
    environment.tenants.hot_intervals.append(interval)
    try:
        await asyncio.sleep(2 * seconds)
    finally:
        interval[1] = environment.now()
        for caller in callers:
            caller.cancel()
        results = await asyncio.gather(*callers, return_exceptions=True)
    failed = [result for result in results if isinstance(result, Exception)]
    environment.ledger.immediate_violations += [f"the soak itself failed: {e!r}" for e in failed]
    return f"{LIMITED_TENANT} sent too much to {[i.name for i in chosen]}"


async def terminate(environment: Environment, rng: random.Random, seconds: float) -> str:
    """Stop a random set of instances gracefully at short intervals, so that stops may overlap."""
    chosen = rng.sample(environment.instances, rng.randint(1, len(environment.instances)))
    stops = []
    for instance in chosen:
        stops.append(asyncio.create_task(restart(environment, instance, instance.terminate())))
        await asyncio.sleep(rng.uniform(0.2, 2.0))
    await asyncio.gather(*stops)
    return f"stopped {[i.name for i in chosen]}"


async def restart(
    environment: Environment, instance: Instance, termination: Awaitable[None]
) -> None:
    """Wait until a process has ended, then record a fault while the next one starts."""
    await termination
    await record_fault(environment, [instance.name], RESTART_DELAY_S + STARTUP_S)


async def kill(environment: Environment, rng: random.Random, seconds: float) -> str:
    """Kill the processes of a random set of instances at the same time."""
    chosen = rng.sample(environment.instances, rng.randint(1, len(environment.instances)))
    for instance in chosen:
        instance.kill()
    await record_fault(environment, list_fault_names(chosen), RESTART_DELAY_S + STARTUP_S)
    return f"killed {[i.name for i in chosen]}"


async def freeze(environment: Environment, rng: random.Random, seconds: float) -> str:
    """Suspend the processes of up to half the instances, and resume them after `seconds`."""
    chosen = rng.sample(
        environment.instances, rng.randint(1, max(len(environment.instances) // 2, 1))
    )
    recording = asyncio.create_task(record_fault(environment, list_fault_names(chosen), seconds))
    for instance in chosen:
        instance.send_signal(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    for instance in chosen:
        instance.send_signal(signal.SIGCONT)
    await recording
    return f"froze {[i.name for i in chosen]}"


async def reload(environment: Environment, rng: random.Random, seconds: float) -> str:
    """Change the settings files of some instances and send SIGHUP, three times."""
    chosen = rng.sample(environment.instances, rng.randint(1, len(environment.instances)))
    restarts = []
    for _ in range(3):
        for instance in chosen:
            instance.bounds["cold_slack"] = rng.randint(1, 5)
            instance.reload()
            if instance.was_reloaded_too_early:
                names = list_fault_names([instance])
                delay_s = RESTART_DELAY_S + STARTUP_S
                restarts.append(asyncio.create_task(record_fault(environment, names, delay_s)))
        await asyncio.sleep(0.3)
    await asyncio.gather(*restarts)
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
# Faults by the name of a profile. Each has a tuple of its own, which is only ever extended by a new
# profile, since a seed has to repeat its faults.
FAULTS_BY_PROFILE: dict[str, tuple[Fault, ...]] = {
    "usual": FAULTS,
    "hostile": (
        hostile_targets,
        hostile_targets,
        hostile_callers,
        hostile_callers,
        configurations,
        terminate,
    ),
    "hostile-store": (
        hostile_targets,
        hostile_targets,
        hostile_callers,
        hostile_callers,
        hostile_store,
        hostile_instance,
        configurations,
        terminate,
    ),
    "notices": (
        leave_by_answers,
        leave_by_answers,
        name_limits,
        name_limits,
        close_targets,
        close_targets,
        store_itself,
        store_path,
        configurations,
        terminate,
        kill,
    ),
    "followers": (
        change_and_leave,
        change_and_leave,
        lose_power,
        configurations,
        evacuate,
    ),
    "returns": (
        store_returns,
        store_returns,
        store_returns,
        store_path,
        configurations,
        evacuate,
        drain,
        terminate,
        kill,
        freeze,
    ),
    "tenants": (
        revoke_keys,
        revoke_keys,
        revoke_keys,
        overuse_quota,
        overuse_quota,
        store_itself,
        store_path,
        terminate,
        kill,
        freeze,
    ),
}


async def run_faults(
    environment: Environment,
    duration_s: float,
    log: Callable[[str], None],
    faults: tuple[Fault, ...] = FAULTS,
) -> None:
    """Inject random faults at random times within `duration_s`, and wait until all have ended.

    `log` receives a line when a fault begins and one when it ends, with the time in seconds since
    the start.
    """
    rng = random.Random(environment.rng.random())
    count = max(round(duration_s * FAULTS_PER_S), 4)
    began_at = environment.now()
    starts = sorted(rng.uniform(0.5, duration_s) for _ in range(count))

    async def run_fault(start_s: float, fault: Fault, fault_rng: random.Random) -> None:
        await asyncio.sleep(start_s)
        log(f"{environment.now() - began_at:.2f} {fault.__name__} begins")
        description = await fault(environment, fault_rng, fault_rng.uniform(0.5, 4.0))
        log(f"{environment.now() - began_at:.2f} {fault.__name__} ends: {description}")

    async with asyncio.TaskGroup() as group:
        for start_s in starts:
            group.create_task(run_fault(start_s, rng.choice(faults), random.Random(rng.random())))
