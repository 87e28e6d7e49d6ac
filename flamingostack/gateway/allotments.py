"""Allotments: how the instances keep the limit of an organisation together.

It handles the load pattern of an organisation whose requests reach few of many instances, unevenly
and without notice, and sometimes far beyond its limit. A limit that is divided among the instances
would refuse most of what is owed. So the limit is divided among a few instances, its owners: one
in each failure domain, or some in each if there are few. An owner permanently holds an equal
allotment, and hands out tokens, one for each request. No allotment is ever lent or moved, so no
death, pause or partition can break the limit. An instance asks an owner in its own failure domain,
and when that has nothing left or is silent, the others, so that all allotments together serve
callers wherever they are.

Nothing here does input or output. Times are in seconds; each clock is one instance's own.
"""

from __future__ import annotations

import hashlib
import heapq
from collections import deque
from collections.abc import Iterable, Mapping
from math import inf

import msgspec

from .model import InstanceSettings, Organisation

# A request is first sent within this time after its token was asked for, or not at all. Windows of
# tokens are longer than the limit's by it.
TOKEN_VALID_S = 0.25
# Share of the limit that is handed out; the rest allows for clocks that run at different rates.
USABLE_SHARE = 0.97
# Owners of an organisation, if there are so many instances. The death of one costs its allotment,
# while a limit is 1.6 times what an organisation usually sends.
MIN_OWNERS = 4
# An owner holds at least as many tokens, so a small limit is divided among fewer owners. With many
# failure domains an instance would otherwise have to ask most of them for each request.
MIN_ALLOTMENT_TOKENS = 5
# So many requests at once are common even for a tenant that seldom sends.
MIN_BURST = 2
# One owner may be empty while the others together still hold what may come at once.
BURST_RESERVE = 4 / 3
# An owner that does not answer within this time is passed over; a repeated question is answered
# after 20 ms and a round trip of 7 ms.
ANSWER_TIMEOUT_S = 0.04
# After this time no further owner is asked. Urgent requests have to be answered within 117 ms, and
# an instance that is cut off must not hold its requests.
ASKING_TIME_S = 0.09
# When a silent owner is probed, and how often from then on.
FIRST_PROBE_S = 0.25
PROBE_INTERVAL_S = 1.0
# Retry-After of a request that has reached no owner: another instance may reach one.
NO_OWNER_RETRY_S = 0.05
# After this answer an instance that is not the owner, by its own knowledge, is asked again.
NOT_OWNER_RETRY_S = 0.3
# Assumed round trip to an owner in another failure domain until it is measured.
DEFAULT_ROUND_TRIP_S = 0.006
ROUND_TRIP_WEIGHT = 0.2
# A new instance takes over allotments once all others of its failure domain know it. Those that do
# not answer know it, or know that they may be behind, after this time.
UNCONFIRMED_AFTER_S = 10.0
TAKE_OVER_AFTER_S = 12.0
# Shares of an allotment for an owner that may be behind, and for a new one that not all others
# know. Together they are no more than one allotment.
UNCONFIRMED_SHARE = 0.7
UNKNOWN_SHARE = 0.3
# The owner of a removed instance's allotments waits until the removal is known there.
REMOVAL_DELAY_S = 2.0
# An owner that began so long before has refilled its accounts.
LONG_AGO_S = 3600.0
# How long the tokens of other owners count after they were told.
USAGE_VALID_S = 2.0
# Instances that are refused are told to come back one after the other, up to this time ahead.
# Otherwise all of them would ask for each token of an organisation far beyond its limit.
MAX_QUEUED_S = 1.0
# The least time after which an owner without a token is asked again. Rounding may give 0, which
# stands for a token.
MIN_WAIT_S = 0.001
# Owners without tokens that an instance remembers, over all organisations.
MAX_DRY_OWNERS = 4096
# Owners that give no tokens whose allotments an instance counts, over all organisations.
MAX_MISSING = 4096
# Organisations whose owners are remembered; names change with the configuration.
MAX_KNOWN_OWNERS = 20_000
HASH_MULTIPLIER = 0x9E3779B97F4A7C15
HASH_MASK = 2**64 - 1


class TokenAnswer(msgspec.Struct, array_like=True):
    """Answer of an owner to an instance that asks for a token of an organisation.

    Without a token, `wait_s` is when the next one is free. `is_above_rate` tells whether the
    organisation gets more than its rate and burst at present. `is_holding` tells that a refusal is
    due to what was asked of the allotment. An owner that has just started or may use only a share
    of its allotment, and an instance that is none, refuse for other reasons.
    """

    is_granted: bool
    wait_s: float = 0.0
    is_above_rate: bool = False
    is_holding: bool = True


class Token:
    """A token of an owner for one request.

    The request has to be sent before `valid_until`, by a clock that also runs during pauses.
    """

    __slots__ = ("owner", "is_above_rate", "valid_until")

    def __init__(self, owner: str, is_above_rate: bool) -> None:
        self.owner = owner
        self.is_above_rate = is_above_rate
        self.valid_until = inf


class Refusal:
    """Why there is no token: the organisation has used up its limit, or owners cannot give theirs.

    After `retry_after_s` the first owner may have one.
    """

    __slots__ = ("is_over_limit", "retry_after_s")

    def __init__(self, is_over_limit: bool, retry_after_s: float) -> None:
        self.is_over_limit = is_over_limit
        self.retry_after_s = retry_after_s


class Allotment:
    """What one owner may hand out for an organisation: a token bucket.

    It holds `burst` tokens, at most half of all, and is refilled with `tokens_per_s`. Both together
    are `tokens` in a window, so that no window has more, and none lacks what an earlier one had.
    All owners together hand out `all_tokens`.
    """

    __slots__ = ("tokens", "all_tokens", "burst", "tokens_per_s", "window_s")

    def __init__(self, tokens: int, all_tokens: int, burst: float, window_s: float) -> None:
        self.tokens = tokens
        self.all_tokens = all_tokens
        # A part has to be refilled, however small the limit is, and a bucket holds a token.
        self.burst = min(max(min(burst, tokens / 2), 1.0), float(tokens))
        self.tokens_per_s = max(tokens - self.burst, tokens / 2) / window_s
        self.window_s = window_s


def count_tokens(organisation: Organisation, settings: InstanceSettings) -> int:
    """Return how many tokens of an organisation all owners may hand out in a window."""
    owed = organisation.rate_per_s * settings.quota_window_s + organisation.burst
    limit = owed * (1 + settings.quota_overshoot) + settings.quota_slack
    return int(limit * USABLE_SHARE)


def count_holders(tokens: int, owners: int) -> int:
    """Return among how many of the owners these tokens are divided."""
    return max(min(tokens // MIN_ALLOTMENT_TOKENS, owners), 1)


def make_allotment(
    organisation: Organisation, settings: InstanceSettings, owners: int, rank: int
) -> Allotment:
    """Return the allotment of the owner with this rank among all owners."""
    total = count_tokens(organisation, settings)
    allotments = count_holders(total, owners)
    tokens = 0 if rank >= allotments else total // allotments + (rank < total % allotments)
    window_s = settings.quota_window_s + TOKEN_VALID_S
    # The reserve of the burst must not take from the rate.
    spare = tokens - organisation.rate_per_s * window_s / allotments
    reserved = min(organisation.burst * BURST_RESERVE / allotments + 1, spare)
    burst = max(reserved, organisation.burst / allotments, MIN_BURST)
    return Allotment(tokens, total, burst, window_s)


class Account:
    """Tokens that an owner has handed out for an organisation.

    It begins with an empty bucket at `since`. Its predecessor, of which nothing is known, began
    with a full one at most, so that both together stay within the allotment.
    """

    __slots__ = (
        "allotment",
        "organisation",
        "since",
        "level",
        "reference_level",
        "refused_at_start",
        "is_used_up",
        "updated_at",
        "times",
        "others_used",
        "others_until",
        "free_at",
    )

    def __init__(self, allotment: Allotment, since: float) -> None:
        self.allotment = allotment
        # For which version of the organisation the allotment was made; None if that has to be done.
        self.organisation: Organisation | None = None
        self.since = since
        self.level = 0.0
        # Level of a bucket for comparison, which begins full, has the whole allotment and serves
        # all requests. It is above `level` after a start, and while only a share may be used.
        self.reference_level = allotment.burst
        # Requests that were refused before an unused bucket would have been full.
        self.refused_at_start = 0
        # Whether that bucket had no token either for the request that was refused last.
        self.is_used_up = False
        self.updated_at = since
        self.times: deque[float] = deque()
        # Tokens that other owners have handed out in the last window, while that is known.
        self.others_used = 0
        self.others_until = -inf
        # When the next token is free for which nobody was told to come back.
        self.free_at = -inf

    def set_allotment(self, allotment: Allotment) -> None:
        """Use a changed allotment; tokens that were handed out still count."""
        self.allotment = allotment
        self.level = min(self.level, allotment.burst)
        self.reference_level = min(self.reference_level, allotment.burst)

    def try_grant(self, now: float, share: float) -> float:
        """Hand out a token out of a share of the allotment; return 0, or else when to ask again.

        Sets `is_used_up` if there is none.
        """
        allotment, times = self.allotment, self.times
        while times and times[0] <= now - allotment.window_s:
            times.popleft()
        tokens_per_s = allotment.tokens_per_s * share
        elapsed_s = max(now - self.updated_at, 0.0)
        burst = allotment.burst
        level = self.level + elapsed_s * tokens_per_s
        self.level = level if level < burst else burst
        reference_level = self.reference_level + elapsed_s * allotment.tokens_per_s
        reference_level = reference_level if reference_level < burst else burst
        self.updated_at = max(now, self.updated_at)
        if self.level >= 1 and len(times) + 1 <= allotment.tokens * share:
            self.level -= 1
            self.reference_level = reference_level - 1
            times.append(now)
            return 0.0
        self._record_refusal(now, reference_level)
        return max(self._compute_wait_s(now, share), MIN_WAIT_S)

    def _record_refusal(self, now: float, reference_level: float) -> None:
        """Set whether what was asked of the allotment is the reason of a refusal."""
        allotment = self.allotment
        if allotment.tokens < 1:
            # Others hold all tokens of a small limit.
            self.is_used_up = False
            return
        # Until an unused bucket would be full, most requests repeat one that was refused. Below the
        # limit these are fewer than twice what all owners hand out in a window.
        is_filling = now < self.since + allotment.burst / allotment.tokens_per_s
        self.refused_at_start += is_filling and now >= self.since
        is_starting = is_filling and self.refused_at_start <= 2 * allotment.all_tokens
        if is_filling and not is_starting:
            reference_level = self.level
        could_grant = reference_level >= 1 and len(self.times) + 1 <= allotment.tokens
        if could_grant and not is_starting:
            reference_level = max(reference_level - 1, self.level)
        self.reference_level = reference_level
        self.is_used_up = not could_grant and not is_starting

    def _compute_wait_s(self, now: float, share: float) -> float:
        """Return when there is a token for a request that is refused."""
        allotment, times = self.allotment, self.times
        tokens = allotment.tokens * share
        if tokens < 1:
            return allotment.window_s
        tokens_per_s = allotment.tokens_per_s * share
        wait_s = (1 - self.level) / tokens_per_s + max(self.updated_at - now, 0.0)
        excess = len(times) + 1 - int(tokens)
        if excess > 0:
            wait_s = max(wait_s, times[excess - 1] + allotment.window_s - now)
        if not self.is_used_up:
            return wait_s
        # Each of those who are refused is told to come back for a token of its own.
        free_at = max(self.free_at, now + wait_s)
        self.free_at = min(free_at + 1 / tokens_per_s, now + max(wait_s, MAX_QUEUED_S))
        return free_at - now

    def take_back(self, now: float) -> None:
        """Take back a token that was not used."""
        if self.times and self.times[-1] > now - self.allotment.window_s:
            self.times.pop()
            self.level = min(self.level + 1, self.allotment.burst)
            self.reference_level = min(self.reference_level + 1, self.allotment.burst)

    def used(self, now: float) -> int:
        """Return how many tokens were handed out in the last window."""
        while self.times and self.times[0] <= now - self.allotment.window_s:
            self.times.popleft()
        return len(self.times)


class Members:
    """Known instances by failure domain, and the owners of an organisation's allotments among them.

    Owners are chosen by rendezvous hashing, so a new instance takes over some organisations and
    changes nothing for the others.
    """

    __slots__ = ("instances_by_domain", "domains_by_instance", "_hashes", "_owners_by_name")

    def __init__(self, domains_by_instance: Mapping[str, str]) -> None:
        self.domains_by_instance = dict(domains_by_instance)
        self.instances_by_domain: dict[str, list[str]] = {}
        for instance, domain in sorted(domains_by_instance.items()):
            self.instances_by_domain.setdefault(domain, []).append(instance)
        names = [*domains_by_instance, *self.instances_by_domain]
        self._hashes = {name: compute_hash(name) for name in names}
        self._owners_by_name: dict[str, list[str]] = {}

    @property
    def owners_per_domain(self) -> int:
        """How many owners an organisation has in a failure domain that is large enough."""
        return -(-MIN_OWNERS // len(self.instances_by_domain))

    def affected_by(self, instance: str) -> set[str]:
        """Return the instances whose allotments change if this one is new."""
        domain = self.domains_by_instance[instance]
        neighbours = self.instances_by_domain[domain]
        # Below this size a further instance changes the number of owners, and so all allotments.
        changes_all = len(neighbours) <= self.owners_per_domain
        return set(self.domains_by_instance if changes_all else neighbours) - {instance}

    def owners(self, name: str) -> list[str]:
        """Return the owners of an organisation by rank, the first of each failure domain first."""
        owners = self._owners_by_name.get(name)
        if owners is None:
            if len(self._owners_by_name) >= MAX_KNOWN_OWNERS:
                self._owners_by_name.clear()
            owners = self._owners_by_name[name] = self._choose_owners(name)
        return owners

    def _choose_owners(self, name: str) -> list[str]:
        own_hash, hashes = compute_hash(name), self._hashes

        def rank(candidate: str) -> tuple[int, str]:
            # Both hashes are random; the multiplication mixes them into the leading bits.
            return ((own_hash ^ hashes[candidate]) * HASH_MULTIPLIER) & HASH_MASK, candidate

        count = self.owners_per_domain
        ranked_by_domain = [
            heapq.nlargest(count, self.instances_by_domain[domain], key=rank)
            for domain in sorted(self.instances_by_domain, key=rank)
        ]
        return [
            ranked[place]
            for place in range(count)
            for ranked in ranked_by_domain
            if place < len(ranked)
        ]


def compute_hash(name: str) -> int:
    """Return a hash of a name that is the same at all instances."""
    data = name.encode("utf-8", "surrogateescape")
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "big")


class Ownership:
    """The accounts of the organisations of which one instance owns an allotment."""

    __slots__ = ("instance", "settings", "members", "accounts_by_name", "since")

    def __init__(self, instance: str, settings: InstanceSettings, members: Members, now: float):
        self.instance = instance
        self.settings = settings
        self.members = members
        self.accounts_by_name: dict[str, Account] = {}
        # From when on this instance may have been the owner of what it owns now.
        self.since = now

    def set_members(self, members: Members, now: float) -> None:
        """Use changed members; an account ends with its allotment, and begins anew with it."""
        before = self.members
        self.members = members
        domain = members.domains_by_instance.get(self.instance, "")
        own_before = before.instances_by_domain.get(domain, ())
        if not set(own_before) <= set(members.instances_by_domain.get(domain, ())):
            self.since = now + REMOVAL_DELAY_S
        for name in list(self.accounts_by_name):
            if self.instance in members.owners(name):
                self.accounts_by_name[name].organisation = None
            else:
                del self.accounts_by_name[name]

    def set_settings(self, settings: InstanceSettings) -> None:
        """Use changed bounds."""
        self.settings = settings
        for account in self.accounts_by_name.values():
            account.organisation = None

    def begin(self, now: float, has_predecessors: bool) -> None:
        """Begin all accounts anew; others may have held the allotments until now, or nobody has."""
        self.since = now if has_predecessors else now - LONG_AGO_S
        self.accounts_by_name.clear()

    def keep(self, organisations: Mapping[str, Organisation], now: float) -> None:
        """Drop the accounts of organisations that are gone or have no limit any more.

        What was handed out in the last window still counts if the limit returns.
        """
        for name, account in list(self.accounts_by_name.items()):
            organisation = organisations.get(name)
            is_limited = organisation is not None and organisation.is_limited
            if not is_limited and not account.used(now):
                del self.accounts_by_name[name]

    def answer(self, organisation: Organisation, now: float, share: float) -> TokenAnswer:
        """Answer an instance that asks for a token; `share` is the usable share of allotments."""
        account = self.find_account(organisation) if share else None
        if account is None:
            return TokenAnswer(False, NOT_OWNER_RETRY_S, is_holding=False)
        wait_s = account.try_grant(now, share)
        if wait_s > 0:
            return TokenAnswer(False, wait_s, True, account.is_used_up)
        return TokenAnswer(True, 0.0, self.is_above_rate(organisation, account, now))

    def find_account(self, organisation: Organisation) -> Account | None:
        """Return the account of an organisation; None if this instance owns no allotment."""
        account = self.accounts_by_name.get(organisation.name)
        if account is not None and account.organisation is organisation:
            return account
        owners = self.members.owners(organisation.name)
        if self.instance not in owners:
            return None
        allotment = make_allotment(
            organisation, self.settings, len(owners), owners.index(self.instance)
        )
        if account is None:
            account = self.accounts_by_name[organisation.name] = Account(allotment, self.since)
        elif (
            account.allotment.tokens != allotment.tokens
            or account.allotment.burst != allotment.burst
        ):
            account.set_allotment(allotment)
        account.organisation = organisation
        return account

    def is_above_rate(self, organisation: Organisation, account: Account, now: float) -> bool:
        """Return whether an organisation has got more than its rate and burst, as far as known."""
        owed = organisation.rate_per_s * account.allotment.window_s + organisation.burst
        others_used = account.others_used if now < account.others_until else 0
        return len(account.times) + others_used > owed

    def must_ask_others(self, organisation: Organisation, now: float) -> bool:
        """Return whether the tokens of the other owners decide if the rate is exceeded.

        Below an equal allotment of the rate that is not asked, which leaves most organisations out.
        """
        account = self.accounts_by_name.get(organisation.name)
        if account is None or now < account.others_until - USAGE_VALID_S / 2:
            return False
        owed = organisation.rate_per_s * account.allotment.window_s + organisation.burst
        owners = len(self.members.owners(organisation.name))
        if len(account.times) * owners <= owed:
            return False
        # Set at once, so that this is asked once in a while and not once for each request.
        account.others_until = now + USAGE_VALID_S
        return True

    def record_others(self, name: str, used: int) -> None:
        """Record how many tokens the other owners have handed out in the last window."""
        account = self.accounts_by_name.get(name)
        if account is not None:
            account.others_used = used

    def used(self, name: str, now: float) -> int:
        """Return how many tokens of an organisation were handed out in the last window."""
        account = self.accounts_by_name.get(name)
        return 0 if account is None else account.used(now)


class Asker:
    """What one instance knows of the owners that it asks."""

    __slots__ = (
        "instance",
        "domain",
        "settings",
        "members",
        "dry_until",
        "missing",
        "probe_at_by_owner",
        "round_trips_by_domain",
        "_holders_by_name",
    )

    def __init__(
        self, instance: str, domain: str, settings: InstanceSettings, members: Members
    ) -> None:
        self.instance = instance
        self.domain = domain
        self.settings = settings
        self.members = members
        # Until when an owner has no token for an organisation, by its name and the owner, and
        # whether that is because of the limit.
        self.dry_until: dict[tuple[str, str], tuple[float, bool]] = {}
        # What an owner that gives no tokens could have given to this instance by now, by the name
        # and the owner: the level of a bucket that began full, and when it was updated.
        self.missing: dict[tuple[str, str], tuple[float, float]] = {}
        # Owners that did not answer, and when they are probed next. They are not asked until then.
        self.probe_at_by_owner: dict[str, float] = {}
        self.round_trips_by_domain: dict[str, float] = {domain: 0.0}
        # Owners that hold tokens, and the version of the organisation that they were found for.
        self._holders_by_name: dict[str, tuple[Organisation, list[str]]] = {}

    def set_settings(self, settings: InstanceSettings) -> None:
        """Use changed bounds."""
        self.settings = settings
        self._holders_by_name.clear()

    def set_members(self, members: Members) -> None:
        """Use changed members; what was known of owners is forgotten."""
        self.members = members
        self._holders_by_name.clear()
        self.dry_until.clear()
        self.missing.clear()
        known = members.domains_by_instance
        self.probe_at_by_owner = {
            owner: at for owner, at in self.probe_at_by_owner.items() if owner in known
        }

    def holders(self, organisation: Organisation) -> list[str]:
        """Return the owners among which the tokens of an organisation are divided."""
        known = self._holders_by_name.get(organisation.name)
        if known is not None and known[0] is organisation:
            return known[1]
        owners = self.members.owners(organisation.name)
        holders = owners[: count_holders(count_tokens(organisation, self.settings), len(owners))]
        if len(self._holders_by_name) >= MAX_KNOWN_OWNERS:
            self._holders_by_name.clear()
        self._holders_by_name[organisation.name] = organisation, holders
        return holders

    def record_dry(self, name: str, owner: str, until: float, is_holding: bool, now: float) -> None:
        """Record that an owner has no token for an organisation before a time."""
        if len(self.dry_until) >= MAX_DRY_OWNERS:
            self.dry_until = {key: item for key, item in self.dry_until.items() if item[0] > now}
        if len(self.dry_until) < MAX_DRY_OWNERS:
            self.dry_until[name, owner] = (until, is_holding)

    def use_missing(
        self, organisation: Organisation, holders: list[str], owner: str, now: float
    ) -> bool:
        """Return whether one of the holders that gives no tokens could have given one by now.

        If so, it counts as given.
        """
        key = (organisation.name, owner)
        rank = holders.index(owner)
        allotment = make_allotment(organisation, self.settings, len(holders), rank)
        level, updated_at = self.missing.get(key, (allotment.burst, now))
        level = min(level + (now - updated_at) * allotment.tokens_per_s, allotment.burst)
        if level < 1:
            return False
        if len(self.missing) >= MAX_MISSING:
            # By now these buckets are full again, whatever their limit is.
            begin = now - allotment.window_s
            self.missing = {key: item for key, item in self.missing.items() if item[1] > begin}
        if len(self.missing) < MAX_MISSING or key in self.missing:
            self.missing[key] = (level - 1, now)
        return True

    def due_probes(self, now: float) -> list[str]:
        """Return the silent owners to probe now."""
        due = [owner for owner, at in self.probe_at_by_owner.items() if now >= at]
        for owner in due:
            self.probe_at_by_owner[owner] = now + PROBE_INTERVAL_S
        return due

    def record_probe(self, owner: str) -> None:
        """Record that a silent owner has answered a probe."""
        self.probe_at_by_owner.pop(owner, None)


class TokenRequest:
    """One request for a token: which owners to ask in turn, and what came of it."""

    __slots__ = (
        "asker",
        "organisation",
        "until",
        "wait_s",
        "_holders",
        "_left",
        "_waits_by_used_up",
    )

    def __init__(self, asker: Asker, organisation: Organisation, now: float) -> None:
        self.asker = asker
        self.until = now + ASKING_TIME_S
        self.organisation = organisation
        # When the first of the owners that have answered, or are known to be dry, has a token.
        self.wait_s = inf
        self._holders = asker.holders(organisation)
        self._left: Iterable[str] = self._holders
        # When those of them whose allotments are used up have a token.
        self._waits_by_used_up: dict[str, float] = {}

    def next_owner(self, now: float) -> str | None:
        """Return the nearest owner that may have a token and was not asked; None without one."""
        asker, domains = self.asker, self.asker.members.domains_by_instance
        nearest, nearest_s = None, inf
        if now >= self.until:
            return None
        for owner in self._left:
            # An instance may be removed while another owner is asked.
            if owner in asker.probe_at_by_owner or owner not in domains:
                continue
            dry = asker.dry_until.get((self.organisation.name, owner))
            if dry is not None and dry[0] > now:
                self._record_wait(owner, dry[0] - now, dry[1])
                continue
            distance_s = asker.round_trips_by_domain.get(domains[owner], DEFAULT_ROUND_TRIP_S)
            if distance_s < nearest_s:
                nearest, nearest_s = owner, distance_s
        if nearest is not None:
            self._left = [owner for owner in self._left if owner != nearest]
        return nearest

    def record_answer(
        self, owner: str, answer: TokenAnswer, now: float, round_trip_s: float
    ) -> Token | None:
        """Record the answer of an owner; return the token if it has granted one."""
        asker = self.asker
        domain = asker.members.domains_by_instance.get(owner, "")
        known_s = asker.round_trips_by_domain.get(domain, round_trip_s)
        if domain != asker.domain:
            asker.round_trips_by_domain[domain] = (
                known_s + (round_trip_s - known_s) * ROUND_TRIP_WEIGHT
            )
        if answer.is_granted:
            return Token(owner, answer.is_above_rate)
        name = self.organisation.name
        asker.record_dry(name, owner, now + answer.wait_s, answer.is_holding, now)
        self._record_wait(owner, answer.wait_s, answer.is_holding)
        return None

    def record_silence(self, owner: str, now: float) -> None:
        """Record that an owner has not answered in time; it is passed over until it does."""
        if owner in self.asker.members.domains_by_instance:
            self.asker.probe_at_by_owner.setdefault(owner, now + FIRST_PROBE_S)

    def make_refusal(self, now: float) -> Refusal:
        """Return why there is no token, after all owners were asked.

        The limit is the reason only if the allotments that this instance cannot use would not have
        served the request either, even if this instance alone had used them.
        """
        if not self._waits_by_used_up:
            return Refusal(False, min(self.wait_s, NO_OWNER_RETRY_S))
        if not self._could_be_served(now):
            return Refusal(True, min(self._waits_by_used_up.values()))
        # Callers of a tenant beyond its limit would repeat far more often with `NO_OWNER_RETRY_S`.
        return Refusal(False, min(self.wait_s, MAX_QUEUED_S))

    def _could_be_served(self, now: float) -> bool:
        """Return whether an owner that did not answer, or holds nothing, should have a token."""
        organisation, holders = self.organisation, self._holders
        return any(
            self.asker.use_missing(organisation, holders, owner, now)
            for owner in holders
            if owner not in self._waits_by_used_up
        )

    def _record_wait(self, owner: str, wait_s: float, is_used_up: bool) -> None:
        self.wait_s = min(self.wait_s, wait_s)
        if is_used_up:
            self._waits_by_used_up[owner] = wait_s


class Activation:
    """Which share of its allotments an instance may use, by what the others know of it.

    An instance whose entry was there before it started is known. A new one would share its
    allotments with the previous owners for as long as those do not know it. It waits until it has
    read its own entry from the store, and with it all earlier ones, and until those of them whose
    allotments change know it too. Of two new instances only the later one waits for the other.
    """

    __slots__ = ("is_new", "known_at", "unaware", "has_predecessors", "has_used")

    def __init__(self) -> None:
        # None while it is not known whether the entry was there; then nothing is handed out.
        self.is_new: bool | None = None
        # When a new instance has read its own entry.
        self.known_at: float | None = None
        # Instances that have not said that they know this one.
        self.unaware: set[str] = set()
        # Whether others may have handed out tokens of its allotments.
        self.has_predecessors = False
        # Whether this instance may have handed out tokens.
        self.has_used = False

    def set_registered(self, is_new: bool) -> None:
        """Record that the entry was there before, or is about to be written."""
        self.is_new = is_new
        self.known_at = None
        # Before a restart it may have handed out tokens.
        self.has_used = self.has_used or not is_new

    def record_own_entry(self, others: Iterable[str], now: float) -> None:
        """Record that the own entry was read; `others`, with earlier ones, have to know it."""
        if self.is_new and self.known_at is None:
            self.known_at = now
            self.unaware = set(others)

    def record_aware(self, instance: str, has_used: bool) -> None:
        """Record that another instance knows this one, and whether it may have used its own."""
        if instance in self.unaware:
            self.unaware.discard(instance)
            self.has_predecessors = self.has_predecessors or has_used

    def share(self, now: float, confirmed_age_s: float | None) -> float:
        """Return the usable share; `confirmed_age_s` is the age of the own state."""
        if self.is_new is None or (self.is_new and self.known_at is None):
            return 0.0
        if self.unaware:
            return 0.0 if now < self.known_at + TAKE_OVER_AFTER_S else UNKNOWN_SHARE
        if confirmed_age_s is None or confirmed_age_s > UNCONFIRMED_AFTER_S:
            return UNCONFIRMED_SHARE
        return 1.0

    def use_share(self, now: float, confirmed_age_s: float | None, ownership: Ownership) -> float:
        """Return the usable share; begin the accounts anew when a new instance first has one."""
        share = self.share(now, confirmed_age_s)
        if share and not self.has_used:
            ownership.begin(now, self.has_predecessors or bool(self.unaware))
            self.has_used = True
        return share
