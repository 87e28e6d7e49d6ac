"""The `status` command."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

from ..errors import Failure
from ..fleet.placement import partition_of_target
from ..generated import messages_pb2 as pb
from ..status import ExitStatus
from .client import ClientReason, ControlClient
from .definition import ShowStatus
from .output import Outcome, format_table, format_time, make_error

MAX_RECENT_CHANGES_SHOWN = 5
# In a larger fleet the table shows only this many: those that lag or are leaving come first.
MAX_INSTANCES_SHOWN = 40
NAMES_BY_STATE = {
    pb.MARK_STATE_LEAVING: "leaving",
    pb.MARK_STATE_RETURNING: "returning",
}


async def show_status(command: ShowStatus, client: ControlClient) -> Outcome:
    """Return the state of the fleet as known to one control process."""
    reply = await client.status()
    if isinstance(reply, Failure):
        return describe_unreachable(reply)
    data = describe_fleet(reply)
    lines = format_fleet(data)
    if command.list_targets:
        lines += ["", *format_targets(data["targets"])]
    if command.list_partitions:
        lines += ["", *format_partitions(data["partitions"])]
    return Outcome(ExitStatus.SUCCESS, "\n".join(lines), data)


def describe_unreachable(failure: Failure[ClientReason]) -> Outcome:
    """Return the outcome when no control process gave a usable reply."""
    status = ExitStatus.UNAVAILABLE
    if failure.reason is ClientReason.REFUSED:
        status = ExitStatus.ERROR
    return make_error(status, failure.reason.code, failure.message)


def describe_fleet(reply: pb.StatusReply) -> dict:
    """Return the JSON form of a status reply."""
    document = reply.document
    partitions = [describe_partition(item) for item in reply.partitions or document.partitions]
    newest = max([document.version, *(member.document_version for member in reply.members)])
    marks_by_subject = {
        (mark.WhichOneof("subject"), mark.failure_domain or mark.target): NAMES_BY_STATE.get(
            mark.state, ""
        )
        for mark in document.marks
    }
    return {
        "asked": reply.own_member.instance,
        "version": document.version,
        "newest_version": newest,
        "preset": {"name": document.preset.name, "revision": document.preset.revision},
        "store_reachable": reply.store_reachable,
        "lease_remaining_ms": reply.lease_remaining_ms,
        "lease_source": reply.lease_source,
        "marks": [
            {"kind": kind, "name": name, "state": state}
            for (kind, name), state in sorted(marks_by_subject.items())
        ],
        "instances": [describe_member(member, newest) for member in reply.members],
        "partitions": partitions,
        "targets": describe_targets(reply, partitions, marks_by_subject),
        "indexes": [
            {
                "service": index.service,
                "revision": index.revision,
                "snapshots": [snapshot.id for snapshot in index.snapshots],
            }
            for index in reply.indexes
        ],
        "recent_changes": [
            {
                "change_id": change.change_id,
                "version": change.version,
                "summary": change.summary,
                "operator": change.operator,
                "at_unix_ms": change.at_unix_ms,
            }
            for change in document.recent_changes
        ],
    }


def describe_member(status: pb.MemberStatus, newest_version: int) -> dict:
    """Return the JSON form of an instance; `versions_behind` above 0 means that it lags."""
    member = status.member
    return {
        "instance": member.instance,
        "incarnation": member.incarnation,
        "failure_domain": member.failure_domain,
        "control_address": member.control_address,
        "dispatch_addresses": list(member.dispatch_addresses),
        "entry_address": member.entry_address,
        "leaving": member.leaving,
        "document_version": status.document_version,
        "applied_version": status.applied_version,
        "versions_behind": max(0, newest_version - status.applied_version),
        "last_heard_ms": status.last_heard_ms,
        "partitions": list(status.partitions),
    }


def describe_partition(partition: pb.Partition) -> dict:
    """Return the JSON form of an ownership partition."""
    return {
        "number": partition.number,
        "term": partition.term,
        "transfer": partition.transfer,
        "holder": partition.holder.instance,
        "holder_incarnation": partition.holder.incarnation,
        "unresolved_holders": list(partition.unresolved_holders),
    }


def describe_targets(
    reply: pb.StatusReply,
    partitions: Sequence[dict],
    marks_by_subject: dict[tuple[str, str], str],
) -> list[dict]:
    """Return the JSON form of all targets, with partition, owner and marks."""
    holders_by_partition = {item["number"]: item["holder"] for item in partitions}
    targets = []
    for index in reply.indexes:
        for target in index.targets:
            partition = partition_of_target(
                target_id=target.id,
                failure_domain=target.failure_domain,
                partition_count=max(reply.document.partition_count, 1),
                failure_domains=reply.document.failure_domains,
            )
            targets.append(
                {
                    "id": target.id,
                    "service": index.service,
                    "address": target.address,
                    "failure_domain": target.failure_domain,
                    "partition": partition,
                    "owner": holders_by_partition.get(partition, ""),
                    "mark": marks_by_subject.get(("target", target.id), ""),
                    "failure_domain_mark": marks_by_subject.get(
                        ("failure_domain", target.failure_domain), ""
                    ),
                }
            )
    return targets


def format_fleet(data: dict) -> list[str]:
    """Return the lines of the text form, without the lists of targets and partitions."""
    preset = data["preset"]
    store = "reachable" if data["store_reachable"] else "NOT REACHABLE"
    lines = [
        f"asked: {data['asked']}",
        f"configuration version: {data['version']} (newest known: {data['newest_version']})",
        f"preset in force: {preset['name'] or 'none'} (revision {preset['revision']})",
        f"store: {store}",
        f"lease: {data['lease_remaining_ms']} ms left, source {data['lease_source'] or 'unknown'}",
        "marks: "
        + (
            ", ".join(
                f"{mark['kind'].replace('_', '-')} {mark['name']} {mark['state']}"
                for mark in data["marks"]
            )
            or "none"
        ),
        "",
        *format_instances(data["instances"]),
        "",
        *format_services(data["targets"]),
        "",
        *summarise_partitions(data["partitions"]),
    ]
    changes = data["recent_changes"][-MAX_RECENT_CHANGES_SHOWN:]
    if changes:
        lines += ["", "recent changes:"]
        lines += [
            f"  {change['version']}  {format_time(change['at_unix_ms'])}"
            f"  {change['operator']}: {change['summary']}"
            for change in changes
        ]
    return lines


def select_instances(instances: Sequence[dict]) -> list[dict]:
    """Return up to `MAX_INSTANCES_SHOWN` instances, preferring those that lag or are leaving."""
    by_attention = sorted(
        instances,
        key=lambda item: (-item["versions_behind"], not item["leaving"], item["instance"]),
    )
    return sorted(
        by_attention[:MAX_INSTANCES_SHOWN],
        key=lambda item: (item["failure_domain"], item["instance"]),
    )


def format_instances(instances: Sequence[dict]) -> list[str]:
    """Return a table of instances and a line with the names of those that lag."""
    rows = [
        (
            item["instance"],
            item["failure_domain"],
            "leaving" if item["leaving"] else "live",
            item["document_version"],
            item["applied_version"],
            item["versions_behind"] or "-",
            item["last_heard_ms"],
            len(item["partitions"]),
            item["entry_address"],
        )
        for item in select_instances(instances)
    ]
    header = (
        "INSTANCE",
        "FAILURE DOMAIN",
        "STATE",
        "KNOWN",
        "APPLIED",
        "BEHIND",
        "HEARD MS AGO",
        "PARTITIONS",
        "ENTRY",
    )
    lines = format_table(header, rows)
    hidden = len(instances) - len(rows)
    if hidden:
        lines.append(f"... and {hidden} more; --json lists all")
    lagging = sorted(item["instance"] for item in instances if item["versions_behind"])
    names = ", ".join(lagging[:MAX_INSTANCES_SHOWN]) or "none"
    if len(lagging) > MAX_INSTANCES_SHOWN:
        names += f" and {len(lagging) - MAX_INSTANCES_SHOWN} more"
    return [*lines, f"lagging: {names}"]


def format_services(targets: Sequence[dict]) -> list[str]:
    """Return a table with one row for each service and failure domain."""
    totals: Counter[tuple[str, str]] = Counter()
    leaving: Counter[tuple[str, str]] = Counter()
    unowned: Counter[tuple[str, str]] = Counter()
    for target in targets:
        key = (target["service"], target["failure_domain"])
        totals[key] += 1
        leaving[key] += "leaving" in (target["mark"], target["failure_domain_mark"])
        unowned[key] += not target["owner"]
    rows = [(*key, totals[key], leaving[key], unowned[key]) for key in sorted(totals)]
    return format_table(("SERVICE", "FAILURE DOMAIN", "TARGETS", "LEAVING", "WITHOUT OWNER"), rows)


def summarise_partitions(partitions: Sequence[dict]) -> list[str]:
    """Return the number of partitions, and those without holder or with unresolved holders."""
    unowned = [str(item["number"]) for item in partitions if not item["holder"]]
    unresolved = [str(item["number"]) for item in partitions if item["unresolved_holders"]]
    return [
        f"partitions: {len(partitions)}",
        f"  without holder: {', '.join(unowned) or 'none'}",
        f"  with unresolved previous holders: {', '.join(unresolved) or 'none'}",
    ]


def format_targets(targets: Sequence[dict]) -> list[str]:
    """Return a table of all targets."""
    rows = [
        (
            item["id"],
            item["service"],
            item["failure_domain"],
            item["partition"],
            item["owner"] or "none",
            item["mark"] or item["failure_domain_mark"] or "-",
        )
        for item in targets
    ]
    return format_table(("TARGET", "SERVICE", "FAILURE DOMAIN", "PARTITION", "OWNER", "MARK"), rows)


def format_partitions(partitions: Sequence[dict]) -> list[str]:
    """Return a table of all partitions."""
    rows = [
        (
            item["number"],
            item["term"],
            item["transfer"],
            item["holder"] or "none",
            ", ".join(item["unresolved_holders"]) or "-",
        )
        for item in partitions
    ]
    return format_table(("PARTITION", "TERM", "TRANSFER", "HOLDER", "UNRESOLVED"), rows)
