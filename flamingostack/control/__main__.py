"""Run the control process with `python -m flamingostack.control`."""

from .main import run

run()
