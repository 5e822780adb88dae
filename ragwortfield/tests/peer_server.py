"""Servers of peers that leave nothing open when a test ends."""

import selectors
from types import SimpleNamespace
from unittest import mock

from websockets.sync import server as websockets_server


def serve_until_end(test_case, listen, *options):
    """
    Start a server of peers, which is stopped when the test ends.

    The server of websockets does not close its selector. The selector's watcher
    would outlive the listening socket, and libev ends the process when a later
    socket with the same descriptor is closed at a bad moment.

    :param test_case: the test.
    :param listen: method ``listen`` of the server.
    :param options: arguments of the method.
    """
    pollers = []

    def open_poller():
        pollers.append(selectors.DefaultSelector())
        return pollers[-1]

    def close_pollers():
        for poller in pollers:
            poller.close()

    patch = mock.patch.object(
        websockets_server,
        'selectors',
        SimpleNamespace(
            DefaultSelector=open_poller, EVENT_READ=selectors.EVENT_READ
        ),
    )
    patch.start()
    test_case.addCleanup(patch.stop)
    test_case.addCleanup(close_pollers)
    test_case.addCleanup(listen(*options))
