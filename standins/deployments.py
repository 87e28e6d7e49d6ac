"""The deployments of both users (docs/design.md, section 1.2) as data.

Sizes, slots, connections and connect times are those of the users. The service times are not: they
limit the rates, and are long enough for one machine to run the searchers near their capacity. Ten
groups of 3 searchers with 6 slots and 30 ms serve at most 600 queries/s, or 6,000 sub-requests/s.
"""

from __future__ import annotations

from pathlib import Path

import msgspec

from flamingostack.generated import messages_pb2 as pb

from .searcher import SearcherConfig, Shard

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
PRESETS = ("ordinary", "peak", "maintenance")


class ServiceSpec(msgspec.Struct, frozen=True, kw_only=True):
    """A service: `groups` key ranges, each on `replicas` searchers in different failure domains.

    For `slots` to `service_sigma` see SearcherConfig; keys are integers in [0, `keyspace`).
    """

    name: str
    groups: int
    replicas: int
    slots: int
    connections: int
    connect_ms: float
    cold_limit: int
    service_ms: float
    service_sigma: float = 0.25
    keyspace: int = 30_000

    def target_id(self, group: int, replica: int) -> str:
        """Return the target id of the searcher that is a replica of a group."""
        return f"{self.name}-g{group:02}-r{replica}"

    def key_range(self, group: int, shift: int = 0) -> tuple[int, int]:
        """Return the key range [low, high) of a group.

        `shift` moves all boundaries inside the keyspace by that many keys (a repartition).
        """
        boundaries = [0]
        boundaries += [
            number * self.keyspace // self.groups + shift for number in self.inner_boundaries()
        ]
        boundaries.append(self.keyspace)
        return boundaries[group], boundaries[group + 1]

    def inner_boundaries(self) -> range:
        """Return the numbers of the boundaries inside the keyspace, which exclude its two ends."""
        return range(1, self.groups)

    def capacity_per_s(self) -> float:
        """Return the rate of queries over the whole keyspace, per second, that uses all slots."""
        return self.replicas * self.slots / (self.service_ms / 1000)


class Deployment(msgspec.Struct, frozen=True, kw_only=True):
    """A user's deployment.

    `zone_ms` is the round-trip time between failure domains, `caller_ms` that between callers and
    instances.
    """

    name: str
    failure_domains: tuple[str, ...]
    services: tuple[ServiceSpec, ...]
    instances: int
    zone_ms: float
    caller_ms: float
    # Request classes with the service that each uses, as in the presets.
    query_classes: dict[str, str]
    submit_classes: dict[str, str]

    def reduce(
        self,
        groups: int = 3,
        instances: int = 3,
        services: tuple[str, ...] | None = None,
    ) -> Deployment:
        """Return a smaller deployment.

        Keeps the named services (None: all), with at most `groups` groups each, and runs
        `instances` instances.
        """
        kept = [item for item in self.services if services is None or item.name in services]
        return msgspec.structs.replace(
            self,
            instances=instances,
            services=tuple(
                msgspec.structs.replace(item, groups=min(item.groups, groups)) for item in kept
            ),
        )

    def with_service(self, name: str, **changes: object) -> Deployment:
        """Return the deployment with some fields of one service replaced."""
        services = tuple(
            msgspec.structs.replace(item, **changes) if item.name == name else item
            for item in self.services
        )
        return msgspec.structs.replace(self, services=services)

    def service(self, name: str) -> ServiceSpec:
        """Return a service by name; KeyError if there is none."""
        for item in self.services:
            if item.name == name:
                return item
        raise KeyError(name)

    def failure_domain_of(self, group: int, replica: int) -> str:
        """Return the failure domain of a searcher; the replicas of a group are spread over them."""
        return self.failure_domains[(group + replica) % len(self.failure_domains)]

    def preset_text(self, preset: str) -> bytes:
        """Return the TOML text of one of the user's presets."""
        return (EXAMPLES / self.name / f"{preset}.toml").read_bytes()


DUMALAGAN = Deployment(
    name="dumalagan",
    failure_domains=("north", "harbour", "hill"),
    instances=6,
    zone_ms=3.5,
    caller_ms=1.0,
    services=(
        ServiceSpec(
            name="enquiry",
            groups=10,
            replicas=3,
            slots=6,
            connections=50,
            connect_ms=6.0,
            cold_limit=2,
            service_ms=30.0,
        ),
        ServiceSpec(
            name="booking",
            groups=15,
            replicas=3,
            slots=6,
            connections=50,
            connect_ms=6.0,
            cold_limit=2,
            service_ms=40.0,
        ),
        ServiceSpec(
            name="portal",
            groups=5,
            replicas=2,
            slots=6,
            connections=110,
            connect_ms=1.0,
            cold_limit=2,
            service_ms=25.0,
        ),
        ServiceSpec(
            name="meter",
            groups=1,
            replicas=5,
            slots=6,
            connections=110,
            connect_ms=1.0,
            cold_limit=2,
            service_ms=20.0,
        ),
    ),
    query_classes={
        "lookup": "enquiry",
        "enquiry": "enquiry",
        "availability": "booking",
        "portal": "portal",
        "meter": "meter",
    },
    submit_classes={"booking": "booking"},
)

ASSINIBOINE = Deployment(
    name="assiniboine",
    failure_domains=("east", "west", "river"),
    instances=6,
    zone_ms=4.0,
    caller_ms=1.0,
    services=(
        ServiceSpec(
            name="board",
            groups=10,
            replicas=3,
            slots=2,
            connections=25,
            connect_ms=6.0,
            cold_limit=1,
            service_ms=20.0,
        ),
        ServiceSpec(
            name="fare",
            groups=15,
            replicas=3,
            slots=2,
            connections=25,
            connect_ms=6.0,
            cold_limit=1,
            service_ms=30.0,
        ),
        ServiceSpec(
            name="planning",
            groups=5,
            replicas=2,
            slots=2,
            connections=35,
            connect_ms=1.0,
            cold_limit=1,
            service_ms=40.0,
        ),
        ServiceSpec(
            name="bridge",
            groups=1,
            replicas=5,
            slots=2,
            connections=35,
            connect_ms=1.0,
            cold_limit=1,
            service_ms=30.0,
        ),
    ),
    query_classes={
        "board": "board",
        "fare": "fare",
        "planning": "planning",
        "bridge": "bridge",
    },
    submit_classes={"correction": "fare"},
)

DEPLOYMENTS_BY_NAME = {item.name: item for item in (DUMALAGAN, ASSINIBOINE)}


def make_searcher_configs(
    deployment: Deployment,
    ports: list[int],
    snapshot: str,
    changes: dict[str, object],
) -> list[SearcherConfig]:
    """Return the configurations of all searchers of a deployment; `changes` overrides their fields.

    `ports` holds at least one port for each searcher; all searchers hold `snapshot`.
    """
    configs = []
    remaining = iter(ports)
    for service in deployment.services:
        for group in range(service.groups):
            low, high = service.key_range(group)
            for replica in range(service.replicas):
                fields = {
                    "slots": service.slots,
                    "connections": service.connections,
                    "cold_limit": service.cold_limit,
                    "connect_ms": service.connect_ms,
                    "service_ms": service.service_ms,
                    "service_sigma": service.service_sigma,
                    **changes,
                }
                configs.append(
                    SearcherConfig(
                        id=service.target_id(group, replica),
                        port=next(remaining),
                        shards=[Shard(id=snapshot, low=low, high=high)],
                        **fields,
                    )
                )
    return configs


def make_snapshot(service: ServiceSpec, snapshot: str, shift: int = 0) -> pb.Snapshot:
    """Return the key ranges of a service's snapshot, each with the targets that hold it.

    For `shift` see ServiceSpec.key_range.
    """
    ranges = []
    for group in range(service.groups):
        low, high = service.key_range(group, shift)
        targets = [service.target_id(group, replica) for replica in range(service.replicas)]
        ranges.append(pb.KeyRange(low=low, high=high, targets=targets))
    return pb.Snapshot(id=snapshot, ranges=ranges)


def make_index(
    deployment: Deployment,
    service: ServiceSpec,
    addresses_by_target: dict[str, str],
    snapshots: list[pb.Snapshot],
) -> pb.ServiceIndex:
    """Return the index map of a service: its targets and its snapshots, oldest first."""
    targets = [
        pb.Target(
            id=service.target_id(group, replica),
            address=addresses_by_target[service.target_id(group, replica)],
            failure_domain=deployment.failure_domain_of(group, replica),
            slots=service.slots,
            connections=service.connections,
            cold_limit=service.cold_limit,
        )
        for group in range(service.groups)
        for replica in range(service.replicas)
    ]
    return pb.ServiceIndex(
        service=service.name,
        keyspace=service.keyspace,
        targets=targets,
        snapshots=snapshots,
    )
