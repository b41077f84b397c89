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
    """Attaches an agent to one entry at a time, to receive the catalogue."""

    def __init__(
        self, local_member: Member, seeds: t.Iterable[Member], now: float
    ) -> None:
        self.local_member = local_member
        self.replica = Replica()
        self.entry: Member | None = None
        self._seeds = {member.name: member for member in seeds}
        self._entries = dict(self._seeds)
        self._waiting_since = now
        self._next_heartbeat = now
        self._rotation = 0

    @property
    def revision(self) -> int:
        """Return the revision of the catalogue in force here."""
        return self.replica.revision

    @property
    def attached(self) -> bool:
        """Return whether an entry has answered."""
        return self.entry is not None

    def tick(self, now: float) -> list[CatalogueCommand]:
        """Return the heartbeat if it is due."""
        if now - self._waiting_since > ENTRY_TIMEOUT:
            self._switch_entry(now)
        if now < self._next_heartbeat:
            return []
        self._next_heartbeat = now + HEARTBEAT_PERIOD
        entry = self._choose_entry()
        return (
            [self._send_message(entry, AgentHeartbeat(self.local_member))]
            if entry is not None
            else []
        )

    def receive(self, message: CatalogueMessage, now: float) -> list[CatalogueCommand]:
        """Apply a message and return the commands to execute."""
        match message:
            case EntryRoster(sender=sender, entries=entries):
                self._attach(sender, entries, now)
                return self._pull_if_behind(sender)
            case CataloguePush():
                return self._apply_push(message)
        return []

    def leave(self, now: float) -> list[CatalogueCommand]:
        """Return the message that announces that this agent leaves."""
        self.local_member = dataclasses.replace(
            self.local_member, state=MemberState.LEFT
        )
        return (
            [self._send_message(self.entry, AgentHeartbeat(self.local_member))]
            if self.entry
            else []
        )

    def _attach(self, sender: Member, entries: tuple[Member, ...], now: float) -> None:
        self._waiting_since = now
        self.entry = sender
        self._entries[sender.name] = sender
        if entries:
            self._entries = {member.name: member for member in (sender, *entries)}

    def _switch_entry(self, now: float) -> None:
        if self.entry is not None:
            self._entries.pop(self.entry.name, None)
            self._entries = self._entries or dict(self._seeds)
        self.entry = None
        self._waiting_since = now
        self._next_heartbeat = now
        self._rotation += 1

    def _choose_entry(self) -> Member | None:
        if self.entry is not None:
            return self.entry
        ranked = sorted(
            self._entries.values(),
            key=lambda member: (
                member.failure_domain != self.local_member.failure_domain,
                rank(self.local_member.name, member.name),
            ),
        )
        return ranked[self._rotation % len(ranked)] if ranked else None

    def _pull_if_behind(self, peer: Member) -> list[CatalogueCommand]:
        if peer.revision <= self.revision:
            return []
        return [
            self._send_message(peer, CataloguePull(self.local_member, self.revision))
        ]

    def _apply_push(self, push: CataloguePush) -> list[CatalogueCommand]:
        install = self.replica.update(push.changes, push.state)
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
            commands.append(self._send_message(push.sender, applied))
        else:
            commands.append(
                self._send_message(
                    push.sender, CataloguePull(self.local_member, self.revision)
                )
            )
        return commands

    def _send_message(self, member: Member, message: CatalogueMessage) -> SendMessage:
        return SendMessage(member.name, member.address, message)
