import asyncio
import socket
import unittest

from lentilhaven.sockets import close_listener, has_unread_bytes


class Greeting(asyncio.Protocol):
    """Sends a byte on each connection that asyncio has accepted."""

    def connection_made(self, transport):
        transport.write(b"a")


async def open_server(protocol=asyncio.Protocol):
    loop = asyncio.get_running_loop()
    return await loop.create_server(protocol, "127.0.0.1", 0)


class ListenQueueTests(unittest.TestCase):
    """Connections were reset when a listener closed (issue 37)."""

    def close_after(self, steps):
        """Return the waiting connections, and the bytes that their callers get."""

        async def scenario():
            server = await open_server(Greeting)
            address = server.sockets[0].getsockname()
            callers = [socket.create_connection(address) for _ in range(3)]
            for _ in range(steps):
                await asyncio.sleep(0)
            waiting = await close_listener(server)
            for connection in waiting:
                connection.sendall(b"w")
                connection.close()
            await asyncio.sleep(0.05)
            received = [caller.recv(10) for caller in callers]
            for caller in callers:
                caller.close()
            with self.assertRaises(ConnectionRefusedError):
                socket.create_connection(address)
            return len(waiting), received

        return asyncio.run(scenario())

    def test_connections_that_wait_are_returned(self):
        self.assertEqual(self.close_after(0), (3, [b"w"] * 3))

    def test_connections_that_were_just_accepted_are_served(self):
        for steps in range(1, 6):
            with self.subTest(steps=steps):
                waiting, received = self.close_after(steps)
                self.assertEqual(received, [b"w" if waiting else b"a"] * 3)


class ReceiveBufferTests(unittest.TestCase):
    def test_bytes_are_unread_until_the_event_loop_runs(self):
        async def scenario():
            made = asyncio.get_running_loop().create_future()

            class Caller(asyncio.Protocol):
                def connection_made(self, transport):
                    made.set_result(transport)

            server = await open_server(Caller)
            caller = socket.create_connection(server.sockets[0].getsockname())
            transport = await made
            found = [has_unread_bytes(transport)]
            caller.sendall(b"GET")
            found.append(has_unread_bytes(transport))
            await asyncio.sleep(0.05)
            found.append(has_unread_bytes(transport))
            transport.close()
            await asyncio.sleep(0.05)
            found.append(has_unread_bytes(transport))
            server.close()
            caller.close()
            return found

        self.assertEqual(asyncio.run(scenario()), [False, True, False, False])
