"""What the gateway keeps of the store's objects: the fields that it reads, within a bound.

Another writer may leave objects of any content, up to the store's limit of a value. Their decoded
form takes some twenty times the bytes of their JSON. So the objects of a response are split without
decoding them, and of each one only the fields that the gateway reads are decoded.
"""

from __future__ import annotations

import contextlib
from typing import Any, TypeVar

import msgspec

from ..gateway.model import StoredRecord
from ..gateway.position import NO_ERA
from .bounded_json import decode_json, is_bounded, leave_out_unbounded
from .tenants import TENANTS, hide_keys

# Kinds of objects. The platform and its operators write the first three.
CONFIGURATIONS = "config"
TARGETS = "servers"
EVACUATIONS = "evacuations"
# Operators write the orders, the gateway their states.
ROLLOUTS = "rollouts"
# Written by the gateway: one object for each of its instances.
INSTANCES = "flamingostack-instances"

CONFIGURATION_NAME = "main"
# Longer names belong to no object that the gateway uses.
MAX_NAME_CHARACTERS = 1024
# Limit of the kept fields of an entry, in bytes of JSON. Each kind takes some hundred.
MAX_ENTRY_BYTES = 4 * 1024
# A field of a kept entry that was beyond its limit, in place of all others.
LEFT_OUT_FIELD = "leftOut"
# What an object takes beside its value.
OBJECT_BYTES = 512
MISSING = msgspec.Raw(b"null")
Shape = TypeVar("Shape", bound=msgspec.Struct)


class StoredItem(msgspec.Struct):
    """An object of a response, not yet decoded."""

    meta: msgspec.Raw
    spec: msgspec.Raw = MISSING
    status: msgspec.Raw = MISSING


class StoredEvent(msgspec.Struct):
    """A change in the response to a watch."""

    object: StoredItem
    deleted: bool | None = None


class ListResponse(msgspec.Struct):
    """A page of a list; the names are the platform's."""

    items: list[StoredItem]
    atRevision: int  # noqa: N815
    hasMore: bool | None = None  # noqa: N815


class WatchResponse(msgspec.Struct):
    """The changes since a revision; the names are the platform's."""

    events: list[StoredEvent]
    atRevision: int  # noqa: N815


class Order(msgspec.Struct):
    """Both parts of an order as an instance relays them, not yet decoded."""

    spec: msgspec.Raw = MISSING
    status: msgspec.Raw = MISSING


class Meta(msgspec.Struct):
    """The metadata of an object that the gateway reads, not yet decoded."""

    name: msgspec.Raw
    revision: msgspec.Raw = MISSING


class PlainMeta(msgspec.Struct):
    """The same, decoded, as all objects have it but those of an odd writer."""

    name: str
    revision: int = 0


class KeptFields:
    """Which fields are kept of the objects of a kind; all if `shape` is None.

    `shape` is a msgspec structure that holds these fields undecoded. `max_bytes` limits their
    JSON; None means the store's own limit of a value, and that fields may be lists and objects.
    """

    __slots__ = ("shape", "max_bytes")

    def __init__(self, shape: type[msgspec.Struct] | None, max_bytes: int | None) -> None:
        self.shape = shape
        self.max_bytes = max_bytes

    def select(self, value: dict[str, object]) -> dict[str, object]:
        """Return the kept fields of a decoded value; null in place of a list or an object.

        An empty object takes thirty times the bytes of its JSON.
        """
        names = self.shape.__struct_fields__ if self.shape is not None else ()
        has_nested = self.max_bytes is None
        return {
            name: value[name] if has_nested or not isinstance(value[name], dict | list) else None
            for name in names
            if name in value
        }


def make_kept_fields(*names: str, max_bytes: int | None = MAX_ENTRY_BYTES) -> KeptFields:
    """Return the rule for a kind of which the fields with these names are kept."""
    fields = [(name, msgspec.Raw, MISSING) for name in names]
    return KeptFields(msgspec.defstruct("Fields", fields, omit_defaults=True), max_bytes)


KEPT_FIELDS_BY_KIND = {
    CONFIGURATIONS: make_kept_fields(
        "version", "routes", "services", "limits", TENANTS, max_bytes=None
    ),
    TARGETS: make_kept_fields(
        "service",
        "address",
        "zone",
        "version",
        "state",
        "slots",
        "coldRemainingMs",
        "sequence",
        "born",
    ),
    # Their names alone say what is meant.
    EVACUATIONS: make_kept_fields(),
    INSTANCES: make_kept_fields("failure_domain", "address"),
    # A write of the state sends the whole order back.
    ROLLOUTS: KeptFields(None, MAX_ENTRY_BYTES),
}
OTHER_KINDS = KeptFields(None, MAX_ENTRY_BYTES)


def split_response(body: bytes, shape: type[Shape]) -> Shape:
    """Split the JSON of a response into a structure whose objects are not yet decoded.

    Raise ValueError (msgspec's errors derive from it) or RecursionError if it has another shape.
    """
    # The error holds the text, so the second attempt comes after its end.
    with contextlib.suppress(ValueError, RecursionError):
        return msgspec.json.decode(body, type=shape)
    text = leave_out_unbounded(body.decode(errors="replace"))
    return msgspec.json.decode(text.encode(), type=shape)


def decode_object(item: StoredItem, kind: str, era: int = NO_ERA) -> StoredRecord | None:
    """Decode what is kept of an object; raise ValueError, KeyError or TypeError without a name.

    The value of a kind whose status the gateway writes has both parts, `spec` and `status`. A value
    that could not be used or relayed has none of the fields of its kind. API keys are replaced by
    digests. None: the object has a name that nothing of the gateway can have.
    """
    meta = decode_meta(item.meta)
    if len(meta.name) > MAX_NAME_CHARACTERS:
        return None
    value = keep_order(item) if kind == ROLLOUTS else keep_value(item.spec, kind, meta.name)
    return StoredRecord(meta.name, meta.revision, hide_keys(value), era=era)


def measure_object(item: StoredItem, kind: str) -> int:
    """Return how many bytes are kept of an object at most: of JSON, and of what it takes beside."""
    kept = KEPT_FIELDS_BY_KIND.get(kind, OTHER_KINDS)
    size = memoryview(item.spec).nbytes + memoryview(item.status).nbytes
    return OBJECT_BYTES + (size if kept.max_bytes is None else min(size, kept.max_bytes))


def decode_relayed(encoded: msgspec.Raw, kind: str, name: str) -> object:
    """Decode what is kept of a value that another instance relays; None if it has none.

    An instance of an earlier version relays whole values. Raise ValueError if it is no JSON. API
    keys are digests already.
    """
    if bytes(memoryview(encoded)[:4]) == b"null":
        return None
    if kind != ROLLOUTS:
        return keep_value(encoded, kind, name)
    try:
        return keep_order(msgspec.json.decode(encoded, type=Order))
    except msgspec.ValidationError:
        return {}


def decode_meta(encoded: msgspec.Raw) -> PlainMeta:
    """Return the name of an object, in characters that can be encoded, and its revision."""
    with contextlib.suppress(ValueError):
        return msgspec.json.decode(encoded, type=PlainMeta)
    meta = msgspec.json.decode(encoded, type=Meta)
    revision: Any = decode_json(bytes(meta.revision))
    name = str(decode_json(bytes(meta.name))).encode(errors="replace").decode()
    return PlainMeta(name, int(revision or 0))


def keep_value(encoded: msgspec.Raw, kind: str, name: str) -> object:
    """Decode the fields of an object's value that are kept for its kind.

    The result is a dictionary with the fields that are there, or any value where whole values are
    kept. It says so if they are beyond the limit, and is empty if they cannot be used.
    """
    if kind == CONFIGURATIONS and name != CONFIGURATION_NAME:
        return {}
    kept = KEPT_FIELDS_BY_KIND.get(kind, OTHER_KINDS)
    size = memoryview(encoded).nbytes
    is_small = kept.max_bytes is not None and size <= kept.max_bytes
    if kept.shape is None:
        return keep_bounded(decode_json(bytes(encoded))) if is_small else leave_out(size, kept)
    if is_small:
        # Decoding a small value at once is faster than decoding its fields one by one.
        value = decode_json(bytes(encoded))
        return kept.select(value) if isinstance(value, dict) and is_bounded(value) else {}
    try:
        fields = msgspec.json.decode(encoded, type=kept.shape)
    except msgspec.ValidationError:
        return {}
    by_name = {
        name: encoded_field
        for name in kept.shape.__struct_fields__
        if (encoded_field := getattr(fields, name)) is not MISSING
    }
    size = sum(memoryview(item).nbytes for item in by_name.values())
    if kept.max_bytes is not None and size > kept.max_bytes:
        return leave_out(size, kept)
    value = {name: decode_json(bytes(item)) for name, item in by_name.items()}
    return keep_bounded(kept.select(value))


def keep_order(item: StoredItem | Order) -> object:
    """Return both parts of an order, unless they are beyond the limit or cannot be used."""
    kept = KEPT_FIELDS_BY_KIND[ROLLOUTS]
    size = memoryview(item.spec).nbytes + memoryview(item.status).nbytes
    if size > kept.max_bytes:
        return leave_out(size, kept)
    return keep_bounded(
        {"spec": decode_json(bytes(item.spec)), "status": decode_json(bytes(item.status))}
    )


def keep_bounded(value: object) -> object:
    """Return a value, or an empty one if it cannot be encoded again."""
    return value if is_bounded(value) else {}


def leave_out(size: int, kept: KeptFields) -> dict[str, str]:
    """Return what stands for a value that is beyond the limit."""
    return {LEFT_OUT_FIELD: f"{size} bytes, limit {kept.max_bytes}"}
