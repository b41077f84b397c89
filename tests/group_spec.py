"""A specification of group reservation, for the model checker.

Groups reserve engines that each hold one member.  An agent grants in order of
arrival, and tells the coordinator late; a coordinator may die at any
step, and an agent may restart at any step and forget all, a bounded number of
times.

Every transition uses something up, so each run ends; the property is that
whatever has ended holds nothing and has left no living group waiting.

``python -m tests.group_spec`` reports the states.
"""

import enum
import typing as t

from minicheck import Protocol, check_safety

MAX_STATES = 2_000_000
NOBODY = -1
AGENTS = 3
PLANS = ((0, 1, 2), (0, 1, 2), (1, 2))  # agents that each group needs


class Guard(enum.Enum):
    """What keeps memory from being held for good; a mutant lacks one."""

    ORDERED = enum.auto()  # all groups reserve in one order
    LEASED = enum.auto()  # agents free what a dead coordinator holds
    RELEASED_WHOLE = enum.auto()  # a group that loses a member frees the others
    LEAVES_QUEUE = enum.auto()  # and takes back what it still waits for


class Phase(enum.IntEnum):
    RESERVING = 0
    COMPUTING = 1
    OVER = 2
    DEAD = 3


class Group(t.NamedTuple):
    phase: Phase = Phase.RESERVING
    reserved: int = 0  # members it was told of
    asked: int = 0  # members it asked for


class Agent(t.NamedTuple):
    holder: int = NOBODY
    queue: tuple[int, ...] = ()


class State(t.NamedTuple):
    groups: tuple[Group, ...]
    agents: tuple[Agent, ...]
    restarts: int
    deaths: int


class Specification:
    """The steps of groups and agents."""

    def __init__(self, missing: frozenset[Guard] = frozenset()) -> None:
        self._missing = missing
        self._plans = list(PLANS)
        if Guard.ORDERED in missing:
            self._plans[1] = PLANS[1][::-1]

    def transitions(self, state: State) -> list[tuple[str, State]]:
        """Return every step that may be taken."""
        steps: list[tuple[str, State]] = []
        for number in range(len(state.groups)):
            steps += self._group_steps(state, number)
        for number in range(AGENTS):
            steps += self._agent_steps(state, number)
        return steps

    def is_clean(self, state: State) -> bool:
        """Tell whether all has ended and nothing is held, or goes on."""
        if self.transitions(state):
            return True
        ended = all(x.phase in (Phase.OVER, Phase.DEAD) for x in state.groups)
        return ended and all(agent == Agent() for agent in state.agents)

    def _group_steps(self, state: State, number: int) -> list[tuple[str, State]]:
        group = state.groups[number]
        plan = self._plans[number]
        steps = []
        if group.phase in (Phase.OVER, Phase.DEAD):
            return steps
        if state.deaths:
            dead = group._replace(phase=Phase.DEAD)
            died = state._replace(deaths=state.deaths - 1)
            steps.append((f"die {number}", _with_group(died, number, dead)))
        if group.phase is Phase.COMPUTING:
            steps.append((f"finish {number}", self._end(state, number)))
        elif group.asked == group.reserved:
            steps.append((f"ask {number}", self._ask(state, number)))
        elif state.agents[plan[group.reserved]].holder == number:
            told = group._replace(reserved=group.reserved + 1)
            if told.reserved == len(plan):
                told = told._replace(phase=Phase.COMPUTING)
            steps.append((f"told {number}", _with_group(state, number, told)))
        return steps

    def _agent_steps(self, state: State, number: int) -> list[tuple[str, State]]:
        agent = state.agents[number]
        steps = []
        if agent.holder == NOBODY and agent.queue:
            granted = Agent(agent.queue[0], agent.queue[1:])
            steps.append((f"grant {number}", _with_agent(state, number, granted)))
        if Guard.LEASED not in self._missing:
            lapsed = self._lapse(state, agent)
            if lapsed != agent:
                steps.append((f"lapse {number}", _with_agent(state, number, lapsed)))
        if state.restarts:
            steps.append((f"restart {number}", self._restart(state, number)))
        return steps

    def _ask(self, state: State, number: int) -> State:
        group = state.groups[number]
        target = self._plans[number][group.asked]
        agent = state.agents[target]
        asked = agent._replace(queue=(*agent.queue, number))
        state = _with_agent(state, target, asked)
        return _with_group(state, number, group._replace(asked=group.asked + 1))

    def _end(self, state: State, number: int) -> State:
        """Give back all that a group holds or waits for."""
        for target in range(AGENTS):
            freed = self._without(state.agents[target], number)
            state = _with_agent(state, target, freed)
        over = state.groups[number]._replace(phase=Phase.OVER)
        return _with_group(state, number, over)

    def _restart(self, state: State, number: int) -> State:
        """Have an agent forget all; groups that asked it are told, and end."""
        state = state._replace(restarts=state.restarts - 1)
        state = _with_agent(state, number, Agent())
        for index, group in enumerate(state.groups):
            asked = self._plans[index][: group.asked]
            if group.phase in (Phase.OVER, Phase.DEAD) or number not in asked:
                continue
            state = self._fail(state, index)
        return state

    def _fail(self, state: State, number: int) -> State:
        group = state.groups[number]
        if Guard.RELEASED_WHOLE in self._missing:
            return _with_group(state, number, group._replace(phase=Phase.OVER))
        if Guard.LEAVES_QUEUE in self._missing:
            waits = group.asked > group.reserved
            ended = self._end(state, number)
            target = self._plans[number][group.asked - 1]
            if waits and number in state.agents[target].queue:
                return _with_agent(ended, target, state.agents[target])
            return ended
        return self._end(state, number)

    def _lapse(self, state: State, agent: Agent) -> Agent:
        for number, group in enumerate(state.groups):
            if group.phase is Phase.DEAD:
                agent = self._without(agent, number)
        return agent

    def _without(self, agent: Agent, number: int) -> Agent:
        holder = NOBODY if agent.holder == number else agent.holder
        queue = tuple(waiting for waiting in agent.queue if waiting != number)
        return Agent(holder, queue)


def check(missing: t.Iterable[Guard] = (), restarts: int = 1, deaths: int = 1) -> dict:
    """Return the checker's result for the specification less some guards."""
    specification = Specification(frozenset(missing))
    initial = State(
        tuple(Group() for _ in PLANS), (Agent(),) * AGENTS, restarts, deaths
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
            "ends_clean": lambda fields: specification.is_clean(State(**fields))
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
