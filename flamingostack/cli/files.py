"""Reading of the input files of commands."""

from __future__ import annotations

from ..errors import Failure, Reason, make_failure
from .environment import CommandEnvironment

STANDARD_INPUT = "-"
# The store accepts values of up to 1 MiB.
MAX_FILE_BYTES = 1024 * 1024


class FileReason(Reason):
    """Why a file was rejected."""

    UNREADABLE = "file_unreadable"
    TOO_LARGE = "file_too_large"


def read_file(file: str, environment: CommandEnvironment) -> bytes | Failure[FileReason]:
    """Read a file, or standard input for `-`; TOO_LARGE above `MAX_FILE_BYTES`."""
    try:
        if file == STANDARD_INPUT:
            text = environment.stdin.read(MAX_FILE_BYTES + 1)
        else:
            with open(file, "rb") as stream:
                text = stream.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        return make_failure(FileReason.UNREADABLE, f"{get_display_name(file)}: {error.strerror}")
    except ValueError as error:
        return make_failure(FileReason.UNREADABLE, f"{get_display_name(file)}: {error}")
    if len(text) > MAX_FILE_BYTES:
        return make_failure(
            FileReason.TOO_LARGE,
            f"{get_display_name(file)}: more than {MAX_FILE_BYTES} bytes",
        )
    return text


def get_display_name(file: str) -> str:
    """Return the name of a file for messages."""
    return "standard input" if file == STANDARD_INPUT else file
