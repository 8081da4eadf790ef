"""Runs the agent program: ``python3 -m gapdrum.agent``."""

from gapdrum.agent.program import start

if __name__ == "__main__":
    start()
