"""Reading of requests and sending of responses through WSGI."""

import re
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

from ragwortfield.adapters.json_codec import encode_json
from ragwortfield.core.outcomes import HeaderFields
from ragwortfield.http_api.client_connection import RequestRefused
from ragwortfield.http_api.wsgi_server import PAUSE_KEY, RAW_PATH_KEY
from ragwortfield.ports.pause import Pause, pause_uninterrupted

#: Prefix of the environment keys that hold header fields.
_HEADER_KEY_PREFIX = 'HTTP_'
#: Maximum number of bytes that one read of a body returns.
_READ_CHUNK_BYTES = 16384

#: Length of a body; ``int`` cannot read all other digits, nor any number of
#: them.
_LENGTH_PATTERN = re.compile('[0-9]{1,18}')

_STATUS_LINE_BY_CODE = {
    int(status): f'{int(status)} {status.phrase}' for status in HTTPStatus
}

StartResponse = Callable[..., Any]


@dataclass(frozen=True, kw_only=True, slots=True)
class BodyError:
    """
    A request's body that is malformed, incomplete or too large.

    :param status: HTTP status of the refusal.
    :param code: stable, machine-readable error code.
    :param message: error message with the actual value and the expected one.
    """

    status: int
    code: str
    message: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Response:
    """HTTP response; ``Content-Length`` is added when it is sent."""

    status: int
    fields: HeaderFields
    body: bytes


def get_raw_path(environ: dict[str, Any]) -> str:
    """
    Get the request's path as the client sent it.

    :param environ: WSGI environment.
    :returns: path and query, percent-encoded.
    """
    return str(environ[RAW_PATH_KEY])


def get_pause(environ: dict[str, Any]) -> Pause:
    """
    Get the function that waits between two attempts of a read.

    :param environ: WSGI environment.
    :returns: function that takes a duration in seconds, and returns whether to
        go on; false if the request was ended.
    """
    return environ.get(PAUSE_KEY, pause_uninterrupted)


def get_header(environ: dict[str, Any], name: str) -> str:
    """
    Get a header field of a request.

    :param environ: WSGI environment.
    :param name: lower-case name of the field.
    :returns: its value without surrounding spaces; empty if it is absent.
    """
    key = '{0}{1}'.format(_HEADER_KEY_PREFIX, name.upper().replace('-', '_'))
    return str(environ.get(key, '')).strip()


def list_headers(environ: dict[str, Any]) -> HeaderFields:
    """
    List the header fields of a request.

    :param environ: WSGI environment.
    :returns: pairs of lower-case name and value.
    """
    fields = [
        (key[len(_HEADER_KEY_PREFIX) :].lower().replace('_', '-'), str(value))
        for key, value in environ.items()
        if key.startswith(_HEADER_KEY_PREFIX)
    ]
    content_type = environ.get('CONTENT_TYPE')
    if content_type:
        fields.append(('content-type', str(content_type)))
    return tuple(fields)


def read_body(environ: dict[str, Any], limit_bytes: int) -> bytes | BodyError:
    """
    Read the whole body of a request.

    :param environ: WSGI environment.
    :param limit_bytes: largest body that is accepted, in bytes.
    :returns: the body, or why it is refused.
    """
    length_text = str(environ.get('CONTENT_LENGTH') or '')
    is_chunked = 'chunked' in get_header(environ, 'transfer-encoding')
    if length_text and _LENGTH_PATTERN.fullmatch(length_text) is None:
        return BodyError(
            status=HTTPStatus.BAD_REQUEST,
            code='bad-length',
            message=f'Content-Length {length_text!r} is not a whole number',
        )
    if not length_text and not is_chunked:
        return b''
    if length_text and int(length_text) > limit_bytes:
        return _make_too_large_error(f'{length_text} bytes', limit_bytes)
    return _read_stream(environ, limit_bytes, length_text)


def make_json_response(status: int, document: Any, *fields: Any) -> Response:
    """
    Create a response with a JSON body.

    :param status: HTTP status.
    :param document: data class or JSON-compatible value.
    :param fields: additional header fields, as pairs of name and value.
    :returns: the response.
    """
    return Response(
        status=status,
        fields=(('content-type', 'application/json'), *fields),
        body=b'%b\n' % encode_json(document),
    )


def send_response(
    response: Response,
    start_response: StartResponse,
    *,
    is_closing: bool = False,
) -> Iterable[bytes]:
    """
    Pass a response to the WSGI server.

    :param response: the response.
    :param start_response: WSGI function that takes status and headers.
    :param is_closing: whether to ask the client to close the connection after
        the response.
    :returns: the body, which the server sends.
    """
    fields = [
        *response.fields,
        ('content-length', str(len(response.body))),
    ]
    if is_closing:
        fields.append(('connection', 'close'))
    start_response(_format_status_line(response.status), fields)
    return [response.body]


def _format_status_line(status: int) -> str:
    # A target may send a status code that HTTPStatus doesn't define.
    return _STATUS_LINE_BY_CODE.get(status, f'{status} Status')


def _read_stream(
    environ: dict[str, Any],
    limit_bytes: int,
    length_text: str,
) -> bytes | BodyError:
    stream = environ['wsgi.input']
    pieces = []
    count = 0
    try:
        while count <= limit_bytes:
            chunk = stream.read(_READ_CHUNK_BYTES)
            if not chunk:
                break
            pieces.append(chunk)
            count += len(chunk)
    except RequestRefused as refusal:
        return BodyError(
            status=refusal.status,
            code=refusal.code,
            message=refusal.message,
        )
    except OSError as error:
        return BodyError(
            status=HTTPStatus.BAD_REQUEST,
            code='body-cut-off',
            message=f'reading the body failed after {count} bytes: {error}',
        )
    body = b''.join(pieces)
    if len(body) > limit_bytes:
        return _make_too_large_error(
            f'more than {limit_bytes} bytes', limit_bytes
        )
    if length_text and len(body) != int(length_text):
        return BodyError(
            status=HTTPStatus.BAD_REQUEST,
            code='body-cut-off',
            message=(
                f'the body has {len(body)} bytes, expected {length_text} as '
                'in Content-Length'
            ),
        )
    return body


def _make_too_large_error(size: str, limit_bytes: int) -> BodyError:
    return BodyError(
        status=HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        code='body-too-large',
        message=f'the body has {size}, expected at most {limit_bytes} bytes',
    )
