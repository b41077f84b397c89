"""The command that asks an entry where a request would go now, and why."""

import argparse
import json
import typing as t
import urllib.parse

from .schema import Json

DONE = 0
EXPLAIN_PATH = "/explain"

# Options of the command, and the fields of the query that they set.
FIELDS = {
    "host": "host of the request",
    "path": "path of the request",
    "model": "service; alone, its first route, or one of the services of the path",
    "workspace": "name of the caller's workspace",
    "tokens": "tokens of the prompt",
    "output_tokens": "largest number of tokens of the answer",
    "deadline": "seconds that the caller waits; default: the route's timeout",
    "body_size": "bytes of the body, which count where links have a price",
    "prompt_prefix": "parts of the prompt as ID:TOKENS,..., for quarantines",
    "fingerprint": "fingerprint of the request in the log, for quarantines",
}

PART_NAMES = {
    "others": "others",
    "avoidance": "avoided",
    "late_start": "late",
    "pauses": "pauses",
    "past_deadline": "deadline",
    "waiting": "waiting",
    "few_free_slots": "slots",
    "other_domain": "domain",
    "order": "order",
}

Fetch = t.Callable[[str, dict[str, str]], t.Awaitable[Json]]
PrintTable = t.Callable[[t.Sequence[str], t.Sequence[t.Sequence[str]]], None]


def add_command(commands: t.Any, fetch: Fetch, print_table: PrintTable) -> None:
    """Add the command to the sub-commands of a parser."""
    explain = commands.add_parser(
        "explain",
        help="print where a request to a direct entry would go, and why",
        description="Ask a direct entry where a request would go now, and why, "
        "without sending it. Give --host and --path, or --model. A refusal of "
        "the request is an answer: the exit code is 0.",
    )
    explain.add_argument(
        "--address",
        required=True,
        type=_parse_address,
        metavar="HOST:PORT",
        help="of the entry's metrics page",
    )
    for name, text in FIELDS.items():
        explain.add_argument(f"--{name.replace('_', '-')}", help=text)
    explain.add_argument("--caller-key", help="key of the caller, not the operator's")
    explain.add_argument("--json", action="store_true", help="as --output json")

    async def run(arguments: argparse.Namespace) -> int:
        fields = {name: getattr(arguments, name) for name in FIELDS}
        query = {name: value for name, value in fields.items() if value is not None}
        headers = {}
        if arguments.caller_key is not None:
            headers["Authorization"] = f"Bearer {arguments.caller_key}"
        url = f"http://{arguments.address}{EXPLAIN_PATH}?"
        data = await fetch(url + urllib.parse.urlencode(query), headers)
        if arguments.json or arguments.output == "json":
            print(json.dumps(data, indent=2))
        else:
            _print_explanation(data, print_table)
        return DONE

    explain.set_defaults(run=run)


def _parse_address(text: str) -> str:
    host, _, port = text.rpartition(":")
    if not host or "/" in text or not (port.isascii() and port.isdigit()):
        raise argparse.ArgumentTypeError(f'expected HOST:PORT, got "{text}"')
    return text


def _print_explanation(data: Json, print_table: PrintTable) -> None:
    print(_describe_outcome(data))
    if not data["route"]:
        return
    workspace = f', workspace {data["workspace"]}' if data["workspace"] else ""
    print(f'route {data["route"]}, service {data["service"]}{workspace}')
    heard = data["store_heard_ago"]
    print(
        f'store revision {data["store_revision"]} of era {data["store_era"]}, '
        f'{"never heard" if heard is None else f"heard {heard:.1f} s ago"}; '
        f'{data["heard_entry_count"]} of {data["entry_count"]} entries heard'
    )
    if data["evacuated_domains"]:
        print(f'evacuated: {", ".join(data["evacuated_domains"])}')
    if len(data["groups"]) > 1:
        print()
        columns = ("group", "first event", "cost", "targets")
        print_table(columns, [_group_row(group) for group in data["groups"]])
    if data["targets"]:
        print()
        _print_targets(data["targets"], print_table)


def _describe_outcome(data: Json) -> str:
    refusal = data["refusal"]
    if refusal is not None:
        text = f'refused: {refusal["reason"]}, status {refusal["status"]}'
        if refusal["retry_after"] is not None:
            text += f', return after {refusal["retry_after"]:.3f} s'
        return text
    placement = data["placement"]
    members = [member["target"] for member in placement["members"]]
    text = f'sent to {placement["target"]}'
    if members:
        text += f' with {", ".join(members)}'
    if placement["prefill_time"]:
        text += f'; first event in {placement["time_to_first_event"]:.3f} s'
        text += f', cost {placement["cost"]:.4f}'
    return text


def _group_row(group: Json) -> list[str]:
    targets = " ".join(group["targets"])
    if not group["fits"]:
        return [str(group["size"]), "", "no memory", targets]
    return [
        str(group["size"]),
        f'{group["time_to_first_event"]:.3f} s',
        f'{group["cost"]:.4f}',
        targets,
    ]


def _print_targets(targets: Json, print_table: PrintTable) -> None:
    """Print the targets, the cheapest first, without parts that are all 0."""
    parts = [
        part
        for part in PART_NAMES
        if any((target["cost_parts"] or {}).get(part) for target in targets)
    ]
    columns = ["target", "domain", "work", "first event", "cost"]
    columns += [PART_NAMES[part] for part in parts]
    columns.append("excluded or avoided")
    rows = []
    for target in sorted(targets, key=_rank):
        row = [target["target"], target["failure_domain"], str(target["work"])]
        row.append(_format(target["time_to_first_event"], "{:.3f} s"))
        row.append(_format(target["cost"], "{:.4f}"))
        costs = target["cost_parts"] or {}
        row += [_format(costs.get(part), "{:.4f}") for part in parts]
        row.append(_describe_causes(target))
        rows.append(row)
    print_table(columns, rows)


def _rank(target: Json) -> tuple[bool, bool, float, str]:
    """Return a key that sorts compared targets first, the cheapest first."""
    cost = target["cost"] if target["cost"] is not None else target["call_work"]
    excluded = target["excluded"] is not None
    return excluded, bool(target["avoided"]), cost or 0.0, target["target"]


def _describe_causes(target: Json) -> str:
    causes = []
    if target["excluded"] is not None:
        left = target["excluded_for"]
        causes.append(target["excluded"] + _format(left, " for {:.1f} s"))
    for avoided in target["avoided"]:
        causes.append(f'{avoided["cause"]} for {avoided["time_left"]:.1f} s')
    if target["missing_tokens"]:
        causes.append(f'lacks memory for {target["missing_tokens"]} tokens')
    return ", ".join(causes)


def _format(value: float | None, form: str) -> str:
    return "" if value is None else form.format(value)
