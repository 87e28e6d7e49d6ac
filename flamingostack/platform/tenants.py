"""API keys and tenants in the platform's formats: digests in place of keys, and decoding.

A configuration is rewritten where it is read from the store, so that no other part of the process,
no other instance and no operator's command ever holds a key.
"""

from __future__ import annotations

import hashlib
import math
from typing import Any

from ..gateway.model import Organisation, Organisations
from .sliced_json import SlicedText

TENANTS = "tenants"
KEYS = "apiKeys"
# Takes the place of the keys. It is never read from the store.
KEY_DIGESTS = "apiKeyDigests"
KEPT_FIELDS = ("name", "priority", "ratePerS", "burstSize")
# 128 bits let nobody find another key with the same digest, and 10,000 of them still reach the
# followers of an instance over a link of 20 Mbit/s within 2 s.
DIGEST_BYTES = 16
# What an entry and a digest hold in memory, once the keys are hidden.
HELD_ENTRY_BYTES = 320
HELD_DIGEST_BYTES = 96
# Keys of a tenant that are hidden in one step of the event loop.
MAX_KEYS_AT_A_TIME = 256
# The name is sent with each request.
MAX_NAME_BYTES = 256
MAX_PRIORITY = 1_000_000
MAX_PROBLEMS = 5


def compute_digest(key: str) -> str:
    """Return the digest under which a key is known."""
    data = key.encode("utf-8", "surrogateescape")
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()


def has_tenants(value: object) -> bool:
    """Return whether an object of the store names tenants."""
    return isinstance(value, dict) and bool(value.get(TENANTS))


def hide_keys(value: object) -> object:
    """Return an object of the store with digests in place of API keys.

    Whatever else might hold a key is left out: other fields of a tenant, and entries that are none.
    """
    if not isinstance(value, dict) or TENANTS not in value:
        return value
    entries = value[TENANTS]
    if not isinstance(entries, list):
        # Something that names no tenant, and is not the same as naming none.
        entries = [None] if entries else None
    hidden = None if entries is None else [hide_entry_keys(entry) for entry in entries]
    return {**value, TENANTS: hidden}


async def hide_keys_in_slices(value: object, source: SlicedText) -> object:
    """Return the same as `hide_keys` for a part of a decoded text, in slices."""
    entries = value.get(TENANTS) if isinstance(value, dict) else None
    if not isinstance(value, dict) or not isinstance(entries, list):
        return hide_keys(value)
    hidden: list[dict[str, object] | None] = []
    for entry in entries:
        if source.pacer.is_due:
            await source.pacer.pause()
        keys = entry.get(KEYS) if isinstance(entry, dict) else None
        is_large = isinstance(keys, list) and len(keys) > MAX_KEYS_AT_A_TIME
        hidden_entry = hide_entry_keys({**entry, KEYS: []} if is_large else entry)
        if is_large and hidden_entry is not None:
            hidden_entry[KEY_DIGESTS] = await hide_listed_keys_in_slices(keys, source)
        elif hidden_entry is not None:
            digests = len(hidden_entry[KEY_DIGESTS])  # type: ignore[arg-type]
            source.held.add_sizes(HELD_ENTRY_BYTES + HELD_DIGEST_BYTES * digests, 2)
        hidden.append(hidden_entry)
    return {**value, TENANTS: hidden}


async def hide_listed_keys_in_slices(keys: list[object], source: SlicedText) -> list[str | None]:
    """Return the digests of the keys of an entry, in slices."""
    digests = []
    for key in keys:
        if source.pacer.is_due:
            await source.pacer.pause()
        source.held.add_sizes(HELD_DIGEST_BYTES)
        digests.append(hide_key(key))
    return digests


def hide_relayed_keys(value: object) -> object:
    """Hide the keys in an object from an instance of an earlier version, which relays them."""
    entries = value.get(TENANTS) if isinstance(value, dict) else None
    if not isinstance(entries, list):
        return value
    if any(isinstance(entry, dict) and KEYS in entry for entry in entries):
        return hide_keys(value)
    return value


def hide_entry_keys(entry: object) -> dict[str, object] | None:
    """Return a tenant's entry with digests in place of its keys; None if it is none."""
    if not isinstance(entry, dict):
        return None
    keys = entry.get(KEYS)
    keys = keys if isinstance(keys, list) else []
    hidden = {name: entry[name] for name in KEPT_FIELDS if name in entry}
    hidden[KEY_DIGESTS] = [hide_key(key) for key in keys]
    return hidden


def hide_key(key: object) -> str | None:
    """Return the digest of a key; None if it is none."""
    return compute_digest(key) if isinstance(key, str) and key else None


def decode_organisations(entries: list[Any] | None) -> Organisations | None:
    """Decode the tenants of a configuration whose keys are hidden; None if it names none.

    An entry that cannot be used leaves the others in force.
    """
    if entries is None:
        return None
    by_name: dict[str, Organisation] = {}
    by_digest: dict[str, Organisation] = {}
    all_problems: list[str] = []
    for number, entry in enumerate(entries):
        problems = add_organisation(by_name, by_digest, entry)
        if problems and len(all_problems) < MAX_PROBLEMS:
            all_problems.append(f"tenant {number}: {', '.join(problems)}")
    return Organisations(by_name, by_digest, len(entries), all_problems)


def add_organisation(
    by_name: dict[str, Organisation],
    by_digest: dict[str, Organisation],
    entry: dict[str, Any] | None,
) -> list[str]:
    """Add a tenant's entry; return what is wrong with it, without any of its values.

    Two entries of one name are one tenant, with the keys of both and the stricter limit. A key
    that two tenants have belongs to the first one.
    """
    if not isinstance(entry, dict):
        return ["no entry"]
    problems: list[str] = []
    name = entry.get("name")
    if not is_usable_name(name):
        return ["unusable name"]
    organisation = Organisation(
        name,
        read_priority(entry, problems),
        read_number(entry, "ratePerS", problems),
        read_number(entry, "burstSize", problems),
    )
    known = by_name.setdefault(name, organisation)
    if known is not organisation:
        problems.append("duplicate name")
        merge_limits(known, organisation)
    digests = entry.get(KEY_DIGESTS, [])
    if not digests:
        problems.append("no keys")
    for digest in digests:
        if digest is None:
            problems.append("unusable key")
        elif by_digest.setdefault(digest, known) is not known:
            problems.append("key of an earlier tenant")
    return problems


def merge_limits(known: Organisation, other: Organisation) -> None:
    """Give `known` the stricter limit of both."""
    if not other.is_limited:
        return
    if not known.is_limited:
        known.rate_per_s, known.burst = other.rate_per_s, other.burst
        return
    known.rate_per_s = min(known.rate_per_s, other.rate_per_s)
    known.burst = min(known.burst, other.burst)


def is_usable_name(name: object) -> bool:
    """Return whether a name can be sent as the value of a header and comes out the same."""
    if not isinstance(name, str) or not name or name != name.strip():
        return False
    if not all(character.isprintable() for character in name):
        return False
    return len(name.encode("utf-8", "replace")) <= MAX_NAME_BYTES


def read_priority(entry: dict[str, Any], problems: list[str]) -> int | None:
    """Return a tenant's own priority; None without a usable one."""
    priority = entry.get("priority")
    if priority is None:
        return None
    if isinstance(priority, bool) or not isinstance(priority, int | float):
        problems.append("unusable priority")
        return None
    if not 0 <= priority <= MAX_PRIORITY or priority != int(priority):
        problems.append("unusable priority")
        return None
    return int(priority)


def read_number(entry: dict[str, Any], field: str, problems: list[str]) -> float:
    """Return a number from 0 up; 0, which means no limit, without a usable one."""
    number = entry.get(field)
    if number is None:
        return 0.0
    if isinstance(number, bool) or not isinstance(number, int | float):
        problems.append(f"unusable {field}")
        return 0.0
    if not math.isfinite(number) or number < 0:
        problems.append(f"unusable {field}")
        return 0.0
    return float(number)
