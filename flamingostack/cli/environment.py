"""What the command line needs from outside, passed in explicitly in place of globals."""

from __future__ import annotations

import os
import sys
import time
import uuid
from collections.abc import Callable, Mapping
from typing import BinaryIO, TextIO

OPERATOR_VARIABLES = ("FLAMINGOSTACK_OPERATOR", "USER", "LOGNAME")
UNKNOWN_OPERATOR = "unknown"


class CommandEnvironment:
    """Streams, variables, clock and ids of one command."""

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
        """Return the name that is recorded with a change."""
        for variable in OPERATOR_VARIABLES:
            if self.variables.get(variable):
                return self.variables[variable]
        return UNKNOWN_OPERATOR


def make_command_environment() -> CommandEnvironment:
    """Return the environment of the running process."""
    return CommandEnvironment(
        stdin=sys.stdin.buffer,
        stdout=sys.stdout,
        stderr=sys.stderr,
        variables=os.environ,
        now_s=time.monotonic,
        make_id=lambda: uuid.uuid4().hex,
    )
