"""Rows of the platform's store, and transactions on them."""

import attrs

ABSENT = 0  # the version of a row that does not exist


@attrs.frozen
class RowKey:
    """The key of a row. Rows of one part can change in one transaction."""

    table: str
    part: str
    key: str


@attrs.frozen
class Row:
    """A row as read from the store; ``value`` is None where the row does not exist."""

    at: RowKey
    value: bytes | None
    version: int


@attrs.frozen
class Expectation:
    """A condition of a transaction: the row's version, ``ABSENT`` if it must not exist."""

    at: RowKey
    version: int


@attrs.frozen
class Put:
    """A row to be written."""

    at: RowKey
    value: bytes


@attrs.frozen
class Transaction:
    """Changes to rows of one part that take effect atomically."""

    expectations: tuple[Expectation, ...] = ()
    puts: tuple[Put, ...] = ()
    removals: tuple[RowKey, ...] = ()


@attrs.frozen
class Committed:
    """The transaction took effect; all rows that it wrote have ``version``."""

    version: int


@attrs.frozen
class Conflict:
    """A condition did not hold and nothing took effect; ``rows`` are those of all conditions."""

    rows: tuple[Row, ...]


@attrs.frozen
class Page:
    """Rows in order of their keys, from a consistent read."""

    rows: tuple[Row, ...]
    has_more: bool
    version: int


@attrs.frozen
class Changes:
    """Rows that changed after a version; the next call continues from ``version``."""

    rows: tuple[Row, ...]
    version: int
