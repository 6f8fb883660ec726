"""A peer whose answers have no end."""

import asyncio
from unittest import mock

import aiohttp

from lentilhaven.core.tests.test_answer_body import serve_endlessly

#: Bytes that a client accepts in the tests.
LIMIT = 100_000

#: Words with which a client says that an answer is larger.
TOO_LARGE = f"the answer is larger than {LIMIT} bytes"


def call_endless_peer(use, module, **constants):
    """
    Return the result of `use(port, session)`, beside a peer with endless answers.

    Parameters
    ----------
    use : callable
        Makes one call.
    module : module
        Module of the client.
    constants : dict
        Values that the module's constants have meanwhile.
    """

    async def main():
        server = await asyncio.start_server(serve_endlessly, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with aiohttp.ClientSession() as session:
            found = await use(port, session)
        server.close()
        return found

    with mock.patch.multiple(module, create=True, **constants):
        return asyncio.run(main())
