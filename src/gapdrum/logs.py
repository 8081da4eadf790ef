"""Configures loguru; only changes of state are logged, on standard error."""

import sys

from loguru import logger

FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {message}"


def set_up_logs(as_json: bool) -> None:
    """Write log lines to standard error, as JSON if ``as_json`` is set."""
    logger.remove()
    logger.add(sys.stderr, format=FORMAT, serialize=as_json, backtrace=False, diagnose=False)
