import gzip
import unittest

from lentilhaven.gateway.tests.platform_testbed import (
    plain_replicas,
    run_on_testbed,
    two_chains,
)

#: Bodies as their callers have encoded them; the last one is cut short.
BODIES = [b"count 7", gzip.compress(b"count 7"), gzip.compress(b"count 7")[:-4]]


class EncodedBodyTests(unittest.TestCase):
    """A body with an encoding was decoded on its way, or its request was refused."""

    def test_body_reaches_the_replica_as_it_was_sent(self):
        async def scenario(bed, path, encoding, body):
            reply = await bed.call(path, body=body, Content_Encoding=encoding)
            return reply.status, [run.body for run in bed.fleet.runs]

        for path in ("/post/1", "/draft/1"):
            for encoding in ("gzip", "deflate", "br", "zstd"):
                for body in BODIES:
                    with self.subTest(path=path, encoding=encoding, body=body):
                        found = run_on_testbed(
                            lambda bed, path=path, encoding=encoding, body=body: (
                                scenario(bed, path, encoding, body)
                            ),
                            two_chains() + plain_replicas(),
                        )
                        self.assertEqual(found, (200, [body]))
