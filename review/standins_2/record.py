"""The record of a case: what was sent, answered and run, with the time of each."""

import json
import time
from pathlib import Path


class Record:
    """Rows in the order in which the stand-ins saw them; times are milliseconds of the case."""

    def __init__(self) -> None:
        self.rows: list[dict] = []
        self._began_s = time.monotonic()

    @property
    def now_ms(self) -> int:
        """Return the time of the case."""
        return int((time.monotonic() - self._began_s) * 1_000)

    def add(self, what: str, **fields: object) -> dict:
        """Add a row; return it."""
        row = {"ms": self.now_ms, "what": what, **fields}
        self.rows.append(row)
        return row

    def find(self, what: str, **fields: object) -> list[dict]:
        """Return the rows of one kind with these fields."""
        return [
            row
            for row in self.rows
            if row["what"] == what and all(row.get(name) == one for name, one in fields.items())
        ]

    def write(self, path: Path) -> None:
        """Write all rows, one a line."""
        path.write_text("".join(json.dumps(row) + "\n" for row in self.rows))
