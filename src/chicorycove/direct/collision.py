"""Finds prompts that wait as several entries chose a target's last slot.

The load it answers: a burst of short prompts that leaves few free slots, at
entries that choose within the time that an update takes between them.
"""

from .board import DirectBoard, DirectRequest, WorkItem

# Seconds within which placements by two entries count as simultaneous.
SIMULTANEITY_TOLERANCE = 0.01
# Free slots of a target that a prompt is moved to.  In a fleet without them,
# moved prompts would collide again.
MIN_FREE_SLOTS = 2


class CollisionDetector:
    """Ranks the prompts on a target; times are in seconds.

    All entries rank alike, so that of the prompts that collide only those
    without a slot are moved.
    """

    def __init__(self, board: DirectBoard) -> None:
        self._board = board

    def find(self, targets: set[str]) -> list[DirectRequest]:
        """Return own requests that lack an expected slot of these targets."""
        return [
            request
            for request in self._board.requests.values()
            if request.expects_slot
            and len(request.work_items) == 1
            and request.work_items[0].target in targets
            and not request.answer_started
            and self._lacks_slot(request)
        ]

    def _lacks_slot(self, request: DirectRequest) -> bool:
        item = request.work_items[0]
        view = self._board.targets.get(item.target)
        service = self._board.find_service(request.inbound.service)
        if view is None or service is None or service.engine is None:
            return False
        ahead = sum(1 for other in view.work_items.values() if _precedes(other, item))
        return ahead >= service.engine.slots


def _precedes(other: WorkItem, item: WorkItem) -> bool:
    """Return whether a prompt takes its slot before another one."""
    if other.key == item.key or not other.generates_answer:
        return False
    if other.decoding:
        return True
    difference = other.placed_at - item.placed_at
    if abs(difference) <= SIMULTANEITY_TOLERANCE:
        return other.key < item.key
    return difference < 0
