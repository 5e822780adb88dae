"""Conversion between typed rows and JSON documents."""

from dataclasses import dataclass
from typing import Any, TypeVar

import msgspec

_Kind = TypeVar('_Kind')

#: Errors of bytes that are no document: other syntax, other types, too deep.
DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)


@dataclass(frozen=True, kw_only=True, slots=True)
class Malformed:
    """A document did not have the expected form."""

    reason: str


def to_document(entity: Any) -> Any:
    """
    Convert a data class into JSON-compatible values.

    :param entity: instance of a data class.
    :returns: nested dictionaries, lists and scalars.
    """
    return msgspec.to_builtins(entity)


def from_document(document: Any, kind: type[_Kind]) -> _Kind | Malformed:
    """
    Build a data class from JSON-compatible values.

    :param document: nested dictionaries, lists and scalars.
    :param kind: the data class.
    :returns: the instance, or why the document does not fit.
    """
    try:
        return msgspec.convert(document, kind)
    except msgspec.ValidationError as error:
        return Malformed(reason=str(error))


def encode_json(entity: Any) -> bytes:
    """
    Encode a value as JSON.

    :param entity: data class or JSON-compatible value.
    :returns: UTF-8 text.
    """
    return msgspec.json.encode(entity)


def decode_json(text: bytes, kind: type[_Kind]) -> _Kind | Malformed:
    """
    Decode JSON into a data class.

    :param text: UTF-8 text.
    :param kind: the expected type.
    :returns: the instance, or why the text does not fit.
    """
    try:
        return msgspec.json.decode(text, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Malformed(reason=str(error))
