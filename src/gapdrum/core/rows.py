"""Rows of the platform's store, and the transactions on them."""

import attrs

ABSENT = 0  # the version that stands for a row that does not exist


@attrs.frozen
class RowKey:
    """Where a row lies. Rows of one part can change in one transaction."""

    table: str
    part: str
    key: str


@attrs.frozen
class Row:
    """A row as the store gave it; ``value`` is None where the row does not exist."""

    at: RowKey
    value: bytes | None
    version: int


@attrs.frozen
class Expectation:
    """A condition of a transaction: the version that a row has, ``ABSENT`` for none."""

    at: RowKey
    version: int


@attrs.frozen
class Put:
    """A row to be written."""

    at: RowKey
    value: bytes


@attrs.frozen
class Transaction:
    """Changes that take effect together or not at all; all in one part."""

    expectations: tuple[Expectation, ...] = ()
    puts: tuple[Put, ...] = ()
    removals: tuple[RowKey, ...] = ()


@attrs.frozen
class Committed:
    """The transaction took effect; ``version`` is that of all rows it wrote."""

    version: int


@attrs.frozen
class Conflict:
    """Nothing took effect, as a condition did not hold; ``rows`` are those of all conditions."""

    rows: tuple[Row, ...]


@attrs.frozen
class Page:
    """Rows in order of their keys, as of one moment."""

    rows: tuple[Row, ...]
    has_more: bool
    version: int


@attrs.frozen
class Changes:
    """Rows that changed after a version; ``version`` is where the next call goes on."""

    rows: tuple[Row, ...]
    version: int
