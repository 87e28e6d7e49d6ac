"""The control process's node, and the local processes, peers and tasks that its changes affect."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..clock import ms_to_ns
from ..environment import Environment
from ..fleet.node import Node, Timing
from ..generated import messages_pb2 as pb
from .follow import Followers


class Controller:
    """Owns the node and publishes its changes.

    Code that modifies the node calls `publish_changes` before its next await.
    """

    __slots__ = (
        "environment",
        "node",
        "followers",
        "_listeners",
        "_waiters",
        "_last_shared_state",
        "_last_local_state",
        "_last_logged",
    )

    def __init__(self, environment: Environment, node: Node) -> None:
        self.environment = environment
        self.node = node
        self.followers = Followers(
            lease_ns=node.timing.lease_ns, max_request_ns=node.timing.max_request_ns
        )
        self._listeners: list[Callable[[], None]] = []
        self._waiters: set[asyncio.Event] = set()
        self._last_shared_state: object = None
        self._last_local_state: object = None
        self._last_logged: dict[str, object] = {}

    def now_ns(self) -> int:
        """Return the time of the boottime clock."""
        return self.environment.now_ns()

    def add_shared_state_listener(self, listener: Callable[[], None]) -> None:
        """Register a function to call when state changes that peers must receive at once."""
        self._listeners.append(listener)

    def publish_changes(self) -> None:
        """Push changed state to local processes and peers, and wake the tasks in `wait_for`."""
        node = self.node
        now_ns = self.now_ns()
        self._update_own_member(now_ns)
        shared_state = (
            node.document.version,
            node.applied_version,
            node.claims_revision,
            node.own.leaving,
            node.own.dispatch_down,
        )
        grants = [
            (grant.number, grant.term, grant.transfer, grant.reserve) for grant in node.grants()
        ]
        live_members = sorted(
            (peer.member.incarnation, peer.member.leaving, peer.member.dispatch_down)
            for peer in node.membership.live_peers(now_ns)
        )
        self._log_change("lease", source=node.lease_source if node.is_current(now_ns) else "none")
        self._log_change("members", live=[name for name, _, _ in live_members])
        local_state = (shared_state, grants, live_members, node.index_revision, len(node.indexes))
        if local_state != self._last_local_state:
            self._last_local_state = local_state
            self.followers.wake_all()
        if shared_state != self._last_shared_state:
            self._last_shared_state = shared_state
            for listener in self._listeners:
                listener()
        for waiter in self._waiters:
            waiter.set()

    def _log_change(self, event: str, **values: object) -> None:
        """Log an event if its values differ from those last logged."""
        if self._last_logged.get(event) != values:
            self._last_logged[event] = values
            self.environment.log.info(event, **values)

    def _update_own_member(self, now_ns: int) -> None:
        """Update the own applied version and dispatch state from the local processes."""
        node = self.node
        applied = self.followers.applied_version(node.document.version, now_ns)
        if applied != node.applied_version:
            node.applied_version = applied
            node.update(now_ns)
        down = self.followers.is_dispatch_down(now_ns)
        if down != node.own.dispatch_down:
            node.own.dispatch_down = down
            node.membership.mark_replaced_by(node.own, now_ns)

    def tick(self) -> None:
        """Recompute and publish the state that depends on the time."""
        self.node.update(self.now_ns())
        self.publish_changes()

    async def wait_for(self, condition: Callable[[], bool], timeout_s: float) -> bool:
        """Wait until `condition` holds, for at most `timeout_s`; return whether it holds.

        It is checked at once, after each change and at the time-out.
        """
        event = asyncio.Event()
        self._waiters.add(event)
        try:
            async with asyncio.timeout(timeout_s):
                while not condition():
                    event.clear()
                    await event.wait()
        except TimeoutError:
            return condition()
        finally:
            self._waiters.discard(event)
        return True


def make_controller(environment: Environment) -> Controller:
    """Return a controller for this instance, with no document and no peers yet."""
    settings = environment.settings
    fleet = settings.fleet
    own = pb.Member(
        instance=settings.instance.id,
        incarnation=environment.incarnation,
        failure_domain=settings.instance.failure_domain,
        control_address=settings.control.listen,
        dispatch_addresses=[settings.dispatch.listen],
        entry_address=settings.entry.listen,
        dispatch_down=True,
    )
    timing = Timing(
        lease_ns=ms_to_ns(fleet.lease_ms),
        margin_ns=ms_to_ns(fleet.lease_margin_ms),
        suspect_ns=ms_to_ns(fleet.suspect_ms),
        max_request_ns=ms_to_ns(fleet.max_request_ms),
    )
    seeds = [address for address in settings.control.peers if address != own.control_address]
    return Controller(environment, Node(own, timing, environment.now_ns(), seeds))
