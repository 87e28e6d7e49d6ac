"""Run a flamingostack process and count the bytes that its gRPC connections receive.

    python -m bench.byte_counter OUTPUT_FOLDER flamingostack.control --settings a.toml

Only flamingostack.control processes are counted; other modules just run. Every byte received by
one process was sent by another, so the sum over the fleet counts all traffic exactly once.
"""

from __future__ import annotations

import os
import runpy
import sys
import threading
import time
from pathlib import Path

from grpclib.protocol import H2Protocol

WRITE_INTERVAL_S = 0.5


class ReceiveCounter:
    """Numbers of received bytes and of reads."""

    __slots__ = ("received", "reads")

    def __init__(self) -> None:
        self.received = 0
        self.reads = 0


def patch_data_received(counter: ReceiveCounter) -> None:
    """Wrap the method through which grpclib receives bytes."""
    original_data_received = H2Protocol.data_received

    def data_received(self: H2Protocol, data: bytes) -> None:
        counter.received += len(data)
        counter.reads += 1
        original_data_received(self, data)

    H2Protocol.data_received = data_received


def write_counts(counter: ReceiveCounter, path: Path) -> None:
    """Write the current counts to a file periodically until the process ends."""
    while True:
        # Replace the file atomically, so that a reader never sees an empty file.
        temporary_path = path.with_suffix(".partial")
        temporary_path.write_text(f"{counter.received} {counter.reads}")
        temporary_path.replace(path)
        time.sleep(WRITE_INTERVAL_S)


def main(arguments: list[str]) -> None:
    """Install the counter for control processes and run the module with its arguments."""
    output_folder, module, *rest = arguments
    counter = ReceiveCounter()
    if module == "flamingostack.control":
        patch_data_received(counter)
        path = Path(output_folder) / f"{os.getpid()}.bytes"
        threading.Thread(target=write_counts, args=(counter, path), daemon=True).start()
    sys.argv = [module, *rest]
    runpy.run_module(module, run_name="__main__")


if __name__ == "__main__":
    main(sys.argv[1:])
