"""Test runner: ``python -m ragwortfield.testing.run_tests [TEST ...]``."""

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

#: List of the tests that fail because of a known fault. Their failures are
#: printed but do not fail the run.
_KNOWN_RED_PATH = Path(__file__).parent.parent.parent / 'KNOWN-RED.txt'
#: Number of fields in an entry of that list.
_FIELD_COUNT = 4


class OutcomeRecorder(events.Plugin):
    """nose2 plugin that records which tests ran and which of them failed."""

    alwaysOn = True
    configSection = 'failure-list'
    ran: set[str] = set()
    failed: set[str] = set()

    def testOutcome(self, event: Any) -> None:
        """
        Record the outcome of a test or subtest.

        :param event: outcome event of nose2.
        """
        is_subtest = event.outcome == SUBTEST
        # Outcomes of a subtest count for the test that contains it.
        test = event.test.test_case if is_subtest else event.test
        self.ran.add(test.id())
        if event.outcome in {FAIL, ERROR} or (is_subtest and event.exc_info):
            self.failed.add(test.id())


def main() -> int:
    """
    Run all tests or those named on the command line, and print a summary.

    :returns: exit status; 1 when no test ran or a test failed that is not on
        the list of known failures.
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
    return _report_outcomes(
        OutcomeRecorder.ran, OutcomeRecorder.failed, _read_known_failures()
    )


def _make_plugin() -> OutcomeRecorder:
    return OutcomeRecorder.__new__(OutcomeRecorder)


def _report_outcomes(
    ran: set[str], failed: set[str], entry_by_known_test: dict[str, str]
) -> int:
    for name in sorted(failed & set(entry_by_known_test)):
        sys.stdout.write(f'known red: {entry_by_known_test[name]}\n')
    for name in sorted((set(entry_by_known_test) & ran) - failed):
        sys.stdout.write(f'known red passed, take it off the list: {name}\n')
    unexpected = failed - set(entry_by_known_test)
    for name in sorted(unexpected):
        sys.stdout.write(f'failed: {name}\n')
    sys.stdout.write(f'{len(ran - failed)} passed, {len(unexpected)} failed\n')
    return 1 if unexpected or not ran else 0


def _read_known_failures() -> dict[str, str]:
    entry_by_test = {}
    for line in _KNOWN_RED_PATH.read_text(encoding='utf-8').splitlines():
        fields = [field.strip() for field in line.split('|')]
        if line.startswith('#') or len(fields) != _FIELD_COUNT:
            continue
        entry_by_test[fields[0]] = line
    return entry_by_test


if __name__ == '__main__':
    sys.exit(main())
