"""Tables of the catalogue's history, in CSV and Markdown for minutes."""

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


def build_rows(changes: t.Iterable[Json]) -> list[list[str]]:
    """Return a row of texts for each change, given in its JSON form."""
    return [
        [
            str(change["revision"]),
            format_time(change["accepted_at"]),
            format_time(change.get("in_force_at")),
            change["operator"],
            change["owner"],
            ", ".join(
                f'{each["kind"]}/{each["name"]}' for each in change["replacements"]
            ),
            change["reason"],
            change["reverts"],
            change["id"],
        ]
        for change in changes
    ]


def to_csv(changes: t.Iterable[Json]) -> str:
    """Return changes as comma-separated values with a header."""
    text = io.StringIO()
    csv.writer(text, lineterminator="\n").writerows([COLUMNS, *build_rows(changes)])
    return text.getvalue()


def to_markdown(changes: t.Iterable[Json]) -> str:
    """Return changes as a Markdown table."""
    lines = [_format_row(COLUMNS), _format_row(["---"] * len(COLUMNS))]
    lines += [_format_row(row) for row in build_rows(changes)]
    return "\n".join(lines) + "\n"


def format_time(seconds: float | None) -> str:
    """Format seconds since the epoch as a time in UTC, or None as a dash."""
    if seconds is None:
        return "-"
    time = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return time.isoformat(sep=" ", timespec="milliseconds").removesuffix("+00:00")


def _format_row(cells: t.Iterable[str]) -> str:
    escaped = (cell.replace("|", "\\|").replace("\n", " ") for cell in cells)
    return f"| {' | '.join(escaped)} |"
