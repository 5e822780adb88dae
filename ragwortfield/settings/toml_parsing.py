"""Checked conversion of TOML into data classes."""

import dataclasses
import tomllib
import types
import typing
from typing import Any, TypeVar

from ragwortfield.adapters.json_codec import Malformed, from_document

_Kind = TypeVar('_Kind')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SettingsError:
    """
    What is wrong with a file of settings.

    :param source: name of the file.
    :param problems: one line each, naming key, value and expectation.
    """

    source: str
    problems: tuple[str, ...]

    def text(self) -> str:
        """
        Format the problems for an operator.

        :returns: one line a problem.
        """
        return '\n'.join(
            f'{self.source}: {problem}' for problem in self.problems
        )


def parse_toml(
    text: str,
    kind: type[_Kind],
    source: str,
) -> _Kind | SettingsError:
    """
    Read TOML text into a data class.

    :param text: the TOML text.
    :param kind: the data class.
    :param source: name of the file, for errors.
    :returns: the instance, or everything that is wrong.
    """
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return SettingsError(source=source, problems=(f'no TOML: {error}',))
    unknown = tuple(_unknown_keys(document, kind, ''))
    if unknown:
        return SettingsError(source=source, problems=unknown)
    converted = from_document(document, kind)
    if isinstance(converted, Malformed):
        problems = _misfits(document, kind, '', converted.reason)
        return SettingsError(source=source, problems=tuple(problems))
    return converted


def _unknown_keys(document: Any, kind: Any, path: str) -> list[str]:
    fields_kind = _data_class_in(kind)
    if not isinstance(document, dict):
        return []
    if fields_kind is None:
        return _unknown_in_mapping(document, kind, path)
    hints = typing.get_type_hints(fields_kind)
    problems = []
    for key, nested in document.items():
        place = f'{path}.{key}' if path else key
        nested_kind = hints.get(key)
        if nested_kind is None:
            expected = ', '.join(sorted(hints))
            problems.append(
                f'key {place!r} is unknown, expected one of {expected}',
            )
            continue
        problems.extend(_unknown_keys(nested, nested_kind, place))
    return problems


def _unknown_in_mapping(
    document: dict[str, Any],
    kind: Any,
    path: str,
) -> list[str]:
    if typing.get_origin(kind) is not dict:
        return []
    nested_kind = typing.get_args(kind)[1]
    problems = []
    for key, nested in document.items():
        place = f'{path}.{key}' if path else key
        problems.extend(_unknown_keys(nested, nested_kind, place))
    return problems


def _data_class_in(kind: Any) -> Any:
    if dataclasses.is_dataclass(kind):
        return kind
    if isinstance(kind, types.UnionType):
        for option in typing.get_args(kind):
            if dataclasses.is_dataclass(option):
                return option
    return None


def _misfits(document: Any, kind: Any, path: str, reason: str) -> list[str]:
    """Find the innermost values that do not fit, to name each of them."""
    nested_kinds = _nested_kinds(document, kind)
    problems = []
    for key, nested_kind in nested_kinds.items():
        nested = from_document(document[key], nested_kind)
        if isinstance(nested, Malformed):
            place = f'{path}.{key}' if path else key
            problems.extend(
                _misfits(document[key], nested_kind, place, nested.reason),
            )
    if problems:
        return problems
    if not path:
        return [reason]
    message = reason.partition(' - at `')[0]
    if isinstance(document, dict):
        return [f'table {path!r}: {message}']
    return [f'key {path!r} is {document!r}: {message}']


def _nested_kinds(document: Any, kind: Any) -> dict[str, Any]:
    if not isinstance(document, dict):
        return {}
    if typing.get_origin(kind) is dict:
        nested_kind = typing.get_args(kind)[1]
        return dict.fromkeys(document, nested_kind)
    fields_kind = _data_class_in(kind)
    if fields_kind is None:
        return {}
    hints = typing.get_type_hints(fields_kind)
    return {key: hints[key] for key in document if key in hints}
