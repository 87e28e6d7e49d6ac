"""Runs the gateway: `python -m flamingostack.gateway`."""

import gc
import os
import signal
import sys

# The imports are most of the time from a start to the first answer. What they allocate stays, so
# that collecting garbage meanwhile is in vain.
gc.disable()
# All addresses of the platform are plain HTTP, but aiohttp loads the certificates of the machine
# when it is imported, which takes a fifth of the start.
os.environ.setdefault("SSL_CERT_FILE", os.devnull)
# The settings may change during the start, and SIGHUP ends a process that has no handler yet. The
# first periodic check of the settings file finds the change.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from ..errors import Failure  # noqa: E402
from ..platform.settings import load_instance_settings  # noqa: E402
from .backlog import open_backlog  # noqa: E402

settings = load_instance_settings(os.environ)
backlog = None if isinstance(settings, Failure) else open_backlog(settings.caller_address)

from .main import run  # noqa: E402

sys.exit(run(settings, backlog))
