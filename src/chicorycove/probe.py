"""Serves the health, readiness and metrics pages of a process."""

import typing as t

from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import BaseRoute, Route

from .metric import Metrics

METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"


def routes(metrics: Metrics, is_ready: t.Callable[[], bool]) -> list[BaseRoute]:
    """Return the routes of the health, readiness and metrics pages."""

    async def healthz(request: Request) -> Response:
        return PlainTextResponse("ok\n")

    async def readyz(request: Request) -> Response:
        if is_ready():
            return PlainTextResponse("ready\n")
        return PlainTextResponse("not ready\n", 503)

    async def page(request: Request) -> Response:
        return Response(metrics.page(), media_type=METRICS_TYPE)

    return [
        Route("/healthz", healthz),
        Route("/readyz", readyz),
        Route("/metrics", page),
    ]
