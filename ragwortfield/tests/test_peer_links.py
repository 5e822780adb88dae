"""Tests of the addresses and links that tell instances apart."""

import unittest

from ragwortfield.testing.address_view import AddressView, make_caller_host
from ragwortfield.testing.peer_links import FrameTranslator

_HEADERS = b'GET / HTTP/1.1\r\nUpgrade: websocket\r\n\r\n'
_MASK = b'\x11\x22\x33\x44'


def mask(payload):
    return bytes(
        byte ^ _MASK[position % 4] for position, byte in enumerate(payload)
    )


def make_frame(payload):
    size = len(payload)
    if size < 126:
        return bytes((0x82, 0x80 | size)) + _MASK + mask(payload)
    return bytes((0x82, 0xFE)) + size.to_bytes(2) + _MASK + mask(payload)


class FrameTranslatorTest(unittest.TestCase):
    # Guards against addresses that pass a link unchanged, or frames that are
    # damaged, where frames end within a chunk.
    def test_payloads_are_translated_however_the_bytes_are_split(self):
        payloads = (b'', b'ab', b'x' * 200, b'aba')
        sent = _HEADERS + b''.join(make_frame(each) for each in payloads)
        expected = _HEADERS + b''.join(
            make_frame(each.replace(b'a', b'c')) for each in payloads
        )
        for size in (1, 3, 50, len(sent)):
            translator = FrameTranslator(
                translate=lambda payload: payload.replace(b'a', b'c')
            )
            passed = b''.join(
                translator.feed(sent[start : start + size])
                for start in range(0, len(sent), size)
            )
            self.assertEqual(passed, expected, size)


class AddressViewTest(unittest.TestCase):
    # Guards against an instance that sees itself under a foreign address.
    def test_instance_sees_itself_as_it_listens_and_others_by_its_host(self):
        view = AddressView(
            host=make_caller_host(10),
            own_address='127.0.0.1:12345',
            link_address='127.0.0.1:40000',
        )
        common = b'own 127.0.0.1:40000 other 127.0.0.1:40001'
        seen = b'own 127.0.0.1:12345 other 127.2.2.1:40001'
        self.assertEqual(view.from_common(common), seen)
        self.assertEqual(view.to_common(seen), common)
