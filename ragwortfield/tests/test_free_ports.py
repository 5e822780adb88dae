"""Tests of the choice of free ports for test processes."""

import socket
import unittest

from ragwortfield.testing.free_ports import find_free_port

#: First port that Linux gives to outgoing connections by default.
_FIRST_EPHEMERAL_PORT = 32768


class FreePortTest(unittest.TestCase):
    # Guards against an instance that cannot start because an outgoing
    # connection got its port after the port was found to be free.
    def test_ports_lie_below_the_ephemeral_range(self):
        ports = [find_free_port() for _ in range(20)]
        self.assertEqual(len(set(ports)), len(ports))
        self.assertLess(max(ports), _FIRST_EPHEMERAL_PORT)

    def test_port_with_a_listener_is_skipped(self):
        first = find_free_port()
        with socket.create_server(('127.0.0.1', first + 1)):
            self.assertNotEqual(find_free_port(), first + 1)
