"""Changes to the fleet document, and their validation.

Functions that return a document leave their argument unchanged; `use_preset` and `set_mark` modify
it in place.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from ..errors import Failure, Reason, make_failure
from ..generated import messages_pb2 as pb
from .partitions import is_newer, merge_resolved_holders

MAX_RECENT_CHANGES = 200
MAX_CHANGE_ID_CHARS = 128
MAX_OPERATOR_CHARS = 128
# The author of takeovers. Takeovers do not conflict with operators' changes.
CONTROL_OPERATOR = "flamingostack-control"


class DocumentReason(Reason):
    """Why a change was refused."""

    INVALID = "invalid"
    CONFLICT = "conflict"


def make_document(
    holder: pb.Member,
    partition_count: int,
    voter_count: int,
    failure_domains: Sequence[str],
    fleet: str = "",
) -> pb.FleetDocument:
    """Create the first document: one holder of all partitions, and no preset in force."""
    return pb.FleetDocument(
        version=1,
        partition_count=partition_count,
        voter_count=voter_count,
        failure_domains=failure_domains,
        fleet=fleet,
        partitions=[
            pb.Partition(number=number, term=1, holder=holder) for number in range(partition_count)
        ],
    )


def find_document_problem(document: pb.FleetDocument) -> str:
    """Return why a document is unusable, or an empty string."""
    numbers = [partition.number for partition in document.partitions]
    if document.version < 1:
        return "version is 0"
    if not 0 < document.voter_count <= document.partition_count:
        return "voter_count is not between 1 and partition_count"
    if numbers != list(range(document.partition_count)):
        return "partitions are not numbered from 0 to partition_count - 1"
    return ""


def find_change(document: pb.FleetDocument, change_id: str) -> pb.Change | None:
    """Return the recent change with this id, or None."""
    for change in document.recent_changes:
        if change.change_id == change_id:
            return change
    return None


def find_conflicting_change(document: pb.FleetDocument, expected_version: int) -> pb.Change | None:
    """Return the first operator's change after `expected_version`, or None; 0 skips the check.

    Takeovers and copied claims raise the version too, but conflict with no operator's change. If
    the changes right after the expected version are no longer listed, one of them may have been
    an operator's, so the oldest listed change is returned.
    """
    if not expected_version or document.version <= expected_version:
        return None
    changes = document.recent_changes
    for change in changes:
        if change.version > expected_version and change.operator != CONTROL_OPERATOR:
            return change
    if len(changes) >= MAX_RECENT_CHANGES and changes[0].version > expected_version:
        return changes[0]
    return None


def find_request_problem(change_id: str, operator: str) -> str:
    """Return why a change's id or operator is invalid, or an empty string."""
    if not change_id:
        return "change_id is missing"
    if len(change_id) > MAX_CHANGE_ID_CHARS:
        return f"change_id is longer than {MAX_CHANGE_ID_CHARS} characters"
    if len(operator) > MAX_OPERATOR_CHARS:
        return f"operator is longer than {MAX_OPERATOR_CHARS} characters"
    if operator == CONTROL_OPERATOR:
        return f"the operator name {CONTROL_OPERATOR} is reserved"
    return ""


def add_change(
    document: pb.FleetDocument,
    change: pb.Change,
    partitions: Iterable[pb.Partition],
) -> pb.FleetDocument:
    """Return the next document version, with `change` listed and newer claims copied into it.

    Sets the version of `change`. The oldest changes beyond `MAX_RECENT_CHANGES` are dropped.
    """
    next_document = copy_claims(document, partitions)
    change.version = next_document.version
    next_document.recent_changes.append(change)
    del next_document.recent_changes[:-MAX_RECENT_CHANGES]
    return next_document


def copy_claims(document: pb.FleetDocument, partitions: Iterable[pb.Partition]) -> pb.FleetDocument:
    """Return the next document version, with claims that are newer than the document's."""
    next_document = pb.FleetDocument()
    next_document.CopyFrom(document)
    next_document.version += 1
    for partition in partitions:
        current = next_document.partitions[partition.number]
        if is_newer(partition, current):
            current.CopyFrom(partition)
        else:
            merge_resolved_holders(current, partition)
    return next_document


def has_uncopied_claims(document: pb.FleetDocument, partitions: Iterable[pb.Partition]) -> bool:
    """Return whether the document lacks a newer claim or the removal of a resolved holder."""
    return any(
        is_newer(partition, document.partitions[partition.number])
        or (
            not is_newer(document.partitions[partition.number], partition)
            and len(partition.unresolved_holders)
            < len(document.partitions[partition.number].unresolved_holders)
        )
        for partition in partitions
    )


def use_preset(document: pb.FleetDocument, name: str, body: bytes) -> None:
    """Put a preset in force, modifying `document`."""
    document.preset.name = name
    document.preset.body = body
    document.preset.revision += 1


def find_mark(document: pb.FleetDocument, request: pb.SetMark) -> pb.Mark | None:
    """Return the mark on the failure domain or target of `request`, or None."""
    for mark in document.marks:
        if (mark.failure_domain, mark.target) == (request.failure_domain, request.target):
            return mark
    return None


def check_mark(
    document: pb.FleetDocument,
    request: pb.SetMark,
    failure_domains: set[str],
    targets: set[str],
) -> Failure[DocumentReason] | None:
    """Check that a mark request names one existing failure domain or target, and a valid state.

    Clearing (MARK_STATE_UNSPECIFIED) requires that the mark exists, but not its subject.
    """
    problem = ""
    if bool(request.failure_domain) == bool(request.target):
        problem = "give either a failure domain or a target"
    elif request.state not in pb.MarkState.values():
        problem = f"unknown mark state {request.state}"
    elif request.state == pb.MARK_STATE_UNSPECIFIED:
        if find_mark(document, request) is None:
            problem = f"{request.failure_domain or request.target} has no mark"
    elif request.failure_domain and request.failure_domain not in failure_domains:
        problem = f"unknown failure domain {request.failure_domain!r}"
    elif request.target and request.target not in targets:
        problem = f"unknown target {request.target!r}"
    return make_failure(DocumentReason.INVALID, problem) if problem else None


def set_mark(document: pb.FleetDocument, request: pb.SetMark) -> None:
    """Set, change or clear a mark, modifying `document`."""
    mark = find_mark(document, request)
    if request.state == pb.MARK_STATE_UNSPECIFIED:
        if mark is not None:
            document.marks.remove(mark)
        return
    if mark is None:
        mark = document.marks.add()
        if request.failure_domain:
            mark.failure_domain = request.failure_domain
        else:
            mark.target = request.target
    mark.state = request.state
    mark.version = document.version
