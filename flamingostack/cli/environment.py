"""Dependencies of a command, passed in explicitly instead of through globals."""

from __future__ import annotations

import os
import sys
import time
import uuid
from collections.abc import Callable, Mapping
from typing import BinaryIO, TextIO

OPERATOR_VARIABLES = ("FLAMINGOSTACK_OPERATOR", "USER", "LOGNAME")
UNKNOWN_OPERATOR = "unknown"
MAX_OPERATOR_CHARACTERS = 128


class CommandEnvironment:
    """Standard streams, environment variables, clock and id generator of one command."""

    __slots__ = ("stdin", "stdout", "stderr", "variables", "now_s", "make_id")

    def __init__(
        self,
        stdin: BinaryIO,
        stdout: TextIO,
        stderr: TextIO,
        variables: Mapping[str, str],
        now_s: Callable[[], float],
        make_id: Callable[[], str],
    ) -> None:
        self.stdin = stdin
        self.stdout = stdout
        self.stderr = stderr
        self.variables = variables
        self.now_s = now_s
        self.make_id = make_id

    def operator(self) -> str:
        """Return the operator's name to record with a change, without unprintable characters."""
        names = (self.variables.get(variable) for variable in OPERATOR_VARIABLES)
        name = next(filter(None, names), UNKNOWN_OPERATOR)
        printable = (character if character.isprintable() else "?" for character in name)
        return "".join(printable)[:MAX_OPERATOR_CHARACTERS]


def make_command_environment() -> CommandEnvironment:
    """Return the environment of the running process."""
    # A printed file name may hold bytes that are not valid in the locale's encoding.
    sys.stdout.reconfigure(errors="backslashreplace")
    return CommandEnvironment(
        stdin=sys.stdin.buffer,
        stdout=sys.stdout,
        stderr=sys.stderr,
        variables=os.environ,
        now_s=time.monotonic,
        make_id=lambda: uuid.uuid4().hex,
    )
