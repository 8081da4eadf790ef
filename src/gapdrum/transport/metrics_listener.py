"""Serves the metrics of a process over HTTP."""

import os

from gapdrum.process_metrics import CONTENT_TYPE, METRICS_PATH, ProcessMetrics
from gapdrum.transport.http_addresses import HttpAddresses
from gapdrum.transport.http_messages import HttpRequest, HttpResponse

# Names the metrics port; ``deploy/system.toml`` sets it. If it is unset, nothing listens.
PORT_VARIABLE = "GAPDRUM_METRICS_PORT"


async def open_metrics(host: str, measures: ProcessMetrics, addresses: HttpAddresses) -> None:
    """Listen on the metrics port, if one is set; raises OSError if it is in use."""
    port = os.environ.get(PORT_VARIABLE)
    if not port:
        return

    def show(request: HttpRequest) -> HttpResponse:
        if request.path != METRICS_PATH:
            return HttpResponse(404)
        return HttpResponse(200, measures.expose(), content_type=CONTENT_TYPE)

    await addresses.add(show).open(host, int(port))
