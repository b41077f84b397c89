"""A direct entry's dispatcher with simulated targets and callers."""

import dataclasses
import itertools

from bench.sheet import ENGINE
from chicorycove import Call, Prompt, Request
from chicorycove.direct.board import DirectBoard, InboundRequest, TargetListing
from chicorycove.direct.dispatch import DirectDispatcher
from chicorycove.direct.event import (
    AnswerHeadReceived,
    AnswerReceived,
    AttemptConnected,
    DeploymentReceived,
    EventsRelayed,
    RequestReceived,
    TargetAnswer,
    TargetListed,
)
from chicorycove.direct.route import (
    Deployment,
    Route,
    RoutingTable,
    Service,
    Share,
    WorkspaceKeys,
)
from chicorycove.direct.settings import DirectSettings
from chicorycove.direct.store_revision import StoreRevision
from chicorycove.identity import AttemptId

SHORT = Route(
    name="short",
    host="desk.example",
    prefix="/short/",
    shares=(Share(service="model"),),
    repeatable=True,
    streamed=True,
    timeout=10.0,
    objective=0.3,
    max_gap=0.2,
    max_attempts=2,
)
LONG = Route(
    name="long",
    host="desk.example",
    prefix="/long/",
    shares=(Share(service="model"),),
    repeatable=True,
    streamed=True,
    timeout=15.0,
    objective=3.0,
    max_gap=0.8,
    max_attempts=2,
)
ORDER = Route(
    name="order",
    host="desk.example",
    prefix="/order/",
    shares=(Share(service="shop"),),
    repeatable=False,
    streamed=False,
    timeout=0.6,
    objective=0.125,
)
LOOKUP = Route(
    name="lookup",
    host="desk.example",
    prefix="/lookup/",
    shares=(Share(service="shop"),),
    repeatable=True,
    streamed=False,
    timeout=0.6,
    objective=0.125,
    max_attempts=2,
)

REVISION = StoreRevision(1, 7)

DEPLOYMENT = Deployment(
    version=1,
    routes=(SHORT, LONG, ORDER, LOOKUP),
    services=(Service(name="model", engine=ENGINE), Service(name="shop")),
    workspaces=(WorkspaceKeys(name="toolroom", keys=("key-1",)),),
    authenticated=True,
)

COLD_RATE = 28.0  # requests per second
COLD_DURATION = 3.0  # seconds
COLD_DEPLOYMENT = dataclasses.replace(
    DEPLOYMENT,
    services=tuple(
        dataclasses.replace(service, cold_duration=COLD_DURATION, cold_rate=COLD_RATE)
        for service in DEPLOYMENT.services
    ),
)

OK = TargetAnswer(status=200, not_run=False)
SERVER_ERROR = TargetAnswer(status=500, not_run=False)
TARGET_FULL = TargetAnswer(status=503, not_run=True)

REGIONS = {"here": "north", "there": "south", "beyond": "south"}


def domain_of(id, domains):
    """Return the failure domain of a target among some."""
    return domains[sum(id.encode()) % len(domains)]


def make_inbound(
    id,
    route,
    now=0.0,
    tokens=0,
    output_tokens=460,
    time_limit=None,
    parts=(),
    fingerprint=None,
    regions=None,
):
    """Return a caller's request."""
    service = route.shares[0].service
    if route.streamed:
        work = Prompt(
            "m",
            tokens or 5_000,
            output_tokens,
            True,
            route.repeatable,
            shared_parts=parts,
        )
    else:
        work = Call(service, "POST", "/", route.repeatable)
    deadline = now + (time_limit if time_limit is not None else route.timeout)
    return InboundRequest(
        Request(id, "toolroom", route.name, work, now, deadline),
        route,
        service,
        fingerprint=fingerprint or f"only-{id}",
        allowed_regions=regions,
    )


class DirectWorld:
    """A dispatcher on a virtual clock."""

    def __init__(
        self,
        engines=4,
        shops=2,
        settings=None,
        deployment=DEPLOYMENT,
        domains=("here",),
    ):
        """Start an entry in the first of some failure domains."""
        self.domains = domains
        self.board = DirectBoard()
        numbers = itertools.count(1)
        self.dispatcher = DirectDispatcher(
            self.board,
            settings or DirectSettings(),
            "here",
            "entry-1",
            lambda request, number: AttemptId(request, number, str(next(numbers))),
        )
        self.now = 0.0
        self.command_log = []
        self.handle(DeploymentReceived(RoutingTable(deployment)))
        for number in range(engines):
            self.add_target(f"e{number}", "model")
        for number in range(shops):
            self.add_target(f"s{number}", "shop")

    def add_target(self, id, service, leaving=False, started_at=1, cold_time_left=None):
        number = sum(id.encode())
        address = f"10.0.0.{number % 250}:{8000 + number}"
        domain = domain_of(id, self.domains)
        self.handle(
            TargetListed(
                TargetListing(
                    id,
                    service,
                    address,
                    domain,
                    8,
                    leaving,
                    started_at,
                    REGIONS[domain],
                    cold_time_left,
                )
            )
        )

    def handle(self, event):
        commands = self.dispatcher.handle(event, self.now)
        self.command_log += commands
        return commands

    def receive(self, id, route, **fields):
        return self.handle(RequestReceived(make_inbound(id, route, self.now, **fields)))

    def send(self, id, route, **fields):
        """Receive a request, and return the command that sends it."""
        commands = self.receive(id, route, **fields)
        send = only_command(commands, "SendAttempt")
        self.handle(AttemptConnected(send.attempt))
        return send

    def stream(self, send, events=3):
        """Let a target start a stream and send some events."""
        commands = self.handle(AnswerHeadReceived(send.attempt, OK))
        after = send.last_event_id or 0
        self.handle(EventsRelayed(send.attempt, events, after + events))
        return commands

    def answer(self, send, answer=OK):
        self.handle(AnswerHeadReceived(send.attempt, answer))
        return self.handle(AnswerReceived(send.attempt, answer))


def command_names(commands):
    """Return the types of commands, except those for peers and logs."""
    type_names = [type(command).__name__ for command in commands]
    return [name for name in type_names if name not in ("UpdatePeers", "LogChange")]


def only_command(commands, type_name):
    """Return the only command of a type."""
    found = [command for command in commands if type(command).__name__ == type_name]
    assert len(found) == 1, commands
    return found[0]
