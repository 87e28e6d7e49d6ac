"""Checks of the gateway's guarantees against the requests that callers and targets recorded.

Each check yields one line for each violation. The name of the check function without `check_` is
the prefix of its lines in the report.
"""

from __future__ import annotations

import bisect
import dataclasses
from collections import Counter, defaultdict
from collections.abc import Iterator

from .ledger import Arrival, Ledger, Outcome
from .targets import RECORD_BYTES, make_records, make_response_stamp
from .tenants import LIMITED_BURST, LIMITED_RATE_PER_S, LIMITED_TENANT, PUBLIC_ROUTE
from .world import BOUNDS, MAX_ATTEMPTS, MAX_RECORDS, Environment, make_process_key

# Response statuses which guarantee that no target ran the request.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Time from the acknowledgement of a change until it must be in force, from the platform's
# documentation.
CONFIGURATION_DEADLINE_S = 3.0
EVACUATION_DEADLINE_S = 5.0
DRAIN_DEADLINE_S = 3.0
# A target may get one and a half times its limit in 4 s, and 5 requests, from processes that were
# told half a second before.
LIMIT_WINDOW_S = 4.0
LIMIT_OVERSHOOT = 1.5
LIMIT_SLACK = 5
LIMIT_TOLD_S = 0.5
# Of a process that a target has told that it is closed, it may get two requests from then on.
CLOSED_TOLD_S = 0.5
MAX_CLOSED_ARRIVALS = 2
# A key that was added or removed counts as such from this long after its acknowledgement.
KEY_DEADLINE_S = 5.0
QUOTA_WINDOW_S = 5.0
QUOTA_OVERSHOOT = 0.1
QUOTA_SLACK = 20
# Requests of a tenant below this share of its quota in the last window are owed to it. A lost owner
# of an allotment costs a third of it.
OWED_SHARE = 0.25
# The platform tolerates so many wrong denials in all.
TOLERATED_DENIALS = 5
TOLERATED_DENIED_SHARE = 1 / 500
# A fault excuses an instance or a target until this long after its end.
FAULT_FREE_LEAD_S = 4.0
# Allowance for delays of the soak's own tasks, which share one event loop.
SCHEDULING_SLACK_S = 0.3
# A request sent while its connection is being closed may be lost before it is forwarded. It is not
# reported if the connection was closed within this time after its last bytes left.
CLOSE_RACE_SLACK_S = 0.2 + SCHEDULING_SLACK_S
# Least share of the requests after the last fault that must succeed.
MIN_SERVED_SHARE = 0.98
# Values of `Outcome.error` for requests that the caller itself cancelled.
CALLER_TIMEOUT_ERRORS = ("gave up", "no answer in time")
# The platform tolerates three requests with more runs than the route allows.
TOLERATED_EXCESS_REQUESTS = 3


def find_violations(environment: Environment) -> list[str]:
    """Run all checks and return one line for each violation, as `<check>: <detail>`."""
    ledger = environment.ledger
    checks = (
        check_answers,
        check_not_run,
        check_at_most_once,
        check_attempts,
        check_unasked,
        check_denied,
        check_tenants,
        check_keys,
        check_quota,
        check_owed,
        check_versions,
        check_evacuations,
        check_drains,
        check_leaving,
        check_limits,
        check_closed,
        check_budget,
        check_cold,
        check_stops,
        check_recovery,
    )
    found = [f"process: {violation}" for violation in ledger.immediate_violations]
    for check in checks:
        name = check.__name__.removeprefix("check_")
        found += [f"{name}: {line}" for line in check(environment)]
    return found


def check_answers(environment: Environment) -> Iterator[str]:
    """Check that each response with status 200 is complete, correct and for its own request."""
    for outcome in environment.ledger.outcomes_by_id.values():
        if outcome.status != 200:
            continue
        if outcome.route in environment.services_by_fan_out_route:
            problem = find_merged_response_error(environment, outcome)
        else:
            problem = find_single_response_error(environment, outcome)
        if problem:
            yield f"{outcome.request_id} on {outcome.instance}: {problem}"


def find_merged_response_error(environment: Environment, outcome: Outcome) -> str:
    """Return what is wrong with a merged fan-out response, or an empty string."""
    services = environment.services_by_fan_out_route[outcome.route]
    stamps = [s.strip() for s in outcome.headers.get("X-Part-Stamps", "").split(",")]
    service_by_stamp = {make_response_stamp(s, outcome.request_id): s for s in services}
    parts = {service_by_stamp.get(stamp, "") for stamp in stamps}
    if "" in parts or len(parts) != len(stamps):
        return f"signatures {stamps}"
    missing = int(outcome.headers.get("X-Missing-Parts", "0"))
    if len(parts) + missing != len(services):
        return f"{len(parts)} parts and {missing} missing of {len(services)}"
    if len(parts) / len(services) < environment.min_part_share:
        return f"only {len(parts)} of {len(services)} parts"
    records = sorted((r for s in parts for r in make_records(s, outcome.request_id)), reverse=True)
    if outcome.response_body != b"".join(records[:MAX_RECORDS]):
        return (
            f"{len(outcome.response_body) // RECORD_BYTES} records, not the greatest of the parts"
        )
    return ""


def find_single_response_error(environment: Environment, outcome: Outcome) -> str:
    """Return what is wrong with the response of a single target, or an empty string."""
    service = environment.service_of_route(outcome.route)
    if outcome.headers.get("X-Response-Stamp") != make_response_stamp(service, outcome.request_id):
        return f"signature {outcome.headers.get('X-Response-Stamp')}"
    if outcome.response_body != b"".join(make_records(service, outcome.request_id)):
        return "not the target's body"
    return ""


def group_runs_by_request_id(ledger: Ledger) -> dict[str, list[Arrival]]:
    """Group the arrivals that targets ran by request ID."""
    found = defaultdict(list)
    for arrival in ledger.arrivals:
        if arrival.has_run:
            found[arrival.request_id].append(arrival)
    return found


def check_not_run(environment: Environment) -> Iterator[str]:
    """Check that no target ran a request whose response status guarantees that it did not run."""
    runs = group_runs_by_request_id(environment.ledger)
    for outcome in environment.ledger.outcomes_by_id.values():
        if outcome.status in NOT_RUN_STATUSES and outcome.request_id in runs:
            yield f"{outcome.request_id} has status {outcome.status} and has run"


def check_at_most_once(environment: Environment) -> Iterator[str]:
    """Check that a non-idempotent request (POST) runs at most once."""
    for request_id, runs in group_runs_by_request_id(environment.ledger).items():
        outcome = environment.ledger.outcomes_by_id.get(request_id)
        if outcome is not None and outcome.method == "POST" and len(runs) > 1:
            yield f"{request_id} ran at {[run.target for run in runs]}"


def check_attempts(environment: Environment) -> Iterator[str]:
    """Check that a service runs a request at most as often as its route allows attempts."""
    runs = Counter((a.request_id, a.service) for a in environment.ledger.arrivals if a.has_run)
    excess = [key for key, count in runs.items() if count > MAX_ATTEMPTS]
    if len(excess) > TOLERATED_EXCESS_REQUESTS:
        yield f"{len(excess)} requests ran too often, such as {excess[:3]}"


def check_unasked(environment: Environment) -> Iterator[str]:
    """Check that targets get only requests that callers sent, unchanged, for their own service."""
    for arrival in environment.ledger.arrivals:
        outcome = environment.ledger.outcomes_by_id.get(arrival.request_id)
        if outcome is None:
            yield f"{arrival.request_id!r} was sent by no caller"
            continue
        sent = (outcome.method, outcome.path, outcome.body)
        if arrival.has_run and sent != (arrival.method, arrival.path, arrival.body):
            yield f"{arrival.request_id} was changed: {arrival.method} {arrival.path}"
        allowed = environment.services_by_fan_out_route.get(outcome.route)
        if arrival.service not in (allowed or [environment.service_of_route(outcome.route)]):
            yield f"{arrival.request_id} on route {outcome.route} reached {arrival.service}"


def check_denied(environment: Environment) -> Iterator[str]:
    """Check that a valid request gets no client error (4xx) other than 408, 421 and 429.

    Version probes may get 404: their route does not exist before the version is in force. Only a
    request whose key is not surely in force may get 401.
    """
    for outcome in environment.ledger.outcomes_by_id.values():
        if not 400 <= outcome.status < 500 or outcome.status in (408, 421, 429):
            continue
        is_unknown_route = outcome.route.startswith("v") and outcome.status == 404
        if is_unknown_route or (outcome.status == 401 and not is_key_owed(environment, outcome)):
            continue
        yield f"{outcome.request_id} on route {outcome.route}: status {outcome.status}"


def is_key_owed(environment: Environment, outcome: Outcome) -> bool:
    """Return whether a request needs no key, or its key was surely in force at its instance."""
    if environment.tenants is None or outcome.route == PUBLIC_ROUTE:
        return True
    key = environment.tenants.keys_by_text.get(outcome.key)
    if key is None or key.removed_at < outcome.ended_at:
        return False
    if key.added_at <= min(environment.acked_at_by_version.values()):
        # Each version has held it.
        return True
    return outcome.sent_at > key.added_at + KEY_DEADLINE_S and environment.ledger.is_fault_free(
        outcome.instance, key.added_at - FAULT_FREE_LEAD_S, outcome.ended_at
    )


def check_tenants(environment: Environment) -> Iterator[str]:
    """Check that targets get the tenant of the request's key, and no key.

    Without a key that is known, which only public routes allow, they get no tenant.
    """
    for arrival in environment.ledger.arrivals:
        if arrival.has_key:
            yield f"{arrival.target} got the key of {arrival.request_id}"
        outcome = environment.ledger.outcomes_by_id.get(arrival.request_id)
        if outcome is None:
            continue
        key = environment.tenants and environment.tenants.keys_by_text.get(outcome.key)
        expected = [(key.tenant,)] if key else [()]
        if (
            key
            and outcome.route == PUBLIC_ROUTE
            and not is_key_owed(environment, dataclasses.replace(outcome, route="one"))
        ):
            expected.append(())
        if arrival.tenants not in expected:
            yield f"{arrival.request_id} reached {arrival.target} as of {arrival.tenants}"


def check_keys(environment: Environment) -> Iterator[str]:
    """Check that no request runs without a key, or sent after its key had to be removed.

    A request that was refused for its key has not run either.
    """
    if environment.tenants is None:
        return
    runs = group_runs_by_request_id(environment.ledger)
    for request_id, arrivals in runs.items():
        outcome = environment.ledger.outcomes_by_id.get(request_id)
        if outcome is None:
            continue
        if outcome.status == 401:
            yield f"{request_id} has status 401 and has run"
        if outcome.route == PUBLIC_ROUTE:
            continue
        key = environment.tenants.keys_by_text.get(outcome.key)
        if key is None or outcome.ended_at and outcome.ended_at < key.added_at:
            yield f"{request_id} has run with the key {outcome.key!r}"
        elif outcome.sent_at > key.removed_at + KEY_DEADLINE_S and environment.ledger.is_fault_free(
            outcome.instance, key.removed_at - FAULT_FREE_LEAD_S, arrivals[-1].at
        ):
            late_s = outcome.sent_at - key.removed_at
            yield f"{request_id} on {outcome.instance} has run {late_s:.1f} s after its key went"


def list_limited_runs(environment: Environment) -> list[tuple[float, float]]:
    """Return when each request of the limited tenant was sent and first ran, in that order."""
    found = []
    for request_id, arrivals in group_runs_by_request_id(environment.ledger).items():
        outcome = environment.ledger.outcomes_by_id.get(request_id)
        if outcome is not None and arrivals[0].tenants == (LIMITED_TENANT,):
            found.append((outcome.sent_at, arrivals[0].at))
    return sorted(found)


def check_quota(environment: Environment) -> Iterator[str]:
    """Check that no more requests of a tenant are sent and run in any window than its quota."""
    runs = list_limited_runs(environment)
    allowed = LIMITED_RATE_PER_S * QUOTA_WINDOW_S + LIMITED_BURST
    allowed = allowed * (1 + QUOTA_OVERSHOOT) + QUOTA_SLACK
    sent_times = [sent_at for sent_at, _ in runs]
    for first, begin in enumerate(sent_times):
        end = begin + QUOTA_WINDOW_S
        last = bisect.bisect_left(sent_times, end)
        count = sum(ran_at < end for _, ran_at in runs[first:last])
        if count > allowed:
            yield f"{count} requests of {LIMITED_TENANT} ran in a window, {allowed:.0f} allowed"
            return


def check_owed(environment: Environment) -> Iterator[str]:
    """Check that a tenant without a quota, or far below it, is not refused for its quota.

    Requests of instances with faults are left out, and a few others that the platform tolerates.
    """
    if environment.tenants is None:
        return
    outcomes = environment.ledger.outcomes_by_id.values()
    keys_by_text = environment.tenants.keys_by_text
    sent_times = sorted(
        o.sent_at
        for o in outcomes
        if o.key in keys_by_text and keys_by_text[o.key].tenant == LIMITED_TENANT
    )
    owed = (LIMITED_RATE_PER_S * QUOTA_WINDOW_S + LIMITED_BURST) * OWED_SHARE
    refused = []
    for outcome in outcomes:
        key = keys_by_text.get(outcome.key)
        if outcome.status != 429:
            continue
        begin = outcome.sent_at - 2 * QUOTA_WINDOW_S
        demand = bisect.bisect(sent_times, outcome.sent_at) - bisect.bisect(sent_times, begin)
        is_limited = key is not None and key.tenant == LIMITED_TENANT
        if not is_limited:
            yield f"{outcome.request_id} without a quota has status 429"
        elif (
            demand < owed
            # A burst is beyond the quota before a window of it is.
            and not environment.tenants.is_hot(begin, outcome.ended_at)
            and environment.ledger.is_fault_free(
                outcome.instance, begin - FAULT_FREE_LEAD_S, outcome.ended_at
            )
        ):
            refused.append(outcome.request_id)
    if len(refused) > TOLERATED_DENIALS + len(sent_times) * TOLERATED_DENIED_SHARE:
        yield f"{len(refused)} requests of {LIMITED_TENANT} far below its quota have status 429"


def check_versions(environment: Environment) -> Iterator[str]:
    """Check that a configuration version is in force in time, and that no process reverts one.

    The route `v<version>` exists from that version on, so a probe of it gets 200 or 404.
    """
    ledger = environment.ledger
    probes = [o for o in ledger.outcomes_by_id.values() if o.route.startswith("v")]
    seen: dict[tuple[str, int], list[tuple[float, int]]] = defaultdict(list)
    for probe in sorted(probes, key=lambda o: o.sent_at):
        version = int(probe.route[1:])
        process = (probe.instance, probe.process_number)
        if probe.status == 200:
            seen[process].append((probe.ended_at, version))
        if probe.status != 404:
            continue
        served = [v for at, v in seen[process] if at < probe.sent_at and v >= version]
        if served:
            yield f"{probe.request_id}: {process} went back from {max(served)} to below {version}"
        acked_at = environment.acked_at_by_version[version]
        if (
            probe.sent_at > acked_at + CONFIGURATION_DEADLINE_S + SCHEDULING_SLACK_S
            and ledger.is_fault_free(probe.instance, acked_at - FAULT_FREE_LEAD_S, probe.ended_at)
        ):
            late_s = probe.sent_at - acked_at
            yield f"{probe.request_id}: {process} lacks version {version} after {late_s:.1f} s"


def find_late_arrivals(
    environment: Environment, acked_at: float, deadline_s: float, until: float
) -> Iterator[tuple[Arrival, Outcome]]:
    """Yield each arrival between a change's deadline and `until`, with its request's outcome.

    Arrivals from instances that had a fault within that time or shortly before the change are left
    out: they are not held to deadlines.
    """
    for arrival in environment.ledger.arrivals:
        outcome = environment.ledger.outcomes_by_id.get(arrival.request_id)
        is_late = acked_at + deadline_s + SCHEDULING_SLACK_S < arrival.at < until
        if outcome is None or not is_late:
            continue
        if environment.ledger.is_fault_free(
            outcome.instance, acked_at - FAULT_FREE_LEAD_S, arrival.at
        ):
            yield arrival, outcome


def check_evacuations(environment: Environment) -> Iterator[str]:
    """Check that targets of an evacuated failure domain get no request after the deadline."""
    for change in environment.ledger.changes:
        if change.kind != "evacuation":
            continue
        for arrival, outcome in find_late_arrivals(
            environment, change.at, EVACUATION_DEADLINE_S, change.reverted_at
        ):
            if environment.domain_by_target[arrival.target] == change.subject:
                yield f"{arrival.request_id} from {outcome.instance} reached {arrival.target}"


def check_drains(environment: Environment) -> Iterator[str]:
    """Check that a draining target gets no request after the deadline."""
    for change in environment.ledger.changes:
        if change.kind != "drain":
            continue
        for arrival, outcome in find_late_arrivals(
            environment, change.at, DRAIN_DEADLINE_S, change.reverted_at
        ):
            if arrival.target == change.subject:
                yield f"{arrival.request_id} from {outcome.instance} reached {arrival.target}"


def find_told_at(environment: Environment, arrival: Arrival) -> float | None:
    """Return when an instance had surely passed on a target's answer; None if it may not have.

    Another send of the request to the service may have been answered in its place.
    """
    outcome = environment.ledger.outcomes_by_id.get(arrival.request_id)
    if outcome is None or not arrival.answered_at or not outcome.status:
        return None
    stamps = outcome.headers.get("X-Part-Stamps") or outcome.headers.get("X-Response-Stamp", "")
    has_part = make_response_stamp(arrival.service, arrival.request_id) in stamps
    return outcome.ended_at if has_part or arrival.said_closed_s else None


def group_by_process(
    environment: Environment, arrivals: list[Arrival]
) -> dict[tuple[str, str, int], list[Arrival]]:
    """Group arrivals by target, instance and process of the instance."""
    found = defaultdict(list)
    for arrival in arrivals:
        outcome = environment.ledger.outcomes_by_id.get(arrival.request_id)
        if outcome is not None:
            found[arrival.target, outcome.instance, outcome.process_number].append(arrival)
    return found


def find_only_arrivals(ledger: Ledger) -> list[Arrival]:
    """Return the arrivals of requests that reached their service once."""
    counts = Counter((a.request_id, a.service) for a in ledger.arrivals)
    return [a for a in ledger.arrivals if counts[a.request_id, a.service] == 1]


def check_leaving(environment: Environment) -> Iterator[str]:
    """Check that a process leaves a target in time that has told it that it leaves."""
    told_at_by_process = {}
    said = [a for a in find_only_arrivals(environment.ledger) if a.said_leaving]
    for process, arrivals in group_by_process(environment, said).items():
        told_at = [find_told_at(environment, arrival) for arrival in arrivals]
        told_at_by_process[process] = min((at for at in told_at if at is not None), default=None)
    everything = group_by_process(environment, environment.ledger.arrivals)
    for process, told_at in told_at_by_process.items():
        if told_at is None:
            continue
        for arrival in everything[process]:
            sent_at = environment.ledger.outcomes_by_id[arrival.request_id].sent_at
            if sent_at > told_at + DRAIN_DEADLINE_S:
                late_s = sent_at - told_at
                yield f"{arrival.request_id} from {process[1]} reached {process[0]}, {late_s:.1f} s"
                break


def check_limits(environment: Environment) -> Iterator[str]:
    """Check that a target gets what it has named at most, with overshoot and slack, in 4 s.

    Counted are arrivals of processes that had been told half a second before. The highest limit
    that the target named in the window, or has not named any more, counts.
    """
    told_at_by_process = {}
    said = [a for a in find_only_arrivals(environment.ledger) if a.said_limit is not None]
    for process, arrivals in group_by_process(environment, said).items():
        told_at = [find_told_at(environment, arrival) for arrival in arrivals]
        told_at_by_process[process] = min(
            (at for at in told_at if at is not None), default=float("inf")
        )
    arrivals_by_target = defaultdict(list)
    for process, arrivals in group_by_process(environment, environment.ledger.arrivals).items():
        arrivals_by_target[process[0]] += [(a.at, process, a) for a in arrivals if a.answered_at]
    for target, entries in arrivals_by_target.items():
        entries.sort(key=lambda entry: entry[0])
        limits = [(at, arrival.said_limit) for at, _, arrival in entries]
        first_at = next((at for at, limit in limits if limit is not None), None)
        if first_at is None:
            continue
        for start, _, _ in entries:
            end = start + LIMIT_WINDOW_S
            in_force = [limit for at, limit in limits if start - LIMIT_WINDOW_S <= at <= end]
            if start < first_at + FAULT_FREE_LEAD_S or None in in_force:
                continue
            count = sum(
                start <= at < end and at > told_at_by_process.get(process, at) + LIMIT_TOLD_S
                for at, process, _ in entries
            )
            allowed = max(in_force) * LIMIT_WINDOW_S * LIMIT_OVERSHOOT + LIMIT_SLACK
            if count > allowed:
                yield f"{target} got {count} in {LIMIT_WINDOW_S:.0f} s, {allowed:.0f} allowed"
                break


def check_closed(environment: Environment) -> Iterator[str]:
    """Check that a process sends two requests at most to a target that wants none for a time."""
    for process, arrivals in group_by_process(environment, environment.ledger.arrivals).items():
        for closing in arrivals:
            begin = closing.answered_at + CLOSED_TOLD_S + SCHEDULING_SLACK_S
            end = closing.answered_at + closing.said_closed_s
            count = sum(begin < arrival.at < end for arrival in arrivals)
            if closing.said_closed_s and count > MAX_CLOSED_ARRIVALS:
                yield f"{process[0]} got {count} from {process[1]} while it was closed"
                break


def check_budget(environment: Environment) -> Iterator[str]:
    """Check that the extra sends to each service stay within the retry budget in every window.

    Each arrival of a request at a service after the first is an extra send. A window that ends with
    an extra send may hold `ratio` times the requests for the service, plus `slack`. These requests
    are counted in the same window and in the windows that begin half a window and a whole window
    earlier; the largest count applies.
    """
    window_s = BOUNDS["window_s"]
    seen = set()
    extra_sends = defaultdict(list)
    for arrival in sorted(environment.ledger.arrivals, key=lambda a: a.at):
        key = (arrival.service, arrival.request_id)
        if key in seen:
            extra_sends[arrival.service].append(arrival.at)
        seen.add(key)
    requests = defaultdict(list)
    for outcome in sorted(environment.ledger.outcomes_by_id.values(), key=lambda o: o.sent_at):
        for service in environment.services_of_route(outcome.route):
            requests[service].append(outcome.sent_at)

    def count(times: list[float], begin: float, end: float) -> int:
        return bisect.bisect_right(times, end) - bisect.bisect_left(times, begin)

    for service, times in extra_sends.items():
        for end in times:
            spent = count(times, end - window_s, end)
            requested = max(
                count(requests[service], end - window_s * (1 + shift), end - window_s * shift)
                for shift in (0.0, 0.5, 1.0)
            )
            if spent > BOUNDS["ratio"] * requested + BOUNDS["slack"]:
                yield f"{service} got {spent} repeats for {requested} requests"
                break


def check_cold(environment: Environment) -> Iterator[str]:
    """Check that a cold target gets at most its limit, with overshoot and slack, in any second."""
    times_by_target = defaultdict(list)
    for arrival in environment.ledger.arrivals:
        if arrival.cold_limit is not None:
            times_by_target[arrival.target].append((arrival.at, arrival.cold_limit))
    for target, arrivals in times_by_target.items():
        times = [at for at, _ in arrivals]
        for at, limit in arrivals:
            recent = bisect.bisect_right(times, at) - bisect.bisect_left(times, at - 1)
            allowed = limit * BOUNDS["overshoot"] + BOUNDS["cold_slack"]
            if recent > allowed:
                yield f"{target} got {recent} in a second, {allowed} allowed"
                break


def check_stops(environment: Environment) -> Iterator[str]:
    """Check that a graceful stop interrupts no request.

    Counted are requests sent from 1 s before SIGTERM until the exit that ended without a response,
    and not because the caller cancelled them. Not counted are requests that a fault of the process
    or of a target may have interrupted, and those that were never forwarded and either did not
    leave the caller, or whose connection was closed before CLOSE_RACE_SLACK_S had passed since. A
    caller on a busy machine may write long after it has connected, and on a closed connection, and
    may learn of the close seconds later; the times are those of its socket (`sockets.py`).
    """
    arrivals_by_id = defaultdict(list)
    for arrival in environment.ledger.arrivals:
        arrivals_by_id[arrival.request_id].append(arrival)
    for instance in environment.instances:
        for began_at, ended_at in instance.stops:
            if not environment.ledger.is_fault_free(
                make_process_key(instance.name), began_at - 1, ended_at
            ):
                continue
            for outcome in environment.ledger.outcomes_by_id.values():
                is_affected = outcome.instance == instance.name and outcome.was_connected
                is_interrupted = not outcome.status and outcome.error not in CALLER_TIMEOUT_ERRORS
                if not is_affected or not is_interrupted:
                    continue
                if not began_at - 1 <= outcome.sent_at <= ended_at:
                    continue
                arrivals = arrivals_by_id[outcome.request_id]
                if not all(
                    environment.ledger.is_fault_free(a.target, a.at - FAULT_FREE_LEAD_S, ended_at)
                    for a in arrivals
                ):
                    continue
                cut_at = outcome.closed_at or outcome.ended_at
                elapsed_s = cut_at - outcome.written_at if outcome.written_at else 0.0
                if arrivals or elapsed_s > CLOSE_RACE_SLACK_S:
                    after_s = outcome.sent_at - began_at
                    yield (
                        f"{outcome.request_id} on {instance.name}: sent {after_s:.2f} s after the "
                        f"signal, passed on {len(arrivals)} times, {outcome.error}, closed "
                        f"{elapsed_s:.2f} s after its last bytes left; the soak was late by "
                        f"{environment.max_lag_s:.2f} s at most"
                    )


def is_service_owed(environment: Environment, outcome: Outcome) -> bool:
    """Return whether a request has a key that is in force, and its tenant was not hot before."""
    if environment.tenants is None:
        return True
    is_hot = environment.tenants.is_hot(outcome.sent_at - 2 * QUOTA_WINDOW_S, outcome.sent_at)
    if outcome.status == 429 and is_hot:
        return False
    return outcome.route == PUBLIC_ROUTE or is_key_owed(environment, outcome)


def check_recovery(environment: Environment) -> Iterator[str]:
    """Check that almost all requests after the last fault succeed, abandoned ones left out."""
    after_faults = [
        o
        for o in environment.ledger.outcomes_by_id.values()
        if o.sent_at > environment.recovery_check_from
        and o.ended_at
        and o.error != "gave up"
        and is_service_owed(environment, o)
    ]
    served = sum(o.status == 200 for o in after_faults)
    if not after_faults or served < len(after_faults) * MIN_SERVED_SHARE:
        failures = sorted({f"{o.status} {o.error}" for o in after_faults if o.status != 200})
        late = any(at > environment.recovery_check_from for at in environment.long_lags_at)
        note = "; the soak itself was late meanwhile" if late else ""
        yield f"{served} of {len(after_faults)} requests after the faults: {failures[:5]}{note}"
