"""Runs the entry process."""

import sys

from .main import run

sys.exit(run())
