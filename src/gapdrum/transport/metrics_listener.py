"""Serves a process's figures at its metrics address."""

import os

from gapdrum.measures import CONTENT_TYPE, METRICS_PATH, Measures
from gapdrum.timers import Timers
from gapdrum.transport.http_messages import HttpRequest, HttpResponse
from gapdrum.transport.http_server import HttpLimits, HttpListener

# The port of the metrics address; ``deploy/system.toml`` sets it. Without it, nothing listens.
PORT_VARIABLE = "GAPDRUM_METRICS_PORT"


async def open_metrics(host: str, measures: Measures, timers: Timers) -> None:
    """Listen at the metrics address, if there is one; raises OSError if it is taken."""
    port = os.environ.get(PORT_VARIABLE)
    if not port:
        return

    def show(request: HttpRequest) -> HttpResponse:
        if request.path != METRICS_PATH:
            return HttpResponse(404)
        return HttpResponse(200, measures.expose(), content_type=CONTENT_TYPE)

    await HttpListener(show, HttpLimits(), timers).open(host, int(port))
