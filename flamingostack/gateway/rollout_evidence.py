"""Evidence on a version that is rolled out: counting, reports, and the comparison with the old one.

It handles these load patterns:

- A part of the answers of a version are failures, or several times slower, from the start or later,
  on all routes or on one. Failures and slow answers are compared by route.
- Trouble hits both versions: a burst, an outage, instances that are slow. The new version is
  expected to answer as badly as the old one in the same second on the same route.
- One target of either version pauses, is slow or dies. A version is only blamed for what more than
  one of its targets show, if it has more than one.
- Targets that have just started are slow for some seconds. Their latencies are not compared.

An instance counts from the moment it has seen the order, and reports totals. A report that is lost,
or that another instance gets after the coordinator has died, thus needs no repetition.
"""

from __future__ import annotations

import enum
import math
import zlib
from collections.abc import Callable, Iterable
from math import inf

import msgspec

# Latencies are counted in steps of a quarter, so that 3 times slower is 5 steps.
LATENCY_STEP = math.log(1.25)
MAX_LATENCY_STEP = 50
# An answer is slow from this many steps above the median of the old version: about 2.4 times.
SLOW_STEPS = 4
# It is also at least this much slower: a round trip between failure domains takes 8 ms, and the
# targets of the versions may be spread differently.
MIN_SLOW_EXCESS_S = 0.01
MIN_MEDIAN_ANSWERS = 8
MS_PER_S = 1000
# Targets of the old version are counted as one, and so are routes that do not fit into a report.
OLD_TARGETS = 0
OTHER_ROUTES = 0
# Leaves room in a datagram of 1,200 bytes for its head and the other fields of a report.
MAX_CELLS_BYTES = 600
SLOT_S = 1.0
MAX_SLOTS = 30
# Weight, in answers, of a route's share of bad answers over all slots against that of one slot.
PRIOR_ANSWERS = 5.0
# What is assumed of the old version before it has answered: 1 bad answer in 10. With less, 4 slow
# ones of 11 in the first second convicted a version of a service in which 8 in 100 are slow.
ASSUMED_BAD = 1.0
ASSUMED_ANSWERS = 10.0
# Lower expected shares are not believed.
MIN_EXPECTED_SHARE = 0.01
# Bad answers come in clusters, such as the requests of one slow instance.
CLUSTER_FACTOR = 1.2
MIN_FAILURES = 3
MIN_SLOW = 4
# Probability, for a version as good as the old one, of as many bad answers. It is divided by the
# number of routes for each of them, since each is another chance to find something.
BAD_PROBABILITY = 1e-4
# A version with a less probable number is not completed.
SUSPECT_PROBABILITY = 0.01
MIN_SUSPECT = 3
# With few answers at all, this share of bad ones is suspect if it is so much more than expected.
SUSPECT_SHARE = 0.25
SUSPECT_FACTOR = 4.0
# The bad answers of one target count little more than those of any other one. If the others have
# given fewer answers than this, they count in full once the one has given the second number.
MIN_OTHER_ANSWERS = 5
MIN_LONE_ANSWERS = 15
# Old answers that a slot is compared with; if it has fewer, those of up to this many slots before
# are added. In the last step nearly all requests go to the new version.
MIN_OLD_ANSWERS = 15
MAX_OLD_SLOTS = 3
# How many of the latest slots are compared on their own. A version that has just turned bad shows
# it there, while its good answers of before would hide it in the sum.
LATE_SLOTS = (1, 2)
# A version in doubt is rolled back if trouble of both versions would give so uneven numbers of bad
# answers with a lower probability. The second limit counts while the old version answers well: it
# has so few answers then that a lower limit would complete more bad versions.
COMMON_PROBABILITY = 0.05
UNSEEN_PROBABILITY = 0.35
# Beyond so many answers Fisher's test uses the normal distribution. The exact sum takes 0.1 s for
# 3,000 answers.
MAX_EXACT_ANSWERS = 500
# From here on the normal distribution is close enough, and the exact sum would lose its digits.
MAX_EXACT_EXPECTED = 200.0


class Cell:
    """Answers of one version on one route, from one target or several.

    `counts_by_step` holds the latencies that are compared, by step.
    """

    __slots__ = ("answers", "failures", "counts_by_step")

    def __init__(self) -> None:
        self.answers = 0
        self.failures = 0
        self.counts_by_step: dict[int, int] = {}

    def add(self, other: Cell) -> None:
        """Add the counts of another cell."""
        self.answers += other.answers
        self.failures += other.failures
        for step, count in other.counts_by_step.items():
            self.counts_by_step[step] = self.counts_by_step.get(step, 0) + count

    def slow_from(self, step: int) -> int:
        """Return how many latencies reach a step."""
        return sum(count for own, count in self.counts_by_step.items() if own >= step)

    @property
    def timed(self) -> int:
        """Number of latencies."""
        return sum(self.counts_by_step.values())


# Cells by route and target, both as checksums of their names.
Cells = dict[tuple[int, int], Cell]
# Returns the bad and all answers in a cell on a route.
Count = Callable[[Cell, int], tuple[int, int]]


def hash_name(name: str) -> int:
    """Return a short number for the name of a route or target, never 0."""
    return zlib.crc32(name.encode()) or 1


def get_latency_step(elapsed_s: float) -> int:
    """Return the step of a latency."""
    elapsed_ms = elapsed_s * MS_PER_S
    if elapsed_ms <= 1:
        return 0
    return min(int(math.log(elapsed_ms) / LATENCY_STEP), MAX_LATENCY_STEP)


def get_latency_s(step: int) -> float:
    """Return the least latency of a step."""
    return math.exp(step * LATENCY_STEP) / MS_PER_S


class CellReport(msgspec.Struct, array_like=True):
    """Totals of a cell; `latencies` holds a step and its count in turns."""

    route: int
    target: int
    answers: int
    failures: int
    latencies: list[int]


class Report(msgspec.Struct, array_like=True, kw_only=True):
    """What an instance has counted for an order since it saw it.

    `incarnation` changes with each start of the process and each order. `age_ms` is the time since
    it saw the order, -1 if the order was there when it started. `requests` counts first sends to
    the service, `exposed` all sends to the new version; `old_in_flight` are sends to other versions
    that have not ended. `epoch` is that of the last lease. `new_targets` are the usable targets of
    the new version. `is_stopped` is set once a coordinator has given the version up.
    """

    service: str
    version: str
    incarnation: int
    age_ms: int
    requests: int
    exposed: int
    old_in_flight: int
    epoch: int
    new_targets: int
    is_stopped: bool
    cells: list[CellReport]


class OwnEvidence:
    """What this instance has counted for one order."""

    __slots__ = ("requests", "exposed", "cells")

    def __init__(self) -> None:
        self.requests = 0
        self.exposed = 0
        self.cells: Cells = {}

    def count_answer(
        self, route: str, target: int, elapsed_s: float | None, is_failure: bool
    ) -> None:
        """Count an answer, or a send that had none; without a latency it is not compared."""
        cell = self.cells.setdefault((hash_name(route), target), Cell())
        cell.answers += 1
        cell.failures += is_failure
        if elapsed_s is not None:
            step = get_latency_step(elapsed_s)
            cell.counts_by_step[step] = cell.counts_by_step.get(step, 0) + 1

    def make_cells(self) -> list[CellReport]:
        """Return all cells; the routes with the fewest answers are joined if they do not fit."""
        reports = encode_cells(self.cells)
        if len(msgspec.msgpack.encode(reports)) <= MAX_CELLS_BYTES:
            return reports
        answers_by_route: dict[int, int] = {}
        for (route, _), cell in self.cells.items():
            answers_by_route[route] = answers_by_route.get(route, 0) + cell.answers
        kept = sorted(answers_by_route, key=answers_by_route.__getitem__, reverse=True)
        while kept:
            kept = kept[: len(kept) // 2]
            reports = encode_cells(join_routes(self.cells, set(kept)))
            if len(msgspec.msgpack.encode(reports)) <= MAX_CELLS_BYTES:
                break
        return reports


def join_routes(cells: Cells, kept: set[int]) -> Cells:
    """Return the cells with all routes joined but these."""
    joined: Cells = {}
    for (route, target), cell in cells.items():
        key = (route if route in kept else OTHER_ROUTES, target)
        joined.setdefault(key, Cell()).add(cell)
    return joined


def encode_cells(cells: Cells) -> list[CellReport]:
    """Return the reports of cells."""
    reports = []
    for (route, target), cell in cells.items():
        latencies = [number for pair in sorted(cell.counts_by_step.items()) for number in pair]
        reports.append(CellReport(route, target, cell.answers, cell.failures, latencies))
    return reports


def decode_cells(reports: Iterable[CellReport]) -> Cells:
    """Return the cells of a report."""
    cells: Cells = {}
    for report in reports:
        cell = cells.setdefault((report.route, report.target), Cell())
        cell.answers += report.answers
        cell.failures += report.failures
        for step, count in zip(report.latencies[::2], report.latencies[1::2], strict=False):
            cell.counts_by_step[step] = cell.counts_by_step.get(step, 0) + count
    return cells


def subtract_cells(cells: Cells, before: Cells) -> Cells:
    """Return what has been added to cells since an earlier report of the same instance."""
    added: Cells = {}
    for key, cell in cells.items():
        old = before.get(key, Cell())
        item = Cell()
        item.answers = max(cell.answers - old.answers, 0)
        item.failures = min(max(cell.failures - old.failures, 0), item.answers)
        for step, count in cell.counts_by_step.items():
            if count > old.counts_by_step.get(step, 0):
                item.counts_by_step[step] = count - old.counts_by_step.get(step, 0)
        if item.answers or item.counts_by_step:
            added[key] = item
    return added


class Verdict(enum.Enum):
    """What the evidence says of the new version."""

    GOOD = "good"
    # Too many bad answers to complete, and too few to roll back at once.
    SUSPECT = "suspect"
    BAD = "bad"


class Assessment:
    """A verdict, with the kind of bad answers that it is based on and their numbers."""

    __slots__ = ("verdict", "kind", "route", "bad", "expected", "answers")

    def __init__(
        self, verdict: Verdict, kind: str, route: int, bad: float, expected: float, answers: int
    ) -> None:
        self.verdict = verdict
        self.kind = kind
        # 0 means all routes.
        self.route = route
        self.bad = bad
        self.expected = expected
        self.answers = answers

    def describe(self) -> str:
        """Return the numbers in words."""
        scope = f" on route {self.route:08x}" if self.route else ""
        return (
            f"{self.bad:g} {self.kind} of {self.answers} answers{scope},"
            f" {self.expected:.2f} expected"
        )


class FleetEvidence:
    """Evidence of all instances in slots of a second, by the time at which it was reported."""

    __slots__ = ("_slots", "_older", "_total", "_late_slots", "_min_late_failures")

    def __init__(self) -> None:
        self._slots: list[tuple[int, Cells]] = []
        # Evidence from before the kept slots.
        self._older: Cells = {}
        self._total: Cells = {}
        # Evidence since the last step began; None before.
        self._late_slots: dict[int, Cells] | None = None
        self._min_late_failures = MIN_SUSPECT

    @property
    def has_late(self) -> bool:
        """Whether the latest answers are compared alone."""
        return self._late_slots is not None

    def start_late(self, min_failures: int = MIN_SUSPECT) -> None:
        """Compare what is added from now on also alone; fewer failures are not suspect there.

        With another share of the new version before, trouble of both that began in between looks
        like failures of the new version only.
        """
        self._late_slots = {}
        self._min_late_failures = min_failures

    def add(self, cells: Cells, now: float, *, is_first: bool = False) -> None:
        """Add what an instance has newly counted; the first report tells all it has counted."""
        number = int(now / SLOT_S)
        if self._late_slots is not None and not is_first:
            add_cells(self._late_slots.setdefault(number, {}), cells)
        if not self._slots or self._slots[-1][0] != number:
            self._slots.append((number, {}))
            if len(self._slots) > MAX_SLOTS:
                add_cells(self._older, self._slots.pop(0)[1])
        add_cells(self._slots[-1][1], cells)
        add_cells(self._total, cells)

    def count_answers(self) -> tuple[int, int]:
        """Return the number of answers of the old and of the new version."""
        old = sum(cell.answers for (_, target), cell in self._total.items() if not target)
        return old, sum(cell.answers for cell in self._total.values()) - old

    def assess(self, known_targets: int) -> Assessment:
        """Compare the new version with the old one; return the worst of all comparisons.

        `known_targets` is the number of targets of the new version.
        """
        worst = Assessment(Verdict.GOOD, "bad", OTHER_ROUTES, 0, 0.0, self.count_answers()[1])
        slots = [self._older, *(cells for _, cells in self._slots)]
        slow_steps_by_route = self._find_slow_steps()
        for kind, min_bad in (("failed", MIN_FAILURES), ("slow", MIN_SLOW)):
            comparisons = self._compare(kind, slots, slow_steps_by_route, known_targets)
            for route, comparison in comparisons.items():
                trials = max(len(comparisons) - 1, 1) if route else 1
                assessment = comparison.assess(kind, route, min_bad, trials)
                if rank_assessment(assessment) > rank_assessment(worst):
                    worst = assessment
        return worst

    def assess_late(self, known_targets: int, now: float, *, is_compared: bool) -> Assessment:
        """Compare the latest answers alone, of all routes together; return GOOD or SUSPECT.

        The old version's share of bad answers in the same slots counts, and less than what it
        showed before is not expected. With `is_compared` the old version must also have answered
        often enough in these slots to make trouble of both versions improbable.
        """
        worst = Assessment(Verdict.GOOD, "bad", OTHER_ROUTES, 0, 0.0, 0)
        if self._late_slots is None:
            return worst
        slow_steps_by_route = self._find_slow_steps()
        for slots in LATE_SLOTS:
            first = int(now / SLOT_S) - slots + 1
            late = [cells for number, cells in self._late_slots.items() if number >= first]
            for kind in ("failed", "slow"):
                count = make_count(kind, slow_steps_by_route)
                assessment = self._compare_late(
                    kind, late, count, known_targets, is_compared=is_compared
                )
                if rank_assessment(assessment) > rank_assessment(worst):
                    worst = assessment
        return worst

    def _compare_late(
        self,
        kind: str,
        slots: list[Cells],
        count: Count,
        known_targets: int,
        *,
        is_compared: bool,
    ) -> Assessment:
        comparison = Comparison(known_targets)
        bad_old = answers_old = 0
        for cells in slots:
            for (route, target), cell in cells.items():
                bad, answers = count(cell, route)
                if target == OLD_TARGETS:
                    bad_old += bad
                    answers_old += answers
                elif answers:
                    comparison.add(target, bad, answers, 0.0)
        bad_total = answers_total = 0
        for (route, target), cell in self._total.items():
            if target == OLD_TARGETS:
                bad, answers = count(cell, route)
                bad_total += bad
                answers_total += answers
        prior = (bad_total + ASSUMED_BAD) / (answers_total + ASSUMED_ANSWERS)
        share = bad_old + math.sqrt(bad_old) + PRIOR_ANSWERS * prior
        share /= answers_old + PRIOR_ANSWERS
        answers = sum(comparison.answers_by_target.values())
        expected = answers * max(share, prior, MIN_EXPECTED_SHARE)
        is_failed = kind == "failed"
        # As on a single route, one slow target is usual.
        bad = comparison.count_bad(1 if is_failed else 0)
        is_suspect = (
            bad >= (self._min_late_failures if is_failed else MIN_SLOW)
            and compute_tail(bad, expected * CLUSTER_FACTOR) < SUSPECT_PROBABILITY
            and (
                not is_compared
                or compute_common_probability(bad, answers, bad_old, answers_old)
                < (COMMON_PROBABILITY if bad_old else UNSEEN_PROBABILITY)
            )
        )
        verdict = Verdict.SUSPECT if is_suspect else Verdict.GOOD
        return Assessment(verdict, kind, OTHER_ROUTES, bad, expected, answers)

    def _find_slow_steps(self) -> dict[int, int]:
        """Return from which step an answer is slow, for routes with enough old answers."""
        steps_by_route = {}
        for (route, target), cell in self._total.items():
            if target == OLD_TARGETS and cell.timed >= MIN_MEDIAN_ANSWERS:
                median = find_median_step(cell)
                excess = get_latency_step(get_latency_s(median) + MIN_SLOW_EXCESS_S)
                steps_by_route[route] = max(median + SLOW_STEPS, excess)
        return steps_by_route

    def _compare(
        self,
        kind: str,
        slots: list[Cells],
        slow_steps_by_route: dict[int, int],
        known_targets: int,
    ) -> dict[int, Comparison]:
        """Return the comparisons of each route, and of all routes together under 0."""
        count = make_count(kind, slow_steps_by_route)
        comparisons: dict[int, Comparison] = {}
        whole = Comparison(known_targets)
        for number, cells in enumerate(slots):
            for (route, target), cell in cells.items():
                if target == OLD_TARGETS:
                    continue
                bad, answers = count(cell, route)
                if not answers:
                    continue
                bad_total, answers_total = count_old(self._total, route, count)
                prior = (bad_total + ASSUMED_BAD) / (answers_total + ASSUMED_ANSWERS)
                bad_old, answers_old = count_old_near(slots, number, route, count)
                # The root is the deviation by chance of the number of bad old answers.
                bad_old += math.sqrt(bad_old)
                share = (bad_old + PRIOR_ANSWERS * prior) / (answers_old + PRIOR_ANSWERS)
                if answers > count_old(cells, route, count)[1]:
                    # The old version gets less load here than it had, and may answer better.
                    share = max(share, prior)
                unseen = ASSUMED_BAD / (answers_total + ASSUMED_ANSWERS)
                expected = answers * max(share, unseen, MIN_EXPECTED_SHARE)
                if route not in comparisons:
                    comparisons[route] = Comparison(known_targets)
                for comparison in (whole, comparisons[route]):
                    comparison.add(target, bad, answers, expected)
        comparisons[OTHER_ROUTES] = whole
        return comparisons


def make_count(kind: str, slow_steps_by_route: dict[int, int]) -> Count:
    """Return the function that counts the bad answers of a kind."""

    def count(cell: Cell, route: int) -> tuple[int, int]:
        if kind == "failed":
            return cell.failures, cell.answers
        step = slow_steps_by_route.get(route)
        return (0, 0) if step is None else (cell.slow_from(step), cell.timed)

    return count


def count_old(cells: Cells, route: int, count: Count) -> tuple[int, int]:
    """Return the bad and all answers of the old version on a route."""
    cell = cells.get((route, OLD_TARGETS))
    return (0, 0) if cell is None else count(cell, route)


def count_old_near(slots: list[Cells], number: int, route: int, count: Count) -> tuple[int, int]:
    """Return the bad and all answers of the old version in a slot, or shortly before it."""
    bad = answers = 0
    for cells in slots[number : max(number - MAX_OLD_SLOTS, 0) : -1]:
        bad_in_slot, answers_in_slot = count_old(cells, route, count)
        bad += bad_in_slot
        answers += answers_in_slot
        if answers >= MIN_OLD_ANSWERS:
            break
    return bad, answers


class Comparison:
    """Bad and expected bad answers of the new version, by target."""

    __slots__ = ("bad_by_target", "answers_by_target", "expected", "known_targets")

    def __init__(self, known_targets: int) -> None:
        # How many targets of the new version there are.
        self.known_targets = known_targets
        self.bad_by_target: dict[int, int] = {}
        self.answers_by_target: dict[int, int] = {}
        self.expected = 0.0

    def add(self, target: int, bad: int, answers: int, expected: float) -> None:
        """Add the answers of a target."""
        self.bad_by_target[target] = self.bad_by_target.get(target, 0) + bad
        self.answers_by_target[target] = self.answers_by_target.get(target, 0) + answers
        self.expected += expected

    def count_bad(self, allowance: int) -> int:
        """Return the bad answers, without those that only one target accounts for.

        The worst target counts for `allowance` more than the one next to it.
        """
        if not self.bad_by_target or self.known_targets < 2:
            return sum(self.bad_by_target.values())
        ranked = sorted(self.bad_by_target, key=self.bad_by_target.__getitem__, reverse=True)
        worst, others = ranked[0], ranked[1:]
        other_answers = sum(self.answers_by_target[target] for target in others)
        other_bad = sum(self.bad_by_target[target] for target in others)
        is_lone = (
            other_answers < MIN_OTHER_ANSWERS and self.answers_by_target[worst] >= MIN_LONE_ANSWERS
        )
        limit = (self.bad_by_target[others[0]] if others else 0) + allowance
        if is_lone:
            limit = inf
        return other_bad + min(self.bad_by_target[worst], limit)

    def assess(self, kind: str, route: int, min_bad: int, trials: int) -> Assessment:
        """Return the verdict on these answers, as one of several that are tried."""
        # A slow target, and one slow answer of another one by chance, are usual on a single route.
        allowance = 0 if route and kind == "slow" else 1
        bad = self.count_bad(allowance)
        answers = sum(self.answers_by_target.values())
        expected = self.expected * CLUSTER_FACTOR
        probability = compute_tail(bad, expected) * trials
        verdict = Verdict.GOOD
        if bad >= min_bad and probability < BAD_PROBABILITY:
            verdict = Verdict.BAD
        elif bad >= MIN_SUSPECT and (
            probability < SUSPECT_PROBABILITY
            or (not route and bad >= max(SUSPECT_SHARE * answers, SUSPECT_FACTOR * expected))
        ):
            verdict = Verdict.SUSPECT
        return Assessment(verdict, kind, route, bad, self.expected, answers)


def rank_assessment(assessment: Assessment) -> tuple[int, float]:
    """Return a sort key: the worst verdict is greatest."""
    order = (Verdict.GOOD, Verdict.SUSPECT, Verdict.BAD)
    return order.index(assessment.verdict), assessment.bad - assessment.expected


def add_cells(total: Cells, cells: Cells) -> None:
    """Add cells to a total."""
    for key, cell in cells.items():
        total.setdefault(key, Cell()).add(cell)


def find_median_step(cell: Cell) -> int:
    """Return the step of the median latency."""
    remaining = cell.timed / 2
    for step in sorted(cell.counts_by_step):
        remaining -= cell.counts_by_step[step]
        if remaining <= 0:
            return step
    return MAX_LATENCY_STEP


def compute_tail(count: int, expected: float) -> float:
    """Return the probability of `count` or more events where `expected` are expected (Poisson)."""
    if count <= 0:
        return 1.0
    if expected > MAX_EXACT_EXPECTED:
        return math.erfc((count - 0.5 - expected) / math.sqrt(2 * expected)) / 2
    term = math.exp(-expected)
    below = 0.0
    for number in range(count):
        below += term
        term *= expected / (number + 1)
    return max(1.0 - below, 0.0)


def compute_common_probability(bad_new: int, new: int, bad_old: int, old: int) -> float:
    """Return the probability of as many bad new answers if both versions have the same share.

    The sum of the bad answers is given (Fisher's exact test).
    """
    bad, answers = bad_new + bad_old, new + old
    if answers > MAX_EXACT_ANSWERS:
        mean = bad * new / answers
        variance = mean * (old / answers) * (answers - bad) / (answers - 1)
        if not variance:
            return 1.0
        return 0.5 * math.erfc((bad_new - 0.5 - mean) / math.sqrt(2 * variance))
    ways = sum(
        math.comb(new, number) * math.comb(old, bad - number)
        for number in range(bad_new, min(bad, new) + 1)
    )
    return ways / math.comb(answers, bad)
