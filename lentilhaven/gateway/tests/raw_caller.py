"""A caller that sees the bytes of its connection."""

import asyncio

import attrs

from lentilhaven.gateway.tests.platform_testbed import KEY
from lentilhaven.standins.platform.sample_files import request_headers

#: Seconds for which a caller waits for an answer or for the end of its connection.
PATIENCE = 2.0


@attrs.define
class RawAnswer:
    """
    An answer as received.

    Attributes
    ----------
    status : int
        Status code.
    headers : dict
        Headers, with names in lower case.
    body : bytes
        The body, or the part of it that has arrived.
    complete : bool
        Whether the whole answer has arrived.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool

    @property
    def idle_time(self) -> float:
        """
        Return for how long the connection may be idle, in seconds.

        It is 0 if the connection closes, and infinite if the answer states nothing.
        """
        if self.headers.get("connection", "").lower() == "close":
            return 0.0
        _, _, seconds = self.headers.get("keep-alive", "").partition("timeout=")
        return float(seconds) if seconds else float("inf")


@attrs.define
class RawCaller:
    """A caller with one connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @classmethod
    async def connect(
        cls, port: int = 7000, host: str = "10.0.0.1", unread_bytes: int = 1 << 16
    ) -> "RawCaller":
        """Connect to a gateway; reading pauses above twice `unread_bytes`."""
        return cls(*await asyncio.open_connection(host, port, limit=unread_bytes))

    @property
    def sees_close(self) -> bool:
        """Return whether the end of the connection has arrived."""
        return self.reader.at_eof() or self.reader.exception() is not None

    async def ask(self, request: bytes, patience: float = PATIENCE) -> RawAnswer | None:
        """Send a request and return its answer, or None if there is none."""
        self.writer.write(request)
        return await self.read_answer(patience)

    async def read_answer(self, patience: float = PATIENCE) -> RawAnswer | None:
        """Return the next answer, or None if no head of an answer arrives."""
        try:
            async with asyncio.timeout(patience):
                head = await self.reader.readuntil(b"\r\n\r\n")
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            return None
        first, *lines = head.decode().strip().split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        answer = RawAnswer(int(first.split()[1]), headers, b"", False)
        try:
            async with asyncio.timeout(patience):
                await self.read_body(answer)
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            return answer
        answer.complete = True
        return answer

    async def read_body(self, answer: RawAnswer) -> None:
        """Read the body of an answer."""
        if answer.headers.get("transfer-encoding") != "chunked":
            length = int(answer.headers["content-length"])
            answer.body = await self.reader.readexactly(length)
            return
        while size := int(await self.reader.readuntil(b"\r\n"), 16):
            answer.body += await self.reader.readexactly(size)
            await self.reader.readexactly(2)
        await self.reader.readexactly(2)

    async def wait_for_close(self, patience: float) -> bool:
        """Return whether the connection ends, with nothing before its end."""
        try:
            async with asyncio.timeout(patience):
                return await self.reader.read(1) == b""
        except TimeoutError:
            return False


def raw_request(
    path: str = "/look/1",
    request_id: str = "x1",
    body: bytes | None = None,
    output: int = 0,
    patience: float = 20.0,
) -> bytes:
    """
    Return the bytes of a request.

    Parameters
    ----------
    path, request_id : str
        Target and id of the request.
    body : bytes or None
        Body of a POST request; None for a GET request.
    output : int
        Number of tokens to generate; 0 for requests without a stream.
    patience : float
        Time limit that the request states, in seconds.
    """
    method = "GET" if body is None else "POST"
    fields = request_headers(request_id, KEY, patience, output)
    if body is not None:
        fields["Content-Length"] = str(len(body))
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join([*lines, "", ""]).encode() + (body or b"")
