"""Calculation of the state lease.

All times are nanoseconds of the local boottime clock. Every lease starts when a request was sent,
not when its reply arrived, so that delays can only shorten it.
"""

from __future__ import annotations

from collections.abc import Iterable

from .partitions import majority_size

NO_LEASE = 0
# Votes are used once the last contact with the store is this many quarters of a lease old. If they
# were used only after the lease from that contact had expired, all processes would briefly refuse
# work at the start of each store outage.
VOTE_AFTER_LEASE_QUARTERS = 3


class PeerAnswer:
    """State reported by a peer's newest Sync reply.

    `sent_ns` is when the request was sent. `store_contact_ns` is a time no later than when the
    peer sent its last store read that was answered (None: never). `votes` are the numbers of the
    voting partitions that it holds.
    """

    __slots__ = ("sent_ns", "version", "store_contact_ns", "votes")

    def __init__(
        self,
        sent_ns: int,
        version: int,
        store_contact_ns: int | None,
        votes: frozenset[int],
    ) -> None:
        self.sent_ns = sent_ns
        self.version = version
        self.store_contact_ns = store_contact_ns
        self.votes = votes


def compute_relay_lease(answers: Iterable[PeerAnswer], version: int, lease_ns: int) -> int:
    """Return the end of the longest lease that a peer's store contact gives, or NO_LEASE.

    Peers with a version newer than `version` give no lease on it.
    """
    contacts = [
        answer.store_contact_ns
        for answer in answers
        if answer.store_contact_ns is not None and answer.version <= version
    ]
    return max(contacts) + lease_ns if contacts else NO_LEASE


def is_contact_recent(store_contact_ns: int | None, lease_ns: int, now_ns: int) -> bool:
    """Return whether a store contact is too recent for votes to be used."""
    if store_contact_ns is None:
        return False
    return store_contact_ns > now_ns - lease_ns * VOTE_AFTER_LEASE_QUARTERS // 4


def compute_vote_lease(
    answers: Iterable[PeerAnswer],
    own_votes: frozenset[int],
    voter_count: int,
    version: int,
    lease_ns: int,
    now_ns: int,
) -> int:
    """Return the end of the lease that a majority of the voting partitions gives, or NO_LEASE.

    The lease starts at the oldest of the requests that are needed for the majority. There is no
    such lease while any peer has a recent store contact.
    """
    answers = list(answers)
    if any(is_contact_recent(answer.store_contact_ns, lease_ns, now_ns) for answer in answers):
        return NO_LEASE
    votes = set(own_votes)
    oldest_ns = now_ns
    newest_first = sorted(answers, key=lambda answer: -answer.sent_ns)
    for answer in newest_first:
        if len(votes) >= majority_size(voter_count):
            break
        if answer.version <= version and not answer.votes <= votes:
            votes |= answer.votes
            oldest_ns = answer.sent_ns
    return oldest_ns + lease_ns if len(votes) >= majority_size(voter_count) else NO_LEASE
