"""One caller's request, and the connections to targets that answer it."""

import asyncio
import typing as t

from ..identity import AttemptId
from ..reason import Reason
from ..verdict import Verdict
from .board import InboundRequest
from .caller_connection import CallerConnection
from .command import SendAttempt
from .dialect import Dialect
from .event import (
    AnswerHeadReceived,
    AnswerReceived,
    AttemptSent,
    DirectEvent,
    EventsRelayed,
    TargetAnswer,
)
from .eventstream import Cut, EventCutter
from .http import Headers, HttpRequest, end_to_end
from .target_connection import TargetConnection

MAX_ANSWER = 8_388_608  # bytes of an answer that is not streamed


class Owner(t.Protocol):
    """Hears what becomes of attempts."""

    def handle(self, event: DirectEvent) -> None:
        """Decide on an event now."""

    def failed(self, attempt: AttemptId, reason: Reason, verdict: Verdict) -> None:
        """Note the end of an attempt without a whole answer."""

    def ended(self, attempt: AttemptId) -> None:
        """Note the whole end of a stream."""


class Exchange:
    """A caller's request and its attempts, one at a time."""

    def __init__(
        self,
        owner: Owner,
        dialect: Dialect,
        connection: CallerConnection,
        request: HttpRequest,
        inbound: InboundRequest,
    ) -> None:
        self.owner = owner
        self.dialect = dialect
        self.connection = connection
        self.request = request
        self.inbound = inbound
        self.first_at: float | None = None
        self.events = 0
        self.longest_pause = 0.0  # seconds
        self._event_at = 0.0
        self._leg: Leg | None = None
        self._targets: list[str] = []
        self._begun = False

    def account(self) -> dict[str, t.Any]:
        """Return what a log line says of the whole exchange."""
        now = asyncio.get_running_loop().time()
        arrived = self.inbound.request.arrived
        first = self.first_at
        return {
            "route": self.inbound.route.name,
            "workspace": self.inbound.request.workspace,
            "tokens": self.inbound.request.prefill,
            "targets": self._targets,
            "events": self.events,
            "first": round(first - arrived, 4) if first is not None else None,
            "pause": round(self.longest_pause, 4),
            "took": round(now - arrived, 4),
        }

    def attempt(self, command: SendAttempt) -> "Leg":
        """Return a new attempt in place of the one at hand."""
        self.close()
        self._targets.append(command.target.target)
        self._leg = Leg(self, command)
        return self._leg

    def pass_on(self) -> bool:
        """Pass the answer at hand on; tell whether it is the first."""
        leg = self._leg
        first = not self._begun
        if first:
            self._begun = True
            self.connection.begin(leg.status, end_to_end(leg.headers))
        leg.pass_on()
        self.connection.source = leg.connection
        return first

    def relay(self, cut: Cut) -> None:
        """Hand the caller some events."""
        now = asyncio.get_running_loop().time()
        if self.first_at is None:
            self.first_at = now
        else:
            self.longest_pause = max(self.longest_pause, now - self._event_at)
        self._event_at = now
        self.events += cut.events
        self.connection.chunk(cut.data)

    def finish(self) -> None:
        """End an answer that was passed on."""
        self.connection.end()

    def deliver(self) -> None:
        """Give the caller the whole answer at hand."""
        leg = self._leg
        self.connection.answer(leg.status, end_to_end(leg.headers), bytes(leg.body))

    def drop(self, attempt: AttemptId) -> None:
        """Close the connection of an attempt, if it is the one at hand."""
        if self._leg is not None and self._leg.attempt == attempt:
            self.close()

    def close(self) -> None:
        """Close the connection to a target."""
        if self._leg is not None:
            self._leg.close()
            self._leg = None


class Leg:
    """One attempt: a connection to a target, and what comes over it."""

    def __init__(self, exchange: Exchange, command: SendAttempt) -> None:
        self.attempt = command.attempt
        self.status = 0
        self.headers: Headers = []
        self.body = bytearray()
        self.connection: TargetConnection | None = None
        self._exchange = exchange
        self._command = command
        self._answer: TargetAnswer | None = None
        self._cutter: EventCutter | None = None
        self._closed = False

    async def open(self, timeout: float) -> None:
        """Connect, in some seconds, and send the request."""
        if self._closed:
            return
        loop = asyncio.get_running_loop()
        host, port = self._command.address.rsplit(":", 1)
        self.connection = TargetConnection(self)
        try:
            async with asyncio.timeout(timeout):
                await loop.create_connection(lambda: self.connection, host, int(port))
        except (OSError, TimeoutError):
            if not self._closed:
                self._closed = True
                self._exchange.owner.failed(
                    self.attempt, Reason.TARGET_UNREACHABLE, Verdict.NOT_RUN
                )

    def pass_on(self) -> None:
        """Hand the caller what comes from now on."""
        self._cutter = EventCutter(self._command.last_event_id)

    def close(self) -> None:
        """Close, and hear nothing more."""
        self._closed = True
        if self.connection is not None:
            self.connection.drop()

    # Called by the connection

    def connected(self) -> None:
        if self._closed:
            return
        exchange = self._exchange
        exchange.owner.handle(AttemptSent(self.attempt))
        left = self._command.deadline - asyncio.get_running_loop().time()
        self.connection.send(
            exchange.dialect.outbound(
                exchange.request, exchange.inbound, self._command, left
            )
        )

    def head(self, status: int, headers: Headers) -> bool:
        if self._closed:
            return False
        dialect = self._exchange.dialect
        if not dialect.answers(headers, self._exchange.inbound):
            return False
        self.status = status
        self.headers = headers
        self._answer = dialect.answer(status, headers)
        self._exchange.owner.handle(AnswerHeadReceived(self.attempt, self._answer))
        return True

    def data(self, data: bytes) -> None:
        if self._closed:
            return
        if self._cutter is not None:
            self._pass(data)
        elif len(self.body) + len(data) > MAX_ANSWER:
            self._fail(Reason.ANSWER_TOO_LARGE)
        else:
            self.body += data

    def complete(self, framed: bool) -> None:
        if self._closed:
            return
        owner = self._exchange.owner
        if self._cutter is None:
            owner.handle(AnswerReceived(self.attempt, self._answer))
        elif self._cutter.residue or not self._exchange.events:
            self._fail(Reason.STREAM_BROKEN)
        else:
            owner.ended(self.attempt)

    def lost(self, connected: bool) -> None:
        if not self._closed:
            self._fail(Reason.STREAM_BROKEN)

    def _pass(self, data: bytes) -> None:
        cut = self._cutter.feed(data)
        if cut is None:
            return
        exchange = self._exchange
        exchange.relay(cut)
        exchange.owner.handle(EventsRelayed(self.attempt, cut.events, cut.last))

    def _fail(self, reason: Reason) -> None:
        self._closed = True
        if self.connection is not None:
            self.connection.drop()
        self._exchange.owner.failed(self.attempt, reason, Verdict.MAY_HAVE_RUN)
