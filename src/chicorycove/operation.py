"""The command line's commands for plans, roll-outs and targets."""

import argparse
import asyncio
import dataclasses
import json
import typing as t

from .schema import Json

POLL_INTERVAL = 1.0  # seconds
DONE = 0
REFUSED = 3

MOVE_COLUMNS = ("target", "model", "version", "urgency", "cause")
PROBLEM_COLUMNS = ("subject", "cause")
ROLLOUT_COLUMNS = ("model", "version", "done", "total", "state", "cause")


@dataclasses.dataclass(frozen=True, slots=True)
class CliFunctions:
    """Functions of the command line that the commands use."""

    call: t.Callable[..., t.Awaitable[Json]]
    change: t.Callable[..., t.Awaitable[int]]
    print_table: t.Callable[..., None]


def add_commands(commands: t.Any, cli: CliFunctions) -> None:
    """Add the commands to the sub-commands of a parser."""
    operations = _Commands(cli)
    plan = commands.add_parser("plan", help="print planned moves and their causes")
    plan.set_defaults(run=operations.plan)
    rollout = commands.add_parser("rollout", help="print the progress of roll-outs")
    actions = rollout.add_subparsers(required=True, metavar="ACTION")
    status = actions.add_parser("status", help="print the progress of each roll-out")
    status.add_argument(
        "--watch", action="store_true", help="repeat until none is rolling"
    )
    status.set_defaults(run=operations.rollout_status)
    target = commands.add_parser("target", help="drain a target, or undo that")
    actions = target.add_subparsers(required=True, metavar="ACTION")
    for name, drained in (("drain", True), ("undrain", False)):
        action = actions.add_parser(name, help=f"{name} a target")
        action.add_argument("name")
        action.add_argument("--owner", help="of the target's entry, if it is new")
        action.add_argument("--reason", required=True, help="for the history")
        action.add_argument("--dry-run", action="store_true", help="print the diff")
        action.set_defaults(run=operations.drain, drained=drained)


class _Commands:
    """Carries out the commands."""

    def __init__(self, cli: CliFunctions) -> None:
        self._cli = cli

    async def plan(self, arguments: argparse.Namespace) -> int:
        """Print the moves in progress and waiting, and the plan's problems."""
        plan = await self._cli.call(arguments, "GET", "/plan")
        if arguments.output == "json":
            print(json.dumps(plan, indent=2))
            return DONE
        if not plan:
            print("no plan: the catalogue has no model with versions")
            return DONE
        print(f'revision {plan["revision"]}, planner {plan["planner"]}')
        moves = plan["moves"] + plan["waiting"]
        if moves:
            self._print(MOVE_COLUMNS, moves)
        else:
            print("no moves are planned")
        if hidden := plan["moves_total"] - len(moves):
            print(f"and {hidden} more")
        if plan["problems"]:
            self._print(PROBLEM_COLUMNS, plan["problems"])
        return DONE

    async def rollout_status(self, arguments: argparse.Namespace) -> int:
        """Print each model's roll-out, repeatedly with ``--watch``."""
        while True:
            plan = await self._cli.call(arguments, "GET", "/plan")
            rollouts = plan.get("rollouts", [])
            if arguments.output == "json":
                print(json.dumps(rollouts, indent=2))
            else:
                self._print(ROLLOUT_COLUMNS, rollouts)
            states = {rollout["state"] for rollout in rollouts}
            if not arguments.watch or "rolling" not in states:
                return REFUSED if "halted" in states else DONE
            await asyncio.sleep(POLL_INTERVAL)

    async def drain(self, arguments: argparse.Namespace) -> int:
        """Set in the catalogue whether a target is drained."""
        listed = await self._cli.call(arguments, "GET", "/entries/target")
        targets = {item["entry"]["name"]: item["entry"] for item in listed["entries"]}
        entry = targets.get(arguments.name, {"kind": "target", "name": arguments.name})
        if arguments.owner:
            entry["owner"] = arguments.owner
        if "owner" not in entry:
            print(f'target "{arguments.name}" is not in the catalogue: give --owner')
            return REFUSED
        entry["drained"] = arguments.drained
        edits = {"edits": [{"entry": entry}]}
        return await self._cli.change(arguments, "/changes", edits)

    def _print(self, columns: t.Sequence[str], rows: t.Sequence[Json]) -> None:
        cells = [[str(row[name]) for name in columns] for row in rows]
        self._cli.print_table(columns, cells)
