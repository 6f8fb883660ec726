"""Answers of the store whose objects have odd metadata, over loopback."""

import asyncio
import unittest

from lentilhaven.core.store_position import StorePosition
from lentilhaven.core.tests.test_answer_body import serve_body
from lentilhaven.objects.write_outcome import Ambiguous
from lentilhaven.platform.store_client import open_store_client

GOOD = b'{"metadata":{"name":"i-1","rev":7},"spec":{"a":1}}'

#: Objects without a name that can be read.
NAMELESS = (
    b"7",
    b"null",
    b"[]",
    b"{}",
    b'{"metadata":[],"spec":1}',
    b'{"metadata":{"name":7,"rev":8},"spec":1}',
    b'{"metadata":{"name":"i-\xe9","rev":8},"spec":1}',
    b'{"metadata":{"name":"i-\\ud800","rev":8},"spec":1}',
    b'{"metadata":' + b"[" * 40_000 + b"]" * 40_000 + b"}",
)

#: Revisions that no store counts.
ODD_REVISIONS = (b"1e400", b"-1", b"true", b'"8"', b"[]", b"1" * 6_000, b"8.5")


async def permit(step):
    """Permit each call to the store."""


def call(body, use):
    """Return what `use(client)` returns for a store that answers with a body."""

    async def main():
        server = await asyncio.start_server(serve_body(body), "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        try:
            async with open_store_client(f"{host}:{port}", 1.0, permit) as client:
                return await asyncio.wait_for(use(client), 5.0)
        finally:
            server.close()

    return asyncio.run(main())


def list_servers(client):
    """List the objects of a kind."""
    return client.list_kind("servers")


def watch_servers(client):
    """Watch the objects of a kind."""
    return client.watch_kind("servers", StorePosition(0, 5), 0.1)


def names(outcome):
    """Return the names in a listing."""
    return [change.name for change in outcome.ok.changes]


class OddPageTests(unittest.TestCase):
    """Guard against metadata that hides other objects, or ends the task that reads."""

    def test_nameless_objects_are_counted(self):
        for item in NAMELESS:
            body = b'{"items":[%b,%b],"has_more":false,"current_rev":9}' % (item, GOOD)
            with self.subTest(item=item[:50]):
                found = call(body, list_servers)
                self.assertEqual((names(found), found.ok.unnamed), (["i-1"], 1))

    def test_changes_of_nameless_objects_ask_for_a_listing(self):
        for item in NAMELESS:
            body = b'{"events":[{"object":%b},{"object":%b}],"current_rev":9}'
            with self.subTest(item=item[:50]):
                found = call(body % (item, GOOD), watch_servers)
                self.assertEqual(found.error.kind, "unnamed")

    def test_page_that_comes_again_ends_the_listing(self):
        body = b'{"items":[%b],"has_more":true,"current_rev":9}' % GOOD
        self.assertEqual(call(body, list_servers).error.kind, "malformed")
        body = b'{"items":[],"has_more":true,"current_rev":9}'
        self.assertEqual(call(body, list_servers).error.kind, "malformed")

    def test_object_with_an_odd_revision_has_no_position(self):
        for revision in ODD_REVISIONS:
            item = GOOD.replace(b"7", revision)
            body = b'{"items":[%b],"has_more":false,"current_rev":9}' % item
            with self.subTest(revision=revision[:9]):
                found = call(body, list_servers)
                self.assertEqual(found.ok.changes[0].position, StorePosition(0, 0))

    def test_answer_with_an_odd_revision_is_a_failure(self):
        for revision in ODD_REVISIONS:
            page = b'{"items":[%b],"has_more":false,"current_rev":%b}'
            changes = b'{"events":[{"object":%b}],"current_rev":%b}'
            item = GOOD.replace(b"7", revision)
            with self.subTest(revision=revision[:9]):
                found = call(page % (GOOD, revision), list_servers)
                self.assertEqual(found.error.kind, "malformed")
                found = call(changes % (GOOD, revision), watch_servers)
                self.assertEqual(found.error.kind, "malformed")
                found = call(item, lambda it: it.read("leases/placement"))
                self.assertEqual(found.error.kind, "malformed")
                found = call(item, lambda it: it.write("leases/placement", {}, 3))
                self.assertIsInstance(found, Ambiguous)

    def test_list_of_another_type_is_a_failure(self):
        for items in (b'"abc"', b"{}", b"null", b"7"):
            body = b'{"items":%b,"events":%b,"current_rev":9}' % (items, items)
            with self.subTest(items=items):
                for use in (list_servers, watch_servers):
                    self.assertEqual(call(body, use).error.kind, "malformed")
