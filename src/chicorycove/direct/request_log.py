"""Logs and counts what becomes of callers' requests."""

import asyncio

from ..identity import AttemptId
from ..lifecycle import FailRequest
from ..metric import Metrics
from ..reason import Reason
from ..verdict import Verdict
from .board import DirectBoard
from .command import SendAttempt
from .domain_cost import find_leaving_reason
from .exchange import Exchange
from .linelog import LineLog


class RequestLog:
    """Writes a log line and updates the metrics for each step of a request."""

    def __init__(
        self, board: DirectBoard, failure_domain: str, metrics: Metrics, log: LineLog
    ) -> None:
        self._board = board
        self._failure_domain = failure_domain
        self._metrics = metrics
        self._log = log
        self._loop = asyncio.get_running_loop()

    def record_attempt(self, exchange: Exchange, command: SendAttempt) -> None:
        """Record that an attempt is sent."""
        placement = command.placement
        self._log.write(
            "attempt sent",
            request=command.attempt.request,
            attempt=command.attempt.number,
            target=command.target.target,
            parts=exchange.shared_parts,
            fingerprint=exchange.inbound.fingerprint,
            members=[member.target for member in placement.members],
            part=round(placement.prefill_time, 4),
            predicted=round(placement.time_to_first_event, 4),
            cost=round(placement.cost, 4),
            candidates=placement.candidates,
            after=command.last_event_id,
            left=round(command.deadline - self._loop.time(), 3),
        )
        self._count_if_outside(command.target.target)

    def record_attempt_failure(
        self, exchange: Exchange, attempt: AttemptId, reason: Reason, verdict: Verdict
    ) -> None:
        """Record an attempt without a complete answer."""
        self._log.write(
            "attempt failed",
            request=attempt.request,
            attempt=attempt.number,
            reason=reason.value,
            verdict=verdict.value,
            **exchange.attempt_log_fields(),
        )

    def record_first_token(self, exchange: Exchange) -> None:
        """Record that the first events of a stream are relayed."""
        request = exchange.inbound.request
        wait_time = self._loop.time() - request.arrived
        self._metrics.first_token(wait_time, request.prefill)

    def record_answer(self, exchange: Exchange) -> None:
        """Record a complete answer."""
        route = exchange.inbound.route.name
        duration = self._loop.time() - exchange.inbound.request.arrived
        self._metrics.answered(route)
        self._metrics.answer_time(duration, route)
        self._log.write(
            "request answered",
            request=exchange.inbound.request.id,
            **exchange.log_fields(),
        )

    def record_failure(
        self, exchange: Exchange, command: FailRequest, status: int
    ) -> None:
        """Record a failed request and the status that its caller gets."""
        self._metrics.refused(command.reason, command.verdict)
        self._log.write(
            "request failed",
            request=command.request,
            reason=command.reason.value,
            verdict=command.verdict.value,
            status=status,
            retry_after=command.retry_after,
            **exchange.log_fields(),
        )

    def record_abort(self, exchange: Exchange, reason: Reason) -> None:
        """Record an answer that is cut short."""
        self._metrics.refused(reason, Verdict.MAY_HAVE_RUN)
        self._log.write(
            "answer aborted",
            request=exchange.inbound.request.id,
            reason=reason.value,
            **exchange.log_fields(),
        )

    def record_disconnect(self, exchange: Exchange) -> None:
        """Record a caller that disconnected before its answer was complete."""
        self._metrics.refused(Reason.CALLER_GONE, Verdict.MAY_HAVE_RUN)
        self._log.write(
            "caller gone", request=exchange.inbound.request.id, **exchange.log_fields()
        )

    def _count_if_outside(self, target: str) -> None:
        """Count an attempt whose target is in another failure domain."""
        view = self._board.targets.get(target)
        if view is None:
            return
        reason = find_leaving_reason(
            view,
            self._board.targets.values(),
            self._failure_domain,
            self._loop.time(),
        )
        if reason is not None:
            self._metrics.left_domain(reason.value)
