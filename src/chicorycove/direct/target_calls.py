"""Calls to targets besides callers' requests: orders and probes."""

import typing as t

from ..identity import AgentId, AttemptId
from ..lifecycle import AttemptRefused, MemoryReserved
from ..reason import Reason
from .board import DirectBoard
from .client import CallFailed, HttpClient
from .connector import open_socket
from .dialect import Dialect, Order
from .event import DirectEvent, TargetAnswer, TargetAnswered, TargetProbed
from .linelog import LineLog
from .settings import DirectSettings

MAX_ORDER_REPLY_SIZE = 65_536  # bytes
# Seconds for which a reply is read.  One that is later than the reservation's
# timeout still says what its target takes.
ORDER_TIMEOUT = 1.0


class TargetCalls:
    """Sends orders and probes to targets and reports the results as events."""

    def __init__(
        self,
        board: DirectBoard,
        dialect: Dialect,
        settings: DirectSettings,
        log: LineLog,
        handle: t.Callable[[DirectEvent], None],
    ) -> None:
        self._board = board
        self._dialect = dialect
        self._settings = settings
        self._log = log
        self._handle = handle

    async def reserve(
        self, reservation: AttemptId, target: AgentId, memory: int
    ) -> None:
        """Reserve a target's memory, in tokens, and report the result."""
        duration = self._settings.reservation.lease_duration
        order = self._dialect.build_reserve_order(reservation, memory, duration)
        status = await self._send_order(target, order, "memory reserved", reservation)
        if status == 200:
            self._handle(MemoryReserved(reservation))
        else:
            self._handle(AttemptRefused(reservation, Reason.MEMORY_FULL))

    async def release(self, reservation: AttemptId, target: AgentId) -> None:
        """Release a reservation of a target's memory."""
        order = self._dialect.build_release_order(reservation)
        await self._send_order(target, order, "memory released", reservation)

    async def probe(self, target: str, address: str) -> None:
        """Try a connection to a target and report whether it opened."""
        try:
            sock = await open_socket(address, self._settings.timeouts.connect_timeout)
        except OSError as error:
            self._log.write("target unreachable", target=target, cause=repr(error))
            refused = isinstance(error, ConnectionRefusedError)
            self._handle(TargetProbed(target, False, refused))
            return
        sock.close()
        self._handle(TargetProbed(target, True))

    async def _send_order(
        self, target: AgentId, order: Order, event: str, reservation: AttemptId
    ) -> int | None:
        """Send an order; return the answer's status, or None without one.

        Report what the answer says of the target before.
        """
        answer: TargetAnswer | None = None
        cause = ""
        view = self._board.find_incarnation(target)
        if view is None:
            self._log.write(event, request=reservation.request, cause="target gone")
            return None
        client = HttpClient(view.listing.address, MAX_ORDER_REPLY_SIZE)
        try:
            reply = await client.call("POST", order.path, order.body, ORDER_TIMEOUT)
            answer = self._dialect.parse_answer_head(reply.status, reply.headers)
        except CallFailed as error:
            cause = str(error)
        finally:
            client.close()
        self._log.write(
            event,
            request=reservation.request,
            reservation=reservation.nonce,
            target=target.target,
            status=answer.status if answer else None,
            retry_after=answer.retry_after if answer else None,
            leaving=answer.leaving if answer else None,
            cause=cause,
        )
        if answer is None:
            return None
        self._handle(TargetAnswered(target, answer, to_order=True))
        return answer.status
