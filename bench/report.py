"""Tables and files of measurements."""

import json
import pathlib
import typing as t

FOLDER = pathlib.Path(__file__).parent.parent / "docs" / "measurements"

Row = t.Mapping[str, t.Any]


def table(rows: t.Sequence[Row]) -> str:
    """Return rows as a Markdown table."""
    names = list(rows[0])
    lines = [_line(names), _line(["---"] * len(names))]
    lines += [_line([_cell(row.get(name, "")) for name in names]) for row in rows]
    return "\n".join(lines)


def save(name: str, document: t.Any) -> pathlib.Path:
    """Write a measurement as JSON and return where."""
    FOLDER.mkdir(parents=True, exist_ok=True)
    path = FOLDER / f"{name}.json"
    path.write_text(json.dumps(document, indent=2, default=str) + "\n")
    return path


def load(name: str) -> t.Any:
    """Read a measurement."""
    return json.loads((FOLDER / f"{name}.json").read_text())


def _line(cells: t.Sequence[str]) -> str:
    return f"| {' | '.join(cells)} |"


def _cell(value: t.Any) -> str:
    return f"{value:g}" if isinstance(value, float) else str(value)
