"""Tests of log lines: their format, their levels and the bounded buffer."""

import os
import re
import unittest

from absl import logging

from ragwortfield import log_writer
from ragwortfield.log import event, set_event_sink
from ragwortfield.log_writer import BoundedLogHandler

_LINE = re.compile(
    r'time=\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3} level=(\w+) (.*)\n',
)


class EventLineTest(unittest.TestCase):
    def setUp(self):
        reader, writer = os.pipe()
        self.reader = reader
        self.writer = writer
        self.handler = BoundedLogHandler(descriptor=writer)
        set_event_sink(self.handler.write_event)
        self.level = logging.get_verbosity()
        logging.set_verbosity(logging.INFO)
        self.addCleanup(self.restore)

    def restore(self):
        set_event_sink(None)
        logging.set_verbosity(self.level)
        os.close(self.reader)
        os.close(self.writer)

    def read_log(self):
        self.handler.flush()
        return os.read(self.reader, 65536).decode()

    def test_event_is_one_line_with_time_and_level(self):
        event('job_taken', job='a1', age_s=0.25, reason='a b')
        match = _LINE.fullmatch(self.read_log())
        self.assertIsNotNone(match)
        self.assertEqual(
            match.groups(),
            ('INFO', 'event=job_taken job=a1 age_s=0.25 reason="a b"'),
        )

    def test_level_is_named(self):
        event('job_failed', level=logging.ERROR)
        self.assertEqual(_LINE.fullmatch(self.read_log())[1], 'ERROR')

    def test_disabled_level_leaves_no_line(self):
        event('detail', level=logging.DEBUG)
        event('job_taken')
        self.assertEqual(self.read_log().count('\n'), 1)

    def test_lines_dropped_from_a_full_buffer_are_counted(self):
        excess_lines = 3
        for _ in range(log_writer._MAX_WAITING_LINES + excess_lines):
            event('x')
        self.assertEqual(self.handler.dropped_lines, excess_lines)
