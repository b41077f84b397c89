"""Changes to the catalogue: proposals, accepted changes, their JSON form."""

import dataclasses
import fnmatch
import json
import typing as t
import zlib

from .catalogue import Catalogue, Entry, EntryId, Operator
from .exceptions import CatalogueError, ConflictError, GrantError
from .schema import Json, dump_entry, parse_entry
from .validation import validate

DELETED_MARK_RETENTION = 10_000  # revisions for which a deleted entry's mark is kept

frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@frozen
class Edit:
    """An entry to set, or to delete if the entry is None."""

    id: EntryId
    entry: Entry | None


@frozen
class Proposal:
    """A change that an operator requests.

    A proposal that is sent again with the same id is accepted only once.  If
    ``base`` is set, the proposal is rejected if any of its entries changed
    after that revision.  ``reverts`` is the id of the change that it undoes,
    and ``owner`` the operator's owner.
    """

    id: str
    operator: str
    owner: str
    reason: str
    edits: tuple[Edit, ...]
    base: int | None = None
    reverts: str = ""


@frozen
class Replacement:
    """An entry before and after a change."""

    id: EntryId
    before: Entry | None
    after: Entry | None


@frozen
class Change:
    """An accepted change; the time is in seconds since the epoch."""

    id: str
    revision: int
    operator: str
    owner: str
    reason: str
    accepted_at: float
    replacements: tuple[Replacement, ...]
    reverts: str = ""


@frozen
class Mark:
    """Who last changed an entry, and in which revision."""

    revision: int
    change: str
    operator: str
    owner: str


@frozen
class State:
    """A catalogue with a mark for each entry, including deleted ones."""

    catalogue: Catalogue = Catalogue()
    marks: t.Mapping[EntryId, Mark] = dataclasses.field(default_factory=dict)

    @property
    def revision(self) -> int:
        """Return the revision of the catalogue."""
        return self.catalogue.revision

    def with_change(self, change: Change) -> "State":
        """Return the state after a change, which has the next revision."""
        edits = {each.id: each.after for each in change.replacements}
        mark = Mark(
            revision=change.revision,
            change=change.id,
            operator=change.operator,
            owner=change.owner,
        )
        return State(
            catalogue=self.catalogue.with_edits(edits, change.revision),
            marks={**self.marks, **{id: mark for id in edits}},
        )


def build_change(state: State, proposal: Proposal, now: float) -> Change:
    """Return the change that a proposal makes to a state.

    :raises ConflictError: naming who changed an entry since the base
    :raises CatalogueError: if the changed catalogue would not be valid
    """
    _check_edits_and_reason(proposal)
    _check_conflicts(state, proposal)
    replacements = tuple(
        Replacement(id=edit.id, before=state.catalogue.find(edit.id), after=edit.entry)
        for edit in proposal.edits
    )
    effective = tuple(each for each in replacements if each.before != each.after)
    if not effective:
        raise CatalogueError("the change has no effect")
    change = Change(
        id=proposal.id,
        revision=state.revision + 1,
        operator=proposal.operator,
        owner=proposal.owner,
        reason=proposal.reason,
        accepted_at=now,
        replacements=effective,
        reverts=proposal.reverts,
    )
    validate(state.with_change(change).catalogue)
    return change


def build_revert(change: Change, proposal: Proposal) -> Proposal:
    """Return a copy of a proposal with the edits that undo a change."""
    edits = tuple(Edit(id=each.id, entry=each.before) for each in change.replacements)
    return dataclasses.replace(
        proposal, edits=edits, base=change.revision, reverts=change.id
    )


def check_grants(operator: Operator, edits: t.Iterable[Edit]) -> None:
    """Check that an operator's grants cover every edit.

    :raises GrantError: naming the operator and the entry
    """
    for edit in edits:
        if not any(
            fnmatch.fnmatchcase(str(edit.id), grant) for grant in operator.grants
        ):
            raise GrantError(
                f'operator "{operator.name}" has no grant for {edit.id.kind} '
                f'"{edit.id.name}"'
            )


def diff(replacements: t.Iterable[Replacement]) -> list[str]:
    """Return the lines of a readable diff of entries."""
    lines = []
    for each in replacements:
        before = {} if each.before is None else dump_entry(each.before)
        after = {} if each.after is None else dump_entry(each.after)
        sign = "+" if not before else "-" if not after else "~"
        lines.append(f'{sign} {each.id.kind} "{each.id.name}"')
        for key in sorted({*before, *after} - {"kind", "name"}):
            if key in before and before.get(key) != after.get(key):
                lines.append(f"  - {key}: {json.dumps(before[key])}")
            if key in after and before.get(key) != after.get(key):
                lines.append(f"  + {key}: {json.dumps(after[key])}")
    return lines


def change_to_json(change: Change) -> Json:
    """Return the JSON form of a change."""
    return {
        "id": change.id,
        "revision": change.revision,
        "operator": change.operator,
        "owner": change.owner,
        "reason": change.reason,
        "accepted_at": change.accepted_at,
        "reverts": change.reverts,
        "replacements": [
            {
                "kind": each.id.kind,
                "name": each.id.name,
                "before": None if each.before is None else dump_entry(each.before),
                "after": None if each.after is None else dump_entry(each.after),
            }
            for each in change.replacements
        ],
    }


def change_from_json(data: Json) -> Change:
    """Read a change from its JSON form."""
    replacements = tuple(
        Replacement(
            id=EntryId(each["kind"], each["name"]),
            before=None if each["before"] is None else parse_entry(each["before"]),
            after=None if each["after"] is None else parse_entry(each["after"]),
        )
        for each in data["replacements"]
    )
    return Change(**{**data, "replacements": replacements})


def encode_change(change: Change) -> bytes:
    """Return the compressed form in which a change is sent to a peer."""
    return zlib.compress(json.dumps(change_to_json(change)).encode())


def decode_change(data: bytes) -> Change:
    """Return the change that ``encode_change`` encoded."""
    return change_from_json(json.loads(zlib.decompress(data)))


def state_to_json(state: State, ids: t.Iterable[EntryId]) -> Json:
    """Return the JSON form of some of a state's entries with their marks."""
    rows = []
    for id in sorted(ids):
        entry = state.catalogue.find(id)
        rows.append(
            {
                "kind": id.kind,
                "name": id.name,
                "entry": None if entry is None else dump_entry(entry),
                "mark": dataclasses.asdict(state.marks[id]),
            }
        )
    return rows


def state_from_json(rows: Json, revision: int) -> State:
    """Read a state from the JSON form of all its entries."""
    entries = [parse_entry(row["entry"]) for row in rows if row["entry"] is not None]
    marks = {EntryId(row["kind"], row["name"]): Mark(**row["mark"]) for row in rows}
    return State(catalogue=Catalogue.build(entries, revision), marks=marks)


def encode_state(state: State) -> bytes:
    """Return the compressed form in which a state is sent to a peer."""
    data = {"revision": state.revision, "rows": state_to_json(state, state.marks)}
    return zlib.compress(json.dumps(data).encode())


def decode_state(data: bytes) -> State:
    """Return the state that ``encode_state`` encoded."""
    parsed = json.loads(zlib.decompress(data))
    return state_from_json(parsed["rows"], parsed["revision"])


def _check_edits_and_reason(proposal: Proposal) -> None:
    if not proposal.reason.strip():
        raise CatalogueError("a change needs a reason")
    ids = [edit.id for edit in proposal.edits]
    if not ids:
        raise CatalogueError("a change needs at least one edit")
    if len(set(ids)) < len(ids):
        raise CatalogueError("a change may edit each entry only once")


def _check_conflicts(state: State, proposal: Proposal) -> None:
    if proposal.base is None:
        return
    for edit in proposal.edits:
        mark = state.marks.get(edit.id)
        if mark is not None and mark.revision > proposal.base:
            raise ConflictError(
                f'{edit.id.kind} "{edit.id.name}" was changed at revision '
                f'{mark.revision} by operator "{mark.operator}" of '
                f'"{mark.owner}" in change {mark.change}, after revision '
                f"{proposal.base}, on which this change is based"
            )
