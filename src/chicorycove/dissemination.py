"""How a revision of the catalogue comes to every process.

A change goes from the entry that accepted it to one relay a failure domain,
from there to the domain's entries, and from each to the agents attached to
it; what has been applied is counted back along the same way.  Whoever hears
of a newer revision than its own asks for it.  All times are in seconds.
"""

import dataclasses

from .catalogue_message import (
    AgentHeartbeat,
    CatalogueCommand,
    CatalogueMessage,
    CataloguePull,
    CataloguePush,
    EntryRoster,
    LaggingProcess,
    PushScope,
    ReportSpread,
    RevisionApplied,
)
from .change import Change, State
from .membership import (
    Member,
    Membership,
    MemberState,
    Probe,
    Role,
    SendMessage,
    rank,
)
from .replica import Replica

RESEND_AFTER = 0.3
RELAY_TIMEOUT = 1.2  # before the next relay of a failure domain is tried
AGENT_TIMEOUT = 1.0  # for an entry's agents to apply a change
DOMAIN_TIMEOUT = 1.8  # for a relay's domain
SPREAD_TIMEOUT = 2.8  # for everyone
PULL_TIMEOUT = 0.3
HEARTBEAT_PERIOD = 0.5
SILENCE_TIMEOUT = 1.6  # without an answer, an agent goes to another entry
HEARTBEAT_TIMEOUT = 2.5  # without a heartbeat, the other end of an attachment is gone
ROSTER_SIZE = 10  # entries that an agent is told of
MAX_LAGGARDS = 16  # named in one report


@dataclasses.dataclass(slots=True)
class _Job:
    """A revision being passed on to those below this process."""

    revision: int
    scope: PushScope
    deadline: float
    resend_at: float
    waiting: dict[str, Member]
    parents: dict[str, Member] = dataclasses.field(default_factory=dict)
    reported: bool = False  # to this process, which accepted the change
    relay_at: float = float("inf")
    members: int = 1
    laggards: list[LaggingProcess] = dataclasses.field(default_factory=list)
    tried: set[str] = dataclasses.field(default_factory=set)


class EntryPeer:
    """An entry's part in membership and dissemination."""

    def __init__(self, membership: Membership) -> None:
        self.membership = membership
        self.replica = Replica()
        self.agents: dict[str, Member] = {}
        self._heartbeats: dict[str, float] = {}
        self._jobs: dict[tuple[int, PushScope], _Job] = {}
        self._pulled_at: dict[str, float] = {}

    @property
    def revision(self) -> int:
        """Return the revision in force here."""
        return self.replica.revision

    def tick(self, now: float) -> list[CatalogueCommand]:
        """Return what is due."""
        commands: list[CatalogueCommand] = [*self.membership.tick(now)]
        for name, seen in list(self._heartbeats.items()):
            if now - seen > HEARTBEAT_TIMEOUT:
                self._detach(name)
        for job in list(self._jobs.values()):
            commands += self._continue(job, now)
        return commands

    def receive(self, message: CatalogueMessage, now: float) -> list[CatalogueCommand]:
        """Take a message in, and return what to do."""
        match message:
            case Probe():
                return [
                    *self.membership.receive(message, now),
                    *self._compare(message.sender, now),
                ]
            case CataloguePush():
                return self._pushed(message, now)
            case CataloguePull(sender=sender, have=have):
                return self._answer_pull(sender, have)
            case RevisionApplied():
                return self._applied(message, now)
            case AgentHeartbeat(sender=sender):
                return self._note_heartbeat(sender, now)
        return []

    def accepted(
        self, changes: tuple[Change, ...], state: State, now: float
    ) -> list[CatalogueCommand]:
        """Spread a change that this entry has just had accepted."""
        commands = self._install(changes, state)
        return commands + self._spread_everywhere(state.revision, now)

    def stored(
        self, changes: tuple[Change, ...], state: State, now: float
    ) -> list[CatalogueCommand]:
        """Spread in the failure domain what this entry read from the store."""
        commands = self._install(changes, state)
        if commands:
            commands += self._start(state.revision, PushScope.DOMAIN, None, now)
        return commands

    def spread(self, now: float) -> list[CatalogueCommand]:
        """Spread the revision in force, to learn who lags."""
        return self._spread_everywhere(self.revision, now)

    def _install(
        self, changes: tuple[Change, ...], state: State | None
    ) -> list[CatalogueCommand]:
        install = self.replica.update(changes)
        if state is not None and state.revision > self.revision:
            install = self.replica.update((), state)
        if install is None:
            return []
        self.membership.set_revision(self.revision)
        return [install]

    def _compare(self, peer: Member, now: float) -> list[CatalogueCommand]:
        """Ask a peer that is ahead for what is missing."""
        asked = self._pulled_at.get(peer.name, float("-inf"))
        if peer.revision <= self.revision or now - asked < PULL_TIMEOUT:
            return []
        self._pulled_at[peer.name] = now
        return [self._tell(peer, CataloguePull(self.membership.me, self.revision))]

    def _answer_pull(self, sender: Member, have: int) -> list[CatalogueCommand]:
        if have >= self.revision:
            return []
        return [self._tell(sender, self._push(PushScope.NONE, have))]

    def _push(self, scope: PushScope, have: int) -> CataloguePush:
        changes, state = self.replica.changes_since(have)
        return CataloguePush(self.membership.me, self.revision, scope, changes, state)

    def _pushed(self, push: CataloguePush, now: float) -> list[CatalogueCommand]:
        commands = self._install(push.changes, push.state)
        if commands and push.scope is PushScope.NONE:
            commands += self._start(self.revision, PushScope.AGENTS, None, now)
        if push.scope is not PushScope.NONE:
            commands += self._start(push.revision, push.scope, push.sender, now)
        return commands + self._compare_push(push, now) + self._settle_all()

    def _compare_push(self, push: CataloguePush, now: float) -> list[CatalogueCommand]:
        if push.revision <= self.revision:
            return []
        ahead = dataclasses.replace(push.sender, revision=push.revision)
        return self._compare(ahead, now)

    def _start(
        self, revision: int, scope: PushScope, parent: Member | None, now: float
    ) -> list[CatalogueCommand]:
        parents = {} if parent is None else {parent.name: parent}
        job = self._jobs.get((revision, scope))
        if job is not None:
            job.parents |= parents
            return []
        below = dict(self.agents)
        timeout = AGENT_TIMEOUT
        if scope is PushScope.DOMAIN:
            timeout = DOMAIN_TIMEOUT
            domain = self.membership.me.failure_domain
            below |= {m.name: m for m in self.membership.relays(domain)}
            below.pop(self.membership.me.name, None)
        deadline, resend_at = now + timeout, now + RESEND_AFTER
        job = _Job(revision, scope, deadline, resend_at, below, parents)
        self._jobs[revision, scope] = job
        return self._send(job)

    def _spread_everywhere(self, revision: int, now: float) -> list[CatalogueCommand]:
        domains = {m.failure_domain for m in self.membership.alive()}
        mine = self.membership.me.failure_domain
        commands = self._start(revision, PushScope.DOMAIN, None, now)
        job = self._jobs[revision, PushScope.DOMAIN]
        job.reported = True
        job.deadline = now + SPREAD_TIMEOUT
        job.relay_at = now + RELAY_TIMEOUT
        for domain in sorted(domains - {mine}):
            commands += self._push_to_relay(job, domain)
        return commands + self._settle(job)

    def _push_to_relay(self, job: _Job, domain: str) -> list[CatalogueCommand]:
        """Hand a revision to the next relay of a domain."""
        members = self.membership.relays(domain)
        relay = next((m for m in members if m.name not in job.tried), None)
        if relay is None:
            return []
        job.tried.add(relay.name)
        job.waiting[relay.name] = relay
        return [self._tell(relay, self._push(PushScope.DOMAIN, job.revision - 1))]

    def _send(self, job: _Job) -> list[CatalogueCommand]:
        commands: list[CatalogueCommand] = []
        pushes: dict[PushScope, CataloguePush] = {}
        for name, member in job.waiting.items():
            if name in job.tried:
                continue
            scope = _scope_below(job, member)
            if scope not in pushes:
                pushes[scope] = self._push(scope, job.revision - 1)
            commands.append(self._tell(member, pushes[scope]))
        return commands

    def _applied(self, message: RevisionApplied, now: float) -> list[CatalogueCommand]:
        commands: list[CatalogueCommand] = []
        self._note_agent(message.sender)
        for job in list(self._jobs.values()):
            waited = job.waiting.get(message.sender.name)
            if waited is None or message.revision < job.revision:
                continue
            if message.scope is not _scope_below(job, waited):
                continue
            del job.waiting[message.sender.name]
            job.members += message.members
            job.laggards += message.laggards
            self._drop_substitutes(job, waited)
            commands += self._settle(job)
        return commands

    def _drop_substitutes(self, job: _Job, member: Member) -> None:
        """Wait no longer for the other relays tried for the same domain."""
        if member.name not in job.tried:
            return
        for name in job.tried & job.waiting.keys():
            if job.waiting[name].failure_domain == member.failure_domain:
                del job.waiting[name]

    def _settle_all(self) -> list[CatalogueCommand]:
        commands: list[CatalogueCommand] = []
        for job in list(self._jobs.values()):
            commands += self._settle(job)
        return commands

    def _settle(self, job: _Job) -> list[CatalogueCommand]:
        """End a job that is complete."""
        if job.waiting or self.revision < job.revision:
            return []
        return self._end(job)

    def _continue(self, job: _Job, now: float) -> list[CatalogueCommand]:
        if now >= job.deadline:
            return self._end(job)
        for name in [name for name in job.waiting if self._gone(name)]:
            del job.waiting[name]
        commands = self._settle(job)
        if (job.revision, job.scope) not in self._jobs:
            return commands
        if now >= job.resend_at:
            job.resend_at = now + RESEND_AFTER
            commands += self._send(job)
        if now >= job.relay_at:
            job.relay_at = now + RELAY_TIMEOUT
            tried = [m for n, m in job.waiting.items() if n in job.tried]
            for domain in sorted({member.failure_domain for member in tried}):
                commands += self._push_to_relay(job, domain)
        return commands

    def _gone(self, name: str) -> bool:
        """Tell whether a process has ended since it was sent a change."""
        if name in self.agents:
            return False
        member = self.membership.members.get(name)
        return member is None or member.state in (MemberState.DEAD, MemberState.LEFT)

    def _end(self, job: _Job) -> list[CatalogueCommand]:
        self._jobs.pop((job.revision, job.scope), None)
        laggards = [
            LaggingProcess(member.name, member.revision, self._cause(member))
            for member in job.waiting.values()
        ]
        if self.revision < job.revision:
            name = self.membership.me.name
            laggards.append(LaggingProcess(name, self.revision, "not applied"))
        laggards = (*job.laggards, *laggards)[:MAX_LAGGARDS]
        members = job.members + len(job.waiting)
        me = self.membership.me
        message = RevisionApplied(me, job.revision, job.scope, members, laggards)
        commands: list[CatalogueCommand] = [
            self._tell(parent, message) for parent in job.parents.values()
        ]
        if job.reported:
            commands.append(ReportSpread(job.revision, members, laggards))
        return commands

    def _cause(self, member: Member) -> str:
        known = self.membership.members.get(member.name, member)
        if known.state is MemberState.ALIVE:
            return "no answer in time"
        return known.state.name.lower()

    def _note_heartbeat(self, sender: Member, now: float) -> list[CatalogueCommand]:
        if sender.state is MemberState.LEFT:
            self._detach(sender.name)
            return self._settle_all()
        known = self.agents.get(sender.name)
        if known is None or sender.incarnation >= known.incarnation:
            self.agents[sender.name] = sender
            self._heartbeats[sender.name] = now
        roster = EntryRoster(self.membership.me, self._roster(sender, known is None))
        commands: list[CatalogueCommand] = [self._tell(sender, roster)]
        if sender.revision < self.revision:
            push = self._push(PushScope.NONE, sender.revision)
            commands.append(self._tell(sender, push))
        return commands

    def _roster(self, agent: Member, full: bool) -> tuple[Member, ...]:
        """Return where an agent may go, its own failure domain first."""
        if not full:
            return ()
        members = sorted(
            self.membership.alive(),
            key=lambda m: (
                m.failure_domain != agent.failure_domain,
                rank(agent.name, m.name),
            ),
        )
        half = ROSTER_SIZE // 2
        near = members[:half]
        far = sorted(members[half:], key=lambda m: rank(agent.name, m.name))
        return (*near, *far[:half])

    def _note_agent(self, sender: Member) -> None:
        if sender.name in self.agents:
            self.agents[sender.name] = sender

    def _detach(self, name: str) -> None:
        self.agents.pop(name, None)
        self._heartbeats.pop(name, None)
        for job in self._jobs.values():
            job.waiting.pop(name, None)

    def _tell(self, member: Member, message: CatalogueMessage) -> SendMessage:
        return SendMessage(member.name, member.address, message)


def _scope_below(job: _Job, member: Member) -> PushScope:
    """Return how far a member is to pass on what a job sends it."""
    if member.role is Role.AGENT:
        return PushScope.NONE
    return PushScope.DOMAIN if member.name in job.tried else PushScope.AGENTS
