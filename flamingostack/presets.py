"""Presets: TOML, validated against the schema and for conflicts between keys."""

from __future__ import annotations

import math

import msgspec

from .errors import Failure, Reason, make_failure
from .generated.preset import ClassPolicy, Preset
from .settings import DECODE_ERRORS

ANY_CLASS_PATH = "$.classes[...]"


class PresetReason(Reason):
    """Why a preset was rejected."""

    INVALID = "preset_invalid"


def parse_preset(text: bytes, source: str) -> Preset | Failure[PresetReason]:
    """Decode and validate a preset; messages name the source and the key's path."""
    try:
        preset = msgspec.toml.decode(text, type=Preset)
    except DECODE_ERRORS as error:
        return make_failure(PresetReason.INVALID, f"{source}: {add_class_name(str(error), text)}")
    problem = find_conflict(preset)
    if problem:
        return make_failure(PresetReason.INVALID, f"{source}: {problem}")
    return preset


def add_class_name(message: str, text: bytes) -> str:
    """Insert the class name into the path of a msgspec message.

    msgspec writes `$.classes[...]` for a value in a mapping, without its key.
    """
    if ANY_CLASS_PATH not in message:
        return message
    for name, policy in msgspec.toml.decode(text)["classes"].items():
        try:
            msgspec.convert(policy, ClassPolicy)
        except msgspec.ValidationError:
            return message.replace(ANY_CLASS_PATH, f"$.classes.{name}")
    return message


def find_conflict(preset: Preset) -> str:
    """Return the first value that is invalid or conflicts with another, or an empty string.

    The text ends with the key's path.
    """
    for name, policy in preset.classes.items():
        if policy.max_queue_ms > policy.deadline_ms:
            return f"max_queue_ms is above deadline_ms - at `$.classes.{name}.max_queue_ms`"
        if not policy.repeatable and policy.extra_load_percent > 0:
            return (
                "a class that is not repeatable cannot be hedged or retried: set it to 0"
                f" - at `$.classes.{name}.extra_load_percent`"
            )
    if not math.isfinite(preset.limits.foreign_domain_penalty_ms):
        return "must be a finite number - at `$.limits.foreign_domain_penalty_ms`"
    return ""
