"""The format of datagrams between entries: work, targets, store changes."""

import math
import typing as t

import msgspec

from ..identity import AgentId
from .board import WorkItem, WorkItemKey
from .command import UpdatePeers
from .event import (
    ColdReport,
    CrashReport,
    FailureReport,
    PeerUpdateReceived,
    QuarantineReport,
    RateLimitReport,
    TargetNotice,
    TraitsAnswered,
)
from .store_relay import RelayUpdate
from .store_revision import StoreRevision

# First byte of a datagram of the relay; MessagePack never begins with it.
RELAY_MARK = b"\xc1"
# In a datagram, so that it fits into an Ethernet frame.
MAX_WORK_ITEMS = 12
MAX_RATE_LIMITS = 20
MAX_NOTICES = 20
MAX_COLD_TARGETS = 20
MAX_FAILURES = 20
# Bounds of what is received.  Arithmetic on times beyond them, on infinite
# ones or on NaN would corrupt the order of timers and of targets.
MAX_SECONDS = 1e9
MAX_COUNT = 2**53  # the largest integer up to which floats are exact
MAX_REPORTS = 1_024
MAX_NAMES = 16_384  # of ended work items or of targets

_Offset = t.Annotated[float, msgspec.Meta(ge=-MAX_SECONDS, le=MAX_SECONDS)]
_Duration = t.Annotated[float, msgspec.Meta(ge=0.0, le=MAX_SECONDS)]
_Amount = t.Annotated[float, msgspec.Meta(ge=0.0, le=MAX_COUNT)]
_Rate = t.Annotated[float, msgspec.Meta(ge=0.0)]  # may be infinite
_Count = t.Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
_Reports = msgspec.Meta(max_length=MAX_REPORTS)
_Names = msgspec.Meta(max_length=MAX_NAMES)


class PeerUpdate(msgspec.Struct, array_like=True):
    """A datagram with some of what an entry knows, in MessagePack.

    Arrays carry no field names: the order of the fields is the format.
    Entries of earlier versions ignore fields after the store's revision.
    """

    owner: str
    work_items: t.Annotated[list["WorkItemUpdate"], _Reports]
    ended: t.Annotated[list[int], _Names]  # numbers of work items
    unreachable: t.Annotated[list[str], _Names]  # ids of targets
    store_revision: _Count  # that the owner has followed the store up to
    rate_limits: t.Annotated[list["RateLimitUpdate"], _Reports] = []
    crashes: t.Annotated[list["CrashUpdate"], _Reports] = []
    answered: t.Annotated[list["AnsweredUpdate"], _Reports] = []
    quarantines: t.Annotated[list["QuarantineUpdate"], _Reports] = []
    notices: t.Annotated[list["NoticeUpdate"], _Reports] = []
    cold_targets: t.Annotated[list["ColdUpdate"], _Reports] = []
    failures: t.Annotated[list["FailureUpdate"], _Reports] = []
    store_era: _Count = 0  # of the store's revision


class WorkItemUpdate(msgspec.Struct, array_like=True):
    """A work item in a datagram.

    Times are in seconds, instants relative to the time of sending.
    """

    number: _Count
    target: str
    tokens: _Count
    prefill_time: _Duration
    memory: _Count
    context_tokens: _Amount
    generates_answer: bool
    events_left: _Count
    max_gap: _Duration
    value: _Amount
    placed_ago: _Offset
    prefill_end_in: _Offset
    objective_in: _Offset
    preempting: bool
    decoding: bool
    missed_objective: bool


class RateLimitUpdate(msgspec.Struct, array_like=True):
    """A target's rate limit in a datagram; times are in seconds."""

    target: str
    rate: _Rate  # requests per second, infinite for no limit
    named_ago: _Offset
    incarnation: str = ""  # empty if an entry of an earlier version reports it


class CrashUpdate(msgspec.Struct, array_like=True):
    """A target's crash in a datagram; times are in seconds."""

    target: str
    incarnation: str
    traits: list[str]
    seen_ago: _Offset


class AnsweredUpdate(msgspec.Struct, array_like=True):
    """Answered traits in a datagram; times are in seconds."""

    traits: list[str]
    answered_ago: _Offset


class QuarantineUpdate(msgspec.Struct, array_like=True):
    """A quarantine in a datagram; times are in seconds."""

    traits: list[str]
    began_ago: _Offset
    trial_in: _Offset
    trial_count: _Count
    refused_ago: _Offset


class NoticeUpdate(msgspec.Struct, array_like=True):
    """What a target told the owner, in a datagram; times are in seconds."""

    target: str
    incarnation: str
    backoff_left: _Duration
    leaving: bool


class ColdUpdate(msgspec.Struct, array_like=True):
    """A cold target in a datagram; times are in seconds."""

    target: str
    incarnation: str
    cold_time_left: _Offset


class FailureUpdate(msgspec.Struct, array_like=True):
    """Failures of a target in a datagram; times are in seconds."""

    target: str
    incarnation: str
    weight: _Amount
    began_ago: _Offset
    seen_ago: _Offset


class _RelayDatagram(msgspec.Struct, array_like=True):
    owner: str
    revision: _Count
    after: _Count
    part: _Count
    part_count: _Count
    data: bytes
    regained_ago: _Duration | None
    era: _Count = 0  # of both revisions
    sent_at: _Offset | None = None  # by the owner's clock


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(PeerUpdate)
_relay_decoder = msgspec.msgpack.Decoder(_RelayDatagram)
DecodedT = t.TypeVar("DecodedT")


def encode(
    owner: str, update: UpdatePeers, store_revision: StoreRevision, now: float
) -> list[bytes]:
    """Return the datagrams of an update from an entry."""
    revision = store_revision.number
    items = [_encode_item(item, now) for item in update.work_items]
    numbers = [key.number for key in update.ended]
    first = PeerUpdate(
        owner, items[:MAX_WORK_ITEMS], numbers, list(update.unreachable), revision
    )
    updates = [first]
    for start in range(MAX_WORK_ITEMS, len(items), MAX_WORK_ITEMS):
        batch = items[start : start + MAX_WORK_ITEMS]
        updates.append(PeerUpdate(owner, batch, [], [], revision))
    for start in range(0, len(update.rate_limits), MAX_RATE_LIMITS):
        limits = update.rate_limits[start : start + MAX_RATE_LIMITS]
        updates.append(_encode_limits(owner, limits, revision, now))
    for start in range(0, len(update.notices), MAX_NOTICES):
        notices = update.notices[start : start + MAX_NOTICES]
        updates.append(_encode_notices(owner, notices, revision, now))
    for start in range(0, len(update.cold_targets), MAX_COLD_TARGETS):
        reports = update.cold_targets[start : start + MAX_COLD_TARGETS]
        updates.append(_encode_cold_targets(owner, reports, revision, now))
    for start in range(0, len(update.failures), MAX_FAILURES):
        failures = update.failures[start : start + MAX_FAILURES]
        updates.append(_encode_failures(owner, failures, revision, now))
    updates += _encode_quarantine(owner, update, revision, now)
    if len(updates) > 1 and not (items or numbers or update.unreachable):
        del updates[0]
    for update in updates:
        update.store_era = store_revision.era
    return [_encoder.encode(update) for update in updates]


def decode(data: bytes, now: float) -> PeerUpdateReceived:
    """Decode a datagram.

    :raises msgspec.MsgspecError: if it is not a peer's update
    """
    update = _decode(_decoder, data)
    owner = update.owner
    # Entries of earlier versions only understand that a limited, excluded or
    # cold target is unreachable.
    known_targets = {limit.target for limit in update.rate_limits}
    known_targets.update(notice.target for notice in update.notices)
    known_targets.update(report.target for report in update.cold_targets)
    return PeerUpdateReceived(
        owner,
        tuple(_decode_item(owner, item, now) for item in update.work_items),
        tuple(WorkItemKey(owner, number) for number in update.ended),
        tuple(id for id in update.unreachable if id not in known_targets),
        StoreRevision(update.store_era, update.store_revision),
        tuple(
            RateLimitReport(
                limit.target, limit.rate, now - limit.named_ago, limit.incarnation
            )
            for limit in update.rate_limits
        ),
        tuple(
            CrashReport(
                AgentId(crash.target, crash.incarnation),
                tuple(crash.traits),
                now - crash.seen_ago,
            )
            for crash in update.crashes
        ),
        tuple(
            TraitsAnswered(tuple(answer.traits), now - answer.answered_ago)
            for answer in update.answered
        ),
        tuple(
            QuarantineReport(
                tuple(quarantine.traits),
                now - quarantine.began_ago,
                now + quarantine.trial_in,
                quarantine.trial_count,
                now - quarantine.refused_ago,
            )
            for quarantine in update.quarantines
        ),
        tuple(
            TargetNotice(
                AgentId(notice.target, notice.incarnation),
                now + notice.backoff_left,
                notice.leaving,
            )
            for notice in update.notices
        ),
        tuple(
            ColdReport(
                AgentId(report.target, report.incarnation),
                now + report.cold_time_left,
            )
            for report in update.cold_targets
        ),
        tuple(
            FailureReport(
                AgentId(report.target, report.incarnation),
                report.weight,
                now - report.began_ago,
                now - report.seen_ago,
            )
            for report in update.failures
        ),
    )


def _encode_limits(
    owner: str, limits: t.Sequence[RateLimitReport], revision: int, now: float
) -> PeerUpdate:
    # Entries of an earlier version know no limits, but they avoid targets that
    # are reported as unreachable.
    unreachable = [limit.target for limit in limits if limit.rate < math.inf]
    updates = [
        RateLimitUpdate(
            limit.target, limit.rate, now - limit.named_at, limit.incarnation
        )
        for limit in limits
    ]
    return PeerUpdate(owner, [], [], unreachable, revision, updates)


def _encode_notices(
    owner: str, notices: t.Sequence[TargetNotice], revision: int, now: float
) -> PeerUpdate:
    # Entries of an earlier version know no notices, but avoid unreachable
    # targets.
    unreachable = [notice.target.target for notice in notices]
    updates = [
        NoticeUpdate(
            notice.target.target,
            notice.target.incarnation,
            max(notice.backoff_until - now, 0.0),
            notice.leaving,
        )
        for notice in notices
    ]
    return PeerUpdate(owner, [], [], unreachable, revision, notices=updates)


def _encode_cold_targets(
    owner: str, reports: t.Sequence[ColdReport], revision: int, now: float
) -> PeerUpdate:
    # Entries of an earlier version know no cold targets, but avoid unreachable
    # ones.
    unreachable = [report.target.target for report in reports]
    updates = [
        ColdUpdate(
            report.target.target,
            report.target.incarnation,
            max(report.cold_until - now, 0.0),
        )
        for report in reports
    ]
    return PeerUpdate(owner, [], [], unreachable, revision, cold_targets=updates)


def _encode_failures(
    owner: str, reports: t.Sequence[FailureReport], revision: int, now: float
) -> PeerUpdate:
    # A failing target is not unreachable to entries of an earlier version: one
    # failure is too little for that.
    updates = [
        FailureUpdate(
            report.target.target,
            report.target.incarnation,
            report.weight,
            now - report.began_at,
            now - report.seen_at,
        )
        for report in reports
    ]
    return PeerUpdate(owner, [], [], [], revision, failures=updates)


def _encode_quarantine(
    owner: str, update: UpdatePeers, revision: int, now: float
) -> t.Iterator[PeerUpdate]:
    """Yield a datagram for each report, whose traits may fill it."""

    def create(**fields: t.Any) -> PeerUpdate:
        return PeerUpdate(owner, [], [], [], revision, **fields)

    for crash in update.crashes:
        yield create(
            crashes=[
                CrashUpdate(
                    crash.target.target,
                    crash.target.incarnation,
                    list(crash.traits),
                    now - crash.seen_at,
                )
            ]
        )
    for answer in update.answered:
        yield create(
            answered=[AnsweredUpdate(list(answer.traits), now - answer.answered_at)]
        )
    for quarantine in update.quarantines:
        yield create(
            quarantines=[
                QuarantineUpdate(
                    list(quarantine.traits),
                    now - quarantine.since,
                    quarantine.next_trial_at - now,
                    quarantine.trial_count,
                    now - quarantine.last_refused_at,
                )
            ]
        )


def encode_relay(update: RelayUpdate, now: float | None = None) -> bytes:
    """Return the datagram of an update of the relay that is sent now."""
    datagram = _RelayDatagram(
        update.owner,
        update.revision.number,
        update.after,
        update.part,
        update.part_count,
        update.data,
        update.regained_ago,
        update.revision.era,
        now,
    )
    return RELAY_MARK + _encoder.encode(datagram)


def decode_relay(data: bytes) -> RelayUpdate:
    """Decode a datagram of the relay.

    :raises msgspec.MsgspecError: if it is not one
    """
    datagram = _decode(_relay_decoder, data.removeprefix(RELAY_MARK))
    return RelayUpdate(
        owner=datagram.owner,
        revision=StoreRevision(datagram.era, datagram.revision),
        after=datagram.after,
        part=datagram.part,
        part_count=datagram.part_count,
        data=datagram.data,
        regained_ago=datagram.regained_ago,
        sent_at=datagram.sent_at,
    )


def _decode(decoder: "msgspec.msgpack.Decoder[DecodedT]", data: bytes) -> DecodedT:
    try:
        return decoder.decode(data)
    except RecursionError as error:  # in a field of a later version
        raise msgspec.DecodeError(str(error)) from None


def _encode_item(work: WorkItem, now: float) -> WorkItemUpdate:
    return WorkItemUpdate(
        work.key.number,
        work.target,
        work.tokens,
        work.prefill_time,
        work.memory,
        work.context_tokens,
        work.generates_answer,
        work.events_left,
        work.max_gap,
        work.value,
        now - work.placed_at,
        work.expected_prefill_end - now,
        work.objective_at - now,
        work.preempting,
        work.decoding,
        work.missed_objective,
    )


def _decode_item(owner: str, part: WorkItemUpdate, now: float) -> WorkItem:
    return WorkItem(
        WorkItemKey(owner, part.number),
        part.target,
        tokens=part.tokens,
        prefill_time=part.prefill_time,
        memory=part.memory,
        context_tokens=part.context_tokens,
        generates_answer=part.generates_answer,
        events_left=part.events_left,
        max_gap=part.max_gap,
        value=part.value,
        placed_at=now - part.placed_ago,
        expected_prefill_end=now + part.prefill_end_in,
        objective_at=now + part.objective_in,
        preempting=part.preempting,
        decoding=part.decoding,
        missed_objective=part.missed_objective,
    )
