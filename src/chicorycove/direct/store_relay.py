"""Relays the store's changes within a failure domain.

A few entries of a failure domain, its watchers, watch the store.  The others
receive each batch of changes from them, so that the calls to the store do not
grow with the number of entries.  The load it answers: hundreds of entries that
each would repeat the same watch.
"""

import dataclasses
import typing as t

from .store_revision import StoreRevision

frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)

MAX_PART_SIZE = 1_200  # bytes, so that a datagram fits into an Ethernet frame
MAX_PARTS = 128  # of a batch; larger batches are fetched from the store
# Of a batch that each watcher sends. Larger ones come from the first watcher
# alone, as copies would share thin links.
MAX_COPIED_PARTS = 12
MAX_PENDING_BATCHES = 32  # incomplete or early batches that are kept
# By which a watcher's clock may lose against this one, per second.
MAX_CLOCK_DRIFT = 0.001
MAX_OFFSET_AGE = 60.0  # seconds for which a silent watcher's clock is remembered


@frozen
class RelaySettings:
    """Timing of the relay; times are in seconds."""

    watcher_count: int = 2  # entries of a failure domain that watch the store
    # Silence after which a watcher is no longer counted.  Heartbeats are sent
    # five times a second.
    watcher_timeout: float = 0.9
    gap_tolerance: float = 0.3  # time in which missing changes may still arrive
    # By which parts of a batch lengthen that time at most, as they arrive.
    max_batch_time: float = 0.2


@frozen
class RelayUpdate:
    """How far a watcher has followed the store, and part of a batch."""

    owner: str
    revision: StoreRevision  # that the watcher has followed the store up to
    # The batch holds all changes between this revision of the same era and
    # the other; 0 for a heartbeat.
    after: int = 0
    part: int = 0
    part_count: int = 0  # 0 if no changes follow, since they are too many
    data: bytes = b""
    regained_ago: float | None = None  # seconds since the watcher regained the store
    sent_at: float | None = None  # by the watcher's clock; None if it does not say


@frozen
class RelayedChanges:
    """A complete batch of changes, encoded."""

    after: int  # revision of the same era
    revision: StoreRevision
    data: bytes


@frozen
class _Heard:
    at: float  # seconds
    era: int


@frozen
class _ClockOffset:
    """The least difference of a datagram's arrival and its sending.

    Each is by its host's clock.
    """

    least: float  # seconds
    seen_at: float


class StoreRelay:
    """Decides who watches the store, and orders what watchers send.

    An entry watches the store unless it hears enough watchers that precede it:
    those with wider links do, and of equal links those whose names sort before
    its own.  Whoever hears none watches, so nothing is elected.

    A watcher counts as heard when its datagram was sent: one that waited on a
    link says little about the watcher's present state.

    A watcher that has not noticed that the store was restored is not heard: it
    sends no changes of the present era.
    """

    def __init__(
        self, name: str, settings: RelaySettings, link_rate: float = 0.0
    ) -> None:
        """Take part under a name.

        The rate of the own link is in Mbit/s, 0 if unknown.
        """
        self._name = name
        self._settings = settings
        self._link_rates = {name: link_rate}
        self._own_link_rate = link_rate
        self._clock_offsets: dict[str, _ClockOffset] = {}
        self._revision: StoreRevision | None = None
        self._era = 0  # of the last known revision
        self._heard: dict[str, _Heard] = {}
        self._batches: dict[tuple[str, int, StoreRevision], list[bytes | None]] = {}
        self._behind_since: float | None = None
        self._newest_part_at = float("-inf")  # of a batch that can be applied
        self._newest_heard = StoreRevision()

    @property
    def era_superseded(self) -> bool:
        """Return whether a watcher follows a later era of the store."""
        return self._revision is not None and self._newest_heard.era > self._era

    def record_link_rates(self, rates: t.Mapping[str, float]) -> None:
        """Record the rates of the entries' links, in Mbit/s by their names."""
        self._link_rates = {**rates, self._name: self._own_link_rate}

    def hears_watcher(self, now: float) -> bool:
        """Return whether any watcher of the store was heard lately."""
        limit = now - self._settings.watcher_timeout
        return any(
            heard.at > limit and heard.era >= self._era
            for heard in self._heard.values()
        )

    def follows(self, now: float) -> bool:
        """Return whether this entry leaves the watch to others."""
        return self._revision is not None and now < self.follows_until(now)

    def follows_until(self, now: float) -> float:
        """Return when too few watchers remain, unless they are heard again."""
        limit = now - self._settings.watcher_timeout
        heard = sorted(
            heard.at
            for name, heard in self._heard.items()
            if self._precedes(name) and heard.at > limit and heard.era >= self._era
        )
        if len(heard) < self._settings.watcher_count:
            return now
        return heard[-self._settings.watcher_count] + self._settings.watcher_timeout

    def receive(self, update: RelayUpdate, now: float) -> bool:
        """Record a watcher's update; return False if its era has ended."""
        if update.revision.era < self._era:
            return False
        limit = now - self._settings.watcher_timeout
        self._heard = {
            name: heard for name, heard in self._heard.items() if heard.at > limit
        }
        sent_at = now - self._measure_delay(update, now)
        if sent_at > limit:
            self._heard[update.owner] = _Heard(at=sent_at, era=update.revision.era)
        self._newest_heard = max(self._newest_heard, update.revision)
        if self._revision is None or update.revision <= self._revision:
            return True
        if self._behind_since is None:
            self._behind_since = now
        if update.after and not update.part_count:
            self._stop_waiting(now)
        if not 0 <= update.part < update.part_count <= MAX_PARTS:
            return True
        key = (update.owner, update.after, update.revision)
        if key not in self._batches and len(self._batches) >= MAX_PENDING_BATCHES:
            del self._batches[next(iter(self._batches))]
        parts = self._batches.setdefault(key, [None] * update.part_count)
        if len(parts) == update.part_count and parts[update.part] is None:
            parts[update.part] = update.data
            if StoreRevision(update.revision.era, update.after) <= self._revision:
                self._record_part(update.part, parts, now)
        return True

    def next_changes(self) -> RelayedChanges | None:
        """Return a complete batch that continues the own revision, if any."""
        if self._revision is None:
            return None
        for (_, after, revision), parts in self._batches.items():
            first = StoreRevision(revision.era, after)
            if first <= self._revision < revision and None not in parts:
                return RelayedChanges(
                    after=after, revision=revision, data=b"".join(parts)
                )
        return None

    def discard(self, changes: RelayedChanges, now: float) -> None:
        """Drop a batch that cannot be applied, so that it is fetched."""
        self._stop_waiting(now)
        self._batches = {
            key: parts
            for key, parts in self._batches.items()
            if (key[1], key[2]) != (changes.after, changes.revision)
        }

    def record_revision(self, revision: StoreRevision | None, now: float) -> None:
        """Record how far this entry follows the store; None if unknown."""
        if self._revision is None and revision is not None:
            # The store's own answer says which era it is in.
            if revision.era < self._newest_heard.era:
                self._newest_heard = revision
            self._era = revision.era
        self._revision = revision
        self._batches = {
            key: parts
            for key, parts in self._batches.items()
            if revision is not None and key[2] > revision
        }
        behind = revision is not None and self._newest_heard > revision
        self._behind_since = now if behind else None
        self._newest_part_at = float("-inf")

    def fetch_due_at(self) -> float | None:
        """Return when missing changes are to be fetched, if there are any."""
        if self._behind_since is None:
            return None
        settings = self._settings
        latest_start = self._behind_since + settings.max_batch_time
        waiting_since = max(self._behind_since, min(self._newest_part_at, latest_start))
        return waiting_since + settings.gap_tolerance

    def create_updates(
        self,
        after: int,
        revision: StoreRevision,
        data: bytes,
        regained_ago: float | None,
        first: bool = True,
    ) -> list[RelayUpdate]:
        """Return the updates of a batch, or one that announces a large one.

        The first watcher of the failure domain sends larger batches than the
        others, which leave these to it.
        """
        parts = [
            data[start : start + MAX_PART_SIZE]
            for start in range(0, len(data), MAX_PART_SIZE)
        ]
        if not 1 <= len(parts) <= MAX_PARTS:
            heartbeat = self.create_heartbeat(revision, regained_ago)
            return [dataclasses.replace(heartbeat, after=after)]
        if len(parts) > MAX_COPIED_PARTS and not first:
            return []
        return [
            RelayUpdate(
                owner=self._name,
                revision=revision,
                after=after,
                part=number,
                part_count=len(parts),
                data=part,
                regained_ago=regained_ago,
            )
            for number, part in enumerate(parts)
        ]

    def create_heartbeat(
        self, revision: StoreRevision, regained_ago: float | None
    ) -> RelayUpdate:
        """Return an update without changes."""
        return RelayUpdate(
            owner=self._name, revision=revision, regained_ago=regained_ago
        )

    def recipients(self, domain_names: t.Iterable[str]) -> list[str]:
        """Return the entries of a failure domain that may follow this one."""
        ranked = sorted({*domain_names, self._name}, key=self._rank)
        return [
            name
            for name in ranked[self._settings.watcher_count :]
            if self._rank(name) > self._rank(self._name)
        ]

    def is_first(self, domain_names: t.Iterable[str]) -> bool:
        """Return whether this entry precedes all of a failure domain."""
        return not any(self._precedes(name) for name in domain_names)

    def _record_part(
        self, number: int, parts: t.Sequence[bytes | None], now: float
    ) -> None:
        """Wait for more parts, unless the last one shows that some lack."""
        if number == len(parts) - 1 and None in parts:
            self._stop_waiting(now)
        else:
            self._newest_part_at = now

    def _stop_waiting(self, now: float) -> None:
        """Let missing changes be fetched now, as no watcher will send them."""
        self._behind_since = now - self._settings.gap_tolerance
        self._newest_part_at = float("-inf")

    def _rank(self, name: str) -> tuple[float, str]:
        return (-self._link_rates.get(name, 0.0), name)

    def _precedes(self, name: str) -> bool:
        return self._rank(name) < self._rank(self._name)

    def _measure_delay(self, update: RelayUpdate, now: float) -> float:
        """Return how much longer than the fastest one a datagram took."""
        if update.sent_at is None:
            return 0.0
        offset = least = now - update.sent_at
        known = self._clock_offsets.get(update.owner)
        if known is not None:
            drift = (now - known.seen_at) * MAX_CLOCK_DRIFT
            least = min(offset, known.least + drift)
        self._clock_offsets = {
            name: known
            for name, known in self._clock_offsets.items()
            if now < known.seen_at + MAX_OFFSET_AGE
        }
        self._clock_offsets[update.owner] = _ClockOffset(least=least, seen_at=now)
        return offset - least
