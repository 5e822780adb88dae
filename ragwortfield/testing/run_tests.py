"""Run of the whole test suite: ``python -m ragwortfield.testing.run_tests``."""

# Sockets must be patched before any other module imports them.
from gevent import monkey

monkey.patch_all()

import sys
from pathlib import Path
from typing import Any

from absl import flags, logging
from nose2 import events
from nose2.main import PluggableTestProgram
from nose2.result import ERROR, FAIL, SUBTEST

from ragwortfield.invariants import INVARIANTS

#: List of the tests that fail for a fault not mended yet.
_KNOWN_RED = Path(__file__).parent.parent.parent / 'KNOWN-RED.txt'
_FIELDS = 4


class OutcomeRecorder(events.Plugin):
    """Plugin that remembers which tests ran and which of them failed."""

    alwaysOn = True
    configSection = 'failure-list'
    ran: set[str] = set()
    failed: set[str] = set()

    def testOutcome(self, event: Any) -> None:
        """
        Remember one outcome.

        :param event: the outcome as nose2 gives it.
        """
        is_subtest = event.outcome == SUBTEST
        # A subtest counts for the test that it is part of.
        test = event.test.test_case if is_subtest else event.test
        self.ran.add(test.id())
        if event.outcome in {FAIL, ERROR} or (is_subtest and event.exc_info):
            self.failed.add(test.id())


def main() -> int:
    """
    Run every test, or those named, and print what came of them.

    :returns: exit status; 1 when a test failed that is not known to.
    """
    flags.FLAGS(['tests'])
    logging.set_verbosity(logging.FATAL)
    INVARIANTS.is_raising = True
    PluggableTestProgram(
        module=None,
        argv=['nose2', *sys.argv[1:]],
        exit=False,
        extraHooks=[('testOutcome', _make_plugin())],
    )
    return _verdict(OutcomeRecorder.ran, OutcomeRecorder.failed, _known_red())


def _make_plugin() -> OutcomeRecorder:
    return OutcomeRecorder.__new__(OutcomeRecorder)


def _verdict(ran: set[str], failed: set[str], known: dict[str, str]) -> int:
    for name in sorted(failed & set(known)):
        sys.stdout.write(f'known red: {known[name]}\n')
    for name in sorted((set(known) & ran) - failed):
        sys.stdout.write(f'known red passed, take it off the list: {name}\n')
    unknown = failed - set(known)
    for name in sorted(unknown):
        sys.stdout.write(f'failed: {name}\n')
    sys.stdout.write(f'{len(ran - failed)} passed, {len(unknown)} failed\n')
    return 1 if unknown or not ran else 0


def _known_red() -> dict[str, str]:
    entry_by_test = {}
    for line in _KNOWN_RED.read_text(encoding='utf-8').splitlines():
        fields = [field.strip() for field in line.split('|')]
        if line.startswith('#') or len(fields) != _FIELDS:
            continue
        entry_by_test[fields[0]] = line
    return entry_by_test


if __name__ == '__main__':
    sys.exit(main())
