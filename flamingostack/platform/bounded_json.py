"""Decoding of the store's JSON, in which another writer may have left any value.

One value that no decoder takes must not hide all others in the same list, and one that the relay
cannot encode must not end the answers to followers.
"""

from __future__ import annotations

import contextlib
import json
import math
import re

# Objects of the platform have fewer levels; decoders fail at about 1,000.
MAX_DEPTH = 32
# Longer integers are of no use, and from 4,300 digits on they cannot be decoded.
MAX_NUMBER_CHARACTERS = 40
MAX_INTEGER = 2**63 - 1
# The quantifiers of strings are possessive, since the state for going back took 900 MiB in a string
# of 7 MiB. A string without an end reaches to the end of the text, or each quote that is escaped in
# it would be tried as the begin of another.
# The literals are written by Python's encoder and taken by few decoders.
TOKEN = re.compile(
    r'"(?:[^"\\]++|\\.)*+"?|[\[{]+|[\]}]+|-?[0-9][0-9.eE+-]*|NaN|-?Infinity', re.DOTALL
)
# Escaped halves of characters, with the escapes that must not be taken for the begin of one.
ESCAPE = re.compile(
    r"\\(?:u[dD][89abAB][0-9a-fA-F]{2}\\u[dD][c-fC-F][0-9a-fA-F]{2}"
    r"|(?P<half>u[dD][89a-fA-F][0-9a-fA-F]{2})|.)",
    re.DOTALL,
)
# Takes the place of what is left out. It can be decoded, and `is_bounded` refuses it.
LEFT_OUT = "1e999"
# The same in a string. No text holds this code point, which is reserved for internal use.
NONCHARACTER = "\ufffe"
ESCAPED_NONCHARACTER = "\\ufffe"


def decode_json(body: bytes) -> object:
    """Decode JSON, if need be without values that can't be decoded; raise ValueError otherwise."""
    # The error holds the text, so the second attempt comes after its end.
    with contextlib.suppress(ValueError, RecursionError):
        return json.loads(body)
    return json.loads(leave_out_unbounded(body.decode(errors="replace")))


def leave_out_unbounded(text: str) -> str:
    """Replace what is nested deeper than `MAX_DEPTH`, and what no decoder takes.

    These are numbers that are too long, and halves of characters in strings.
    """
    pieces = []
    depth = copied_to = 0
    for token in TOKEN.finditer(text):
        first = text[token.start()]
        if first in "[{":
            excess = depth + len(token[0]) - MAX_DEPTH
            if depth <= MAX_DEPTH < depth + len(token[0]):
                pieces += (text[copied_to : token.end() - excess], LEFT_OUT)
            depth += len(token[0])
        elif first in "]}":
            if depth > MAX_DEPTH >= depth - len(token[0]):
                copied_to = token.start() + depth - MAX_DEPTH
            depth -= len(token[0])
        elif depth > MAX_DEPTH:
            continue
        elif first == '"':
            if "\\u" in token[0]:
                pieces += (text[copied_to : token.start()], ESCAPE.sub(replace_half, token[0]))
                copied_to = token.end()
        elif first in "NI" or token[0] == "-Infinity" or len(token[0]) > MAX_NUMBER_CHARACTERS:
            pieces += (text[copied_to : token.start()], LEFT_OUT)
            copied_to = token.end()
    pieces.append(text[copied_to:])
    return "".join(pieces)


def replace_half(escape: re.Match[str]) -> str:
    """Return an escape of a string, without half a character."""
    return escape[0] if escape["half"] is None else ESCAPED_NONCHARACTER


def is_bounded(value: object, max_depth: int = MAX_DEPTH) -> bool:
    """Return whether a decoded value can be encoded again and used for what it says."""
    match value:
        case dict():
            return max_depth > 0 and all(
                is_bounded(key) and is_bounded(item, max_depth - 1) for key, item in value.items()
            )
        case list():
            return max_depth > 0 and all(is_bounded(item, max_depth - 1) for item in value)
        case str():
            if value.isascii():
                return True
            return NONCHARACTER not in value and value == value.encode(errors="replace").decode()
        case float():
            return math.isfinite(value)
        case int():
            return abs(value) <= MAX_INTEGER
        case _:
            return True
