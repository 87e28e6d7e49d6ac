"""Runs the gateway: `python -m flamingostack.gateway`."""

import sys

from .main import run

sys.exit(run())
