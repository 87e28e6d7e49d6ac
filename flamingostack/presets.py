"""Presets: TOML checked against the schema and across keys."""

from __future__ import annotations

import msgspec

from .errors import Failure, Reason, make_failure
from .generated.preset import Preset


class PresetReason(Reason):
    """Why a preset was refused."""

    INVALID = "preset_invalid"


def parse_preset(text: bytes, source: str) -> Preset | Failure[PresetReason]:
    """Decode a preset; messages name the source and the key's path."""
    try:
        preset = msgspec.toml.decode(text, type=Preset)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return make_failure(PresetReason.INVALID, f"{source}: {error}")
    problem = find_conflict(preset)
    if problem:
        return make_failure(PresetReason.INVALID, f"{source}: {problem}")
    return preset


def find_conflict(preset: Preset) -> str:
    """Return what is wrong across keys, with the key's path, or an empty string."""
    for name, policy in preset.classes.items():
        if policy.max_queue_ms > policy.deadline_ms:
            return f"max_queue_ms is above deadline_ms - at `$.classes.{name}.max_queue_ms`"
        if not policy.repeatable and policy.extra_load_percent > 0:
            return (
                "a class that is not repeatable takes no hedges or retries: set it to 0"
                f" - at `$.classes.{name}.extra_load_percent`"
            )
    return ""
