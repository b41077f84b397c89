"""A process's copy of the catalogue, with the newest changes."""

import collections
import typing as t

from .catalogue_message import InstallState
from .change import Change, State

MAX_KEPT_CHANGES = 256  # changes kept, to be sent instead of the state


class Replica:
    """Holds the state in force in a process and the newest changes to it."""

    def __init__(self) -> None:
        self.state = State()
        self._changes: collections.deque[Change] = collections.deque(
            maxlen=MAX_KEPT_CHANGES
        )

    @property
    def revision(self) -> int:
        """Return the revision in force."""
        return self.state.revision

    def update(
        self, changes: t.Iterable[Change], state: State | None = None
    ) -> InstallState | None:
        """Apply newer changes or a newer state, and return them if any."""
        applied = []
        before = self.revision
        if state is not None and state.revision > self.revision:
            self.state = state
            self._changes.clear()
        for change in changes:
            if change.revision == self.revision + 1:
                self.state = self.state.with_change(change)
                self._changes.append(change)
                applied.append(change)
        if self.revision == before:
            return None
        return InstallState(self.state, tuple(applied))

    def changes_since(self, revision: int) -> tuple[tuple[Change, ...], State | None]:
        """Return the changes after a revision, or the state if any is gone."""
        changes = tuple(
            change for change in self._changes if change.revision > revision
        )
        if changes and changes[0].revision == revision + 1:
            return changes, None
        return (), self.state
