"""Records what a placement has compared, to explain it."""

import dataclasses

frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@frozen
class CostParts:
    """What a target costs, by cause, in units of a request's value.

    Their sum is the cost by which the target was compared.
    """

    others: float = 0.0  # what the prefill costs the requests on the target
    avoidance: float = 0.0  # the target is suspected, ejected or backing off
    late_start: float = 0.0  # the first event is late for the objective
    pauses: float = 0.0  # pauses between events are longer than the objective
    past_deadline: float = 0.0  # the first event comes after the deadline
    waiting: float = 0.0  # time to the first event
    few_free_slots: float = 0.0  # another entry may take the last free slots
    other_domain: float = 0.0  # the target is outside the failure domain
    order: float = 0.0  # position in the order that entries share

    @property
    def total(self) -> float:
        """Return the sum, added in the order in which a placement adds it."""
        own = self.late_start + self.pauses + self.past_deadline + self.waiting
        own += self.few_free_slots
        own += self.other_domain
        return self.others + self.avoidance + (own + self.order)


@frozen
class TargetEstimate:
    """A target as the primary of a group; a group may be one target."""

    target: str
    time_to_first_event: float  # seconds from now, without the other members
    cost: float
    parts: CostParts
    missing_tokens: int  # memory that the other members would have to hold


@frozen
class GroupEstimate:
    """The best group of one size."""

    size: int
    targets: tuple[str, ...]  # the primary first
    fits: bool  # whether the members have the memory for the prompt
    time_to_first_event: float = 0.0  # seconds from now
    cost: float = 0.0
    # The cost is that of the primary and of these.
    members_cost: float = 0.0  # what the parts cost the members
    size_cost: float = 0.0
    members_delay_cost: float = 0.0  # members begin later than the primary


class PlacementTrace:
    """The estimates of one decision, in the order in which they were made."""

    def __init__(self) -> None:
        self.groups: list[GroupEstimate] = []
        # Estimates of the targets by the size of their group.
        self.targets: dict[int, list[TargetEstimate]] = {}
        self._own_costs = CostParts()
        self._time_to_first_event = 0.0

    def add_own_costs(self, time_to_first_event: float, **costs: float) -> None:
        """Record what a request loses on the target that is added next.

        The costs are named as in :class:`CostParts`.  The time includes the
        delay of the link to the target.
        """
        self._own_costs = CostParts(**costs)
        self._time_to_first_event = time_to_first_event

    def add_target(
        self,
        group_size: int,
        target: str,
        cost: float,
        others_cost: float,
        avoidance_cost: float,
        missing_tokens: int,
    ) -> None:
        """Record the estimate of a target as the primary of a group."""
        self.targets.setdefault(group_size, []).append(
            TargetEstimate(
                target=target,
                time_to_first_event=self._time_to_first_event,
                cost=cost,
                parts=dataclasses.replace(
                    self._own_costs, others=others_cost, avoidance=avoidance_cost
                ),
                missing_tokens=missing_tokens,
            )
        )

    def add_misfit(self, size: int, targets: tuple[str, ...]) -> None:
        """Record a group whose members lack the memory for the prompt."""
        self.groups.append(GroupEstimate(size=size, targets=targets, fits=False))

    def add_group(
        self,
        size: int,
        targets: tuple[str, ...],
        time_to_first_event: float,
        cost: float,
        *,
        members_cost: float,
        size_cost: float,
        members_delay_cost: float,
    ) -> None:
        """Record the best group of one size, which has the memory it needs."""
        self.groups.append(
            GroupEstimate(
                size=size,
                targets=targets,
                fits=True,
                time_to_first_event=time_to_first_event,
                cost=cost,
                members_cost=members_cost,
                size_cost=size_cost,
                members_delay_cost=members_delay_cost,
            )
        )
