"""Problem documents (RFC 9457), the errors that callers get."""

import dataclasses

import msgspec

from .reason import Reason
from .verdict import Verdict

CONTENT_TYPE = "application/problem+json"

STATUSES = {
    Reason.BAD_REQUEST: 400,
    Reason.BODY_TOO_LARGE: 413,
    Reason.UNAUTHENTICATED: 401,
    Reason.FORBIDDEN: 403,
    Reason.UNKNOWN_PATH: 404,
    Reason.UNKNOWN_MODEL: 404,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.DEADLINE_PAST: 400,
    Reason.PROMPT_TOO_LONG: 413,
    Reason.KEY_REUSED: 422,
    Reason.KEY_IN_PROGRESS: 409,
    Reason.LIMIT_REQUESTS: 429,
    Reason.LIMIT_TOKENS: 429,
    Reason.LIMIT_MEMORY: 429,
    Reason.TARGET_FAILED: 502,
    Reason.TARGET_UNREACHABLE: 502,
    Reason.LINK_DOWN: 502,
    Reason.LINK_LOST: 502,
    Reason.STREAM_BROKEN: 502,
    Reason.ANSWER_TOO_LARGE: 502,
    Reason.INTERNAL_ERROR: 502,
    Reason.DEADLINE_EXCEEDED: 504,
    Reason.CLAIM_UNSETTLED: 504,
}
DEFAULT_STATUS = 503
# Statuses that callers take for a proof that a request has not run.
REFUSALS = (429, 503)
MAY_HAVE_RUN_STATUS = 502  # in place of a refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """The reason why a request got no answer.

    ``retry_after`` is in seconds.
    """

    reason: Reason
    verdict: Verdict
    detail: str = ""
    retry_after: float | None = None
    request: str = ""

    @property
    def status(self) -> int:
        """Return the HTTP status code."""
        status = STATUSES.get(self.reason, DEFAULT_STATUS)
        if status in REFUSALS and self.verdict is not Verdict.NOT_RUN:
            return MAY_HAVE_RUN_STATUS
        return status

    @property
    def headers(self) -> list[tuple[bytes, bytes]]:
        """Return the HTTP headers of the response."""
        pairs = [
            (b"content-type", CONTENT_TYPE.encode()),
            (b"x-request-id", self.request.encode()),
        ]
        if self.retry_after is not None:
            seconds = max(1, round(self.retry_after))
            pairs.append((b"retry-after", str(seconds).encode()))
        return pairs

    def body(self) -> bytes:
        """Return the document as JSON."""
        document = {
            "type": f"urn:chicorycove:problem:{self.reason.value}",
            "title": self.reason.value.replace("_", " "),
            "status": self.status,
            "detail": self.detail or self.reason.value.replace("_", " "),
            "reason": self.reason.value,
            "verdict": self.verdict.value,
            "request": self.request,
        }
        if self.retry_after is not None:
            document["retry_after"] = self.retry_after
        return msgspec.json.encode(document)
