"""Parsing of TOML text into data classes, with all errors reported at once."""

import dataclasses
import tomllib
import types
import typing
from typing import Any, TypeVar

from ragwortfield.adapters.json_codec import Malformed, from_document

_DataClass = TypeVar('_DataClass')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SettingsError:
    """
    Errors found in a settings file.

    :param source: path of the file, or where else the text came from.
    :param problems: one line each, naming key, value and expectation.
    """

    source: str
    problems: tuple[str, ...]

    def text(self) -> str:
        """
        Format the problems for an operator.

        :returns: one line per problem, each starting with the source.
        """
        return '\n'.join(
            f'{self.source}: {problem}' for problem in self.problems
        )


def parse_toml(
    text: str,
    data_class: type[_DataClass],
    source: str,
) -> _DataClass | SettingsError:
    """
    Parse TOML text into an instance of a data class.

    :param text: the TOML text.
    :param data_class: data class whose fields are the expected keys.
    :param source: path of the file, for error messages.
    :returns: the instance, or every unknown key, or else every value of a
        wrong type.
    """
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return SettingsError(source=source, problems=(f'no TOML: {error}',))
    unknown = tuple(_find_unknown_keys(document, data_class, ''))
    if unknown:
        return SettingsError(source=source, problems=unknown)
    converted = from_document(document, data_class)
    if isinstance(converted, Malformed):
        problems = _describe_mismatches(
            document, data_class, '', converted.reason
        )
        return SettingsError(source=source, problems=tuple(problems))
    return converted


def _find_unknown_keys(
    document: Any, expected_type: Any, path: str
) -> list[str]:
    data_class = _find_data_class(expected_type)
    if not isinstance(document, dict):
        return []
    if data_class is None:
        return _find_unknown_keys_in_mapping(document, expected_type, path)
    type_by_key = typing.get_type_hints(data_class)
    problems = []
    for key, nested in document.items():
        nested_path = f'{path}.{key}' if path else key
        nested_type = type_by_key.get(key)
        if nested_type is None:
            expected = ', '.join(sorted(type_by_key))
            problems.append(
                f'key {nested_path!r} is unknown, expected one of {expected}',
            )
            continue
        problems.extend(_find_unknown_keys(nested, nested_type, nested_path))
    return problems


def _find_unknown_keys_in_mapping(
    document: dict[str, Any],
    expected_type: Any,
    path: str,
) -> list[str]:
    if typing.get_origin(expected_type) is not dict:
        return []
    nested_type = typing.get_args(expected_type)[1]
    problems = []
    for key, nested in document.items():
        nested_path = f'{path}.{key}' if path else key
        problems.extend(_find_unknown_keys(nested, nested_type, nested_path))
    return problems


def _find_data_class(expected_type: Any) -> Any:
    if dataclasses.is_dataclass(expected_type):
        return expected_type
    if isinstance(expected_type, types.UnionType):
        for option in typing.get_args(expected_type):
            if dataclasses.is_dataclass(option):
                return option
    return None


def _describe_mismatches(
    document: Any,
    expected_type: Any,
    path: str,
    reason: str,
) -> list[str]:
    # The conversion stops at the first error, so each nested value is
    # converted separately to report all mismatches by their full key.
    type_by_key = _get_nested_types(document, expected_type)
    problems = []
    for key, nested_type in type_by_key.items():
        nested = from_document(document[key], nested_type)
        if isinstance(nested, Malformed):
            nested_path = f'{path}.{key}' if path else key
            problems.extend(
                _describe_mismatches(
                    document[key], nested_type, nested_path, nested.reason
                ),
            )
    if problems:
        return problems
    if not path:
        return [reason]
    message = reason.partition(' - at `')[0]
    if isinstance(document, dict):
        return [f'table {path!r}: {message}']
    return [f'key {path!r} is {document!r}: {message}']


def _get_nested_types(document: Any, expected_type: Any) -> dict[str, Any]:
    if not isinstance(document, dict):
        return {}
    if typing.get_origin(expected_type) is dict:
        nested_type = typing.get_args(expected_type)[1]
        return dict.fromkeys(document, nested_type)
    data_class = _find_data_class(expected_type)
    if data_class is None:
        return {}
    type_by_key = typing.get_type_hints(data_class)
    return {key: type_by_key[key] for key in document if key in type_by_key}
