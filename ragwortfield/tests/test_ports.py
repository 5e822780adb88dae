"""Ports for the processes of tests."""

import socket
import unittest

from ragwortfield.testing.free_ports import find_free_port

#: First port that the kernel gives to outgoing connections by default.
_OUTGOING = 32768


class FreePortTest(unittest.TestCase):
    # Guards against an instance that does not start, because a connection got
    # its port between the look and the start.
    def test_ports_are_none_that_connections_get(self):
        ports = [find_free_port() for _ in range(20)]
        self.assertEqual(len(set(ports)), len(ports))
        self.assertLess(max(ports), _OUTGOING)

    def test_port_with_a_listener_is_passed_over(self):
        first = find_free_port()
        with socket.create_server(('127.0.0.1', first + 1)):
            self.assertNotEqual(find_free_port(), first + 1)
