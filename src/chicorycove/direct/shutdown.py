"""Decides which answers a stopping entry begins and waits for."""

import math
import typing as t

from ..request import Prompt
from .board import (
    DirectBoard,
    DirectRequest,
    InboundRequest,
    TargetView,
    WorkItem,
)
from .engine import EngineProfile
from .placement import Placement
from .settings import DirectSettings


class ShutdownPolicy:
    """Compares the ends of answers and of the process; times in seconds."""

    def __init__(self, board: DirectBoard, settings: DirectSettings) -> None:
        self._board = board
        self._settings = settings

    def may_send(
        self, request: DirectRequest, placement: Placement, now: float
    ) -> bool:
        """Return whether a placed request may be sent to its target.

        Its answer must be expected to end in time.  That of a request which
        was received after callers have had time to find other entries must end
        in time whatever its target gets meanwhile.
        """
        if self._board.stopping_at is None or request.answer_started:
            return True
        accept_until = self._board.stopping_at + self._settings.stop_accept_time
        if request.inbound.request.arrived < accept_until:
            answer_time = self._expected_answer_time(request.inbound, placement)
        else:
            answer_time = self._max_answer_time(request.inbound, placement, now)
        return now + answer_time <= self._end_by(request.inbound)

    def may_begin(self, request: DirectRequest, now: float) -> bool:
        """Return whether a stream whose answer begins now can still end.

        It may have waited for longer than predicted.  One that was received
        before the stop is begun in any case: its caller has waited already.
        """
        stopping_at = self._board.stopping_at
        if stopping_at is None or request.answer_started or not request.work_items:
            return True
        if request.inbound.request.arrived <= stopping_at:
            return True
        item = request.work_items[0]
        engine = self._find_engine(request.inbound)
        view = self._board.targets.get(item.target)
        if engine is None or view is None:
            return True
        waiting_items = [
            other
            for other in view.work_items.values()
            if other.key != item.key and not other.decoding
        ]
        # Waiting prompts are prefilled within the passes that decode.
        waiting_time = min(
            sum(other.remaining_prefill_time(now) for other in waiting_items),
            item.events_left * _max_pass_prefill_time(engine, waiting_items),
        )
        decode_time = item.events_left * self._pass_time(engine, view, request.inbound)
        end = now + decode_time + waiting_time * view.pace
        return end <= self._end_by(request.inbound)

    def first_event_by(self, inbound: InboundRequest) -> float:
        """Return when a prompt's first event is due; infinite for any time."""
        engine = self._find_engine(inbound)
        if self._board.stopping_at is None or engine is None:
            return math.inf
        decode_time = self._event_count(engine, inbound) * engine.batch_pass_time(
            1, inbound.request.work.memory
        )
        return self._board.stopping_at + self._settings.stop_finish_time - decode_time

    def _end_by(self, inbound: InboundRequest) -> float:
        """Return by when an answer must end, unless its deadline ends it."""
        process_end = self._board.stopping_at + self._settings.stop_finish_time
        return math.inf if inbound.request.deadline <= process_end else process_end

    def _expected_answer_time(
        self, inbound: InboundRequest, placement: Placement
    ) -> float:
        """Return how long an answer takes if its target gets nothing else."""
        engine = self._find_engine(inbound)
        view = self._board.targets.get(placement.target)
        if engine is None or view is None:
            return 0.0
        pass_time = self._pass_time(engine, view, inbound)
        if placement.members:
            pass_time += engine.steps_per_pass * engine.group_step_delay
        decode_time = self._event_count(engine, inbound) * pass_time
        return placement.time_to_first_event + decode_time

    def _max_answer_time(
        self, inbound: InboundRequest, placement: Placement, now: float
    ) -> float:
        """Return the longest that an answer may take; infinite if unbounded.

        What other entries send to the target may slow a stream down at any
        time.  Without them, the target has at most a full batch.
        """
        engine = self._find_engine(inbound)
        if engine is None:
            return inbound.request.deadline - now
        if self._board.entry_count != 1:
            return math.inf
        view = self._board.targets.get(placement.target)
        pass_time = engine.batch_pass_time(engine.slots, inbound.request.work.memory)
        if view is not None:
            pass_time *= max(view.pace, 1.0)
        decode_time = (
            self._event_count(engine, inbound)
            * pass_time
            * self._settings.stop_duration_factor
        )
        first_event = max(placement.time_to_first_event, inbound.route.objective)
        return first_event + decode_time

    def _pass_time(
        self, engine: EngineProfile, view: TargetView, inbound: InboundRequest
    ) -> float:
        """Return the time of a pass that decodes a prompt and the others."""
        contexts = [
            item.context_tokens for item in view.work_items.values() if item.decoding
        ]
        contexts.append(float(inbound.request.work.memory))
        return engine.decode_pass_time(contexts) * view.pace

    def _event_count(self, engine: EngineProfile, inbound: InboundRequest) -> int:
        return engine.event_count(inbound.request.work.max_tokens)

    def _find_engine(self, inbound: InboundRequest) -> EngineProfile | None:
        """Return the profile of a prompt's engine; None for a call."""
        if not isinstance(inbound.request.work, Prompt):
            return None
        service = self._board.find_service(inbound.service)
        return service.engine if service is not None else None


def _max_pass_prefill_time(engine: EngineProfile, items: t.Iterable[WorkItem]) -> float:
    """Return the most prefill time of some prompts in one pass."""
    # The last tokens of a prompt take at most twice their share of its time.
    token_time = max(
        (2 * item.prefill_time / max(item.tokens, 1) for item in items), default=0.0
    )
    return engine.chunk_tokens * engine.steps_per_pass * token_time
