"""HTTP applications that answer errors with problem documents."""

import typing as t

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import BaseRoute

from .problem import Problem
from .reason import Reason
from .verdict import Verdict

RefusalCounter = t.Callable[[Reason, Verdict], None]


class Refusal(Exception):
    """Raised when a request is refused before it is admitted."""

    def __init__(self, reason: Reason, detail: str) -> None:
        super().__init__(detail)
        self.reason = reason
        self.detail = detail


def problem_response(refusal: Refusal, request: str) -> Response:
    """Return the HTTP response of a refusal: a problem document."""
    problem = Problem(
        refusal.reason, Verdict.NOT_RUN, detail=refusal.detail, request=request
    )
    response = Response(problem.body(), problem.status)
    response.raw_headers.extend(problem.headers)
    return response


def create_app(routes: t.Sequence[BaseRoute], count: RefusalCounter) -> Starlette:
    """Return an application whose 404 and 405 answers are problem documents.

    :param count: called for each of these answers
    """

    async def not_found(http_request: Request, error: Exception) -> Response:
        count(Reason.UNKNOWN_PATH, Verdict.NOT_RUN)
        refusal = Refusal(
            Reason.UNKNOWN_PATH, f'path "{http_request.url.path}" does not exist'
        )
        return problem_response(refusal, "")

    handlers = {404: not_found, 405: not_found}
    return Starlette(routes=list(routes), exception_handlers=handlers)
