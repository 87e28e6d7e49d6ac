"""Probe of the store, which tells whether it has received the watches that wait there.

It handles an outage in which the store is silent for some seconds and then serves again. A watch
that was sent meanwhile is never answered, and waits for as long as it would for a change. If the
watches of other feeds were sent before and are answered afterwards, no call fails, and the instance
would miss all changes of one kind for up to the longest wait. Short calls together with each watch
and just behind it, and one every few seconds, find out; all watches are then sent again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Collection
from typing import TYPE_CHECKING

from ..platform.objects import ObjectStore

if TYPE_CHECKING:
    from .feeds import Feed, StoreStatus
    from .state import Gateway

# The second probe follows the watch at this distance, on another connection. The first one finds a
# silence that ends between them, the second one a silence that begins after the first one.
PROBE_DELAY_S = 0.02
# An answer may also be lost in a silence that began after the watch was sent.
PROBE_INTERVAL_S = 2.0


class StoreProbe:
    """Probes the store while this instance watches it; notifies the feeds if it is silent."""

    __slots__ = ("gateway", "store", "store_status", "feeds")

    def __init__(
        self,
        gateway: Gateway,
        store: ObjectStore,
        store_status: StoreStatus,
        feeds: Collection[Feed],
    ) -> None:
        self.gateway = gateway
        self.store = store
        self.store_status = store_status
        self.feeds = feeds

    async def run(self) -> None:
        """Probe the store until cancelled."""
        while True:
            is_watch_sent = await self.store_status.wait_for_watch(PROBE_INTERVAL_S)
            is_answering = await self.probe()
            if is_watch_sent and is_answering:
                await asyncio.sleep(PROBE_DELAY_S)
                await self.probe()

    @property
    def is_needed(self) -> bool:
        """Whether watches wait at the store that is not known to be lost."""
        if self.store_status.is_following_peers:
            return False
        return not any(feed.must_list or feed.has_lost_store for feed in self.feeds)

    async def probe(self) -> bool:
        """Send all watches again if the store does not answer; return whether it answers."""
        if not self.is_needed:
            return False
        is_answering = await self.store.is_answering()
        self.store_status.note_era(self.store.era)
        if is_answering:
            return True
        self.gateway.log.warning("store_silent")
        self.store_status.notify_loss()
        return False
