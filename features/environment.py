"""Starts and ends the real processes that a scenario asks for by tag."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent / "tools"))


def before_scenario(context, _scenario):
    context.system = None


def after_scenario(context, _scenario):
    if context.system is not None:
        context.system.__exit__()
