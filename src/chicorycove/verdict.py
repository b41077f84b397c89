"""Verdicts on whether a request has run."""

import enum


class Verdict(enum.Enum):
    """Whether a request or an attempt has run."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"

    @property
    def retryable(self) -> bool:
        """Return whether any request, idempotent or not, may be retried."""
        return self is Verdict.NOT_RUN
