"""Updater that applies the stored orders of roll-outs to the gateway's state."""

from __future__ import annotations

from collections import Counter

from ..errors import Failure
from ..platform import decode
from .directory import Exclusion
from .model import RolloutOrder, StoredRecord
from .state import Gateway

# Orders beyond this number are another writer's mistake; each costs the instances messages.
MAX_ORDERS = 500
# Log lines on odd orders for each batch of changes.
MAX_ODD_LINES = 10
MAX_DETAIL_CHARACTERS = 300


class RolloutUpdater:
    """Applies orders, and their states, to the roll-outs."""

    __slots__ = ("gateway", "_is_listed")

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self._is_listed = False

    def apply_list(self, records: list[StoredRecord], had_recent_outage: bool) -> None:
        """Replace all orders by the listed ones."""
        listed = {record.name for record in records}
        for state in list(self.gateway.rollouts.versions_by_service.values()):
            if state.order is not None and state.service not in listed:
                self._withdraw(state.service)
        self._apply(records, is_at_start=not self._is_listed)
        self._is_listed = True
        self.gateway.directory.unlisted_exclusions.discard(Exclusion.ROLLOUTS)

    def apply_changes(self, records: list[StoredRecord], had_recent_outage: bool) -> None:
        """Add, update and withdraw the changed orders."""
        self._apply(records, is_at_start=False)

    def _apply(self, records: list[StoredRecord], is_at_start: bool) -> None:
        odd = 0
        for record in records:
            if record.value is None:
                self._withdraw(record.name)
                continue
            order = decode.decode_rollout(record)
            if isinstance(order, Failure):
                problem = order.message
            elif self._is_excess(order):
                problem = f"rollout {record.name}: there are {MAX_ORDERS} orders already"
            else:
                self.apply_order(order, is_at_start)
                continue
            self._withdraw(record.name)
            odd += 1
            if odd <= MAX_ODD_LINES:
                self.gateway.log.warning(
                    "rollout_malformed", detail=problem[:MAX_DETAIL_CHARACTERS]
                )
        if odd > MAX_ODD_LINES:
            self.gateway.log.warning(
                "rollout_malformed", detail=f"{odd - MAX_ODD_LINES} further orders"
            )

    def _is_excess(self, order: RolloutOrder) -> bool:
        known = self.gateway.rollouts.versions_by_service
        state = known.get(order.service)
        if state is not None and state.order is not None:
            return False
        return sum(item.order is not None for item in known.values()) >= MAX_ORDERS

    def apply_order(self, order: RolloutOrder, is_at_start: bool = False) -> None:
        """Apply an order; log it if it is new, or if it is decided now."""
        rollouts = self.gateway.rollouts
        known = rollouts.versions_by_service.get(order.service)
        was_decided = known is not None and known.order is not None and known.order.is_decided
        is_new = rollouts.set_order(order, is_at_start)
        current = rollouts.versions_by_service[order.service].order
        state = current.state.value if current.state is not None else "ordered"
        if is_new:
            targets = self.gateway.directory.targets_by_service.get(order.service, [])
            counts = Counter(target.entry.version for target in targets)
            new_targets = counts.pop(order.version, 0)
            self.gateway.log.info(
                "rollout_ordered",
                service=order.service,
                rollout_version=order.version,
                duration_s=order.duration_s,
                state=state,
                new_targets=new_targets,
                old_targets=counts.total(),
                revision=order.revision,
            )
        elif current.is_decided and not was_decided:
            self.gateway.log.info(
                "rollout_decided",
                service=order.service,
                rollout_version=order.version,
                state=state,
                revision=order.revision,
            )

    def _withdraw(self, service: str) -> None:
        if self.gateway.rollouts.withdraw(service):
            self.gateway.log.info("rollout_withdrawn", service=service)
