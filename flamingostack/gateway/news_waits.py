"""How long instances may wait for news of the store, as a share of the usual waits.

The waits of readers (`feeds.py`) and followers (`follower.py`) add up: until a reader knows that
the store is silent, its followers select other sources, and these ask the store. The usual waits
keep news within 5 s. Where a deployment demands them earlier, all of these waits are shorter in the
same proportion, which costs calls.
"""

from __future__ import annotations

from collections.abc import Iterable

# The bound for which the usual waits are laid out.
USUAL_DELAY_S = 5.0
# The part of it that does not depend on them: a pause between watches, the interval at which
# sources are selected, calls, and a margin.
FIXED_DELAY_S = 1.0
# With a smaller share, a store that takes 0.24 s for an answer would count as silent.
MIN_SHARE = 0.3
# The time limit of a call beyond the wait of its watch (`platform/objects.py`), and a margin for
# the next call.
UNANSWERED_S = 1.5 + 1.0
MIN_WATCH_WAIT_S = 2.0


def compute_watch_wait(delay_s: float, stability_s: float) -> float:
    """Return for how many seconds a watch may wait whose news have to be in force after `delay_s`.

    An answer may be lost on its way, and its connection returns nothing further. That is known once
    the watch and the time limit of its call are over, while other calls are answered. The bound
    holds again once the store has been undisturbed for `stability_s`.
    """
    return max(stability_s + delay_s - UNANSWERED_S, MIN_WATCH_WAIT_S)


def compute_wait_share(delays_s: Iterable[float]) -> float:
    """Return the share of the usual waits, from MIN_SHARE to 1, that the strictest bound allows.

    `delays_s` are the times in seconds after which kinds of news have to be in force everywhere.
    """
    spare_s = min(delays_s, default=USUAL_DELAY_S) - FIXED_DELAY_S
    return min(max(spare_s / (USUAL_DELAY_S - FIXED_DELAY_S), MIN_SHARE), 1.0)
