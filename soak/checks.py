"""The promises, checked from what callers and targets have seen."""

from __future__ import annotations

import bisect
from collections import Counter, defaultdict
from collections.abc import Iterator

from .ledger import Arrival, Ledger, Outcome
from .targets import RECORD_BYTES, make_records, make_signature
from .world import BOUNDS, MAX_ATTEMPTS, MAX_RECORDS, World, process_name

PROMISE_STATUSES = (408, 421, 429, 503)
# Bounds of the platform's pages, in seconds.
CONFIG_S = 3.0
EVACUATION_S = 5.0
DRAIN_S = 3.0
STABLE_S = 4.0
# For the loops of the soak itself, which share one event loop.
SLACK_S = 0.3
# A request that was sent on a connection as it was closed, and not passed on, may be lost.
LOSS_SLACK_S = 0.2 + SLACK_S
SERVED_AFTER_FAULTS = 0.98
# How a caller ends a request itself.
OWN_ENDS = ("gave up", "no answer in time")
TOLERATED_OVER_ATTEMPTS = 3


def find_broken_promises(world: World) -> list[str]:
    """Return one line for each broken promise."""
    ledger = world.ledger
    checks = (
        check_answers,
        check_not_run,
        check_at_most_once,
        check_attempts,
        check_unasked,
        check_denied,
        check_versions,
        check_evacuations,
        check_drains,
        check_budget,
        check_cold,
        check_stops,
        check_recovery,
    )
    found = [f"process: {note}" for note in ledger.notes]
    for check in checks:
        name = check.__name__.removeprefix("check_")
        found += [f"{name}: {line}" for line in check(world)]
    return found


def check_answers(world: World) -> Iterator[str]:
    """Check that each success is whole, true, and of this request."""
    for outcome in world.ledger.outcomes_by_id.values():
        if outcome.status != 200:
            continue
        if outcome.route in world.services_by_fan_out:
            problem = find_problem_in_merged(world, outcome)
        else:
            problem = find_problem_in_single(world, outcome)
        if problem:
            yield f"{outcome.request_id} on {outcome.instance}: {problem}"


def find_problem_in_merged(world: World, outcome: Outcome) -> str:
    """Return what is wrong with a merged answer, empty if nothing is."""
    services = world.services_by_fan_out[outcome.route]
    stamps = [s.strip() for s in outcome.headers.get("X-Part-Stamps", "").split(",")]
    service_by_stamp = {make_signature(s, outcome.request_id): s for s in services}
    parts = {service_by_stamp.get(stamp, "") for stamp in stamps}
    if "" in parts or len(parts) != len(stamps):
        return f"signatures {stamps}"
    missing = int(outcome.headers.get("X-Missing-Parts", "0"))
    if len(parts) + missing != len(services):
        return f"{len(parts)} parts and {missing} missing of {len(services)}"
    if len(parts) / len(services) < world.min_share:
        return f"only {len(parts)} of {len(services)} parts"
    records = sorted((r for s in parts for r in make_records(s, outcome.request_id)), reverse=True)
    if outcome.answer != b"".join(records[:MAX_RECORDS]):
        return f"{len(outcome.answer) // RECORD_BYTES} records, not the greatest of the parts"
    return ""


def find_problem_in_single(world: World, outcome: Outcome) -> str:
    """Return what is wrong with the answer of one target, empty if nothing is."""
    service = world.service_of_route(outcome.route)
    if outcome.headers.get("X-Response-Stamp") != make_signature(service, outcome.request_id):
        return f"signature {outcome.headers.get('X-Response-Stamp')}"
    if outcome.answer != b"".join(make_records(service, outcome.request_id)):
        return "not the target's body"
    return ""


def runs_by_id(ledger: Ledger) -> dict[str, list[Arrival]]:
    """Return the arrivals that have run, by request."""
    found = defaultdict(list)
    for arrival in ledger.arrivals:
        if arrival.has_run:
            found[arrival.request_id].append(arrival)
    return found


def check_not_run(world: World) -> Iterator[str]:
    """Check that what a refusal calls not run has not run."""
    runs = runs_by_id(world.ledger)
    for outcome in world.ledger.outcomes_by_id.values():
        if outcome.status in PROMISE_STATUSES and outcome.request_id in runs:
            yield f"{outcome.request_id} has status {outcome.status} and has run"


def check_at_most_once(world: World) -> Iterator[str]:
    """Check that a request that is not idempotent runs once at most."""
    for request_id, runs in runs_by_id(world.ledger).items():
        outcome = world.ledger.outcomes_by_id.get(request_id)
        if outcome is not None and outcome.method == "POST" and len(runs) > 1:
            yield f"{request_id} ran at {[run.target for run in runs]}"


def check_attempts(world: World) -> Iterator[str]:
    """Check that a service runs a request at no more targets than its route allows."""
    runs = Counter((a.request_id, a.service) for a in world.ledger.arrivals if a.has_run)
    over = [key for key, count in runs.items() if count > MAX_ATTEMPTS]
    # The platform tolerates three requests.
    if len(over) > TOLERATED_OVER_ATTEMPTS:
        yield f"{len(over)} requests ran too often, such as {over[:3]}"


def check_unasked(world: World) -> Iterator[str]:
    """Check that targets get what callers sent, and what their service may run."""
    for arrival in world.ledger.arrivals:
        outcome = world.ledger.outcomes_by_id.get(arrival.request_id)
        if outcome is None:
            yield f"{arrival.request_id!r} was sent by no caller"
            continue
        sent = (outcome.method, outcome.path, outcome.body)
        if arrival.has_run and sent != (arrival.method, arrival.path, arrival.body):
            yield f"{arrival.request_id} was changed: {arrival.method} {arrival.path}"
        allowed = world.services_by_fan_out.get(outcome.route)
        if arrival.service not in (allowed or [world.service_of_route(outcome.route)]):
            yield f"{arrival.request_id} on route {outcome.route} reached {arrival.service}"


def check_denied(world: World) -> Iterator[str]:
    """Check that a proper request gets no 4xx."""
    for outcome in world.ledger.outcomes_by_id.values():
        is_probe = outcome.route.startswith("v")
        if 400 <= outcome.status < 500 and outcome.status not in (408, 421, 429) and not is_probe:
            yield f"{outcome.request_id} on route {outcome.route}: status {outcome.status}"


def check_versions(world: World) -> Iterator[str]:
    """Check that a version is in force in time, and never reverts in one process."""
    ledger = world.ledger
    probes = [o for o in ledger.outcomes_by_id.values() if o.route.startswith("v")]
    seen: dict[tuple[str, int], list[tuple[float, int]]] = defaultdict(list)
    for probe in sorted(probes, key=lambda o: o.sent_at):
        version = int(probe.route[1:])
        process = (probe.instance, probe.boot)
        if probe.status == 200:
            seen[process].append((probe.ended_at, version))
        if probe.status != 404:
            continue
        known = [v for at, v in seen[process] if at < probe.sent_at and v >= version]
        if known:
            yield f"{probe.request_id}: {process} went back from {max(known)} to below {version}"
        acked_at = world.acked_at_by_version[version]
        if probe.sent_at > acked_at + CONFIG_S + SLACK_S and ledger.is_calm(
            probe.instance, acked_at - STABLE_S, probe.ended_at
        ):
            late_s = probe.sent_at - acked_at
            yield f"{probe.request_id}: {process} lacks version {version} after {late_s:.1f} s"


def arrivals_from_calm(
    world: World, acked_at: float, bound_s: float, until: float
) -> Iterator[tuple[Arrival, Outcome]]:
    """Yield arrivals after a bound that came from instances without a fault."""
    for arrival in world.ledger.arrivals:
        outcome = world.ledger.outcomes_by_id.get(arrival.request_id)
        is_late = acked_at + bound_s + SLACK_S < arrival.at < until
        if outcome is None or not is_late:
            continue
        if world.ledger.is_calm(outcome.instance, acked_at - STABLE_S, arrival.at):
            yield arrival, outcome


def check_evacuations(world: World) -> Iterator[str]:
    """Check that an evacuated failure domain gets nothing after the bound."""
    for change in world.ledger.changes:
        if change.kind != "evacuation":
            continue
        for arrival, outcome in arrivals_from_calm(
            world, change.at, EVACUATION_S, change.undone_at
        ):
            if world.domain_by_target[arrival.target] == change.subject:
                yield f"{arrival.request_id} from {outcome.instance} reached {arrival.target}"


def check_drains(world: World) -> Iterator[str]:
    """Check that a leaving target gets nothing after the bound."""
    for change in world.ledger.changes:
        if change.kind != "drain":
            continue
        for arrival, outcome in arrivals_from_calm(world, change.at, DRAIN_S, change.undone_at):
            if arrival.target == change.subject:
                yield f"{arrival.request_id} from {outcome.instance} reached {arrival.target}"


def check_budget(world: World) -> Iterator[str]:
    """Check that repeats stay within the share of the requests and the slack in each window."""
    window_s = BOUNDS["window_s"]
    first_seen = set()
    extras = defaultdict(list)
    for arrival in sorted(world.ledger.arrivals, key=lambda a: a.at):
        key = (arrival.service, arrival.request_id)
        if key in first_seen:
            extras[arrival.service].append(arrival.at)
        first_seen.add(key)
    requests = defaultdict(list)
    for outcome in sorted(world.ledger.outcomes_by_id.values(), key=lambda o: o.sent_at):
        for service in world.services_of_route(outcome.route):
            requests[service].append(outcome.sent_at)

    def count(times: list[float], begin: float, end: float) -> int:
        return bisect.bisect_right(times, end) - bisect.bisect_left(times, begin)

    for service, times in extras.items():
        for end in times:
            spent = count(times, end - window_s, end)
            asked = max(
                count(requests[service], end - window_s * (1 + back), end - window_s * back)
                for back in (0.0, 0.5, 1.0)
            )
            if spent > BOUNDS["ratio"] * asked + BOUNDS["slack"]:
                yield f"{service} got {spent} repeats for {asked} requests"
                break


def check_cold(world: World) -> Iterator[str]:
    """Check that a cold target gets no more in a second than it bears."""
    times_by_target = defaultdict(list)
    for arrival in world.ledger.arrivals:
        if arrival.cold_limit is not None:
            times_by_target[arrival.target].append((arrival.at, arrival.cold_limit))
    for target, arrivals in times_by_target.items():
        times = [at for at, _ in arrivals]
        for at, limit in arrivals:
            recent = bisect.bisect_right(times, at) - bisect.bisect_left(times, at - 1)
            bound = limit * BOUNDS["overshoot"] + BOUNDS["cold_slack"]
            if recent > bound:
                yield f"{target} got {recent} in a second, {bound} allowed"
                break


def check_stops(world: World) -> Iterator[str]:
    """Check that a graceful stop cuts no request."""
    arrivals_by_id = defaultdict(list)
    for arrival in world.ledger.arrivals:
        arrivals_by_id[arrival.request_id].append(arrival)
    for instance in world.instances:
        for began_at, ended_at in instance.stops:
            if not world.ledger.is_calm(process_name(instance.name), began_at - 1, ended_at):
                continue
            for outcome in world.ledger.outcomes_by_id.values():
                is_concerned = outcome.instance == instance.name and outcome.was_connected
                is_cut = not outcome.status and outcome.error not in OWN_ENDS
                if not is_concerned or not is_cut:
                    continue
                if not began_at - 1 <= outcome.sent_at <= ended_at:
                    continue
                arrivals = arrivals_by_id[outcome.request_id]
                if not all(
                    world.ledger.is_calm(a.target, a.at - STABLE_S, ended_at) for a in arrivals
                ):
                    continue
                held_s = outcome.ended_at - outcome.sent_at
                if arrivals or held_s > LOSS_SLACK_S:
                    after_s = outcome.sent_at - began_at
                    yield (
                        f"{outcome.request_id} on {instance.name}: sent {after_s:.2f} s after the "
                        f"signal, passed on {len(arrivals)} times, {outcome.error} after "
                        f"{held_s:.2f} s; the soak was late by {world.max_lag_s:.2f} s at most"
                    )


def check_recovery(world: World) -> Iterator[str]:
    """Check that everybody is served when the faults are over."""
    late = [
        o
        for o in world.ledger.outcomes_by_id.values()
        if o.sent_at > world.calm_from and o.ended_at and o.error != "gave up"
    ]
    served = sum(o.status == 200 for o in late)
    if not late or served < len(late) * SERVED_AFTER_FAULTS:
        others = sorted({f"{o.status} {o.error}" for o in late if o.status != 200})
        yield f"{served} of {len(late)} requests after the faults: {others[:5]}"
