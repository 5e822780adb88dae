"""Decoding of chunked request bodies by the parser of geventhttpclient.

gevent's server reads chunk heads byte by byte; 262,144 chunks of one byte take
seconds of CPU time there, and a tenth of a second here.
"""

from geventhttpclient.response import HTTPParseError, HTTPResponse

#: The parser reads responses; a chunked body is the same in a request.
_RESPONSE_HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
#: Most bytes of chunk heads, chunk extensions and trailers: a constant part,
#: and for each byte of content. A chunk of one byte has five such bytes.
_MAX_EXTRA_BYTES = 16384
_MAX_EXTRA_BYTES_PER_BYTE = 16


class ChunkError(ValueError):
    """A chunked body that is malformed, or has too much beside its content."""


class ChunkDecoder(HTTPResponse):
    """
    Decoder of one chunked body.

    :ivar has_surplus: whether bytes came after the end of the body.
    """

    def __init__(self) -> None:
        """Create a decoder at the start of a body."""
        super().__init__()
        self.has_surplus = False
        self._wire_bytes = 0
        self._content_bytes = 0
        self.feed(_RESPONSE_HEAD)

    def decode(self, wire: bytes) -> int:
        """
        Decode received bytes.

        :param wire: bytes as received.
        :returns: number of bytes of content in them.
        :raises ChunkError: when they are malformed, or chunk heads and
            trailers have too many bytes.
        """
        before = len(self._body_buffer)
        self._wire_bytes += len(wire)
        try:
            self.feed(wire)
        except (HTTPParseError, ValueError) as error:
            if not self.message_complete:
                raise ChunkError(f'malformed chunk: {error}') from error
            self.has_surplus = True
        count = len(self._body_buffer) - before
        self._content_bytes += count
        extra = self._wire_bytes - self._content_bytes
        allowed = (
            _MAX_EXTRA_BYTES + _MAX_EXTRA_BYTES_PER_BYTE * self._content_bytes
        )
        if extra > allowed:
            raise ChunkError(
                f'{extra} bytes of chunk heads and trailers for '
                f'{self._content_bytes} bytes of content, expected at most '
                f'{allowed}'
            )
        return count

    def count_available(self) -> int:
        """
        Count the bytes of content that ``take`` can return.

        :returns: number of bytes.
        """
        return len(self._body_buffer)

    def find_line_end(self) -> int:
        """
        Find the end of the first line of the content.

        :returns: its length with the newline; 0 if there is no newline.
        """
        return self._body_buffer.find(b'\n') + 1

    def take(self, size: int) -> bytes:
        """
        Remove bytes from the decoded content.

        :param size: most bytes.
        :returns: the bytes.
        """
        content = bytes(self._body_buffer[:size])
        del self._body_buffer[:size]
        return content

    def _on_message_begin(self) -> None:
        if self.message_complete:
            raise ValueError('bytes after the end of the body')

    def _on_header_field(self, _text: str) -> None:
        """Drop the name of a trailer."""

    def _on_header_value(self, _text: str) -> None:
        """Drop the value of a trailer."""

    def _on_headers_complete(self) -> None:
        """Keep nothing of the head."""
