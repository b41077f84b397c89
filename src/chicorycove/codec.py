"""Encodes messages between peers as protobuf messages and decodes them."""

import functools

from .catalogue_message import (
    AgentHeartbeat,
    CatalogueMessage,
    CataloguePull,
    CataloguePush,
    EntryRoster,
    LaggingProcess,
    PushScope,
    RevisionApplied,
)
from .change import (
    Change,
    State,
    decode_change,
    decode_state,
    encode_change,
    encode_state,
)
from .membership import Member, MemberState, Probe, ProbeKind, Role
from .wire import peer_pb2 as pb

ROLES = tuple(Role)


def encode(message: CatalogueMessage) -> pb.PeerMessage:
    """Encode a message as protobuf."""
    match message:
        case Probe():
            return pb.PeerMessage(probe=_encode_probe(message))
        case CataloguePush():
            return pb.PeerMessage(push=_encode_push(message))
        case CataloguePull(sender=sender, have=have):
            pull = pb.PeerPull(sender=_encode_member(sender), have=have)
            return pb.PeerMessage(pull=pull)
        case RevisionApplied():
            return pb.PeerMessage(applied=_encode_applied(message))
        case AgentHeartbeat(sender=sender):
            heartbeat = pb.PeerHeartbeat(sender=_encode_member(sender))
            return pb.PeerMessage(heartbeat=heartbeat)
        case EntryRoster(sender=sender, entries=entries):
            roster = pb.PeerRoster(
                sender=_encode_member(sender), entries=map(_encode_member, entries)
            )
            return pb.PeerMessage(roster=roster)


def decode(wire: pb.PeerMessage) -> CatalogueMessage:
    """Decode a message from protobuf.

    :raises ValueError: if the kind of the message is unknown
    """
    match wire.WhichOneof("message"):
        case "probe":
            return _decode_probe(wire.probe)
        case "push":
            return _decode_push(wire.push)
        case "pull":
            return CataloguePull(_decode_member(wire.pull.sender), wire.pull.have)
        case "applied":
            return _decode_applied(wire.applied)
        case "heartbeat":
            return AgentHeartbeat(_decode_member(wire.heartbeat.sender))
        case "roster":
            entries = tuple(map(_decode_member, wire.roster.entries))
            return EntryRoster(_decode_member(wire.roster.sender), entries)
        case other:
            raise ValueError(f"unknown kind of peer message: {other}")


def _encode_member(member: Member) -> pb.PeerMember:
    return pb.PeerMember(
        name=member.name,
        address=member.address,
        role=ROLES.index(member.role),
        region=member.region,
        failure_domain=member.failure_domain,
        incarnation=member.incarnation,
        state=member.state.value,
        revision=member.revision,
    )


def _decode_member(wire: pb.PeerMember) -> Member:
    return Member(
        wire.name,
        wire.address,
        ROLES[wire.role],
        wire.region,
        wire.failure_domain,
        wire.incarnation,
        MemberState(wire.state),
        wire.revision,
    )


def _encode_probe(probe: Probe) -> pb.PeerProbe:
    return pb.PeerProbe(
        kind=probe.kind.value,
        number=probe.number,
        sender=_encode_member(probe.sender),
        target=probe.target,
        updates=map(_encode_member, probe.updates),
        store_age=probe.store_age,
    )


def _decode_probe(wire: pb.PeerProbe) -> Probe:
    return Probe(
        ProbeKind(wire.kind),
        wire.number,
        _decode_member(wire.sender),
        wire.target,
        tuple(map(_decode_member, wire.updates)),
        wire.store_age if wire.HasField("store_age") else None,
    )


def _encode_push(push: CataloguePush) -> pb.PeerPush:
    return pb.PeerPush(
        sender=_encode_member(push.sender),
        revision=push.revision,
        scope=push.scope.value,
        changes=[_encode_change_cached(change.id, change) for change in push.changes],
        state=None if push.state is None else _encode_state_cached(push.state),
    )


def _decode_push(wire: pb.PeerPush) -> CataloguePush:
    return CataloguePush(
        _decode_member(wire.sender),
        wire.revision,
        PushScope(wire.scope),
        tuple(map(decode_change, wire.changes)),
        decode_state(wire.state) if wire.HasField("state") else None,
    )


class _CacheItem:
    """A value that a cache looks up by its key."""

    def __init__(self, key, value) -> None:
        self.key = key
        self.value = value

    def __eq__(self, other) -> bool:
        return self.key == other.key

    def __hash__(self) -> int:
        return hash(self.key)


def _encode_change_cached(id: str, change: Change) -> bytes:
    return _cached_change(_CacheItem((id, change.revision, change.accepted_at), change))


def _encode_state_cached(state: State) -> bytes:
    return _cached_state(_CacheItem(id(state), state))


@functools.lru_cache(maxsize=256)
def _cached_change(item: _CacheItem) -> bytes:
    return encode_change(item.value)


@functools.lru_cache(maxsize=1)
def _cached_state(item: _CacheItem) -> bytes:
    return encode_state(item.value)


def _encode_applied(applied: RevisionApplied) -> pb.PeerApplied:
    laggards = [
        pb.PeerLaggard(
            name=laggard.name, revision=laggard.revision, cause=laggard.cause
        )
        for laggard in applied.laggards
    ]
    return pb.PeerApplied(
        sender=_encode_member(applied.sender),
        revision=applied.revision,
        scope=applied.scope.value,
        members=applied.members,
        laggards=laggards,
    )


def _decode_applied(wire: pb.PeerApplied) -> RevisionApplied:
    laggards = tuple(
        LaggingProcess(laggard.name, laggard.revision, laggard.cause)
        for laggard in wire.laggards
    )
    return RevisionApplied(
        _decode_member(wire.sender),
        wire.revision,
        PushScope(wire.scope),
        wire.members,
        laggards,
    )
