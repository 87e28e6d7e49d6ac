"""Tenants of the soak: their API keys, which come and go, and their quotas."""

from __future__ import annotations

import itertools
import random

# All keys begin with it, so that targets recognise any of them.
KEY_PREFIX = "soak-key-"
PUBLIC_ROUTE = "open"
# Requests with it run at no target: no configuration has ever held it.
UNKNOWN_KEY = f"{KEY_PREFIX}unknown"
# The tenant of version probes, whose key stays, and of other callers in turn.
PROBE_TENANT = "probes"
UNLIMITED_TENANT = "large"
LIMITED_TENANT = "small"
# The callers of up to ten instances send up to 70 requests a second; three in ten fail or pause.
LIMITED_RATE_PER_S = 70.0
LIMITED_BURST = 20.0
# Shares of the requests with an unknown key, with none, with an earlier key of the tenant, and with
# tenants named by the caller.
UNKNOWN_SHARE = 0.03
MISSING_SHARE = 0.03
EARLIER_SHARE = 0.1
FORGED_SHARE = 0.2


class TenantKey:
    """An API key, and when the store acknowledged the versions that added and removed it."""

    __slots__ = ("text", "tenant", "is_revoked", "added_at", "removed_at")

    def __init__(self, text: str, tenant: str) -> None:
        self.text = text
        self.tenant = tenant
        self.is_revoked = False
        self.added_at = float("inf")
        self.removed_at = float("inf")


class Tenants:
    """The tenants of a run; their keys are drawn from the seed."""

    names = (PROBE_TENANT, UNLIMITED_TENANT, LIMITED_TENANT)

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(f"keys {seed}")
        self.keys_by_tenant: dict[str, list[TenantKey]] = {name: [] for name in self.names}
        self.keys_by_text: dict[str, TenantKey] = {}
        # Start and end of the times in which the limited tenant sent more than its quota.
        self.hot_intervals: list[list[float]] = []
        self._numbers = itertools.count(1)
        for name in self.names:
            self.add_key(name)

    def add_key(self, tenant: str) -> None:
        """Add a key, which the next version of the configuration holds."""
        key = TenantKey(f"{KEY_PREFIX}{next(self._numbers)}-{self.rng.getrandbits(64):x}", tenant)
        self.keys_by_tenant[tenant].append(key)
        self.keys_by_text[key.text] = key

    def revoke_keys(self, tenant: str, is_last_kept: bool) -> None:
        """Revoke the keys of a tenant, which the next version does not hold any more.

        With `is_last_kept`, its latest one stays.
        """
        keys = self.keys_by_tenant[tenant]
        for key in keys[:-1] if is_last_kept else keys:
            key.is_revoked = True

    def make_entries(self, now: float) -> list[dict]:
        """Return the tenants in the form of the configuration that is written now."""
        entries = []
        for tenant, keys in self.keys_by_tenant.items():
            for key in keys:
                if key.is_revoked:
                    key.removed_at = min(key.removed_at, now)
                else:
                    key.added_at = min(key.added_at, now)
            texts = [key.text for key in keys if not key.is_revoked]
            entry: dict = {"name": tenant, "apiKeys": texts}
            if tenant == LIMITED_TENANT:
                entry |= {"ratePerS": LIMITED_RATE_PER_S, "burstSize": LIMITED_BURST}
            entries.append(entry)
        return entries

    def is_hot(self, begin: float, end: float) -> bool:
        """Return whether the limited tenant sent more than its quota in a part of the interval."""
        return any(start < end and until > begin for start, until in self.hot_intervals)


def draw_headers(tenants: Tenants, tenant: str, rng: random.Random) -> list[tuple[str, str]]:
    """Return the header fields by which a request of a caller names its tenant."""
    fields = []
    if rng.random() < FORGED_SHARE:
        # Targets must get the tenant of the key, whatever the caller names.
        fields += [("X-Tenant", PROBE_TENANT), ("x-tenant", "forged")]
    draw = rng.random()
    keys = tenants.keys_by_tenant[tenant]
    if draw < MISSING_SHARE:
        return fields
    if draw < MISSING_SHARE + UNKNOWN_SHARE:
        text = UNKNOWN_KEY
    elif draw < MISSING_SHARE + UNKNOWN_SHARE + EARLIER_SHARE:
        text = rng.choice(keys).text
    else:
        text = keys[-1].text
    return [*fields, ("Authorization", f"Bearer {text}")]


def read_key(fields: list[tuple[str, str]]) -> str:
    """Return the key among header fields; empty without one."""
    return next((value.split()[1] for name, value in fields if name == "Authorization"), "")
