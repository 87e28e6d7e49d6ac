"""Runs the command line: `python -m flamingostack`."""

import sys

from .core import run

if __name__ == "__main__":
    sys.exit(run())
