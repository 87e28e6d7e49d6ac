"""Decisions of the coordinator of one order: share of the new version, verdict, next state.

It handles these load patterns:

- A version is bad from the start. Only a few requests have reached it before the verdict, also of
  a service with thousands of requests a second.
- A version turns bad late, or only under load. The share is small until shortly before the
  deadline, and what is left of the exposure bound pays for the last step: under a second of nearly
  all requests, and the time in which the old targets' last requests end. Then the state is written.
- A service gets a few requests a second. The slack of the bound is used early, so that there is
  evidence at all.
- Requests are spread unevenly, and instances come and go. The share is a probability at each
  instance, so the exposure follows the requests that really arrive.

The coordinator knows only what instances report. All times are in seconds of one clock that also
passes while the process stands still.
"""

from __future__ import annotations

import enum
from collections.abc import Collection
from math import inf

from .model import RolloutOrder, RolloutState
from .rollout_evidence import (
    Assessment,
    Cells,
    FleetEvidence,
    Report,
    Verdict,
    decode_cells,
    subtract_cells,
)

# The state is written this long before the deadline: a slow store takes 0.2 s for a call, and the
# order was seen up to 0.4 s after it was written. A share of it in long orders, up to a limit.
MARGIN_S = 1.0
MARGIN_SHARE = 0.08
MAX_MARGIN_S = 5.0
# For how long nearly all requests go to the new version, and then all, before the state is written.
# Both shrink with orders that are shorter than the usual one.
# A service with few requests takes the first of them longer, as far as the bound allows.
FULL_S = 0.6
MAX_FULL_S = 3.0
FINAL_S = 0.3
# Part of the bound that may be used when the state is written, and how long that takes after the
# last step, both for the choice of that time.
USABLE_BOUND_SHARE = 0.9
# A coordinator that takes over late shortens the last step to this, to write the state in time.
MIN_FULL_S = 0.3
# If not all instances report to it, another coordinator may write at the latest time of a write.
# With 0.3 s, requests were in flight at old targets then in 8 of 60 seeds, and in none with 0.1 s.
SPLIT_FULL_S = 0.1
LAST_STEP_S = 0.6
USUAL_DURATION_S = 10.0
# The rest of the requests goes to the old version for comparison.
FULL_SHARE = 0.7
# In doubt, half of the requests show whether the old version has the same trouble.
DOUBT_SHARE = 0.5
# All waits end this long after the planned time of the write, so that the state is written in time
# also beside a dead instance.
MAX_DELAY_S = 0.1
# In doubt, the time from the end of the comparison to the latest time of the write: the instances
# leave the old version, and report that.
DOUBT_FINAL_S = 0.25
# A coordinator that takes over late sees some ten answers in its last step. So many failures among
# them are suspect: after a death at 9.2 of 12 s, 36 of 60 versions that fail in 40% from 10.8 s on
# were completed with 3, and 27 with 2.
MIN_SUCCESSOR_FAILURES = 2
# How long the end of the requests at old targets is waited for if the deadline has passed anyway,
# and at least after the process of the coordinator has stood still.
MAX_WAIT_S = 0.5
# The process has stood still if two ticks are further apart; it ticks each 0.05 s. An instance
# asks another coordinator after 0.4 s, and its lease of the last step lasts for as long at least.
# After a shorter gap its last question is answered, so that nothing has to be confirmed again.
MAX_TICK_GAP_S = 0.35
# A coordinator that has stood still in this time does not complete beside silent instances if half
# of those that reported in this time are silent: they follow another coordinator.
RECENT_S = 5.0
# A suspect version may take its last step up to this much later than planned.
SUSPECT_DELAY_S = 0.4
# Parts of the bound's share and slack that may be used before the last step. The first pair serves
# services with few requests, the second one those with many; the lower of both sums counts.
SMALL_SHARE, SMALL_SLACK = 0.4, 0.4
LARGE_SHARE, LARGE_SLACK = 0.15, 0.8
# The slack is released evenly over this part of the time before the last step.
SLACK_RELEASE_SHARE = 0.6
# What earlier processes may have used, in parts of the slack, and how much of the duration may have
# passed, if all instances have restarted during an order.
ASSUMED_SLACK = 0.5
ASSUMED_AGE_SHARE = 0.4
SHARES = (0.0, 0.01, 0.02, 0.03, 0.05, 0.08, 0.12, 0.18, 0.25, 0.35, 0.5)
# Before the first requests are reported, and how often the share may grow then by a step. In the
# first second most instances have not reported yet, and the rate of requests looks too low.
FIRST_SHARE = 0.02
RAISE_INTERVAL_S = 0.5
# A share is kept while the computed one is at least this part of it.
KEEP_SHARE = 0.7
# For a service that gets no requests at present.
IDLE_SHARE = 0.12
RATE_WINDOW_S = 2.0
# A comparison over ten routes takes 2.5 ms.
ASSESS_INTERVAL_S = 0.1
MAX_FIRST_EPOCH = 0x3FFFFFFF
# An instance that has not reported for this long has no lease any more.
REPORT_MAX_AGE_S = 2.2
# Reports of all instances together, per second, and the limits of the interval of one instance.
MAX_REPORTS_PER_S = 1000.0
REPORT_INTERVAL_S = 1.0
RAMP_REPORT_INTERVAL_S = 0.2
FINAL_REPORT_INTERVAL_S = 0.1
# Share of the instances that know the order, and answer, which have to report before the last step.
# The others have not found this coordinator yet, or follow another one. They are asked first.
MIN_REPORTING_SHARE = 0.6
MIN_COORDINATION_S = 0.5
# Past the deadline, another coordinator has had this time to write the state.
MAX_QUORUM_WAIT_S = 2.0
# How long a lease is valid. While nearly all requests go to the new version, the death of the
# coordinator must not leave it at that for long, and less so when all do: its death at 10.9 of 12 s
# led beyond the exposure bound in 39 of 60 seeds with 2 s, and in 5 with 0.5 s. After two lost
# reports (0.4 s) the next instance is asked. Once a write may have run, the death must not lead
# back to the old version.
LEASE_S = 2.0
FULL_LEASE_S = 0.7
FINAL_LEASE_S = 0.5


class Phase(enum.Enum):
    """Progress of an order at its coordinator."""

    CANARY = "canary"
    # Nearly all requests go to the new version.
    FULL = "full"
    # All do.
    FINAL = "final"
    # Decided: the state has to be written.
    COMPLETING = "completing"
    ROLLING_BACK = "rolling_back"


DECISIONS = {
    Phase.COMPLETING: RolloutState.COMPLETED,
    Phase.ROLLING_BACK: RolloutState.ROLLED_BACK,
}


class Instance:
    """The last report of an instance, and totals of its earlier processes."""

    __slots__ = ("report", "cells", "heard_at")

    def __init__(self, report: Report, cells: Cells, heard_at: float) -> None:
        self.report = report
        self.cells = cells
        self.heard_at = heard_at


class Coordinator:
    """State of one order at its coordinator; `seen_at` is when this instance saw the order."""

    __slots__ = (
        "order",
        "bound_share",
        "bound_slack",
        "started_at",
        "phase",
        "share",
        "epoch",
        "reason",
        "requests",
        "exposed",
        "had_targets",
        "assessment",
        "late_assessment",
        "is_in_doubt",
        "is_write_uncertain",
        "_phase_at",
        "_new_targets",
        "_full_s",
        "_final_s",
        "_slack",
        "_raised_at",
        "_assumed",
        "_evidence",
        "_instances_by_name",
        "_requests_by_second",
        "_is_changed",
        "_assessed_at",
        "_created_at",
        "_ticked_at",
        "_resumed_at",
        "_is_repetition_held",
    )

    def __init__(
        self,
        order: RolloutOrder,
        now: float,
        *,
        bound_share: float,
        bound_slack: float,
        seen_at: float | None,
    ) -> None:
        self.order = order
        self.bound_share = bound_share
        self.bound_slack = bound_slack
        # When the order was written, as far as known. Reports of others may tell an earlier time.
        self.started_at = now if seen_at is None else seen_at
        self.phase = Phase.CANARY
        self.share = 0.0
        # Two coordinators, or one before and after a restart, must not confirm for each other.
        self.epoch = int(now * 1000) & MAX_FIRST_EPOCH
        self.reason = ""
        self.requests = 0
        self.exposed = 0
        self.had_targets = False
        self.assessment = Assessment(Verdict.GOOD, "bad", 0, 0, 0.0, 0)
        # What the latest answers say alone; known in the last step.
        self.late_assessment = self.assessment
        # Whether the latest answers have looked bad in the last step.
        self.is_in_doubt = False
        # Whether a write of the decision may have been executed without an answer.
        self.is_write_uncertain = False
        self._phase_at = now
        self._new_targets = 0
        self._full_s = FULL_S
        self._final_s = FINAL_S
        # Other coordinators may use the slack for the instances that do not report here.
        self._slack = 0.0
        self._raised_at = now
        self._assumed = 0.0
        if seen_at is None and order.state is RolloutState.RUNNING:
            self._assumed = bound_slack * ASSUMED_SLACK
            self.started_at = now - order.duration_s * ASSUMED_AGE_SHARE
        self._evidence = FleetEvidence()
        self._instances_by_name: dict[str, Instance] = {}
        self._requests_by_second: dict[int, int] = {}
        self._is_changed = False
        self._assessed_at = now
        self._created_at = now
        self._ticked_at: float | None = None
        # When the process last ran again after it had stood still.
        self._resumed_at = -inf
        # Whether a write that may have run waits for the instances to confirm again.
        self._is_repetition_held = False

    @property
    def decision(self) -> RolloutState | None:
        """The state to write; None before the decision."""
        return DECISIONS.get(self.phase)

    @property
    def margin_s(self) -> float:
        """How long before the deadline the state is written."""
        duration_s = self.order.duration_s
        margin_s = min(max(MARGIN_S, duration_s * MARGIN_SHARE), MAX_MARGIN_S)
        return min(margin_s, duration_s * 0.25)

    @property
    def _scale(self) -> float:
        return min(self.order.duration_s / USUAL_DURATION_S, 1.0)

    @property
    def close_at(self) -> float:
        """When the state should be written."""
        return self.started_at + self.order.duration_s - self.margin_s

    @property
    def write_by(self) -> float:
        """The latest time at which a state is written in time; all waits end here."""
        return self.close_at + MAX_DELAY_S * self._scale

    @property
    def full_at(self) -> float:
        """When the last step should begin."""
        return self.close_at - (self._full_s + FINAL_S) * self._scale

    @property
    def _is_late_successor(self) -> bool:
        """Whether this coordinator has replaced another one so late that its last step is short.

        It begins that step in doubt, and uses all the time, since it sees few answers there.
        """
        return self._created_at > self.full_at - MIN_COORDINATION_S * self._scale

    def _update_full_s(self, now: float) -> None:
        """Set for how long nearly all requests may go to the new version within the bound."""
        if self.phase is not Phase.CANARY or now - self.started_at < RATE_WINDOW_S:
            return
        slack = self._slack
        rate = self.requests / (now - self.started_at)
        requests = rate * (self.order.duration_s - self.margin_s)
        bound = (self.bound_share * requests + slack) * USABLE_BOUND_SHARE
        before = min(self._sum_limits(requests, slack))
        left = bound - before - rate * LAST_STEP_S
        self._full_s = min(max(left / max(rate, 1.0) / FULL_SHARE, FULL_S), MAX_FULL_S)

    def record(self, name: str, report: Report, now: float) -> None:
        """Add what an instance reports."""
        known = self._instances_by_name.get(name)
        cells = decode_cells(report.cells)
        requests, exposed, before = report.requests, report.exposed, Cells()
        if known is not None and known.report.incarnation == report.incarnation:
            requests -= known.report.requests
            exposed -= known.report.exposed
            before = known.cells
            if requests < 0 or exposed < 0:
                # An older report that arrives late.
                return
        self.requests += requests
        self.exposed += exposed
        second = int(now)
        self._requests_by_second[second] = self._requests_by_second.get(second, 0) + requests
        added = subtract_cells(cells, before)
        if added:
            self._evidence.add(added, now, is_first=known is None)
            self._is_changed = True
        self._instances_by_name[name] = Instance(report, cells, now)
        self.had_targets = self.had_targets or report.new_targets > 0
        if report.age_ms >= 0:
            self._record_age(report.age_ms / 1000, now)
        if report.is_stopped and not self.is_write_uncertain:
            self._decide(Phase.ROLLING_BACK, "given up by an earlier coordinator", now)

    def _record_age(self, age_s: float, now: float) -> None:
        if self._assumed:
            # Somebody has counted since the order was seen; nothing has to be assumed.
            self._assumed = 0.0
            self.started_at = now
        if age_s <= self.order.duration_s:
            self.started_at = min(self.started_at, now - age_s)

    def tick(
        self, known_instances: int, answering: Collection[str], new_targets: int, now: float
    ) -> bool:
        """Decide what follows; return whether the instances should ask for a new lease at once.

        `known_instances` is the number of all instances, also of those that are gone, and
        `answering` are those that answer and know the order.
        """
        self._new_targets = max(new_targets, self._count_reported_targets(now))
        self.had_targets = self.had_targets or self._new_targets > 0
        if self._is_changed and now - self._assessed_at >= ASSESS_INTERVAL_S:
            self._is_changed = False
            self._assessed_at = now
            self.assessment = self._evidence.assess(self._new_targets)
            is_bad = self.assessment.verdict is Verdict.BAD
            if self.phase is Phase.FULL and not self.is_in_doubt and not is_bad:
                self._assess_late(now, is_compared=False)
        before = (self.phase, self.epoch)
        if self.has_stalled(now):
            self._resume(now)
        self._ticked_at = now
        reporting = self._count_reporting(now) / max(known_instances, 1)
        self._slack = self.bound_slack * min(reporting, 1.0)
        self._update_full_s(now)
        match self.phase:
            case Phase.CANARY:
                self._tick_canary(answering, now)
            case Phase.FULL:
                self._tick_full(known_instances, now)
            case Phase.FINAL:
                self._tick_final(known_instances, now)
            case Phase.COMPLETING:
                self._tick_completing(known_instances, now)
        return (self.phase, self.epoch) != before

    def has_stalled(self, now: float) -> bool:
        """Return whether the process has stood still since the last tick."""
        return self._ticked_at is not None and now - self._ticked_at > MAX_TICK_GAP_S

    def _resume(self, now: float) -> None:
        """Go on after the process has stood still.

        Instances may have lost their leases or follow another coordinator, and reports of that time
        may have waited in the socket. A new epoch makes all confirm again.
        """
        self._resumed_at = now
        if self.phase is Phase.COMPLETING and self.is_write_uncertain:
            self._is_repetition_held = True
        elif self.phase is Phase.COMPLETING:
            self.phase = Phase.FINAL
        self.epoch += 1

    def may_write(self, now: float) -> bool:
        """Return whether the decision still holds for a write that starts now."""
        if self.phase is not Phase.COMPLETING:
            return self.decision is not None
        return not self.has_stalled(now) and not self._is_repetition_held

    def _tick_canary(self, answering: Collection[str], now: float) -> None:
        if self._roll_back_if_bad(now):
            return
        if self._is_late_successor and not self._evidence.has_late:
            self._evidence.start_late(MIN_SUCCESSOR_FAILURES)
        if now < self.full_at:
            self._limit_share(self._compute_share(now), now)
            return
        if not self._new_targets:
            if now >= self.close_at:
                came = "is left" if self.had_targets else "came"
                self._decide(Phase.ROLLING_BACK, f"no target of the version {came}", now)
            return
        if self.assessment.verdict is Verdict.SUSPECT:
            if now >= self.full_at + SUSPECT_DELAY_S * self._scale:
                self._decide(Phase.ROLLING_BACK, "suspect: " + self.assessment.describe(), now)
            return
        if not self.has_quorum(answering, now) or now < self._created_at + MIN_COORDINATION_S:
            if now >= self.started_at + self.order.duration_s + MAX_QUORUM_WAIT_S:
                self._decide(Phase.ROLLING_BACK, "most instances follow another coordinator", now)
            return
        self.is_in_doubt = self._is_late_successor
        if not self.is_in_doubt:
            self._evidence.start_late()
        self._enter(Phase.FULL, DOUBT_SHARE if self.is_in_doubt else FULL_SHARE, now)

    def _tick_full(self, known_instances: int, now: float) -> None:
        if self._roll_back_if_bad(now):
            return
        if self._find_suspect() is not None and not self.is_in_doubt:
            self.is_in_doubt = True
            self._final_s = DOUBT_FINAL_S
            self.share = DOUBT_SHARE
            self.epoch += 1
        if self.is_in_doubt:
            # A late successor has time neither for a longer comparison nor to wait after it.
            ends_at = self.close_at if self._is_late_successor else self.write_by
            ends_at -= self._final_s * self._scale
        else:
            ends_at = self.close_at - FINAL_S * self._scale
            ends_at = min(self._phase_at + self._full_s * self._scale, ends_at)
        if now < max(ends_at, self._phase_at + self._find_least_full_s(known_instances, now)):
            return
        if self._roll_back_if_suspect(now):
            # There is no time for more evidence, nor exposure for it.
            return
        self._enter(Phase.FINAL, 1.0, now)

    def _find_least_full_s(self, known_instances: int, now: float) -> float:
        """Return how long a part of the requests goes to the old version in the last step."""
        is_split = self._count_reporting(now) < known_instances and self._phase_at < self.write_by
        least_s = SPLIT_FULL_S if is_split and self._is_late_successor else MIN_FULL_S
        return least_s * self._scale

    def _tick_final(self, known_instances: int, now: float) -> None:
        if self._roll_back_if_bad(now):
            return
        if not self._new_targets:
            self._decide(Phase.ROLLING_BACK, "no target of the version is left", now)
            return
        least_at = self._phase_at + self._final_s * self._scale
        if self._is_late_successor:
            least_at = max(least_at, self.write_by)
        elif self._phase_at <= self._resumed_at < self.write_by:
            # All instances have to confirm again, so the time that was lost is saved here.
            least_at = min(least_at, self.write_by)
        if now < least_at:
            return
        if not self._has_left_old(known_instances, now) and (
            now < self._find_wait_end(least_at) or self._is_left_by_most(now)
        ):
            return
        if self._roll_back_if_suspect(now):
            return
        _, answers = self._evidence.count_answers()
        self._decide(Phase.COMPLETING, f"{answers} answers are as good as before", now)

    def _find_wait_end(self, least_at: float) -> float:
        """Return until when the instances are waited for; `least_at` ends the last step."""
        ends_at = self.write_by
        if least_at > ends_at:
            # A coordinator that has taken over late is in time only if it waits for nothing.
            is_late = least_at >= self.started_at + self.order.duration_s
            ends_at = least_at + MAX_WAIT_S * self._scale if is_late else least_at
        return max(ends_at, self._resumed_at + MAX_WAIT_S * self._scale)

    def _assess_late(self, now: float, *, is_compared: bool) -> None:
        self.late_assessment = self._evidence.assess_late(
            self._new_targets, now, is_compared=is_compared
        )

    def _find_suspect(self) -> Assessment | None:
        for assessment in (self.assessment, self.late_assessment):
            if assessment.verdict is not Verdict.GOOD:
                return assessment
        return None

    def _roll_back_if_suspect(self, now: float) -> bool:
        # The one that raised the doubt was not compared with the old version's answers.
        self._assess_late(now, is_compared=True)
        suspect = self._find_suspect()
        if suspect is None:
            return False
        self._decide(Phase.ROLLING_BACK, "suspect: " + suspect.describe(), now)
        return True

    def _tick_completing(self, known_instances: int, now: float) -> None:
        """Take the decision back while the store has certainly not executed it."""
        if self._is_repetition_held:
            ends_at = self._resumed_at + LEASE_S
            self._is_repetition_held = (
                not self._has_left_old(known_instances, now) and now < ends_at
            )
        if self.assessment.verdict is Verdict.BAD and not self.is_write_uncertain:
            self._enter(Phase.ROLLING_BACK, 0.0, now)
            self.reason = self.assessment.describe()

    def _has_left_old(self, known_instances: int, now: float) -> bool:
        """Return whether all known instances have reported that they use the new version only.

        One that does not report here may be dead, or follow another coordinator and still send to
        the old version. That coordinator takes its last step by the latest time of a write.
        A report counts for half of its lease only, since an instance without one uses the old
        version.
        """
        left = sum(not item.report.old_in_flight for item in self._find_confirming(now))
        return left >= known_instances

    def _is_left_by_most(self, now: float) -> bool:
        """Return whether half of the instances do not confirm again after a stall."""
        if now - self._resumed_at >= RECENT_S:
            return False
        recent = sum(now - item.heard_at < RECENT_S for item in self._instances_by_name.values())
        return len(self._find_confirming(now)) * 2 <= recent

    def _find_confirming(self, now: float) -> list[Instance]:
        oldest_at = now - self.lease_s / 2
        return [
            item
            for item in self._instances_by_name.values()
            if item.heard_at > oldest_at and item.report.epoch == self.epoch
        ]

    def _roll_back_if_bad(self, now: float) -> bool:
        if self.assessment.verdict is not Verdict.BAD:
            return False
        self._decide(Phase.ROLLING_BACK, self.assessment.describe(), now)
        return True

    def _decide(self, phase: Phase, reason: str, now: float) -> None:
        if self.phase in DECISIONS:
            return
        self.reason = reason
        self._enter(phase, 0.0 if phase is Phase.ROLLING_BACK else 1.0, now)

    def _enter(self, phase: Phase, share: float, now: float) -> None:
        self.phase = phase
        self.share = share
        self.epoch += 1
        self._phase_at = now

    def _limit_share(self, share: float, now: float) -> None:
        """Set the step below a share; it grows by one at a time, and does not follow each noise."""
        step = max(item for item in SHARES if item <= max(share, 0.0))
        if step <= max(self.share, FIRST_SHARE):
            if share < self.share * KEEP_SHARE or self.share < step:
                self.share = step
        elif now - self._raised_at >= RAISE_INTERVAL_S:
            self._raised_at = now
            self.share = next(item for item in SHARES if item > max(self.share, FIRST_SHARE))

    def _compute_share(self, now: float) -> float:
        """Return the share with which the exposure stays within its part of the bound."""
        if not self.had_targets:
            return 0.0
        rate = self._request_rate(now)
        if not rate:
            return IDLE_SHARE if self.requests else FIRST_SHARE
        # Reports and leases are up to a second old.
        requests = self.requests + rate * REPORT_INTERVAL_S
        room = self._exposure_limit(requests, now) - self.exposed - self._assumed
        return room / (rate * 2 * REPORT_INTERVAL_S)

    def _exposure_limit(self, requests: float, now: float) -> float:
        """Return the number of requests that may have reached the new version by now."""
        release_s = (self.full_at - self.started_at) * SLACK_RELEASE_SHARE
        released = min((now - self.started_at) / release_s, 1.0) if release_s > 0 else 1.0
        slack = self._slack * released
        return min(self._sum_limits(requests, slack))

    def _sum_limits(self, requests: float, slack: float) -> tuple[float, float]:
        share = self.bound_share * requests
        return (
            SMALL_SHARE * share + SMALL_SLACK * slack,
            LARGE_SHARE * share + LARGE_SLACK * slack,
        )

    def _request_rate(self, now: float) -> float:
        first = int(now - RATE_WINDOW_S)
        for second in [item for item in self._requests_by_second if item < first]:
            del self._requests_by_second[second]
        return sum(self._requests_by_second.values()) / (now - first)

    def _count_reporting(self, now: float) -> int:
        return sum(
            now - item.heard_at < REPORT_MAX_AGE_S for item in self._instances_by_name.values()
        )

    def _count_reported_targets(self, now: float) -> int:
        """Return the most usable targets of the new version that an instance knows."""
        return max(
            (
                item.report.new_targets
                for item in self._instances_by_name.values()
                if now - item.heard_at < REPORT_MAX_AGE_S
            ),
            default=0,
        )

    def has_quorum(self, answering: Collection[str], now: float) -> bool:
        """Return whether most of the instances that answer report here."""
        reporting = self.find_reporting(now)
        return len(reporting) >= MIN_REPORTING_SHARE * len(reporting.union(answering))

    def find_reporting(self, now: float) -> set[str]:
        """Return the instances that have reported lately."""
        return {
            name
            for name, item in self._instances_by_name.items()
            if now - item.heard_at < REPORT_MAX_AGE_S
        }

    @property
    def lease_s(self) -> float:
        """For how long a lease is valid."""
        match self.phase:
            case Phase.FULL:
                return FULL_LEASE_S
            case Phase.FINAL:
                # In large fleets the reports that renew a lease are further apart.
                return min(max(FINAL_LEASE_S, 2 * self._least_interval_s), LEASE_S)
        return LEASE_S

    @property
    def _least_interval_s(self) -> float:
        """How often an instance may report at most, so that all do not report too often."""
        return len(self._instances_by_name) / MAX_REPORTS_PER_S

    def report_interval_s(self, now: float) -> float:
        """Return how often an instance should report."""
        if now < self.full_at - RAMP_REPORT_INTERVAL_S:
            shortest_s = REPORT_INTERVAL_S
        elif self.phase is Phase.FINAL or self.is_in_doubt:
            shortest_s = FINAL_REPORT_INTERVAL_S
        else:
            shortest_s = RAMP_REPORT_INTERVAL_S
        return min(max(shortest_s, self._least_interval_s), REPORT_INTERVAL_S)

    @property
    def reporting_instances(self) -> list[str]:
        """The instances that have reported."""
        return list(self._instances_by_name)
