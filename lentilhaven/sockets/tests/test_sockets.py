import asyncio
import socket
import unittest

from lentilhaven.sockets import count_waiting, has_unread_bytes


async def open_server(protocol=asyncio.Protocol):
    loop = asyncio.get_running_loop()
    return await loop.create_server(protocol, "127.0.0.1", 0)


class ListenQueueTests(unittest.TestCase):
    def test_connections_count_until_they_are_accepted(self):
        async def scenario():
            server = await open_server()
            address = server.sockets[0].getsockname()
            callers = [socket.create_connection(address) for _ in range(3)]
            before = count_waiting(server)
            await asyncio.sleep(0.05)
            after = count_waiting(server)
            server.close()
            for caller in callers:
                caller.close()
            return before, after

        self.assertEqual(asyncio.run(scenario()), (3, 0))


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
