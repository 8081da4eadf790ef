"""Endpoints for the platform and its load balancer: health, readiness and metrics."""

from collections.abc import Callable

from prometheus_client import CONTENT_TYPE_LATEST

from gapdrum.http import Request, Response, Router
from gapdrum.metrics import Metrics


def add_probe_routes(router: Router, metrics: Metrics, is_ready: Callable[[], bool]) -> None:
    """Register ``/healthz``, ``/readyz`` and ``/metrics``; they require no credentials."""

    @router.route("GET", "/healthz")
    def show_health(_request: Request) -> Response:
        return Response({"healthy": True})

    @router.route("GET", "/readyz")
    def show_readiness(_request: Request) -> Response:
        ready = is_ready()
        return Response({"ready": ready}, 200 if ready else 503)

    @router.route("GET", "/metrics")
    def show_metrics(_request: Request) -> Response:
        return Response(content=metrics.expose(), content_type=CONTENT_TYPE_LATEST)
