"""Conversion between data classes and JSON documents."""

from dataclasses import dataclass
from typing import Any, TypeVar

import msgspec

_Document = TypeVar('_Document')

#: Errors that decoding raises for an invalid document: malformed syntax,
#: unexpected types, or nesting that is too deep.
DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)


@dataclass(frozen=True, kw_only=True, slots=True)
class Malformed:
    """
    Failure to convert a document that does not have the expected form.

    :param reason: description of the first problem found.
    """

    reason: str


def to_document(entity: Any) -> Any:
    """
    Convert an instance of a data class to JSON-compatible values.

    :param entity: instance of a data class.
    :returns: nested dictionaries, lists and scalars.
    """
    return msgspec.to_builtins(entity)


def from_document(
    document: Any, document_type: type[_Document]
) -> _Document | Malformed:
    """
    Build an instance of a data class from JSON-compatible values.

    :param document: nested dictionaries, lists and scalars.
    :param document_type: the data class.
    :returns: the instance, or why the document does not match the class.
    """
    try:
        return msgspec.convert(document, document_type)
    except msgspec.ValidationError as error:
        return Malformed(reason=str(error))


def encode_json(entity: Any) -> bytes:
    """
    Encode a value as JSON.

    :param entity: instance of a data class, or JSON-compatible value.
    :returns: JSON in UTF-8.
    """
    return msgspec.json.encode(entity)


def decode_json(
    text: bytes, document_type: type[_Document]
) -> _Document | Malformed:
    """
    Decode JSON into an instance of a data class.

    :param text: JSON in UTF-8.
    :param document_type: the expected data class.
    :returns: the instance, or why the text does not match the type.
    """
    try:
        return msgspec.json.decode(text, type=document_type)
    except DECODE_ERRORS as error:
        return Malformed(reason=str(error))
