"""Field helpers for attrs classes: bounded strings, integers and lists, validated on creation."""

from typing import Any

import attrs
from attrs import validators

MAX_TEXT_LENGTH = 200
MAX_COUNT = 2**53


def text_field(max_length: int = MAX_TEXT_LENGTH, **options: Any) -> Any:
    """Return an attrs field that accepts a string of at most ``max_length`` characters."""
    checks = [validators.instance_of(str), validators.max_len(max_length)]
    return attrs.field(validator=checks, **options)


def count_field(maximum: int = MAX_COUNT, minimum: int = 0, **options: Any) -> Any:
    """Return an attrs field that accepts an integer between ``minimum`` and ``maximum``."""

    def check(_instance: object, attribute: attrs.Attribute, value: object) -> None:
        if type(value) is not int:
            raise TypeError(f"{attribute.name} must be an integer")
        if not minimum <= value <= maximum:
            raise ValueError(f"{attribute.name} must lie between {minimum} and {maximum}")

    return attrs.field(validator=check, **options)


def signed_field(bound: int = MAX_COUNT, **options: Any) -> Any:
    """Return an attrs field that accepts an integer from ``-bound`` to ``bound``."""
    return count_field(bound, -bound, **options)


def rows_field(row_class: type, max_length: int, **options: Any) -> Any:
    """Return an attrs field that accepts a list of ``row_class``, or of its encoded rows.

    On the wire a row is the list of its field values; such a list is converted
    into a ``row_class``.
    """

    def convert(rows: Any) -> Any:
        if not isinstance(rows, list | tuple):
            raise TypeError(f"expected a list of {row_class.__name__}")
        return tuple(row if isinstance(row, row_class) else row_class(*row) for row in rows)

    checks = validators.max_len(max_length)
    return attrs.field(
        converter=convert, validator=checks, metadata={"row_class": row_class}, **options
    )
