"""Specification of group reservation for the model checker.

Groups reserve engines that each hold one member.  An agent grants memory in
order of arrival and notifies the coordinator with a delay.  A coordinator
may crash at any step, and an agent may restart at any step and lose its
state, a bounded number of times.

Every transition consumes something, so each run ends.  The property is that
at the end no memory is held and no group of a running coordinator waits.

``python -m tests.group_spec`` prints the number of states.
"""

import enum
import typing as t

from minicheck import Protocol, check_safety

MAX_STATES = 2_000_000
NO_GROUP = -1
AGENTS = 3
PLANS = ((0, 1, 2), (0, 1, 2), (1, 2))  # the agents that each group needs, in order


class Guard(enum.Enum):
    """Rules by which no memory is held for ever; a mutant lacks one."""

    ORDERED = enum.auto()  # all groups reserve in one order
    LEASED = enum.auto()  # agents release what a crashed coordinator holds
    RELEASES_ALL = enum.auto()  # a group that loses a member releases the rest
    LEAVES_QUEUE = enum.auto()  # a group that fails leaves the queue it waits in


class Phase(enum.IntEnum):
    RESERVING = 0
    COMPUTING = 1
    ENDED = 2
    CRASHED = 3


class Group(t.NamedTuple):
    phase: Phase = Phase.RESERVING
    reserved: int = 0  # members whose reservation it was notified of
    requested: int = 0  # members whose reservation it requested


class Agent(t.NamedTuple):
    holder: int = NO_GROUP
    queue: tuple[int, ...] = ()


class State(t.NamedTuple):
    groups: tuple[Group, ...]
    agents: tuple[Agent, ...]
    restarts: int
    crashes: int


class Specification:
    """Steps of groups and agents."""

    def __init__(self, missing: frozenset[Guard] = frozenset()) -> None:
        self._missing = missing
        self._plans = list(PLANS)
        if Guard.ORDERED in missing:
            self._plans[1] = PLANS[1][::-1]

    def transitions(self, state: State) -> list[tuple[str, State]]:
        """Return every possible step: its name and the next state."""
        steps: list[tuple[str, State]] = []
        for number in range(len(state.groups)):
            steps += self._group_steps(state, number)
        for number in range(AGENTS):
            steps += self._agent_steps(state, number)
        return steps

    def ends_clean(self, state: State) -> bool:
        """Return whether no memory is held at the end, or steps remain."""
        if self.transitions(state):
            return True
        ended = all(
            group.phase in (Phase.ENDED, Phase.CRASHED) for group in state.groups
        )
        return ended and all(agent == Agent() for agent in state.agents)

    def _group_steps(self, state: State, number: int) -> list[tuple[str, State]]:
        group = state.groups[number]
        plan = self._plans[number]
        steps = []
        if group.phase in (Phase.ENDED, Phase.CRASHED):
            return steps
        if state.crashes:
            crashed = group._replace(phase=Phase.CRASHED)
            after = state._replace(crashes=state.crashes - 1)
            steps.append((f"crash {number}", _with_group(after, number, crashed)))
        if group.phase is Phase.COMPUTING:
            steps.append((f"finish {number}", self._end(state, number)))
        elif group.requested == group.reserved:
            steps.append((f"request {number}", self._request(state, number)))
        elif state.agents[plan[group.reserved]].holder == number:
            notified = group._replace(reserved=group.reserved + 1)
            if notified.reserved == len(plan):
                notified = notified._replace(phase=Phase.COMPUTING)
            steps.append((f"notify {number}", _with_group(state, number, notified)))
        return steps

    def _agent_steps(self, state: State, number: int) -> list[tuple[str, State]]:
        agent = state.agents[number]
        steps = []
        if agent.holder == NO_GROUP and agent.queue:
            granted = Agent(agent.queue[0], agent.queue[1:])
            steps.append((f"grant {number}", _with_agent(state, number, granted)))
        if Guard.LEASED not in self._missing:
            expired = self._expire_leases(state, agent)
            if expired != agent:
                steps.append((f"expire {number}", _with_agent(state, number, expired)))
        if state.restarts:
            steps.append((f"restart {number}", self._restart(state, number)))
        return steps

    def _request(self, state: State, number: int) -> State:
        group = state.groups[number]
        target = self._plans[number][group.requested]
        agent = state.agents[target]
        queued = agent._replace(queue=(*agent.queue, number))
        state = _with_agent(state, target, queued)
        return _with_group(state, number, group._replace(requested=group.requested + 1))

    def _end(self, state: State, number: int) -> State:
        """Release all that a group holds or waits for."""
        for target in range(AGENTS):
            released = self._without(state.agents[target], number)
            state = _with_agent(state, target, released)
        ended = state.groups[number]._replace(phase=Phase.ENDED)
        return _with_group(state, number, ended)

    def _restart(self, state: State, number: int) -> State:
        """Reset an agent; groups that requested memory of it fail."""
        state = state._replace(restarts=state.restarts - 1)
        state = _with_agent(state, number, Agent())
        for index, group in enumerate(state.groups):
            requested = self._plans[index][: group.requested]
            if group.phase in (Phase.ENDED, Phase.CRASHED) or number not in requested:
                continue
            state = self._fail(state, index)
        return state

    def _fail(self, state: State, number: int) -> State:
        group = state.groups[number]
        if Guard.RELEASES_ALL in self._missing:
            return _with_group(state, number, group._replace(phase=Phase.ENDED))
        if Guard.LEAVES_QUEUE in self._missing:
            is_waiting = group.requested > group.reserved
            ended = self._end(state, number)
            target = self._plans[number][group.requested - 1]
            if is_waiting and number in state.agents[target].queue:
                return _with_agent(ended, target, state.agents[target])
            return ended
        return self._end(state, number)

    def _expire_leases(self, state: State, agent: Agent) -> Agent:
        for number, group in enumerate(state.groups):
            if group.phase is Phase.CRASHED:
                agent = self._without(agent, number)
        return agent

    def _without(self, agent: Agent, number: int) -> Agent:
        holder = NO_GROUP if agent.holder == number else agent.holder
        queue = tuple(waiting for waiting in agent.queue if waiting != number)
        return Agent(holder, queue)


def check(missing: t.Iterable[Guard] = (), restarts: int = 1, crashes: int = 1) -> dict:
    """Return the checker's result for the protocol without some guards."""
    specification = Specification(frozenset(missing))
    initial = State(
        tuple(Group() for _ in PLANS), (Agent(),) * AGENTS, restarts, crashes
    )
    protocol = Protocol(
        name="group",
        candidate=False,
        fields=State._fields,
        initial=initial,
        transitions=lambda state: [
            (name, tuple(after)) for name, after in _steps(specification, state)
        ],
        invariants={
            "ends_clean": lambda fields: specification.ends_clean(State(**fields))
        },
    )
    return check_safety(protocol, max_states=MAX_STATES)


def _steps(specification: Specification, state: tuple) -> list[tuple[str, State]]:
    return specification.transitions(State(*state))


def _with_group(state: State, number: int, group: Group) -> State:
    groups = list(state.groups)
    groups[number] = group
    return state._replace(groups=tuple(groups))


def _with_agent(state: State, number: int, agent: Agent) -> State:
    agents = list(state.agents)
    agents[number] = agent
    return state._replace(agents=tuple(agents))


if __name__ == "__main__":
    print(check()["reachable_states"], "states")
