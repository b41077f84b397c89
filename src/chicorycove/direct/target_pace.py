"""Learns how much longer targets take than their engine's profile predicts."""

import dataclasses
import math

from ..identity import AgentId
from .board import DirectBoard, DirectRequest, PassStart, TargetView
from .command import DirectCommand, RecordTargetState, TargetState
from .engine import EngineProfile


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TargetPaceSettings:
    """How observed times become a pace; times are in seconds."""

    # Time after which an observation has lost 63% of its weight.
    decay_time: float = 2.0
    # Predicted time of a target as fast as predicted, which is added to what
    # was observed, so that few observations change little.
    prior_time: float = 0.25
    max_pace: float = 6.0  # an observation that took longer counts as this
    # A lower pace counts as 1: passes of normal targets differ by as much.
    min_pace: float = 1.5
    normal_pace: float = 1.25  # a slow target is normal again below this
    check_interval: float = 0.5  # between checks of targets that are slow
    # Time to send a request and receive its first event.
    transit_time: float = 0.005


@dataclasses.dataclass(frozen=True, slots=True)
class PaceCheckDue:
    """The timer for another check of a slow target."""

    target: AgentId


@dataclasses.dataclass(slots=True)
class _Evidence:
    """Decaying sums of observed and of predicted times, in seconds."""

    agent: AgentId
    observed_time: float = 0.0
    predicted_time: float = 0.0
    updated_at: float = 0.0
    slow: bool = False


class TargetPace:
    """Learns the pace of targets from this entry's own streams.

    Only times that nothing else explains count: a pass that decodes while no
    prompt is prefilled, and the prefill of the only prompt on a target.
    """

    def __init__(self, board: DirectBoard, settings: TargetPaceSettings) -> None:
        self._board = board
        self._settings = settings
        self._evidence: dict[str, _Evidence] = {}  # by target

    def start_prefill(self, request: DirectRequest, now: float) -> None:
        """Note that a request is sent, if nothing delays its prefill."""
        request.pass_start = None
        view = self._find_view(request)
        engine = self._find_engine(request)
        if view is None or engine is None or len(view.work_items) != 1:
            return
        item = request.work_items[0]
        if len(request.work_items) == 1 and item.key in view.work_items:
            predicted = item.prefill_time + engine.first_token_delay
            predicted += self._settings.transit_time
            request.pass_start = PassStart(now, predicted, frozenset({item.key}))

    def record_events(
        self, request: DirectRequest, event_count: int, now: float
    ) -> list[DirectCommand]:
        """Learn from a stream's events before they are counted on its item."""
        start, request.pass_start = request.pass_start, None
        view = self._find_view(request)
        engine = self._find_engine(request)
        if view is None or engine is None or not request.work_items:
            return []
        decoding = request.work_items[0].decoding
        undisturbed = start is not None and start.work == view.work_items.keys()
        commands: list[DirectCommand] = []
        if not decoding:
            if undisturbed and event_count == 1:
                commands = self._record(view, now - start.at, start.predicted, now)
            # The stream joins the pass after the next one: its first pause
            # is not the time of one pass.
            return commands
        items = view.work_items.values()
        if not all(item.decoding for item in items):
            return []
        if undisturbed:
            predicted = start.predicted * event_count
            commands = self._record(view, now - start.at, predicted, now)
        if not request.caller_blocked:
            predicted = engine.decode_pass_time(item.context_tokens for item in items)
            request.pass_start = PassStart(now, predicted, frozenset(view.work_items))
        return commands

    def check(self, due: PaceCheckDue, now: float) -> list[DirectCommand]:
        """Update a slow target's pace, and check again while it is slow."""
        view = self._board.find_incarnation(due.target)
        evidence = self._evidence.get(due.target.target)
        if view is None or evidence is None or evidence.agent != due.target:
            return []
        self._decay(evidence, now)
        commands = self._update(view, evidence)
        if evidence.slow:
            self._board.timers.add(now + self._settings.check_interval, due)
        return commands

    def _record(
        self, view: TargetView, observed: float, predicted: float, now: float
    ) -> list[DirectCommand]:
        evidence = self._find_evidence(view.listing.agent, now)
        self._decay(evidence, now)
        evidence.observed_time += min(observed, predicted * self._settings.max_pace)
        evidence.predicted_time += predicted
        was_slow = evidence.slow
        commands = self._update(view, evidence)
        if evidence.slow and not was_slow:
            due = PaceCheckDue(view.listing.agent)
            self._board.timers.add(now + self._settings.check_interval, due)
        return commands

    def _update(self, view: TargetView, evidence: _Evidence) -> list[DirectCommand]:
        """Set a target's pace, and record whether it is slow."""
        settings = self._settings
        pace = (evidence.observed_time + settings.prior_time) / (
            evidence.predicted_time + settings.prior_time
        )
        view.pace = pace if pace >= settings.min_pace else 1.0
        slow = pace >= (settings.normal_pace if evidence.slow else settings.min_pace)
        if slow == evidence.slow:
            return []
        evidence.slow = slow
        state = TargetState.SLOW if slow else TargetState.NORMAL
        detail = f"{pace:.2f} times the predicted time"
        return [RecordTargetState(view.listing.id, state, detail)]

    def _find_evidence(self, agent: AgentId, now: float) -> _Evidence:
        evidence = self._evidence.get(agent.target)
        if evidence is None or evidence.agent != agent:
            listed = self._board.targets
            for target in [id for id in self._evidence if id not in listed]:
                del self._evidence[target]
            evidence = _Evidence(agent, updated_at=now)
            self._evidence[agent.target] = evidence
        return evidence

    def _decay(self, evidence: _Evidence, now: float) -> None:
        elapsed = max(now - evidence.updated_at, 0.0)
        weight = math.exp(-elapsed / self._settings.decay_time)
        evidence.observed_time *= weight
        evidence.predicted_time *= weight
        evidence.updated_at = now

    def _find_view(self, request: DirectRequest) -> TargetView | None:
        return self._board.find_incarnation(request.attempts[-1].agent)

    def _find_engine(self, request: DirectRequest) -> EngineProfile | None:
        service = self._board.find_service(request.inbound.service)
        return service.engine if service else None
