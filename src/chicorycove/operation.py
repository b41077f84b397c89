"""The operators' commands on plans, roll-outs and targets."""

import argparse
import asyncio
import dataclasses
import json
import typing as t

from .schema import Json

POLL_INTERVAL = 1.0  # seconds
DONE = 0
REFUSED = 3

MOVES = ("target", "model", "version", "urgency", "cause")
PROBLEMS = ("subject", "cause")
ROLLOUTS = ("model", "version", "done", "total", "state", "cause")


@dataclasses.dataclass(frozen=True, slots=True)
class Tools:
    """What the command line gives its commands."""

    call: t.Callable[..., t.Awaitable[Json]]
    change: t.Callable[..., t.Awaitable[int]]
    print_table: t.Callable[..., None]


def add_commands(commands: t.Any, tools: Tools) -> None:
    """Add the commands to a parser's sub-commands."""
    operations = _Operations(tools)
    plan = commands.add_parser("plan", help="print what would move, and why")
    plan.set_defaults(run=operations.plan)
    rollout = commands.add_parser("rollout", help="watch versions roll")
    actions = rollout.add_subparsers(required=True, metavar="ACTION")
    status = actions.add_parser("status", help="print how far versions have come")
    status.add_argument("--watch", action="store_true", help="until all rest")
    status.set_defaults(run=operations.rollout_status)
    target = commands.add_parser("target", help="take a target out, or back in")
    actions = target.add_subparsers(required=True, metavar="ACTION")
    for name, drained in (("drain", True), ("undrain", False)):
        action = actions.add_parser(name, help=f"{name} a target")
        action.add_argument("name")
        action.add_argument("--owner", help="of the target's entry, if it is new")
        action.add_argument("--reason", required=True, help="for the history")
        action.add_argument("--dry-run", action="store_true", help="print the diff")
        action.set_defaults(run=operations.drain, drained=drained)


class _Operations:
    """Runs the commands."""

    def __init__(self, tools: Tools) -> None:
        self._tools = tools

    async def plan(self, arguments: argparse.Namespace) -> int:
        """Print the moves under way and to come, and what hinders them."""
        head = await self._tools.call(arguments, "GET", "/plan")
        if arguments.output == "json":
            print(json.dumps(head, indent=2))
            return DONE
        if not head:
            print("no plan: the catalogue has no model with versions")
            return DONE
        print(f'revision {head["revision"]}, planner {head["planner"]}')
        moves = head["moves"] + head["waiting"]
        if moves:
            self._print(MOVES, moves)
        else:
            print("nothing is to move")
        if hidden := head["moves_total"] - len(moves):
            print(f"and {hidden} more")
        if head["problems"]:
            self._print(PROBLEMS, head["problems"])
        return DONE

    async def rollout_status(self, arguments: argparse.Namespace) -> int:
        """Print each model's roll-out, again and again if asked."""
        while True:
            head = await self._tools.call(arguments, "GET", "/plan")
            rollouts = head.get("rollouts", [])
            if arguments.output == "json":
                print(json.dumps(rollouts, indent=2))
            else:
                self._print(ROLLOUTS, rollouts)
            states = {rollout["state"] for rollout in rollouts}
            if not arguments.watch or "rolling" not in states:
                return REFUSED if "halted" in states else DONE
            await asyncio.sleep(POLL_INTERVAL)

    async def drain(self, arguments: argparse.Namespace) -> int:
        """Mark a target as drained, or not, in the catalogue."""
        listed = await self._tools.call(arguments, "GET", "/entries/target")
        known = {item["entry"]["name"]: item["entry"] for item in listed["entries"]}
        entry = known.get(arguments.name, {"kind": "target", "name": arguments.name})
        if arguments.owner:
            entry["owner"] = arguments.owner
        if "owner" not in entry:
            print(f'target "{arguments.name}" is not in the catalogue: give --owner')
            return REFUSED
        entry["drained"] = arguments.drained
        edits = {"edits": [{"entry": entry}]}
        return await self._tools.change(arguments, "/changes", edits)

    def _print(self, columns: t.Sequence[str], rows: t.Sequence[Json]) -> None:
        cells = [[str(row[name]) for name in columns] for row in rows]
        self._tools.print_table(columns, cells)
