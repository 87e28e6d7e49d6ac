"""Runs a process of the tier with one mechanism disabled (mutation testing).

Each test in tests/proofs must fail when the mechanism that it checks is disabled. The product has
no switches for that, so this module monkeypatches the process that it runs:

    python -m standins.mutants no-fence flamingostack.dispatch --settings a.toml
"""

from __future__ import annotations

import json
import os
import runpy
import signal
import sys
from collections.abc import Callable
from pathlib import Path


def remove_fence() -> None:
    """Let dispatch send a request without the final check of claim, lease, mark and deadline."""
    from flamingostack.dispatch.target import Target

    Target.find_refusal = lambda self, work: ""


def remove_pin() -> None:
    """Let each sub-request use the newest snapshot, not the one that is pinned for its query."""
    from flamingostack.entry.fanout import Query

    send_to = Query._send_to

    def send_to_newest(self, *arguments):
        self.pinned = self.fanout.newest_map(self.pinned.service)
        send_to(self, *arguments)

    Query._send_to = send_to_newest


def count_replies_as_coverage() -> None:
    """Report as coverage the share of sub-requests that were answered, not the share of keys."""
    from flamingostack.entry.fanout import Query

    finish = Query._finish

    def finish_by_replies(self, now):
        was_done = self.result.done()
        finish(self, now)
        if not was_done:
            answered = sum(bool(part.answer) for part in self.parts)
            self.result.result().coverage = answered / len(self.parts)

    Query._finish = finish_by_replies


def match_replies_by_order() -> None:
    """Assign each reply to the oldest open sub-request of its link, whatever its id."""
    from flamingostack.entry.link import Link

    async def read(self, stream):
        async for batch in stream:
            for reply in batch.replies:
                if self.attempts_by_id:
                    attempt = self.attempts_by_id.pop(next(iter(self.attempts_by_id)))
                    self._deliver(attempt, reply, self._loop.time())

    Link._read = read


def remove_deadline() -> None:
    """Postpone the deadline at which a query is answered with the parts it has by 60 s."""
    from flamingostack.entry.fanout import Query

    initialise = Query.__init__

    def initialise_without_deadline(self, *arguments):
        initialise(self, *arguments)
        self._answer_at += 60

    Query.__init__ = initialise_without_deadline


def ignore_marks() -> None:
    """Treat no target as leaving."""
    from flamingostack.state import FleetView

    FleetView.is_leaving = lambda self, target: False


def make_lease_endless() -> None:
    """Let entry and dispatch act on their latest state after its lease has expired."""
    from flamingostack.state import StateFeed

    apply = StateFeed.apply

    def apply_with_endless_lease(self, update):
        if update.lease_until_ns:
            update.lease_until_ns = 2**62
        apply(self, update)

    StateFeed.apply = apply_with_endless_lease


def stay_warm() -> None:
    """Apply the warm limit to every target at all times, also during a cold start."""
    from flamingostack.dispatch.limit import Limit

    def update(self):
        self.current = self.config.warm_limit

    Limit._update = update


def ignore_document_of_peers() -> None:
    """Discard the fleet document in messages of peers, so that only the store provides it."""
    from flamingostack.fleet.node import Node

    merge_message = Node._merge_message
    on_transfer_request = Node.on_transfer_request

    def merge_without_document(self, message, now_ns):
        message.ClearField("document")
        merge_message(self, message, now_ns)

    def on_transfer_without_document(self, request, now_ns):
        request.ClearField("document")
        return on_transfer_request(self, request, now_ns)

    Node._merge_message = merge_without_document
    Node.on_transfer_request = on_transfer_without_document


def ignore_expected_version() -> None:
    """Let a change with a stale expected version overwrite the change that came first."""
    from flamingostack.control import operations

    operations.find_conflicting_change = lambda document, expected_version: None


def ignore_change_ids() -> None:
    """Apply a repeated change again, despite its known change id."""
    from flamingostack.control import operations

    operations.find_change = lambda document, change_id: None


def freeze_in_fence() -> None:
    """Freeze dispatch between the final check and the write, once `<settings>.freeze` exists.

    The file is deleted, so that this happens once. `<settings>.frozen` then names the target and
    the id of the request that is written when the process resumes.
    """
    from flamingostack.dispatch.target import Target

    count_sent = Target.count_sent
    find_refusal = Target.find_refusal
    settings_path = sys.argv[sys.argv.index("--settings") + 1]
    path = Path(f"{settings_path}.freeze")
    checked = None

    def find_refusal_and_note_work(self, work):
        nonlocal checked
        checked = work
        return find_refusal(self, work)

    def count_sent_and_stop(self):
        count_sent(self)
        if path.exists():
            path.unlink()
            # The last check and this call are one synchronous step, so both have the same request.
            frozen = {"target": self.info.target.id, "request_id": checked.target_request_id}
            Path(f"{settings_path}.frozen").write_text(json.dumps(frozen))
            os.kill(os.getpid(), signal.SIGSTOP)

    Target.find_refusal = find_refusal_and_note_work
    Target.count_sent = count_sent_and_stop


def remove_reserve() -> None:
    """Let a new holder use the whole cold limit while the previous holder may still send."""
    from flamingostack.dispatch.limit import Limit

    Limit.set_reserve = lambda self, reserve: None


def ignore_closed_connections() -> None:
    """Ignore connections that the target closes, and do not check limits before a write."""
    from flamingostack.dispatch.target import Target

    Target._on_connection_lost = lambda self, by_target, remaining: None
    Target.has_room_to_send = lambda self: True


def remove_takeover_wait() -> None:
    """Let a new holder send at once, while requests of the previous holder may still run."""
    from flamingostack.fleet.node import Node

    Node._has_stopped = lambda self, peer, now_ns: bool(peer.dead_ns)
    Node._is_accepted_and_drained = lambda self, version, now_ns: True


def remove_drain() -> None:
    """Report a withdrawn partition as drained while its requests still run."""
    from flamingostack.dispatch.ownership import Ownership

    def report_without_drain(self, partition):
        self.feed.report_drained([self._withdrawn_by_partition.pop(partition)])

    Ownership._report_if_drained = report_without_drain


def exit_at_once() -> None:
    """End the entry process at SIGTERM without a graceful shutdown, with status 0."""
    from flamingostack.entry.shutdown import Shutdown

    Shutdown.request = lambda self: os._exit(0)


def keep_partitions() -> None:
    """Let a control process leave without transferring its partitions."""
    from flamingostack.control.main import ControlProcess
    from flamingostack.status import ExitStatus

    async def leave(self):
        return ExitStatus.SUCCESS

    ControlProcess._leave = leave


def send_without_record() -> None:
    """Send a submit even if its record could not be created."""
    from flamingostack.entry.once import Submission

    async def claim(self):
        return True

    Submission._claim = claim


def refuse_as_not_run() -> None:
    """Report every refused request to its caller as not run."""
    from flamingostack.entry import refusals

    refusals.RAN_BY_REASON.clear()


MUTANTS: dict[str, Callable[[], None]] = {
    "no-fence": remove_fence,
    "no-pin": remove_pin,
    "coverage-by-replies": count_replies_as_coverage,
    "replies-by-order": match_replies_by_order,
    "no-deadline": remove_deadline,
    "no-marks": ignore_marks,
    "endless-lease": make_lease_endless,
    "stay-warm": stay_warm,
    "no-peer-document": ignore_document_of_peers,
    "no-expected-version": ignore_expected_version,
    "no-change-ids": ignore_change_ids,
    "freeze-in-fence": freeze_in_fence,
    "no-reserve": remove_reserve,
    "unwatched-connections": ignore_closed_connections,
    "no-takeover-wait": remove_takeover_wait,
    "no-drain": remove_drain,
    "exit-at-once": exit_at_once,
    "no-transfer": keep_partitions,
    "no-record": send_without_record,
    "always-not-run": refuse_as_not_run,
}


def main(arguments: list[str]) -> None:
    """Apply the mutants that are named, joined by +, then run a module with its arguments."""
    names, module, *rest = arguments
    sys.argv = [module, *rest]
    for name in names.split("+"):
        MUTANTS[name]()
    runpy.run_module(module, run_name="__main__")


if __name__ == "__main__":
    main(sys.argv[1:])
