"""Hypothesis strategies that corrupt valid TOML, for fuzz tests of presets and settings."""

from __future__ import annotations

from hypothesis import strategies

# Values and fragments that caused exceptions before, or that decoders often mishandle.
FRAGMENTS = (
    b"[" * 3000,
    b"a.b" * 500,
    b"9" * 5000,
    b"nan",
    b"-inf",
    b"inf",
    b"1e999",
    b"-1",
    b"2020-13-45",
    b'"\\ud800"',
    b"\xff\xfe",
    b"\x00",
    b'""',
    b'"',
    b"'''",
    b"[]",
    b"{}",
    b"true",
    b'"10s"',
    '"127.0.0.1:\u00b2"'.encode(),
    b'"127.0.0.1:' + b"9" * 5000 + b'"',
    b'"[::1%x]:1"',
    b"\n[classes]\n",
    b"\n[[instance]]\n",
    b" = ",
    b"\r",
)


@strategies.composite
def mutate_toml(draw: strategies.DrawFn, valid: bytes) -> bytes:
    """Return `valid` after 1 to 4 mutations.

    Each replaces a value, replaces a span of bytes, inserts a copy of a line or removes a line.
    """
    text = valid
    for _ in range(draw(strategies.integers(1, 4))):
        text = _mutate_once(draw, text)
    return text


def _mutate_once(draw: strategies.DrawFn, text: bytes) -> bytes:
    fragment = draw(strategies.sampled_from(FRAGMENTS) | strategies.binary(max_size=8))
    start = draw(strategies.integers(0, len(text)))
    end = min(len(text), start + draw(strategies.integers(0, 20)))
    lines = text.split(b"\n")
    line = draw(strategies.integers(0, len(lines) - 1))
    match draw(strategies.sampled_from(("value", "splice", "repeat", "remove"))):
        case "value":
            lines[line] = lines[line].partition(b"=")[0] + b"= " + fragment
        case "splice":
            return text[:start] + fragment + text[end:]
        case "repeat":
            lines.insert(line, lines[draw(strategies.integers(0, len(lines) - 1))])
        case "remove":
            del lines[line]
    return b"\n".join(lines)
