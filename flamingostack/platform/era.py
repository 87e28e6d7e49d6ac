"""The era of the store, which it names in each of its answers."""

from __future__ import annotations

import re
from collections.abc import Mapping

ERA_HEADER = "Store-Era"
WHOLE_NUMBER = re.compile(r"[0-9]{1,18}", re.ASCII)
MAX_QUOTED_CHARACTERS = 40


def read_era(headers: Mapping[str, str]) -> int | None:
    """Return the era that an answer names, None without one; raise ValueError if it is malformed.

    `headers` are those of one answer, with names in any case.
    """
    text = headers.get(ERA_HEADER)
    if text is None:
        return None
    if not WHOLE_NUMBER.fullmatch(text.strip()):
        raise ValueError(f"{ERA_HEADER}: {text[:MAX_QUOTED_CHARACTERS]!r} is no whole number")
    return int(text)
