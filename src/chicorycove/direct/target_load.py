"""Measures the load of targets for one placement."""

import dataclasses
import typing as t

from .board import TargetView, WorkItem
from .engine import EngineProfile


@dataclasses.dataclass(slots=True)
class TargetLoad:
    """A target's load during one decision; times are in seconds."""

    target: TargetView
    position: float  # in [0, 1), in the order that entries share
    decoding_items: list[WorkItem]
    prefill_items: list[WorkItem]  # items that prefill or wait for it
    decode_pass_time: float  # time of a pass that only decodes
    prefill_backlog: float  # remaining prefill time of all items
    held_tokens: int
    occupied_slots: int  # requests that have a slot or wait for one
    pace: float  # observed over predicted time; the times above include it


def measure_loads(
    engine: EngineProfile,
    targets: t.Iterable[TargetView],
    now: float,
    placement_offset: float,
) -> list[TargetLoad]:
    """Return the loads of targets, in the order that entries share.

    The offset shifts their positions in this order.
    """
    ordered = sorted(targets, key=lambda target: target.listing.id)
    loads = []
    for index, target in enumerate(ordered):
        decoding_items = [item for item in target.work_items.values() if item.decoding]
        prefill_items = [
            item for item in target.work_items.values() if not item.decoding
        ]
        context_tokens = sum(item.context_tokens for item in decoding_items)
        decode_pass_time = (
            engine.batch_pass_time(len(decoding_items), context_tokens)
            if decoding_items
            else 0.0
        )
        prefill_backlog = sum(
            item.remaining_prefill_time(now) for item in prefill_items
        )
        held_tokens = sum(item.memory for item in target.work_items.values())
        pace = target.pace
        loads.append(
            TargetLoad(
                target,
                (index / len(ordered) + placement_offset) % 1.0,
                decoding_items,
                prefill_items,
                decode_pass_time * pace,
                prefill_backlog * pace,
                held_tokens,
                len(decoding_items)
                + sum(1 for item in prefill_items if item.generates_answer),
                pace,
            )
        )
    return loads
