"""Revisions of the store, which are counted anew in each of its eras."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class StoreRevision:
    """A revision and the era that it belongs to.

    The store begins an era when it is restored from a copy.  Revisions since
    the copy are lost then, and their numbers are assigned again, so that each
    revision of an era is newer than all of the eras before.
    """

    era: int = 0  # 0 if the store or an entry of an earlier version names none
    number: int = 0

    def __str__(self) -> str:
        return f"{self.number} of era {self.era}"
