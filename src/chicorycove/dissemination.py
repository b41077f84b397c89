"""Spreads revisions of the catalogue to every process.

A change goes from the entry that accepted it to one relay in each failure
domain, from there to the domain's entries, and from each entry to the agents
attached to it.  Confirmations return along the same path.  A process that
receives a message with a newer revision than its own pulls what it lacks.
All times are in seconds.
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
RELAY_TIMEOUT = 1.2  # until the next relay of a failure domain is tried
AGENT_TIMEOUT = 1.0  # for the agents of an entry to apply a change
DOMAIN_TIMEOUT = 1.8  # for the failure domain of a relay to apply it
SPREAD_TIMEOUT = 2.8  # for all processes to apply it
PULL_TIMEOUT = 0.3
HEARTBEAT_PERIOD = 0.5
ENTRY_TIMEOUT = 1.6  # without an answer, an agent attaches to another entry
HEARTBEAT_TIMEOUT = 2.5  # without a heartbeat, an agent is detached
ROSTER_SIZE = 10  # entries listed for an agent
MAX_LAGGARDS = 16  # in one report


@dataclasses.dataclass(slots=True)
class _SpreadJob:
    """A revision on its way to the processes downstream of this one."""

    revision: int
    scope: PushScope
    deadline: float
    next_resend_at: float
    waiting: dict[str, Member]  # without a confirmation yet
    parents: dict[str, Member] = dataclasses.field(default_factory=dict)
    is_origin: bool = False  # this entry accepted the change
    next_relay_at: float = float("inf")
    process_count: int = 1  # this process and those counted in confirmations
    laggards: list[LaggingProcess] = dataclasses.field(default_factory=list)
    tried_relays: set[str] = dataclasses.field(default_factory=set)


class EntryPeer:
    """The membership and dissemination logic of an entry."""

    def __init__(self, membership: Membership) -> None:
        self.membership = membership
        self.replica = Replica()
        self.agents: dict[str, Member] = {}
        self._last_heartbeats: dict[str, float] = {}
        self._jobs: dict[tuple[int, PushScope], _SpreadJob] = {}
        self._pulled_at: dict[str, float] = {}

    @property
    def revision(self) -> int:
        """Return the revision in force in this process."""
        return self.replica.revision

    def tick(self, now: float) -> list[CatalogueCommand]:
        """Expire heartbeats, and return the commands that are due."""
        commands: list[CatalogueCommand] = [*self.membership.tick(now)]
        for name, last_heartbeat in list(self._last_heartbeats.items()):
            if now - last_heartbeat > HEARTBEAT_TIMEOUT:
                self._detach(name)
        for job in list(self._jobs.values()):
            commands += self._continue_job(job, now)
        return commands

    def receive(self, message: CatalogueMessage, now: float) -> list[CatalogueCommand]:
        """Handle a message, and return the commands that follow."""
        match message:
            case Probe():
                return [
                    *self.membership.receive(message, now),
                    *self._pull_missing(message.sender, now),
                ]
            case CataloguePush():
                return self._handle_push(message, now)
            case CataloguePull(sender=sender, have=revision):
                return self._answer_pull(sender, revision)
            case RevisionApplied():
                return self._handle_applied(message, now)
            case AgentHeartbeat(sender=sender):
                return self._handle_heartbeat(sender, now)
        return []

    def spread_accepted(
        self, changes: tuple[Change, ...], state: State, now: float
    ) -> list[CatalogueCommand]:
        """Spread a change that this entry has just accepted."""
        commands = self._install(changes, state)
        return commands + self._spread_everywhere(state.revision, now)

    def spread_stored(
        self, changes: tuple[Change, ...], state: State, now: float
    ) -> list[CatalogueCommand]:
        """Spread changes read from the store in the failure domain."""
        commands = self._install(changes, state)
        if commands:
            commands += self._start_job(state.revision, PushScope.DOMAIN, None, now)
        return commands

    def spread(self, now: float) -> list[CatalogueCommand]:
        """Spread the revision in force again, to find lagging processes."""
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

    def _pull_missing(self, peer: Member, now: float) -> list[CatalogueCommand]:
        """Pull the missing changes from a peer that is ahead."""
        last_pull_at = self._pulled_at.get(peer.name, float("-inf"))
        if peer.revision <= self.revision or now - last_pull_at < PULL_TIMEOUT:
            return []
        self._pulled_at[peer.name] = now
        return [
            self._send_message(
                peer, CataloguePull(self.membership.local_member, self.revision)
            )
        ]

    def _answer_pull(self, sender: Member, revision: int) -> list[CatalogueCommand]:
        if revision >= self.revision:
            return []
        return [self._send_message(sender, self._build_push(PushScope.NONE, revision))]

    def _build_push(self, scope: PushScope, base_revision: int) -> CataloguePush:
        changes, state = self.replica.changes_since(base_revision)
        return CataloguePush(
            self.membership.local_member, self.revision, scope, changes, state
        )

    def _handle_push(self, push: CataloguePush, now: float) -> list[CatalogueCommand]:
        commands = self._install(push.changes, push.state)
        if commands and push.scope is PushScope.NONE:
            commands += self._start_job(self.revision, PushScope.AGENTS, None, now)
        if push.scope is not PushScope.NONE:
            commands += self._start_job(push.revision, push.scope, push.sender, now)
        return (
            commands + self._pull_after_push(push, now) + self._finish_complete_jobs()
        )

    def _pull_after_push(
        self, push: CataloguePush, now: float
    ) -> list[CatalogueCommand]:
        if push.revision <= self.revision:
            return []
        ahead = dataclasses.replace(push.sender, revision=push.revision)
        return self._pull_missing(ahead, now)

    def _start_job(
        self, revision: int, scope: PushScope, parent: Member | None, now: float
    ) -> list[CatalogueCommand]:
        parents = {} if parent is None else {parent.name: parent}
        job = self._jobs.get((revision, scope))
        if job is not None:
            job.parents |= parents
            return []
        receivers = dict(self.agents)
        timeout = AGENT_TIMEOUT
        if scope is PushScope.DOMAIN:
            timeout = DOMAIN_TIMEOUT
            domain = self.membership.local_member.failure_domain
            receivers |= {
                member.name: member for member in self.membership.relays(domain)
            }
            receivers.pop(self.membership.local_member.name, None)
        deadline, next_resend_at = now + timeout, now + RESEND_AFTER
        job = _SpreadJob(revision, scope, deadline, next_resend_at, receivers, parents)
        self._jobs[revision, scope] = job
        return self._push_to_waiting(job)

    def _spread_everywhere(self, revision: int, now: float) -> list[CatalogueCommand]:
        domains = {member.failure_domain for member in self.membership.alive()}
        own_domain = self.membership.local_member.failure_domain
        commands = self._start_job(revision, PushScope.DOMAIN, None, now)
        job = self._jobs[revision, PushScope.DOMAIN]
        job.is_origin = True
        job.deadline = now + SPREAD_TIMEOUT
        job.next_relay_at = now + RELAY_TIMEOUT
        for domain in sorted(domains - {own_domain}):
            commands += self._push_to_relay(job, domain)
        return commands + self._finish_if_complete(job)

    def _push_to_relay(self, job: _SpreadJob, domain: str) -> list[CatalogueCommand]:
        """Push a revision to the next relay of a failure domain."""
        members = self.membership.relays(domain)
        relay = next(
            (member for member in members if member.name not in job.tried_relays), None
        )
        if relay is None:
            return []
        job.tried_relays.add(relay.name)
        job.waiting[relay.name] = relay
        return [
            self._send_message(
                relay, self._build_push(PushScope.DOMAIN, job.revision - 1)
            )
        ]

    def _push_to_waiting(self, job: _SpreadJob) -> list[CatalogueCommand]:
        commands: list[CatalogueCommand] = []
        pushes: dict[PushScope, CataloguePush] = {}
        for name, member in job.waiting.items():
            if name in job.tried_relays:
                continue
            scope = _receiver_scope(job, member)
            if scope not in pushes:
                pushes[scope] = self._build_push(scope, job.revision - 1)
            commands.append(self._send_message(member, pushes[scope]))
        return commands

    def _handle_applied(
        self, message: RevisionApplied, now: float
    ) -> list[CatalogueCommand]:
        commands: list[CatalogueCommand] = []
        self._update_agent(message.sender)
        for job in list(self._jobs.values()):
            member = job.waiting.get(message.sender.name)
            if member is None or message.revision < job.revision:
                continue
            if message.scope is not _receiver_scope(job, member):
                continue
            del job.waiting[message.sender.name]
            job.process_count += message.members
            job.laggards += message.laggards
            self._drop_other_relays(job, member)
            commands += self._finish_if_complete(job)
        return commands

    def _drop_other_relays(self, job: _SpreadJob, member: Member) -> None:
        """Stop waiting for other relays of a domain that has confirmed."""
        if member.name not in job.tried_relays:
            return
        for name in job.tried_relays & job.waiting.keys():
            if job.waiting[name].failure_domain == member.failure_domain:
                del job.waiting[name]

    def _finish_complete_jobs(self) -> list[CatalogueCommand]:
        commands: list[CatalogueCommand] = []
        for job in list(self._jobs.values()):
            commands += self._finish_if_complete(job)
        return commands

    def _finish_if_complete(self, job: _SpreadJob) -> list[CatalogueCommand]:
        """Finish a job if every process has confirmed."""
        if job.waiting or self.revision < job.revision:
            return []
        return self._finish(job)

    def _continue_job(self, job: _SpreadJob, now: float) -> list[CatalogueCommand]:
        if now >= job.deadline:
            return self._finish(job)
        for name in [name for name in job.waiting if self._has_ended(name)]:
            del job.waiting[name]
        commands = self._finish_if_complete(job)
        if (job.revision, job.scope) not in self._jobs:
            return commands
        if now >= job.next_resend_at:
            job.next_resend_at = now + RESEND_AFTER
            commands += self._push_to_waiting(job)
        if now >= job.next_relay_at:
            job.next_relay_at = now + RELAY_TIMEOUT
            relays = [
                member
                for name, member in job.waiting.items()
                if name in job.tried_relays
            ]
            for domain in sorted({member.failure_domain for member in relays}):
                commands += self._push_to_relay(job, domain)
        return commands

    def _has_ended(self, name: str) -> bool:
        """Return whether a process has ended since it was sent a change."""
        if name in self.agents:
            return False
        member = self.membership.members.get(name)
        return member is None or member.state in (MemberState.DEAD, MemberState.LEFT)

    def _finish(self, job: _SpreadJob) -> list[CatalogueCommand]:
        self._jobs.pop((job.revision, job.scope), None)
        laggards = [
            LaggingProcess(member.name, member.revision, self._cause(member))
            for member in job.waiting.values()
        ]
        if self.revision < job.revision:
            name = self.membership.local_member.name
            laggards.append(LaggingProcess(name, self.revision, "not applied"))
        laggards = (*job.laggards, *laggards)[:MAX_LAGGARDS]
        members = job.process_count + len(job.waiting)
        local_member = self.membership.local_member
        message = RevisionApplied(
            local_member, job.revision, job.scope, members, laggards
        )
        commands: list[CatalogueCommand] = [
            self._send_message(parent, message) for parent in job.parents.values()
        ]
        if job.is_origin:
            commands.append(ReportSpread(job.revision, members, laggards))
        return commands

    def _cause(self, member: Member) -> str:
        known = self.membership.members.get(member.name, member)
        if known.state is MemberState.ALIVE:
            return "no answer in time"
        return known.state.name.lower()

    def _handle_heartbeat(self, sender: Member, now: float) -> list[CatalogueCommand]:
        if sender.state is MemberState.LEFT:
            self._detach(sender.name)
            return self._finish_complete_jobs()
        known = self.agents.get(sender.name)
        if known is None or sender.incarnation >= known.incarnation:
            self.agents[sender.name] = sender
            self._last_heartbeats[sender.name] = now
        roster = EntryRoster(
            self.membership.local_member, self._choose_entries(sender, known is None)
        )
        commands: list[CatalogueCommand] = [self._send_message(sender, roster)]
        if sender.revision < self.revision:
            push = self._build_push(PushScope.NONE, sender.revision)
            commands.append(self._send_message(sender, push))
        return commands

    def _choose_entries(self, agent: Member, full: bool) -> tuple[Member, ...]:
        """Return entries that an agent may attach to, preferred ones first."""
        if not full:
            return ()
        members = sorted(
            self.membership.alive(),
            key=lambda member: (
                member.failure_domain != agent.failure_domain,
                rank(agent.name, member.name),
            ),
        )
        half = ROSTER_SIZE // 2
        nearby = members[:half]
        remote = sorted(
            members[half:], key=lambda member: rank(agent.name, member.name)
        )
        return (*nearby, *remote[:half])

    def _update_agent(self, sender: Member) -> None:
        if sender.name in self.agents:
            self.agents[sender.name] = sender

    def _detach(self, name: str) -> None:
        self.agents.pop(name, None)
        self._last_heartbeats.pop(name, None)
        for job in self._jobs.values():
            job.waiting.pop(name, None)

    def _send_message(self, member: Member, message: CatalogueMessage) -> SendMessage:
        return SendMessage(member.name, member.address, message)


def _receiver_scope(job: _SpreadJob, member: Member) -> PushScope:
    """Return the scope in which a receiver of a job passes it on."""
    if member.role is Role.AGENT:
        return PushScope.NONE
    return PushScope.DOMAIN if member.name in job.tried_relays else PushScope.AGENTS
