"""The operators' command-line tool.

Exit codes: 0 done, and in force everywhere; 1 failed; 2 wrong usage;
3 refused because it is invalid or names something unknown; 4 refused because
of a conflict with another change; 5 not authenticated or not granted;
6 accepted, but some process did not apply it in time; 7 the store or the
server did not answer.
"""

import argparse
import asyncio
import json
import os
import pathlib
import sys
import typing as t
import urllib.parse
import uuid

import aiosonic
import jsonc
from aiosonic.timeout import Timeouts

from . import explain, history, operation
from .administration import PREFIX
from .catalogue import KINDS
from .exceptions import CatalogueError
from .schema import Json, dump_entry, parse_file

KEY_VARIABLE = "CHICORYCOVE_KEY"
DEFAULT_SERVER = "http://127.0.0.1:8080"
TIMEOUT = 30.0  # seconds

DONE = 0
FAILED = 1
USAGE = 2
REFUSED = 3
CONFLICT = 4
DENIED = 5
LAGGING = 6
UNAVAILABLE = 7

EXIT_CODES = {401: DENIED, 403: DENIED, 404: REFUSED, 409: CONFLICT, 422: REFUSED}


class _CommandError(Exception):
    """A failed command, with its exit code."""

    def __init__(self, code: int, detail: str) -> None:
        super().__init__(detail)
        self.code = code


def main(argv: t.Sequence[str] | None = None) -> int:
    """Run a command and return its exit code."""
    arguments = _build_parser().parse_args(argv)
    try:
        return asyncio.run(arguments.run(arguments))
    except _CommandError as error:
        print(f"chicorycove: {error}", file=sys.stderr)
        return error.code
    except OSError as error:
        print(f"chicorycove: {error.filename}: {error.strerror}", file=sys.stderr)
        return USAGE
    except (CatalogueError, UnicodeDecodeError) as error:
        print(f"chicorycove: {error}", file=sys.stderr)
        return REFUSED


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="chicorycove",
        description="Read and change the catalogue.",
        epilog=__doc__.split("\n\n")[1],
    )
    parser.add_argument("--server", default=DEFAULT_SERVER, help="URL of an entry")
    parser.add_argument(
        "--key", help=f"operator's key; default: the value of {KEY_VARIABLE}"
    )
    parser.add_argument("--output", choices=("table", "json"), default="table")
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    _add_read_commands(commands)
    _add_write_commands(commands)
    operation.add_commands(
        commands, operation.CliFunctions(_call, _change, _print_table)
    )
    explain.add_command(commands, _fetch_page, _print_table)
    return parser


def _add_read_commands(commands) -> None:
    get = commands.add_parser("get", help="print an entry")
    get.add_argument("kind", choices=KINDS)
    get.add_argument("name")
    get.set_defaults(run=_get)
    list_command = commands.add_parser("list", help="print the entries of a kind")
    list_command.add_argument("kind", choices=KINDS)
    list_command.set_defaults(run=_list)
    history_command = commands.add_parser("history", help="print the newest changes")
    history_command.add_argument("--limit", type=int, default=50)
    history_command.add_argument(
        "--format", choices=("csv", "md"), help="a format for minutes"
    )
    history_command.set_defaults(run=_history)
    show = commands.add_parser("show", help="print a change")
    show.add_argument("change", help="id or revision")
    show.set_defaults(run=_show)
    status = commands.add_parser("status", help="print the revision per process")
    status.set_defaults(run=_status)


def _add_write_commands(commands) -> None:
    apply = commands.add_parser("apply", help="set the entries of a file")
    apply.add_argument("file", type=pathlib.Path)
    apply.add_argument("--base", type=int, help="refuse if changed since a revision")
    apply.set_defaults(run=_apply)
    delete = commands.add_parser("delete", help="delete an entry")
    delete.add_argument("kind", choices=KINDS)
    delete.add_argument("name")
    delete.add_argument("--base", type=int, help="refuse if changed since a revision")
    delete.set_defaults(run=_delete)
    revert = commands.add_parser("revert", help="undo a change by a new one")
    revert.add_argument("change", help="id or revision")
    revert.set_defaults(run=_revert)
    for command in (apply, delete, revert):
        command.add_argument("--reason", required=True, help="for the history")
        command.add_argument("--dry-run", action="store_true", help="print the diff")


async def _get(arguments) -> int:
    path = f"/entries/{arguments.kind}/{_quote(arguments.name)}"
    data = await _call(arguments, "GET", path)
    print(json.dumps(data if arguments.output == "json" else data["entry"], indent=2))
    return DONE


async def _list(arguments) -> int:
    data = await _call(arguments, "GET", f"/entries/{arguments.kind}")
    if arguments.output == "json":
        print(json.dumps(data, indent=2))
        return DONE
    rows = [
        [
            item["entry"]["name"],
            item["entry"]["owner"],
            str(item["changed"]["revision"]),
            item["changed"]["operator"],
        ]
        for item in data["entries"]
    ]
    _print_table(["name", "owner", "revision", "operator"], rows)
    return DONE


async def _history(arguments) -> int:
    data = await _call(arguments, "GET", f"/changes?limit={arguments.limit}")
    match arguments.format, arguments.output:
        case "csv", _:
            print(history.to_csv(data["changes"]), end="")
        case "md", _:
            print(history.to_markdown(data["changes"]), end="")
        case _, "json":
            print(json.dumps(data, indent=2))
        case _:
            _print_table(history.COLUMNS, history.build_rows(data["changes"]))
    return DONE


async def _show(arguments) -> int:
    data = await _call(arguments, "GET", f"/changes/{_quote(arguments.change)}")
    _print_change(arguments, data)
    return DONE


async def _status(arguments) -> int:
    data = await _call(arguments, "GET", "/status")
    if arguments.output == "json":
        print(json.dumps(data, indent=2))
        return DONE
    accepts = "accepts" if data["accepts"] else "out of touch: does not accept"
    print(f'revision {data["revision"]}; this entry {accepts} changes')
    columns = ["name", "role", "failure_domain", "state", "incarnation", "revision"]
    rows = [[str(row[name]) for name in columns] for row in data["processes"]]
    for row, process in zip(rows, data["processes"]):
        row.append(str(max(data["revision"] - process["revision"], 0)))
    _print_table([*columns, "behind"], rows)
    return DONE


async def _apply(arguments) -> int:
    text = arguments.file.read_text()
    entries = parse_file(text)
    base = arguments.base
    if base is None:
        base = jsonc.loads(text).get("revision")
    edits = [{"entry": dump_entry(entry)} for entry in entries]
    return await _change(arguments, "/changes", {"edits": edits}, base)


async def _delete(arguments) -> int:
    edit = {"delete": {"kind": arguments.kind, "name": arguments.name}}
    return await _change(arguments, "/changes", {"edits": [edit]}, arguments.base)


async def _revert(arguments) -> int:
    path = f"/changes/{_quote(arguments.change)}/revert"
    return await _change(arguments, path, {})


async def _change(arguments, path: str, body: Json, base: int | None = None) -> int:
    body = body | {
        "id": uuid.uuid4().hex[:16],
        "reason": arguments.reason,
        "dry_run": arguments.dry_run,
    }
    if base is not None:
        body["base"] = base
    data = await _call(arguments, "POST", path, body)
    _print_change(arguments, data)
    if arguments.dry_run or data.get("in_force_at") is not None:
        return DONE
    return LAGGING


async def _call(arguments, method: str, path: str, body: Json = None) -> Json:
    key = arguments.key or os.environ.get(KEY_VARIABLE, "")
    if not key:
        raise _CommandError(DENIED, f"no key: give --key or set {KEY_VARIABLE}")
    if not arguments.server.startswith(("http://", "https://")):
        raise _CommandError(
            USAGE,
            f"--server: expected a URL such as {DEFAULT_SERVER}, "
            f'got "{arguments.server}"',
        )
    url = arguments.server.rstrip("/") + PREFIX + path
    headers = {"Authorization": f"Bearer {key}"}
    data = None
    if body is not None:
        headers["Content-Type"] = "application/json"
        data = json.dumps(body).encode()
    timeouts = Timeouts(request_timeout=TIMEOUT)
    try:
        async with aiosonic.HTTPClient() as client:
            response = await client.request(
                url, method, headers=headers, data=data, timeouts=timeouts
            )
            answer = json.loads(await response.content())
            status = response.status_code
    except Exception as error:
        hint = "" if body is None else f'; change {body["id"]} may have been accepted'
        cause = str(error) or type(error).__name__
        raise _CommandError(UNAVAILABLE, f"{arguments.server}: {cause}{hint}") from None
    if status == 200:
        return answer
    code = UNAVAILABLE if status >= 500 else EXIT_CODES.get(status, FAILED)
    raise _CommandError(code, answer.get("detail", f"status {status}"))


async def _fetch_page(url: str, headers: dict[str, str]) -> Json:
    """Return the JSON of an entry's page."""
    address = urllib.parse.urlsplit(url).netloc
    timeouts = Timeouts(request_timeout=TIMEOUT)
    try:
        async with aiosonic.HTTPClient() as client:
            response = await client.request(
                url, "GET", headers=headers, timeouts=timeouts
            )
            content = await response.content()
            if response.status_code == 200:
                return json.loads(content)
    except Exception as error:
        cause = str(error) or type(error).__name__
        raise _CommandError(UNAVAILABLE, f"{address}: {cause}") from None
    status = response.status_code
    code = REFUSED if status == 400 else EXIT_CODES.get(status, FAILED)
    detail = content.decode(errors="replace").strip()
    raise _CommandError(code, detail or f"{address}: status {status}")


def _quote(text: str) -> str:
    return urllib.parse.quote(text, safe="")


def _print_change(arguments, data: Json) -> None:
    if arguments.output == "json":
        print(json.dumps(data, indent=2))
        return
    if "revision" in data:
        when = history.format_time(data["accepted_at"])
        print(f'change {data["id"]}, revision {data["revision"]}, accepted {when}')
        print(f'by {data["operator"]} of {data["owner"]}: {data["reason"]}')
        print(f'in force everywhere {history.format_time(data.get("in_force_at"))}')
        for laggard in data.get("laggards", ()):
            name, cause = laggard["name"], laggard["cause"]
            print(f'lags: {name} at revision {laggard["revision"]}, {cause}')
    for line in data["diff"]:
        print(line)


def _print_table(columns: t.Sequence[str], rows: t.Sequence[t.Sequence[str]]) -> None:
    widths = [max(map(len, column)) for column in zip(columns, *rows)]
    for row in (columns, *rows):
        cells = (cell.ljust(width) for cell, width in zip(row, widths))
        print("  ".join(cells).rstrip())


if __name__ == "__main__":
    sys.exit(main())
