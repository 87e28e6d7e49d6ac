"""Share of one instance in the limit that a target has named for all instances together.

It handles the load pattern of a target in need that takes fewer requests a second than there are
instances that would send to it. Were each instance to take the limit as its own, or to send once in
a while, the fleet would send a multiple of it.

No instance decides for another. All rank the known instances by a hash that differs between
targets. The first ones use the target and space their requests; there are so few of them that the
limit also holds if all send at the same time. The others leave the target to them and try it one
after another, so that each learns when the limit has ended.

In any 4 s all instances together thus send at most 3.6 times the limit, spaced, 1.6 times the limit
and one or two at the same time, and tries: three eighths of the limit, or three. Times are in
seconds of the event loop's clock.
"""

from __future__ import annotations

from collections.abc import Collection

from .placement import compute_cross_domain_rank

# Share of the limit that is used. The remainder allows for requests that opening a connection
# delays, and for instances that don't know of each other yet.
USABLE_LIMIT_SHARE = 0.9
# How many requests all instances together may send at the same time: seconds of the limit, and a
# part of the five requests by which a target may exceed it. One instance sends two after a pause.
BURST_S = 1.6
BURST_SLACK = 1.5
MAX_BURST = 2
# A lower limit, such as 0, could never be found to have ended.
MIN_LIMIT_PER_S = 0.1
# Share of the limit for the tries of the other instances, but at least so many a second: with a low
# limit they would learn minutes late that it has ended. A turn without a request to send is missed,
# so that turns don't add up.
TURNS_LIMIT_SHARE = 1 / 16
MIN_TRIES_PER_S = 0.5
TURN_S = 2.0
# The tries are taken off the limit that is used, but no more than down to this share of it.
MIN_USABLE_LIMIT_SHARE = 0.5


class Spaced:
    """An instance that uses the target: one request each `interval_s`, `burst` after a pause."""

    __slots__ = ("interval_s", "burst")

    def __init__(self, interval_s: float, burst: int) -> None:
        self.interval_s = interval_s
        self.burst = burst


class InTurns:
    """An instance that leaves the target to others: one request in a turn each `interval_s`.

    `first_after_s` is the time until its first turn.
    """

    __slots__ = ("interval_s", "first_after_s")

    def __init__(self, interval_s: float, first_after_s: float) -> None:
        self.interval_s = interval_s
        self.first_after_s = first_after_s


Share = Spaced | InTurns


class LimitedSends:
    """The requests of one instance to a target that has just named a limit."""

    __slots__ = ("share", "_next_at")

    def __init__(self, share: Share, now: float) -> None:
        self.share = share
        # When the next request is due if they are spaced evenly, or the next turn begins.
        self._next_at = get_first_send_at(share, now)

    def set_share(self, share: Share, now: float) -> None:
        """Change the share; a limit that changes with each answer must not allow more."""
        if type(share) is not type(self.share):
            self._next_at = max(self._next_at, get_first_send_at(share, now))
        self.share = share

    def may_send(self, now: float) -> bool:
        """Return whether a request may be sent now."""
        match self.share:
            case Spaced(interval_s=interval_s, burst=burst):
                return now >= self._next_at - (burst - 1) * interval_s
            case InTurns(interval_s=interval_s):
                late_s = now - self._next_at
                if late_s >= TURN_S:
                    self._next_at += ((late_s - TURN_S) // interval_s + 1) * interval_s
                return now >= self._next_at

    def record_send(self, now: float) -> None:
        """Record a request."""
        self._next_at = max(self._next_at, now) + self.share.interval_s


def get_first_send_at(share: Share, now: float) -> float:
    """Return when the first request is due after the target was asked."""
    match share:
        case Spaced(interval_s=interval_s):
            return now + interval_s
        case InTurns(first_after_s=first_after_s):
            return now + first_after_s


def compute_share(
    requests_per_s: float, *, target_id: str, instance: str, instances: Collection[str]
) -> Share:
    """Return the share of an instance in a limit of requests a second of all `instances`."""
    limit = max(requests_per_s, MIN_LIMIT_PER_S)
    total = len(instances)
    largest_burst = max(int(limit * BURST_S + BURST_SLACK), 1)
    users = min(total, largest_burst)
    others = total - users
    tries_per_s = max(limit * TURNS_LIMIT_SHARE, MIN_TRIES_PER_S)
    usable_per_s = limit * USABLE_LIMIT_SHARE
    if others:
        usable_per_s = max(usable_per_s - tries_per_s, limit * MIN_USABLE_LIMIT_SHARE)
    own_rank = compute_cross_domain_rank(instance, target_id)
    position = sum(compute_cross_domain_rank(name, target_id) < own_rank for name in instances)
    if position < users:
        burst = min(largest_burst // users, MAX_BURST)
        return Spaced(users / usable_per_s, burst)
    interval_s = max(others / tries_per_s, 2 * TURN_S)
    return InTurns(interval_s, interval_s * (position - users + 1) / others)
