"""Tests of flamingostack.logs."""

import os
import unittest

from flamingostack.logs import BURST_LINES, MAX_LINE_BYTES, MAX_LINES_PER_S, BoundedStream


class BoundedStreamTest(unittest.TestCase):
    """Guards against logging that blocks the process, or that fills a disk under load."""

    def setUp(self):
        self.reading, self.writing = os.pipe()
        self.now = 0.0
        self.stream = BoundedStream(self.writing, lambda: self.now)

    def tearDown(self):
        os.close(self.reading)
        os.close(self.writing)

    def read(self) -> list[str]:
        os.set_blocking(self.reading, False)
        data = b""
        try:
            while chunk := os.read(self.reading, 1 << 20):
                data += chunk
        except BlockingIOError:
            pass
        return data.decode().splitlines()

    def test_lines_beyond_the_rate_are_dropped_and_counted(self):
        for number in range(BURST_LINES + 50):
            self.stream.write(f"{number}\n")
        self.assertEqual(len(self.read()), BURST_LINES)
        self.now = 10.0
        self.stream.write("later\n")
        self.assertEqual(
            self.read(), ["level='warning' event='log_lines_dropped' count=50", "later"]
        )

    def test_full_pipe_never_blocks_and_lines_stay_whole(self):
        line = "x" * 1000 + "\n"
        for step in range(1000):
            self.now = step / MAX_LINES_PER_S
            self.stream.write(line)
        self.assertEqual(set(self.read()), {line.strip()})
        self.now += 10.0
        self.stream.write(line)
        dropped, last = self.read()
        self.assertIn("log_lines_dropped", dropped)
        self.assertEqual(last, line.strip())

    def test_long_line_is_cut(self):
        self.stream.write("x" * 10_000 + "\n")
        self.assertEqual([len(line) for line in self.read()], [MAX_LINE_BYTES - 1])
