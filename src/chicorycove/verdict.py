"""Whether a request may have run."""

import enum


class Verdict(enum.Enum):
    """What is known of the execution of a request or attempt."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"

    @property
    def retryable(self) -> bool:
        """Tell whether any request may be sent again after this verdict."""
        return self is Verdict.NOT_RUN
