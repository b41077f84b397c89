"""A server that answers HTTP requests with the bytes that a test chooses."""

import asyncio
import socket
import struct

READ_LIMIT = 1_000_000  # bytes
SMALL_BUFFER = 16_384  # bytes


class ScriptedRequest:
    """A request as a scripted server received it, and its connection."""

    def __init__(self, number, connection, head, body, writer):
        self.number = number  # of all requests to the server, from 1
        self.connection = connection  # number of the connection, from 1
        self.head = head
        self.body = body
        self.writer = writer

    @property
    def path(self):
        return self.head.split(b" ", 2)[1].decode()

    def header(self, name):
        """Return a header's value, or an empty text."""
        for line in self.head.decode("latin-1").split("\r\n")[1:]:
            key, _, value = line.partition(":")
            if key.lower() == name:
                return value.strip()
        return ""

    def send(self, data):
        self.writer.write(data)

    def reset(self):
        """End the connection by a reset, also if all was read."""
        reset_on_close = struct.pack("ii", 1, 0)
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset_on_close)
        self.writer.transport.abort()


class ScriptedServer:
    """Passes each request to a function that sends the answer's bytes."""

    def __init__(self, handle, reads_bodies=True):
        self._handle = handle
        self._reads_bodies = reads_bodies
        self._server = None
        self._tasks = set()
        self.requests = []
        self.connection_count = 0

    @classmethod
    async def start(cls, handle):
        scripted = cls(handle)
        scripted._server = await asyncio.start_server(
            scripted._serve, "127.0.0.1", 0, limit=READ_LIMIT
        )
        return scripted

    @classmethod
    async def start_unread(cls, handle):
        """Start one that leaves bodies in small buffers, so that they fill."""
        scripted = cls(handle, reads_bodies=False)
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        scripted._server = await asyncio.start_server(
            scripted._serve, sock=listener, limit=SMALL_BUFFER
        )
        return scripted

    @property
    def address(self):
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    def stop_listening(self):
        """Refuse new connections, as after the end of the process."""
        self._server.close()

    async def close(self):
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader, writer):
        # A task of its own: asyncio logs the cancellation of a handler.
        task = asyncio.create_task(self._read_requests(reader, writer))
        self._tasks.add(task)
        await asyncio.gather(task, return_exceptions=True)
        self._tasks.discard(task)
        writer.transport.abort()

    async def _read_requests(self, reader, writer):
        self.connection_count += 1
        connection = self.connection_count
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            request = ScriptedRequest(
                len(self.requests) + 1, connection, head, b"", writer
            )
            if self._reads_bodies:
                request.body = await reader.readexactly(
                    int(request.header("content-length") or 0)
                )
            self.requests.append(request)
            await self._handle(request)
            if not self._reads_bodies:
                return


def answer(body, headers=(), status=200):
    """Return the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
