"""Tests of the entry process, started by its command line."""

import signal
import subprocess
import sys
import tempfile
import time
import unittest
import urllib.error
import urllib.request
from pathlib import Path

from tests.entry.fakes import find_free_address

ROOT = Path(__file__).resolve().parent.parent.parent
START_S = 10


def write_settings(folder: str, entry_address: str) -> Path:
    path = Path(folder) / "settings.toml"
    path.write_text(
        f"""
        [instance]
        id = "i1"
        failure_domain = "a"
        [control]
        listen = "{find_free_address()}"
        [dispatch]
        listen = "{find_free_address()}"
        [entry]
        listen = "{entry_address}"
        drain_notice_ms = 10
        [store]
        url = "http://{find_free_address()}"
        """
    )
    return path


def start(path: Path) -> subprocess.Popen:
    return subprocess.Popen(
        [sys.executable, "-m", "flamingostack.entry", "--settings", str(path)],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        text=True,
    )


def wait_listening(process: subprocess.Popen) -> None:
    """Read the log until the process listens; it may first log that control is unreachable."""
    for line in process.stderr:
        if "event='listening'" in line:
            return
    raise AssertionError("the process ended before it listened")


class MainTest(unittest.TestCase):
    """Guards against a process that does not start, report its state or exit as others expect.

    Other programs rely on the exit status, on `/live` and on `/ready`, also without control.
    """

    def test_process_without_control_is_live_and_not_ready_and_ends_on_sigterm(self):
        address = find_free_address()
        with tempfile.TemporaryDirectory() as folder:
            process = start(write_settings(folder, address))
            try:
                wait_listening(process)
                with urllib.request.urlopen(f"http://{address}/live", timeout=5) as response:
                    self.assertEqual(response.status, 200)
                with self.assertRaises(urllib.error.HTTPError) as caught:
                    urllib.request.urlopen(f"http://{address}/ready", timeout=5)
                self.assertEqual(caught.exception.code, 503)
                self.assertIn(b"not_current", caught.exception.read())
                started = time.monotonic()
                process.send_signal(signal.SIGTERM)
                self.assertEqual(process.wait(START_S), 0)
                self.assertLess(time.monotonic() - started, 5)
            finally:
                process.kill()
                process.stderr.close()
                process.wait()

    def test_bad_settings_and_a_taken_address_end_with_their_status(self):
        with tempfile.TemporaryDirectory() as folder:
            path = write_settings(folder, find_free_address())
            process = start(path)
            wait_listening(process)
            second = start(path)
            _, message = second.communicate(timeout=START_S)
            self.assertEqual(second.returncode, 1, message)
            process.terminate()
            process.communicate(timeout=START_S)
            path.write_text("[entry]\nlistne = 1\n")
            third = start(path)
            _, message = third.communicate(timeout=START_S)
            self.assertEqual(third.returncode, 3)
            self.assertIn(str(path), message)
