"""Handler that writes log lines without blocking the event loop."""

import atexit
import io
import logging
import os
import select
import sys
import time
from collections import deque

import gevent
from absl import logging as absl_logging
from gevent.monkey import get_original

from ragwortfield.log import set_event_sink
from ragwortfield.types import MonotonicTime, Seconds

#: Bound of the lines that wait to be written while the reader of the log is
#: slow. Beyond it, new lines are dropped and counted.
_MAX_WAITING_LINES = 10_000
#: Time between writes, in seconds; all lines logged meanwhile are written at
#: once.
_WRITE_INTERVAL_S = 0.05
#: Longest time for which the end of a process waits for the reader of its log,
#: in seconds.
_FLUSH_TIMEOUT_S: Seconds = 0.2
#: Interval at which ``flush`` checks for the end of a write, in seconds.
_FLUSH_POLL_S: Seconds = 0.01
_LINE_FORMAT = 'time=%(asctime)s.%(msecs)03d level=%(levelname)s %(message)s'
_NAME_BY_LEVEL = {
    absl_logging.FATAL: 'CRITICAL',
    absl_logging.ERROR: 'ERROR',
    absl_logging.WARNING: 'WARNING',
    absl_logging.INFO: 'INFO',
    absl_logging.DEBUG: 'DEBUG',
}
_MS_PER_S = 1000
_TIME_FORMAT = '%Y-%m-%dT%H:%M:%S'

_original_poll = get_original('select', 'poll')


class BoundedLogHandler(logging.Handler):
    """
    Handler that writes lines from a thread, so that only the thread blocks.

    The number of waiting lines is bounded; lines beyond it are dropped.

    :param descriptor: file descriptor to write to; ``None`` for standard
        output.
    """

    def __init__(self, *, descriptor: int | None = None) -> None:
        """Create an idle handler; ``start`` starts the writes."""
        super().__init__()
        self.setFormatter(
            logging.Formatter(_LINE_FORMAT, datefmt=_TIME_FORMAT),
        )
        self.dropped_lines = 0
        self._formatted_second = 0
        self._time_text = ''
        self._descriptor = descriptor
        self._waiting_lines: deque[str] = deque()
        self._is_writing = False

    def emit(self, record: logging.LogRecord) -> None:
        """
        Queue the line of a log record.

        :param record: the log record.
        """
        self._enqueue(self.format(record))

    def write_event(self, level: int, text: str) -> None:
        """
        Queue the line of an event, without the cost of a log record.

        The formatted time is reused for all events of the same second.

        :param level: level of absl.logging.
        :param text: line of the event, without time and level.
        """
        now = time.time()
        second = int(now)
        if second != self._formatted_second:
            self._formatted_second = second
            local_time = time.localtime(second)
            self._time_text = time.strftime(_TIME_FORMAT, local_time)
        milliseconds = int((now - second) * _MS_PER_S)
        level_name = _NAME_BY_LEVEL.get(level, str(level))
        self._enqueue(
            f'time={self._time_text}.{milliseconds:03} '
            f'level={level_name} {text}',
        )

    def queue_text(self, text: str) -> None:
        """
        Queue the lines of a text as they are.

        :param text: the text; empty lines are left out.
        """
        for line in text.splitlines():
            if line.strip():
                self._enqueue(line)

    def start(self) -> None:
        """Start the greenlet that writes waiting lines."""
        gevent.spawn(self._write_periodically)

    def flush(self) -> None:
        """Write the waiting lines, as far as they are read soon."""
        deadline = time.monotonic() + _FLUSH_TIMEOUT_S
        while self._is_writing and time.monotonic() < deadline:
            gevent.sleep(_FLUSH_POLL_S)
        if self._is_writing or not self._waiting_lines:
            return
        self._write_until(self._take_waiting_text(), deadline)

    def _enqueue(self, line: str) -> None:
        if len(self._waiting_lines) >= _MAX_WAITING_LINES:
            self.dropped_lines += 1
        else:
            self._waiting_lines.append(line)

    def _write_periodically(self) -> None:
        pool = gevent.get_hub().threadpool
        while True:
            gevent.sleep(_WRITE_INTERVAL_S)
            if self._waiting_lines:
                self._is_writing = True
                pool.apply(self._write, (self._take_waiting_text(),))
                self._is_writing = False

    def _take_waiting_text(self) -> bytes:
        lines = list(self._waiting_lines)
        self._waiting_lines.clear()
        if self.dropped_lines:
            lines.append(f'event=log_lines_dropped count={self.dropped_lines}')
            self.dropped_lines = 0
        lines.append('')
        return '\n'.join(lines).encode()

    def _find_descriptor(self) -> int:
        if self._descriptor is None:
            return sys.stdout.fileno()
        return self._descriptor

    def _write(self, text: bytes) -> None:
        descriptor = self._find_descriptor()
        try:
            while text:
                text = text[os.write(descriptor, text) :]
        except OSError:
            # Nobody reads the log any more, so nobody can be told why.
            self.dropped_lines += text.count(b'\n')

    def _write_until(self, text: bytes, deadline: MonotonicTime) -> None:
        descriptor = self._find_descriptor()
        poller = _original_poll()
        poller.register(descriptor, select.POLLOUT)
        while text:
            remaining_ms = max(0, deadline - time.monotonic()) * _MS_PER_S
            if not poller.poll(remaining_ms):
                return
            # A pipe that can be written to takes this much without blocking.
            self._write(text[: select.PIPE_BUF])
            text = text[select.PIPE_BUF :]


class LogStream(io.TextIOBase):
    """
    Text stream that queues what is written to it as log lines.

    It takes the place of ``sys.stderr``, to which gevent writes the tracebacks
    of greenlets; that would block the event loop if nobody reads it.

    :param handler: handler that writes the lines.
    """

    def __init__(self, *, handler: BoundedLogHandler) -> None:
        """Create the stream."""
        super().__init__()
        self._handler = handler
        self._partial_line = ''

    def write(self, text: str) -> int:
        """
        Queue the lines that a text completes.

        :param text: the text.
        :returns: number of characters.
        """
        lines, is_complete, rest = text.rpartition('\n')
        if is_complete:
            self._handler.queue_text(f'{self._partial_line}{lines}')
            self._partial_line = ''
        self._partial_line += rest
        return len(text)


def start_logging(verbosity: int) -> None:
    """
    Write all events, log records and text on the error stream in one place.

    :param verbosity: level of absl.logging.
    """
    handler = BoundedLogHandler()
    absl_logging.set_verbosity(verbosity)
    absl_logging.set_stderrthreshold('fatal')
    root_logger = logging.getLogger()
    for previous in tuple(root_logger.handlers):
        root_logger.removeHandler(previous)
    root_logger.addHandler(handler)
    absl_logger = absl_logging.get_absl_logger()
    for previous in tuple(absl_logger.handlers):
        absl_logger.removeHandler(previous)
    logging.getLogger('websockets').setLevel(logging.ERROR)
    set_event_sink(handler.write_event)
    sys.stderr = LogStream(handler=handler)
    handler.start()
    # A traceback that ends the process is written before.
    atexit.register(handler.flush)
