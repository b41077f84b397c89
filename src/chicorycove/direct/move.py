"""Moves requests whose slots other entries have taken."""

from ..attempt import AttemptStep, advance
from .board import DirectRequest, WorkItem
from .collision import MIN_FREE_SLOTS, CollisionDetector
from .command import CancelAttempt, DirectCommand, LogChange
from .completion import RequestCompletion
from .retry import DirectRetryPolicy
from .selection import TargetSelector
from .sending import AttemptSender


class RequestMover:
    """Moves requests that wait to targets with free slots."""

    def __init__(
        self,
        collisions: CollisionDetector,
        retry_policy: DirectRetryPolicy,
        selector: TargetSelector,
        completion: RequestCompletion,
        sender: AttemptSender,
    ) -> None:
        self._collisions = collisions
        self._retry_policy = retry_policy
        self._selector = selector
        self._completion = completion
        self._sender = sender

    def move_collided(
        self, work_items: tuple[WorkItem, ...], now: float
    ) -> list[DirectCommand]:
        """Move requests whose slots peers have taken, if it is worth it."""
        targets = {item.target for item in work_items if not item.decoding}
        commands: list[DirectCommand] = []
        for request in self._collisions.find(targets) if targets else ():
            commands += self._move_request(request, now)
        return commands

    def _move_request(self, request: DirectRequest, now: float) -> list[DirectCommand]:
        """Send a request that waits to a target that answers it in time."""
        if not self._retry_policy.may_retry(request, now):
            return []
        attempt = request.attempts[-1]
        inbound = request.inbound
        request.tried_targets.add(attempt.agent.target)
        placement = self._selector.choose(request, now)
        objective_at = inbound.request.arrived + inbound.route.objective
        if (
            placement is None
            or placement.target in request.tried_targets
            or placement.free_slots < MIN_FREE_SLOTS
            or now + placement.time_to_first_event > objective_at
            or not self._retry_policy.consume(request, now)
        ):
            request.tried_targets.discard(attempt.agent.target)
            return []
        advance(attempt, AttemptStep.FAIL)
        return [
            CancelAttempt(attempt.id),
            LogChange("prompt moved", inbound.request.id, attempt.agent.target),
            *self._completion.release_work(request),
            *self._sender.start(request, placement, now),
        ]
