"""Runs the gateway: `python -m flamingostack.gateway`."""

import gc
import os
import signal
import sys
import time

STARTED_AT = time.monotonic()

# The imports are most of the time from a start to the first answer. What they allocate stays, so
# that collecting garbage meanwhile is in vain.
gc.disable()
# All addresses of the platform are plain HTTP, but aiohttp loads the certificates of the machine
# when it is imported, which takes a fifth of the start.
os.environ.setdefault("SSL_CERT_FILE", os.devnull)
# A signal ends a process that has no handler yet. `serve` takes these once it has opened all that
# it needs: callers that wait in the backlog are answered also if the process is to stop.
signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGTERM, signal.SIGINT))

from ..errors import Failure  # noqa: E402
from ..platform.settings import load_instance_settings  # noqa: E402
from .backlog import open_backlog  # noqa: E402

settings = load_instance_settings(os.environ)
backlog = None if isinstance(settings, Failure) else open_backlog(settings.caller_address)

from .main import run  # noqa: E402

sys.exit(run(settings, STARTED_AT, backlog))
