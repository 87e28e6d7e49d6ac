"""Messages of the allotments: asking owners for tokens, and answering as an owner.

Only requests of organisations with a limit ask anyone. Without such organisations no message is
sent. The decisions are in `allotments.py`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Coroutine
from typing import TYPE_CHECKING

import msgspec

from .allotments import (
    ANSWER_TIMEOUT_S,
    TOKEN_VALID_S,
    Activation,
    Asker,
    Members,
    Ownership,
    Refusal,
    Token,
    TokenAnswer,
    TokenRequest,
    count_tokens,
)
from .datagrams import DatagramPeer
from .model import InstanceSettings, Organisation, Organisations
from .pauses import read_clock_s
from .relay import PeerClient

if TYPE_CHECKING:
    from .state import Gateway

TOKEN_KIND = "token"
TOKEN_BACK_KIND = "token_back"
USAGE_KIND = "usage"
AWARE_KIND = "aware"
# How often a new instance asks those that do not know it yet.
AWARE_INTERVAL_S = 0.25
ANSWER_DECODER = msgspec.msgpack.Decoder(TokenAnswer)
NAME_DECODER = msgspec.msgpack.Decoder(str)
COUNT_DECODER = msgspec.msgpack.Decoder(int)
BOOL_DECODER = msgspec.msgpack.Decoder(bool)


class AllotmentExchange:
    """Asks for tokens and hands them out, for one process; owned by one event loop.

    `confirmed_age_s` returns how long ago the store has confirmed the state of this instance.
    """

    __slots__ = (
        "gateway",
        "peers",
        "datagrams",
        "confirmed_age_s",
        "asker",
        "ownership",
        "activation",
        "_organisations",
        "_tasks",
    )

    def __init__(
        self,
        gateway: Gateway,
        peers: PeerClient,
        datagrams: DatagramPeer,
        confirmed_age_s: Callable[[], float | None],
        started_at: float,
    ) -> None:
        settings = gateway.settings
        self.gateway = gateway
        self.peers = peers
        self.datagrams = datagrams
        self.confirmed_age_s = confirmed_age_s
        members = Members({settings.instance: settings.failure_domain})
        self.asker = Asker(settings.instance, settings.failure_domain, settings, members)
        self.ownership = Ownership(settings.instance, settings, members, started_at)
        self.activation = Activation()
        # Those for which the accounts were last adapted.
        self._organisations: Organisations | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        datagrams.handlers_by_kind |= {
            TOKEN_KIND: self._answer_token,
            TOKEN_BACK_KIND: self._answer_token_back,
            USAGE_KIND: self._answer_usage,
            AWARE_KIND: self._answer_aware,
        }

    def update_members(self, earlier: Collection[str] | None) -> None:
        """Use the instances that are known now.

        `earlier` are those whose entries are older than that of this instance; None without one.
        """
        own, now = self.gateway.settings.instance, self.gateway.now()
        domains = {**self.peers.domains_by_instance, own: self.gateway.settings.failure_domain}
        if domains != self.asker.members.domains_by_instance:
            members = Members(domains)
            self.asker.set_members(members)
            self.ownership.set_members(members, now)
            self.activation.unaware &= domains.keys()
        if earlier is not None:
            affected = self.asker.members.affected_by(own)
            self.activation.record_own_entry(affected.intersection(earlier), now)

    def set_settings(self, settings: InstanceSettings) -> None:
        """Use changed bounds."""
        self.asker.set_settings(settings)
        self.ownership.set_settings(settings)

    def set_registered(self, is_new: bool) -> None:
        """Record that the entry of this instance was in the store, or is about to be written."""
        self.activation.set_registered(is_new)

    async def run(self) -> None:
        """Ask the others whether they know this instance, until they do or this is cancelled."""
        while True:
            await asyncio.sleep(AWARE_INTERVAL_S)
            if self.activation.unaware and self._has_limits():
                await asyncio.gather(
                    *(self._ask_aware(other) for other in list(self.activation.unaware))
                )

    async def request_token(self, organisation: Organisation) -> Token | Refusal:
        """Return a token for one request of an organisation, or why there is none."""
        own, now = self.gateway.settings.instance, self.gateway.now
        request = TokenRequest(self.asker, organisation, now())
        self._start_probes()
        while (owner := request.next_owner(now())) is not None:
            asked_at, clock_s = now(), read_clock_s()
            if owner == own:
                answer = self._grant(organisation)
            else:
                answer = await self._ask(owner, TOKEN_KIND, organisation.name, ANSWER_DECODER)
            if answer is None:
                self._record_silence(request, owner)
                continue
            token = request.record_answer(owner, answer, now(), now() - asked_at)
            if token is not None:
                token.valid_until = clock_s + TOKEN_VALID_S
                return token
        return request.make_refusal(now())

    def give_back(self, organisation: Organisation, token: Token) -> None:
        """Return a token whose request was not sent."""
        if token.owner == self.gateway.settings.instance:
            self._take_back(organisation.name)
            return
        message = self._ask(token.owner, TOKEN_BACK_KIND, organisation.name, BOOL_DECODER)
        self._start_task(message)

    def owned_share(self) -> float:
        """Return which share of its allotments this instance may use now."""
        now = self.gateway.now()
        return self.activation.use_share(now, self.confirmed_age_s(), self.ownership)

    def describe(self, organisation: Organisation) -> tuple[int, int, int, list[str]]:
        """Return the tokens handed out here, this allotment, all allotments, and the owners."""
        owners = self.asker.members.owners(organisation.name)
        total = count_tokens(organisation, self.gateway.settings)
        account = self.ownership.accounts_by_name.get(organisation.name)
        if account is None:
            return 0, 0, total, owners
        return account.used(self.gateway.now()), account.allotment.tokens, total, owners

    def _record_silence(self, request: TokenRequest, owner: str) -> None:
        request.record_silence(owner, self.gateway.now())
        self.gateway.metrics.count("gateway_token_silences_total")

    async def _ask(self, owner: str, kind: str, value: object, decoder: msgspec.msgpack.Decoder):
        """Return the decoded answer of an instance; None if there is none in time."""
        raw = await self.datagrams.ask(owner, kind, value, ANSWER_TIMEOUT_S)
        if raw is None:
            return None
        try:
            return decoder.decode(raw)
        except (msgspec.DecodeError, RecursionError):
            return None

    def _grant(self, organisation: Organisation) -> TokenAnswer:
        """Answer for a token as the owner, and find out what the other owners have handed out."""
        now = self.gateway.now()
        answer = self.ownership.answer(organisation, now, self.owned_share())
        if self.ownership.must_ask_others(organisation, now):
            self._start_task(self._ask_usage(organisation.name))
        return answer

    def _take_back(self, name: str) -> None:
        account = self.ownership.accounts_by_name.get(name)
        if account is not None:
            account.take_back(self.gateway.now())

    def _answer_token(self, sender: str, raw: msgspec.Raw) -> TokenAnswer | None:
        organisation = self._find_organisation(raw)
        if organisation is None:
            # One of both has another version of the configuration.
            return TokenAnswer(False, AWARE_INTERVAL_S, is_holding=False)
        return self._grant(organisation)

    def _answer_token_back(self, sender: str, raw: msgspec.Raw) -> bool:
        organisation = self._find_organisation(raw)
        if organisation is not None:
            self._take_back(organisation.name)
        return True

    def _answer_usage(self, sender: str, raw: msgspec.Raw) -> int:
        organisation = self._find_organisation(raw)
        if organisation is None:
            return 0
        return self.ownership.used(organisation.name, self.gateway.now())

    def _answer_aware(self, sender: str, raw: msgspec.Raw) -> bool:
        """Tell whether this instance may have handed out tokens.

        Only known instances are answered, and for those the allotments have moved by now.
        """
        return self.activation.has_used

    def _find_organisation(self, raw: msgspec.Raw) -> Organisation | None:
        """Return the organisation with a limit that a question names."""
        try:
            name = NAME_DECODER.decode(raw)
        except msgspec.DecodeError:
            return None
        if not self._has_limits():
            return None
        organisation = self._organisations.by_name.get(name)
        return organisation if organisation is not None and organisation.is_limited else None

    def _has_limits(self) -> bool:
        """Return whether an organisation has a limit; adapt the accounts if they have changed."""
        routes = self.gateway.routes
        organisations = None if routes is None else routes.configuration.organisations
        if organisations is not self._organisations:
            self._organisations = organisations
            by_name = {} if organisations is None else organisations.by_name
            self.ownership.keep(by_name, self.gateway.now())
        return organisations is not None and organisations.has_limits

    async def _ask_usage(self, name: str) -> None:
        """Ask the other owners how many tokens of an organisation they have handed out."""
        own = self.gateway.settings.instance
        owners = [owner for owner in self.asker.members.owners(name) if owner != own]
        counts = await asyncio.gather(
            *(self._ask(owner, USAGE_KIND, name, COUNT_DECODER) for owner in owners)
        )
        self.ownership.record_others(name, sum(count or 0 for count in counts))

    async def _ask_aware(self, instance: str) -> None:
        has_used = await self._ask(instance, AWARE_KIND, "", BOOL_DECODER)
        if has_used is not None:
            self.activation.record_aware(instance, has_used)

    def _start_probes(self) -> None:
        """Find out whether silent owners answer again, so that no request waits for that."""
        if self.asker.probe_at_by_owner:
            for owner in self.asker.due_probes(self.gateway.now()):
                self._start_task(self._probe(owner))

    async def _probe(self, owner: str) -> None:
        if await self._ask(owner, AWARE_KIND, "", BOOL_DECODER) is not None:
            self.asker.record_probe(owner)

    def _start_task(self, coroutine: Coroutine[object, object, object]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
