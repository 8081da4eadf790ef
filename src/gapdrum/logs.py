"""Logs by loguru: lines for changes of state only, on standard error."""

import sys

from loguru import logger

FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {message}"


def set_up_logs(as_json: bool) -> None:
    """Send log lines to standard error, as JSON if the settings say so."""
    logger.remove()
    logger.add(sys.stderr, format=FORMAT, serialize=as_json, backtrace=False, diagnose=False)
