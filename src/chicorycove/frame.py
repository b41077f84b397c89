"""Converts frames between entries and agents to and from events."""

import typing as t

from . import event, lifecycle
from .event import AgentEvent, AttemptOffer, EntryEvent, SealOutcome, TargetLoad
from .identity import AgentId, AttemptId
from .reason import Reason
from .verdict import Verdict
from .wire import link_pb2 as wire


def load_frame(load: TargetLoad) -> wire.AgentFrame:
    """Return the frame that reports a load."""
    return wire.AgentFrame(load=load_message(load))


def load_message(load: TargetLoad) -> wire.Load:
    """Return a load as a protobuf message."""
    return wire.Load(
        running=load.running,
        queued=load.queued,
        queued_prefill=load.queued_prefill,
        memory_free=load.memory_free,
        memory_total=load.memory_total,
        leaving=load.leaving,
        queued_long=load.queued_long,
    )


def read_load(message: wire.Load) -> TargetLoad:
    """Return the load in a protobuf message."""
    return TargetLoad(
        message.running,
        message.queued,
        message.queued_prefill,
        message.memory_free,
        message.memory_total,
        message.leaving,
        message.queued_long,
    )


def read_agent_frame(frame: wire.AgentFrame, agent: AgentId) -> EntryEvent:
    """Return the event in an agent's frame other than a chunk or head."""
    kind = frame.WhichOneof("frame")
    if kind == "load":
        return event.LoadReported(agent, read_load(frame.load))
    message = getattr(frame, kind)
    attempt = AttemptId.parse(message.attempt)
    match kind:
        case "accepted":
            return event.AttemptAccepted(attempt)
        case "started":
            return event.AttemptStarted(attempt)
        case "ended":
            return lifecycle.AnswerCompleted(attempt, message.size)
        case "failed":
            reason, verdict = Reason(message.reason), Verdict(message.verdict)
            return lifecycle.AttemptFailed(attempt, reason, verdict)
        case "refused":
            retry_after = message.retry_after or None
            return lifecycle.AttemptRefused(
                attempt, Reason(message.reason), retry_after
            )
        case "sealed":
            return event.SealAnswered(attempt, SealOutcome(message.outcome))
        case "reserved":
            return lifecycle.MemoryReserved(attempt)
        case "prefilled":
            return event.SegmentPrefilled(attempt)
    raise ValueError(f'unknown frame "{kind}"')


def read_entry_frame(frame: wire.EntryFrame, owner: str) -> AgentEvent:
    """Return the event in an entry's frame."""
    kind = frame.WhichOneof("frame")
    if kind == "heartbeat":
        return event.OwnerHeartbeatReceived(owner)
    message = getattr(frame, kind)
    attempt = AttemptId.parse(message.attempt)
    match kind:
        case "start":
            return event.StartRequested(_read_start(message, attempt, owner))
        case "reserve":
            return event.ReserveRequested(_read_reserve(message, attempt, owner))
        case "prefill":
            return event.PrefillRequested(attempt)
        case "release":
            return event.ReleaseRequested(attempt)
        case "cancel":
            return event.CancelRequested(attempt)
        case "resume":
            return event.ResumeRequested(attempt, owner, message.deadline)
        case "seal":
            return event.SealRequested(
                attempt, message.incarnation, message.deadline, owner
            )
    raise ValueError(f'unknown frame "{kind}"')


def _read_start(message: wire.Start, attempt: AttemptId, owner: str) -> AttemptOffer:
    return AttemptOffer(
        attempt=attempt,
        owner=owner,
        incarnation=message.incarnation,
        deadline=message.deadline,
        priority=message.priority,
        idempotent=message.idempotent,
        prefill=message.prefill,
        memory=message.memory,
    )


def _read_reserve(
    message: wire.Reserve, attempt: AttemptId, owner: str
) -> AttemptOffer:
    return AttemptOffer(
        attempt=attempt,
        owner=owner,
        incarnation=message.incarnation,
        deadline=message.deadline,
        priority=message.priority,
        memory=message.memory,
        grouped=True,
    )


def header_messages(headers: t.Iterable[tuple[str, str]]) -> list[wire.Header]:
    """Return headers as protobuf messages."""
    return [wire.Header(name=name, value=value) for name, value in headers]
