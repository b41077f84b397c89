"""The state of the catalogue in a process, and what led to it."""

import collections
import typing as t

from .catalogue_message import InstallState
from .change import Change, State

MAX_LOG = 256  # changes kept to send in place of the whole


class Replica:
    """The state in force in a process and the changes that led to it."""

    def __init__(self) -> None:
        self.state = State()
        self._log: collections.deque[Change] = collections.deque(maxlen=MAX_LOG)

    @property
    def revision(self) -> int:
        """Return the revision in force."""
        return self.state.revision

    def update(
        self, changes: t.Iterable[Change], state: State | None = None
    ) -> InstallState | None:
        """Apply what is newer, and return it if there is any."""
        applied = []
        before = self.revision
        if state is not None and state.revision > self.revision:
            self.state = state
            self._log.clear()
        for change in changes:
            if change.revision == self.revision + 1:
                self.state = self.state.with_change(change)
                self._log.append(change)
                applied.append(change)
        if self.revision == before:
            return None
        return InstallState(self.state, tuple(applied))

    def changes_since(self, revision: int) -> tuple[tuple[Change, ...], State | None]:
        """Return the changes after a revision, or the whole."""
        changes = tuple(c for c in self._log if c.revision > revision)
        if changes and changes[0].revision == revision + 1:
            return changes, None
        return (), self.state
