"""A placement of a prompt, and what a prompt's placement depends on.

The load is a mix of short streams that must not pause for long, and of prompts
whose prefill fills whole passes of an engine.
"""

import dataclasses

from .domain_cost import DomainCost
from .engine import EngineProfile

frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@frozen
class PlacementSettings:
    """Weights of a placement's cost; times are in seconds."""

    # Numbers of targets that a prompt may be split among.
    group_sizes: tuple[int, ...] = (1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17)
    group_min_tokens: int = 12_000  # shorter prompts are never split
    loss_start_share: float = 0.7  # share of a limit from which value is lost
    full_loss_share: float = 1.1  # share of a limit at which all value is lost
    late_loss_share: float = 0.75  # share of its value that a late answer loses
    # Share of the value lost in addition for each further limit.
    excess_loss_rate: float = 0.2
    min_limit: float = 0.05  # limits that are shorter or past count as this
    wait_cost: float = 0.01  # share of the value per second to the first event
    # The same if no prompt needs a group to be in time: short prompts then use
    # idle targets, which are not kept free for groups.
    wait_cost_without_groups: float = 0.1
    decode_delay_cost: float = 0.15  # cost per decoding request and second of prefill
    # Share of the value of a waiting request, per second that it is delayed.
    # It holds for peer updates without delay and with 20 ms of delay.
    overtake_cost: float = 0.2
    pack_cost: float = 0.1  # cost of the last target in order over the first
    spare_slots: int = 3  # slots of a target left to other entries
    spare_slot_cost: float = 0.04  # share of the value for each of these that is used
    # Share of the entries whose work must be known for the slots of a target
    # to be used up to the spare ones.
    min_visible_share: float = 0.9
    other_domain_cost: float = 0.005  # cost of a target in another failure domain
    group_member_cost: float = 0.02  # cost of each further target of a group
    # Added if the work of all other entries is unknown: the parts of groups
    # are prefilled before what these have sent to the same targets.
    hidden_member_cost: float = 0.3
    suspect_cost: float = 50.0  # cost of a target that is avoided
    # Time to connect, send the request and receive the first event.
    transit_time: float = 0.005
    max_memory_share: float = 0.92  # share of an engine's memory that is used


@frozen
class PlacementRequest:
    """A prompt to be placed; times are in seconds."""

    tokens: int
    max_output_tokens: int
    expected_output_tokens: int
    objective_at: float
    deadline: float
    max_gap: float
    value: float
    failure_domain: str
    domain_cost: DomainCost | None = None  # None if links have no price
    groups_needed: bool = True  # whether some prompts need groups to be in time
    visible_share: float = 1.0  # part of the entries whose work is known


@frozen
class PlacementMember:
    """A target that prefills a part, and the memory that it is to hold."""

    target: str
    held_tokens: int = 0


@frozen
class Placement:
    """A target, the other members of its group, and the prediction.

    The target is the primary: it decodes the answer, and members only prefill.
    """

    target: str
    members: tuple[PlacementMember, ...] = ()
    held_tokens: int = 0  # tokens held by the target itself
    time_to_first_event: float = 0.0  # seconds from now
    cost: float = 0.0
    candidates: int = 0  # targets that were compared
    free_slots: int = 1  # of the target, as far as is known
    prefill_time: float = 0.0  # seconds for each part

    @property
    def targets(self) -> tuple[str, ...]:
        """Return the targets of the whole group."""
        return (self.target, *(member.target for member in self.members))


def needs_groups(
    engine: EngineProfile, longest_objective: float, settings: PlacementSettings
) -> bool:
    """Return whether a prompt as large as an engine needs a group in time.

    The objective, in seconds, is the longest of the routes to its service.
    """
    tokens = int(engine.memory * settings.max_memory_share)
    return engine.prefill_time(tokens) > longest_objective
