"""Input files of commands."""

from __future__ import annotations

from ..errors import Failure, Reason, make_failure
from .environment import CommandEnvironment

STANDARD_INPUT = "-"
# The store takes values of up to a megabyte.
MAX_FILE_BYTES = 1024 * 1024


class FileReason(Reason):
    """Why a file was refused."""

    UNREADABLE = "file_unreadable"
    TOO_LARGE = "file_too_large"


def read_file(file: str, environment: CommandEnvironment) -> bytes | Failure[FileReason]:
    """Read a file, or standard input for `-`, of at most `MAX_FILE_BYTES`."""
    try:
        if file == STANDARD_INPUT:
            text = environment.stdin.read(MAX_FILE_BYTES + 1)
        else:
            with open(file, "rb") as opened:
                text = opened.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        return make_failure(FileReason.UNREADABLE, f"{name_of(file)}: {error.strerror}")
    except ValueError as error:
        return make_failure(FileReason.UNREADABLE, f"{name_of(file)}: {error}")
    if len(text) > MAX_FILE_BYTES:
        return make_failure(
            FileReason.TOO_LARGE,
            f"{name_of(file)}: more than {MAX_FILE_BYTES} bytes",
        )
    return text


def name_of(file: str) -> str:
    """Return the name used in messages."""
    return "standard input" if file == STANDARD_INPUT else file
