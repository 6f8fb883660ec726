"""Replica that refuses some requests, and writes refusals again."""

import asyncio
from collections import Counter

import attrs

#: Seconds for which a request runs.
RUN_TIME = 0.02

REASONS = {421: "Misdirected Request", 429: "Too Many Requests", 503: "Unavailable"}


@attrs.define
class RepeatingReplica:
    """
    Replica that serves kept connections and counts the requests that it runs.

    Attributes
    ----------
    refused_share : int
        It refuses one in so many requests; 0 for none.
    status : int
        Status of its refusals.
    names_refused, names_copies : bool
        Whether its refusals, and their copies, have the id of the request.
    copies : str
        When it writes a refusal again: ``""`` never, ``"at once"``, or ``"later"``,
        where the next answer on the connection is due.
    requests, connections : int
        Number of requests and connections that it has got.
    runs : Counter of str
        Number of runs by request id.
    """

    refused_share: int = 0
    status: int = 503
    names_refused: bool = True
    names_copies: bool = True
    copies: str = ""
    requests: int = 0
    connections: int = 0
    runs: Counter[str] = attrs.field(factory=Counter)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a connection until its end."""
        self.connections += 1
        due = b""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                name = head.lower().split("request-id: ")[1].split("\r\n")[0]
                writer.write(due)
                due = await self.answer(name, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, name: str, writer: asyncio.StreamWriter) -> bytes:
        """Answer one request; return what is written before the next answer."""
        self.requests += 1
        if self.refused_share and self.requests % self.refused_share == 0:
            writer.write(self.encode_refusal(name if self.names_refused else ""))
            copy = self.encode_refusal(name if self.names_copies else "")
            if self.copies == "at once":
                writer.write(copy)
            return copy if self.copies == "later" else b""
        self.runs[name] += 1
        await asyncio.sleep(RUN_TIME)
        fields = f"Request-Id: {name}\r\nReplica-Signature: s\r\n"
        writer.write(f"HTTP/1.1 200 OK\r\n{fields}Content-Length: 0\r\n\r\n".encode())
        return b""

    def encode_refusal(self, name: str) -> bytes:
        """Return a refusal, without an id if `name` is empty."""
        lines = [f"HTTP/1.1 {self.status} {REASONS[self.status]}", "Content-Length: 0"]
        if self.status != 421:
            lines.append("Not-Executed: 1")
        if name:
            lines.append(f"Request-Id: {name}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode()
