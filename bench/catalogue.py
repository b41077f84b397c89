"""How fast a catalogue change is in force everywhere, and what that costs.

The protocol alone, in one process on a virtual clock, with a queue of
messages in place of the network: sockets and their cost are not part of it.
"""

import argparse
import asyncio
import collections
import dataclasses
import gc
import json
import math
import statistics
import time

from chicorycove import codec, commit
from chicorycove.catalogue import EntryId, PriorityClass, Workspace, key_digest
from chicorycove.catalogue_message import CataloguePush, PushScope
from chicorycove.change import Edit, Proposal, State, encode_state
from chicorycove.conversion import Address
from chicorycove.membership import Member, Probe, ProbeKind, Role
from chicorycove.peer import Transport
from tests.store import DictStore

from . import report
from .fleet import Fleet, History

DOMAINS = 8
CHANGES_PER_DAY = 22_000
DAY = 86_400  # seconds
HOUR = 3_600  # seconds
PERIOD = DAY / CHANGES_PER_DAY


class Traffic:
    """Counts messages and bytes by sender and by receiver."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._sizes = {}
        self.reset()

    def reset(self):
        """Begin again."""
        self.messages = collections.Counter()
        self.bytes = collections.Counter()
        self._fleet.cost.clear()
        self._since = self._fleet.now

    def note(self, name, to, message):
        """Count a message at both of its ends."""
        key = id(message)
        if key not in self._sizes or self._sizes[key][0] is not message:
            self._sizes[key] = (message, codec.encode(message).ByteSize())
            if len(self._sizes) > 10_000:
                self._sizes.clear()
                return self.note(name, to, message)
        for member in (name, to):
            self.messages[member] += 1
            self.bytes[member] += self._sizes[key][1]

    def rates(self, role):
        """Return what members of a role send and receive a second."""
        fleet = self._fleet
        names = fleet.entry_names if role is Role.ENTRY else fleet.agent_names
        if not names:
            return {}
        seconds = fleet.now - self._since
        kilobytes = [self.bytes[name] / seconds / 1000 for name in names]
        messages = [self.messages[name] / seconds for name in names]
        cores = [fleet.cost[name] / seconds * 100 for name in names]
        return {
            "role": role.value,
            "messages/s mean": round(statistics.mean(messages), 1),
            "messages/s max": round(max(messages), 1),
            "KB/s mean": round(statistics.mean(kilobytes), 2),
            "KB/s max": round(max(kilobytes), 2),
            "decision core % mean": round(statistics.mean(cores), 3),
            "decision core % max": round(max(cores), 3),
        }


def make_fleet(entries, agents, seed):
    """Return a fleet that has settled."""
    fleet = Fleet(entries, agents, DOMAINS, seed=seed)
    fleet.run(4)
    return fleet


def run_changes(fleet, history, count, names=None):
    """Accept changes at the daily rate, and return the seconds each took."""
    names = names or list(fleet.peers)
    accepted = {}
    acceptors = [name for name in names if name[0] == "e"]
    for number in range(count):
        made, state = history.next()
        accepted[made.revision] = fleet.now
        fleet.accept(acceptors[number * 7 % len(acceptors)], made, state)
        fleet.run(PERIOD)
    times = []
    for revision, start in accepted.items():
        ends = [fleet.installed.get((name, revision)) for name in names]
        late = sum(end is None for end in ends)
        if late:
            print(f"revision {revision}: {late} processes skipped or lack it")
        times.append(max(end for end in ends if end is not None) - start)
    return times


def summary(name, fleet, times):
    """Return the row of a scenario."""
    ordered = sorted(times)
    return {
        "scenario": name,
        "members": len(fleet.entry_names) + len(fleet.agent_names),
        "changes": len(times),
        "p50 s": round(statistics.median(ordered), 4),
        "p99 s": round(ordered[math.ceil(0.99 * len(ordered)) - 1], 4),
        "max s": round(ordered[-1], 4),
    }


def measure_spread(entries, agents, changes, seed):
    """Measure rest, changes, a failure domain cut off and its return."""
    fleet = make_fleet(entries, agents, seed)
    traffic = Traffic(fleet)
    fleet.on_message = traffic.note
    history = History()
    rates = []
    fleet.run(5)
    rates += [{"scenario": "rest"} | traffic.rates(role) for role in Role]
    traffic.reset()
    rows = [summary("all connected", fleet, run_changes(fleet, history, changes))]
    rates += [{"scenario": "changes"} | traffic.rates(role) for role in Role]
    lost = {name for name in fleet.peers if int(name[1:]) % DOMAINS == DOMAINS - 1}
    fleet.cut = lambda a, b: (a in lost) != (b in lost)
    traffic.reset()
    fleet.run(6)
    kept = [name for name in fleet.peers if name not in lost]
    times = run_changes(fleet, history, max(changes // 4, 2), kept)
    rows.append(summary("a failure domain cut off, the others", fleet, times))
    rates += [{"scenario": "domain cut off"} | traffic.rates(role) for role in Role]
    serving = [
        name
        for name in lost
        if name[0] == "e" and fleet.peers[name].membership.may_serve(fleet.now)
    ]
    fleet.cut = lambda a, b: False
    healed = fleet.now
    newest = history.state.revision
    while min(fleet.revisions().values()) < newest and fleet.now < healed + 60:
        fleet.run(0.1)
    recovery = {
        "entries cut off that still served": len(serving),
        "s after the cut until all had the newest": round(fleet.now - healed, 1),
    }
    times = run_changes(fleet, history, 2)
    rows.append(summary("first changes after the cut", fleet, times))
    return rows, rates, recovery


def measure_outage(seed):
    """Measure an hour in which the store is down, and the change after it."""
    fleet = make_fleet(24, 72, seed)
    history = History()
    run_changes(fleet, history, 2)
    stale = 0
    for _ in range(HOUR // 10):
        fleet.run(10)
        stale += sum(
            not fleet.peers[name].membership.may_serve(fleet.now)
            for name in fleet.entry_names
        )
    times = run_changes(fleet, history, 2)
    return summary("after an hour with the store down", fleet, times) | {
        "times an entry did not serve": stale
    }


def measure_store():
    """Count the store's calls by the fleet's size."""
    rows = []
    for entries, agents in ((24, 100), (168, 1850), (670, 7400)):
        fleet = Fleet(entries, 0, DOMAINS)
        fleet.run(3)
        watchers = sum(p.membership.watches(fleet.now) for p in fleet.peers.values())
        store = DictStore()
        known = State()
        for number in range(50):
            known = store.run(commit.commit(_change(number), known, f"t{number}", 0))
            known = known.stored.state
        store.calls = 0
        accepted = store.run(commit.commit(_change(50), known, "t50", 0))
        commit_calls = store.calls
        store.calls = 0
        store.run(commit.load(known))
        read_calls = store.calls
        assert accepted.stored.state.revision == known.revision + 1
        rate = CHANGES_PER_DAY / DAY
        rows.append(
            {
                "entries": entries,
                "agents": agents,
                "watches": watchers,
                "reads/s at rest": watchers,  # one a second each
                "calls per change": commit_calls + watchers * read_calls,
                "calls/s": watchers + rate * (commit_calls + watchers * read_calls),
            }
        )
    return rows


def measure_size(workspaces):
    """Measure what a large catalogue takes in the store and on the wire."""
    store = DictStore()
    kind = PriorityClass(name="c", owner="o", priority=0, deadline=1.0)
    edits = [Edit(id=EntryId("class", "c"), entry=kind)]
    edits += [_workspace(number, "first") for number in range(workspaces)]
    proposal = _proposal("all", edits)
    state = store.run(commit.commit(proposal, State(), "all", 0)).stored.state
    total = sum(len(value) for value, _ in store.values.values())
    largest = max(len(value) for value, _ in store.values.values())
    before = dict(store.values)
    proposal = _proposal("one", [_workspace(7, "second")])
    started = time.perf_counter()
    store.run(commit.commit(proposal, state, "one", 0))
    seconds = time.perf_counter() - started
    written = sum(
        len(value[0]) for key, value in store.values.items() if value != before.get(key)
    )
    return {
        "workspaces": workspaces,
        "bytes in the store": total,
        "largest piece": largest,
        "bytes written per change": written,
        "whole to a peer, bytes": len(encode_state(state)),
        "commit, ms of CPU": round(seconds * 1000, 1),
    }


async def measure_sockets(count):
    """Measure the CPU of a message over loopback, both of its ends."""
    received = asyncio.Queue()
    ends = [Transport(received.put_nowait) for _ in range(2)]
    for end in ends:
        await end.start(Address("127.0.0.1:0"))
    member = Member("entry-1", ends[0].address, Role.ENTRY, "region", "domain", 1)
    made = History().next()[0]
    owner = "".join(map(str, range(1000)))  # does not fit a datagram compressed
    large = dataclasses.replace(made, owner=owner, id="large")
    messages = {
        "probe, UDP": Probe(ProbeKind.PING, 1, member, "", (member,) * 2, 0.5),
        "push of a change, UDP": CataloguePush(member, 1, PushScope.AGENTS, (made,)),
        "push of a large change, TCP": CataloguePush(
            member, 1, PushScope.AGENTS, (large,)
        ),
    }
    rows = []
    for name, message in messages.items():
        await _exchange(ends, message, received, 20)
        started = time.process_time()
        await _exchange(ends, message, received, count)
        cost = (time.process_time() - started) / count
        rows.append({"message": name, "CPU us, both ends": round(cost * 1e6)})
    for end in ends:
        await end.close()
    return rows


async def _exchange(ends, message, received, count):
    for _ in range(count):
        ends[0].send(ends[1].address, message)
        await received.get()


def _workspace(number, owner):
    entry = Workspace(
        name=f"workspace-{number}",
        owner=owner,
        priority_class="c",
        key_digests=(key_digest(f"key {number}"),),
    )
    return Edit(id=EntryId("workspace", entry.name), entry=entry)


def _proposal(id, edits):
    return Proposal(
        id=id, operator="operator", owner="board", reason="reason", edits=tuple(edits)
    )


def _change(number):
    kind = PriorityClass(name="c", owner=f"o{number}", priority=0, deadline=1.0)
    return _proposal(f"c{number}", [Edit(id=EntryId("class", "c"), entry=kind)])


def main(argv):
    """Run the measurements and print them."""
    parser = argparse.ArgumentParser(prog="python -m bench catalogue")
    parser.add_argument("--entries", type=int, default=670)
    parser.add_argument("--agents", type=int, default=7400)
    parser.add_argument("--changes", type=int, default=12)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--no-outage", action="store_true")
    parser.add_argument("--output", choices=("table", "json"), default="table")
    parser.add_argument("--sockets", action="store_true", help="only their cost")
    options = parser.parse_args(argv)
    if options.sockets:
        print(report.table(asyncio.run(measure_sockets(2000))))
        return 0
    gc.disable()  # its pauses would count against whoever runs just then
    sizes = [measure_size(count) for count in (10, 1000, 3000)]
    store = measure_store()
    rows, rates, recovery = measure_spread(
        options.entries, options.agents, options.changes, options.seed
    )
    outage = None if options.no_outage else measure_outage(options.seed)
    document = {
        "options": vars(options),
        "sizes": sizes,
        "store": store,
        "in force everywhere": rows,
        "rates": rates,
        "recovery": recovery,
        "outage": outage,
    }
    if options.output == "json":
        print(json.dumps(document, indent=2))
        return 0
    for name in ("sizes", "store", "in force everywhere", "rates"):
        print(f"\n{name}\n\n{report.table(document[name])}")
    print(f"\n{recovery}")
    if outage is not None:
        print(f"\n{report.table([outage])}")
    return 0
