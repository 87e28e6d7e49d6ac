"""Runs a process of the tier and counts the bytes that its gRPC connections receive.

    python -m bench.byte_counter OUTPUT_FOLDER flamingostack.control --settings a.toml

Every byte received by one process was sent by another, so the fleet's sum is the traffic once.
"""

from __future__ import annotations

import os
import runpy
import sys
import threading
import time
from pathlib import Path

from grpclib.protocol import H2Protocol

WRITE_EVERY_S = 0.5


class Counter:
    """Bytes and reads so far."""

    __slots__ = ("received", "reads")

    def __init__(self) -> None:
        self.received = 0
        self.reads = 0


def count_bytes(counter: Counter) -> None:
    """Wrap the method that grpclib gets its bytes by."""
    receive = H2Protocol.data_received

    def data_received(self: H2Protocol, data: bytes) -> None:
        counter.received += len(data)
        counter.reads += 1
        receive(self, data)

    H2Protocol.data_received = data_received


def write_counts(counter: Counter, path: Path) -> None:
    """Keep the newest counts in a file until the process ends."""
    while True:
        # Replaced as a whole, so that a reader never sees an empty file.
        partial = path.with_suffix(".partial")
        partial.write_text(f"{counter.received} {counter.reads}")
        partial.replace(path)
        time.sleep(WRITE_EVERY_S)


def main(arguments: list[str]) -> None:
    """Count, then run the module with the remaining arguments."""
    folder, module, *rest = arguments
    counter = Counter()
    if module == "flamingostack.control":
        count_bytes(counter)
        path = Path(folder) / f"{os.getpid()}.bytes"
        threading.Thread(target=write_counts, args=(counter, path), daemon=True).start()
    sys.argv = [module, *rest]
    runpy.run_module(module, run_name="__main__")


if __name__ == "__main__":
    main(sys.argv[1:])
