"""Runs the entry program: ``python3 -m gapdrum.entry``."""

from gapdrum.entry.program import start

if __name__ == "__main__":
    start()
