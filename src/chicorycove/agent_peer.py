"""An agent's part in the dissemination of the catalogue."""

import dataclasses
import typing as t

from .catalogue_message import (
    AgentHeartbeat,
    CatalogueCommand,
    CatalogueMessage,
    CataloguePull,
    CataloguePush,
    EntryRoster,
    PushScope,
    RevisionApplied,
)
from .dissemination import ENTRY_TIMEOUT, HEARTBEAT_PERIOD
from .membership import Member, MemberState, SendMessage, rank
from .replica import Replica


class AgentPeer:
    """An agent's part: attached to one entry, it knows where else to go."""

    def __init__(
        self, local_member: Member, seeds: t.Iterable[Member], now: float
    ) -> None:
        self.local_member = local_member
        self.replica = Replica()
        self.entry: Member | None = None
        self._seeds = {member.name: member for member in seeds}
        self._entries = dict(self._seeds)
        self._heard_at = now
        self._next_heartbeat = now
        self._tried = 0

    @property
    def revision(self) -> int:
        """Return the revision in force here."""
        return self.replica.revision

    @property
    def attached(self) -> bool:
        """Tell whether an entry has answered."""
        return self.entry is not None

    def tick(self, now: float) -> list[CatalogueCommand]:
        """Return the heartbeat that is due."""
        if now - self._heard_at > ENTRY_TIMEOUT:
            self._give_up(now)
        if now < self._next_heartbeat:
            return []
        self._next_heartbeat = now + HEARTBEAT_PERIOD
        entry = self._choice()
        return (
            [self._tell(entry, AgentHeartbeat(self.local_member))]
            if entry is not None
            else []
        )

    def receive(self, message: CatalogueMessage, now: float) -> list[CatalogueCommand]:
        """Take a message in, and return what to do."""
        match message:
            case EntryRoster(sender=sender, entries=entries):
                self._attach(sender, entries, now)
                return self._compare(sender)
            case CataloguePush():
                return self._pushed(message)
        return []

    def leave(self, now: float) -> list[CatalogueCommand]:
        """Tell the entry that this agent leaves."""
        self.local_member = dataclasses.replace(
            self.local_member, state=MemberState.LEFT
        )
        return (
            [self._tell(self.entry, AgentHeartbeat(self.local_member))]
            if self.entry
            else []
        )

    def _attach(self, sender: Member, entries: tuple[Member, ...], now: float) -> None:
        self._heard_at = now
        self.entry = sender
        self._entries[sender.name] = sender
        if entries:
            self._entries = {m.name: m for m in (sender, *entries)}

    def _give_up(self, now: float) -> None:
        if self.entry is not None:
            self._entries.pop(self.entry.name, None)
            self._entries = self._entries or dict(self._seeds)
        self.entry = None
        self._heard_at = now
        self._next_heartbeat = now
        self._tried += 1

    def _choice(self) -> Member | None:
        if self.entry is not None:
            return self.entry
        ranked = sorted(
            self._entries.values(),
            key=lambda m: (
                m.failure_domain != self.local_member.failure_domain,
                rank(self.local_member.name, m.name),
            ),
        )
        return ranked[self._tried % len(ranked)] if ranked else None

    def _compare(self, peer: Member) -> list[CatalogueCommand]:
        if peer.revision <= self.revision:
            return []
        return [self._tell(peer, CataloguePull(self.local_member, self.revision))]

    def _pushed(self, push: CataloguePush) -> list[CatalogueCommand]:
        install = self.replica.offer(push.changes, push.state)
        commands: list[CatalogueCommand] = []
        if install is not None:
            self.local_member = dataclasses.replace(
                self.local_member, revision=self.revision
            )
            commands.append(install)
        if self.revision >= push.revision:
            applied = RevisionApplied(
                self.local_member, self.revision, PushScope.NONE, 1
            )
            commands.append(self._tell(push.sender, applied))
        else:
            commands.append(
                self._tell(push.sender, CataloguePull(self.local_member, self.revision))
            )
        return commands

    def _tell(self, member: Member, message: CatalogueMessage) -> SendMessage:
        return SendMessage(member.name, member.address, message)
