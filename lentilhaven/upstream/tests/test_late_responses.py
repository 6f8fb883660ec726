import asyncio
import unittest

import attrs

from lentilhaven.platform import headers
from lentilhaven.upstream.connection_pool import ConnectionPool
from lentilhaven.upstream.tests.wire import SETTLE_TIME, begin, run_at_the_wire

#: Seconds after which a response that does not come is no longer waited for.
PATIENCE = 0.2


def encode(status=200, name="", *lines):
    """Return a response whose body is its status; without an id if `name` is empty."""
    names = [f"Request-Id: {name}"] if name else []
    head = [f"HTTP/1.1 {status} -", *names, *lines, "Content-Length: 3"]
    return ("\r\n".join(head) + f"\r\n\r\n{status}").encode()


def refusal(name=""):
    """Return a refusal."""
    return encode(503, name, "Not-Executed: 1")


async def ask(pool, endpoint, name, method="GET"):
    """Return the head and body of an answer; None if there is none."""
    connection, exchange, _ = await begin(pool, endpoint, method, request_id=name)
    deadline = asyncio.get_running_loop().time() + PATIENCE
    head = await exchange.wait_for_head(deadline)
    body = await exchange.read_body(deadline) if head else None
    if body is None:
        connection.abort()
        return None
    pool.release(endpoint, connection)
    return head, body


def statuses_of(*answers, method="GET", pause=0.0, pool=None):
    """
    Return the statuses of requests r0, r1, ..., and the number of connections.

    Parameters
    ----------
    answers : bytes
        What the endpoint writes after it has got each of the requests, wherever it
        comes.
    method : str
        Method of the requests.
    pause : float
        Seconds between two requests.
    pool : ConnectionPool or None
        Pool to use; None for a new one.
    """
    pool = pool or ConnectionPool()
    left = iter(answers)

    async def script(reader, writer):
        while await reader.readuntil(b"\r\n\r\n"):
            writer.write(next(left))

    async def use(pool, endpoint):
        found = []
        for number in range(len(answers)):
            answer = await ask(pool, endpoint, f"r{number}", method)
            found.append(answer and answer[0].status)
            await asyncio.sleep(pause)
        return found

    return run_at_the_wire(script, use, pool), pool.opened


class UnnamedResponseTests(unittest.TestCase):
    """
    Guard against an earlier answer without an id that is taken for the expected one.

    A copy of an earlier refusal told "not run" of a request that was running.
    """

    def test_copy_of_a_refusal_is_not_the_next_answer(self):
        answers = refusal("r0"), refusal() + encode(200, "r1")
        self.assertEqual(statuses_of(*answers), ([503, 200], 1))

    def test_copy_of_an_error_is_not_the_next_answer(self):
        answers = encode(500, "r0"), encode(500) + encode(200, "r1")
        self.assertEqual(statuses_of(*answers), ([500, 200], 1))

    def test_copy_alone_proves_nothing(self):
        answers = encode(200, "r0"), refusal()
        self.assertEqual(statuses_of(*answers), ([200, None], 1))

    def test_copy_after_a_response_to_another_request_is_not_the_answer(self):
        answers = encode(200, "other") + refusal() + encode(200, "r0")
        self.assertEqual(statuses_of(answers), ([200], 1))

    def test_copy_behind_its_answer_closes_the_connection(self):
        for name in ("", "r0"):
            with self.subTest(name):
                answers = refusal("r0") + refusal(name), encode(200, "r1")
                found = statuses_of(*answers, pause=SETTLE_TIME)
                self.assertEqual(found, ([503, 200], 2))

    def test_copy_finds_no_request_on_the_connection_of_an_unnamed_refusal(self):
        answers = refusal(), encode(200, "r1")
        self.assertEqual(statuses_of(*answers), ([503, 200], 2))

    def test_interim_response_is_no_answer(self):
        early = b"HTTP/1.1 100 Continue\r\n\r\n"
        answers = encode(200, "r0"), early + refusal() + encode(200, "r1")
        self.assertEqual(statuses_of(*answers), ([200, 200], 1))

    def test_answer_to_head_closes_the_connection_if_more_follows(self):
        head = refusal("r0").removesuffix(b"503")
        answers = head + head, refusal("r1").removesuffix(b"503")
        found = statuses_of(*answers, method="HEAD", pause=SETTLE_TIME)
        self.assertEqual(found, ([503, 503], 2))


class SoundRefusalTests(unittest.TestCase):
    """Guard against sound answers without an id that are not recognised."""

    def test_first_answer_on_a_connection_needs_no_id(self):
        for status in (400, 421, 429, 500, 503):
            with self.subTest(status):
                self.assertEqual(statuses_of(encode(status)), ([status], 1))

    def test_interim_response_does_not_hide_the_first_answer(self):
        answer = b"HTTP/1.1 100 Continue\r\n\r\n" + refusal()
        self.assertEqual(statuses_of(answer), ([503], 1))

    def test_endpoint_that_omits_ids_is_understood_from_then_on(self):
        answers = encode(200, "r0"), *[refusal()] * 4
        self.assertEqual(statuses_of(*answers), ([200, None, 503, 503, 503], 4))

    def test_refusals_with_ids_cost_no_connections(self):
        answers = [refusal(f"r{number}") for number in range(5)]
        self.assertEqual(statuses_of(*answers), ([503] * 5, 1))


class SignalTests(unittest.TestCase):
    """Guard against a pause or a limit that an endpoint named in an earlier answer."""

    def signals_of(self, *answers):
        """Return whether each head that is heeded says "leaving", and its pause."""
        pool, heads = ConnectionPool(), []
        pool.on_head = lambda endpoint, head: heads.append(head)
        statuses_of(*answers, pool=pool)
        return [(it.leaving, it.refusal_pause) for it in heads]

    def test_copy_of_a_refusal_names_no_pause(self):
        first = encode(503, "r0", "Not-Executed: 1", "Retry-After: 2")
        for name in ("", "r0"):
            with self.subTest(name):
                copy = encode(503, name, "Not-Executed: 1", "Retry-After: 2")
                found = self.signals_of(first, copy + encode(200, "r1"))
                self.assertEqual(found, [(False, 2.0), (False, 0.0)])

    def test_endpoint_that_is_leaving_does_not_return(self):
        late = encode(200, "r0", f"{headers.SERVER_LEAVING}: 1")
        found = self.signals_of(encode(200, "r0"), late + encode(200, "r1"))
        self.assertEqual(found, [(False, 0.0), (True, 0.0), (False, 0.0)])


class IncarnationTests(unittest.TestCase):
    def test_only_the_incarnation_that_omits_ids_loses_its_connections(self):
        pool = ConnectionPool()

        async def script(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(refusal())
            await reader.read()

        async def use(pool, endpoint):
            await ask(pool, endpoint, "r0")
            restarted = attrs.evolve(endpoint, born=7)
            return endpoint, restarted

        endpoint, restarted = run_at_the_wire(script, use, pool)
        self.assertEqual(pool.unnamed, {endpoint.incarnation})

        async def forget():
            pool.close_stale({restarted.incarnation})

        asyncio.run(forget())
        self.assertEqual(pool.unnamed, set())
