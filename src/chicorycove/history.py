"""The history of the catalogue as tables for the board's minutes."""

import csv
import datetime
import io
import typing as t

from .schema import Json

COLUMNS = (
    "revision",
    "accepted",
    "in force everywhere",
    "operator",
    "owner",
    "entries",
    "reason",
    "reverts",
    "change",
)


def rows(changes: t.Iterable[Json]) -> list[list[str]]:
    """Return a row of text for each change in its JSON form."""
    return [
        [
            str(change["revision"]),
            format_time(change["accepted_at"]),
            format_time(change.get("in_force_at")),
            change["operator"],
            change["owner"],
            ", ".join(f'{r["kind"]}/{r["name"]}' for r in change["replacements"]),
            change["reason"],
            change["reverts"],
            change["id"],
        ]
        for change in changes
    ]


def to_csv(changes: t.Iterable[Json]) -> str:
    """Return changes as comma-separated values with a header."""
    text = io.StringIO()
    csv.writer(text, lineterminator="\n").writerows([COLUMNS, *rows(changes)])
    return text.getvalue()


def to_markdown(changes: t.Iterable[Json]) -> str:
    """Return changes as a Markdown table."""
    lines = [_line(COLUMNS), _line(["---"] * len(COLUMNS))]
    lines += [_line(row) for row in rows(changes)]
    return "\n".join(lines) + "\n"


def format_time(seconds: float | None) -> str:
    """Return a time since the epoch in UTC, or a dash for none."""
    if seconds is None:
        return "-"
    time = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return time.isoformat(sep=" ", timespec="milliseconds").removesuffix("+00:00")


def _line(cells: t.Iterable[str]) -> str:
    escaped = (cell.replace("|", "\\|").replace("\n", " ") for cell in cells)
    return f"| {' | '.join(escaped)} |"
