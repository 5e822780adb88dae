"""Log lines on standard output, bounded and without blocking the process."""

import logging
import os
import sys
from collections import deque

import gevent

#: Lines that wait for the reader of the log; older ones are kept, newer
#: ones are counted and dropped.
_WAITING_LINES = 10_000
#: Time over which lines are gathered into one write, in seconds.
_GATHER_S = 0.05
_LINE_FORMAT = 'time=%(asctime)s.%(msecs)03d level=%(levelname)s %(message)s'
_TIME_FORMAT = '%Y-%m-%dT%H:%M:%S'


class BoundedLogHandler(logging.Handler):
    """
    Handler that hands lines to a thread, which may block in its stead.

    :param descriptor: where the lines go.
    """

    def __init__(self, *, descriptor: int | None = None) -> None:
        """Create; ``start`` begins to write."""
        super().__init__()
        self.setFormatter(
            logging.Formatter(_LINE_FORMAT, datefmt=_TIME_FORMAT),
        )
        self.dropped = 0
        self._descriptor = descriptor
        self._lines: deque[str] = deque()

    def emit(self, record: logging.LogRecord) -> None:
        """
        Take a line.

        :param record: what is logged.
        """
        if len(self._lines) >= _WAITING_LINES:
            self.dropped += 1
            return
        self._lines.append(self.format(record))

    def start(self) -> None:
        """Write in the background."""
        gevent.spawn(self._run)

    def flush(self) -> None:
        """Write what waits, in the calling thread."""
        if self._lines:
            self._write(self._take())

    def _run(self) -> None:
        pool = gevent.get_hub().threadpool
        while True:
            gevent.sleep(_GATHER_S)
            if self._lines:
                pool.apply(self._write, (self._take(),))

    def _take(self) -> bytes:
        lines = list(self._lines)
        self._lines.clear()
        if self.dropped:
            lines.append(f'event=log_lines_dropped count={self.dropped}')
            self.dropped = 0
        lines.append('')
        return '\n'.join(lines).encode()

    def _write(self, text: bytes) -> None:
        descriptor = self._descriptor
        if descriptor is None:
            descriptor = sys.stdout.fileno()
        while text:
            text = text[os.write(descriptor, text) :]
