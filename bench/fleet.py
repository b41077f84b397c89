"""A fleet of peers on a virtual clock: their decisions and a queue."""

import collections
import heapq
import itertools
import random
import time

from chicorycove.agent_peer import AgentPeer
from chicorycove.catalogue import EntryId, Target
from chicorycove.catalogue_message import InstallState, ReportSpread
from chicorycove.change import Change, Replacement, State
from chicorycove.dissemination import EntryPeer
from chicorycove.membership import Member, Membership, Role, SendMessage

ENTRY_TICK = 0.1  # seconds
AGENT_TICK = 0.25  # seconds
LATENCY = 0.001  # seconds, one way


class Fleet:
    """Entries and agents whose messages take a little while."""

    def __init__(self, entries, agents, domains, seed=1, loss=0.0, known=None):
        self.now = 0.0
        self.random = random.Random(seed)
        self.loss = loss
        self.peers = {}
        self.cut = lambda a, b: False  # tells whether a cannot reach b
        self.installed = {}  # (name, revision) to time
        self.spreads = []
        self.down = set()
        self.started = {}  # time by name
        self.on_message = None
        self.cost = collections.Counter()  # seconds of decisions by name
        self._queue = []
        self._order = itertools.count()
        self._domains = domains
        self._incarnations = itertools.count(1)
        self.entry_names = [f"e{n}" for n in range(entries)]
        self.agent_names = [f"a{n}" for n in range(agents)]
        members = [self.member(n, Role.ENTRY) for n in self.entry_names]
        self.seeds = members[:known] if known else members
        for name in self.entry_names:
            self.start_entry(name)
        for name in self.agent_names:
            self.start_agent(name)

    def member(self, name, role, incarnation=0):
        domain = int(name[1:]) % self._domains
        return Member(name, name, role, f"r{domain % 3}", f"d{domain}", incarnation)

    def start_entry(self, name, incarnation=0):
        """Start or restart an entry that knows the seeds."""
        local_member = self.member(name, Role.ENTRY, incarnation)
        seeds = [m for m in self.seeds if m.name != name]
        membership = Membership(
            local_member, seeds, self.random.getrandbits(32), self.now
        )
        self._start(name, EntryPeer(membership))

    def start_agent(self, name, incarnation=0):
        """Start or restart an agent that knows the seeds."""
        local_member = self.member(name, Role.AGENT, incarnation)
        self._start(name, AgentPeer(local_member, self.seeds, self.now))

    def stop(self, name):
        """Have a process end without a word."""
        self.down.add(name)
        self.peers.pop(name, None)

    def run(self, seconds):
        """Let time pass."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, name, peer, message = heapq.heappop(self._queue)
            if self.peers.get(name) is not peer and message is None:
                continue
            peer = self.peers.get(name)
            if peer is None:
                continue
            if message is None:
                tick = ENTRY_TICK if name[0] == "e" else AGENT_TICK
                self._push(tick, name, peer, None)
            started = time.process_time()
            if message is None:
                commands = peer.tick(self.now)
            else:
                commands = peer.receive(message, self.now)
            self.cost[name] += time.process_time() - started
            self.carry_out(name, commands)
        self.now = end

    def carry_out(self, name, commands):
        """Carry out a peer's commands."""
        for command in commands:
            match command:
                case SendMessage(name=to, message=message):
                    self._send(name, to, message)
                case InstallState(state=state):
                    self.installed[name, state.revision] = self.now
                case ReportSpread():
                    self.spreads.append((self.now, name, command))

    def accept(self, name, change, state):
        """Have an entry spread a change."""
        peer = self.peers[name]
        self.carry_out(name, peer.spread_accepted((change,), state, self.now))

    def revisions(self, names=None):
        """Return the revision of each process."""
        return {n: self.peers[n].revision for n in names or self.peers}

    def _start(self, name, peer):
        self.down.discard(name)
        self.started[name] = self.now
        self.peers[name] = peer
        self._push(self.random.random() * ENTRY_TICK, name, peer, None)

    def _send(self, name, to, message):
        if self.on_message is not None:
            self.on_message(name, to, message)
        if to in self.down or self.cut(name, to) or self.random.random() < self.loss:
            return
        self._push(LATENCY * (1 + self.random.random()), to, None, message)

    def _push(self, delay, name, peer, message):
        item = (self.now + delay, next(self._order), name, peer, message)
        heapq.heappush(self._queue, item)


def change(revision, name="t"):
    """Return a change that makes a revision."""
    entry = Target(name=name, owner=str(revision))
    replacement = Replacement(id=EntryId("target", name), before=None, after=entry)
    return Change(
        id=f"c{revision}",
        revision=revision,
        operator="o",
        owner="board",
        reason="r",
        accepted_at=0.0,
        replacements=(replacement,),
    )


class History:
    """Changes one after the other."""

    def __init__(self):
        self.state = State()

    def next(self):
        """Return the next change and the state after it."""
        made = change(self.state.revision + 1)
        self.state = self.state.with_change(made)
        return made, self.state
