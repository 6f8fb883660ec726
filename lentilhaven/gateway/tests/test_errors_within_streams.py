import unittest

import attrs

from lentilhaven.gateway.tests.stream_wire import (
    CHUNKED,
    EVENT_STREAM,
    EVENTS,
    LAST_CHUNK,
    PATIENCE,
    SOUND,
    Answer,
    chunk,
    event,
    events,
    receive_all,
)
from lentilhaven.upstream.tests.wire import reset

#: Events that the first run has sent when it breaks off.
SENT = 4

PAGE = b"<html>\n\n<title>Internal Server Error</title>\n\nid: 99\n\n</html>\n\n"
UNNAMED = b"data: piece\n\ndata: piece\n\n"
JSON = b'{"error": "out of memory"}'
UNFRAMED = b"Connection: close\r\n"
REFUSAL = b"Not-Executed: 1\r\n"


def constant(data):
    """Return a body that is the same for each request."""
    return lambda request: data


def sized(data, kind=b"text/html"):
    """Return the lines of a head, and the body, of an answer with a length."""
    fields = b"Content-Type: %b\r\nContent-Length: %d\r\n" % (kind, len(data))
    return {"fields": fields, "body": constant(data)}


def both_ends(name, answer):
    """Return an answer that ends with an orderly close, and with a reset, by name."""
    return {
        f"{name}, closed": answer,
        f"{name}, reset": attrs.evolve(answer, end=reset),
    }


def begun(tail):
    """Return a body with some events in chunks and a tail."""
    return constant(chunk(events(1, SENT)) + tail)


#: First runs that break off after some events.
BREAKS = {
    **both_ends("between events", Answer(begun(b""))),
    **both_ends("within an event", Answer(begun(chunk(event(5)[:8])))),
    **both_ends("within a chunk", Answer(begun(chunk(event(5))[:12]))),
    **both_ends("within the size of a chunk", Answer(begun(b"1"))),
    "within an event, chunks ended": Answer(begun(chunk(event(5)[:8]) + LAST_CHUNK)),
    **both_ends(
        "without framing, within an event",
        Answer(constant(events(1, SENT) + b"id: 5\nda"), EVENT_STREAM + UNFRAMED),
    ),
    "without framing, between events": Answer(
        constant(events(1, SENT)), EVENT_STREAM + UNFRAMED, end=reset
    ),
    "with a length": Answer(
        constant(events(1, SENT)), EVENT_STREAM + b"Content-Length: 500\r\n"
    ),
}

#: First runs that break off before the first event.
EARLY_BREAKS = {
    **both_ends("before the first event", Answer(constant(b""))),
    **both_ends("within the first event", Answer(constant(chunk(b"id: 1\nda")))),
}

#: Answers that are no streams by their status, or no answers.
ERRORS = {
    "page with a length": Answer(status=b"500 Failed", **sized(PAGE)),
    "page in chunks": Answer(
        constant(chunk(PAGE) + LAST_CHUNK), CHUNKED, b"500 Failed"
    ),
    "page until the end": Answer(constant(PAGE), UNFRAMED, b"502 Bad Gateway"),
    "page until a reset": Answer(constant(PAGE), UNFRAMED, b"500 Failed", end=reset),
    "page without an end": Answer(constant(PAGE), UNFRAMED, b"500 Failed", end=None),
    "event stream of status 500": Answer(
        constant(chunk(events(5, 6)) + LAST_CHUNK), status=b"500 Failed"
    ),
    "status 204": Answer(constant(b""), b"", b"204 No Content"),
    "status 206": Answer(
        constant(chunk(events(5, 6)) + LAST_CHUNK), status=b"206 Partial Content"
    ),
    "status 302": Answer(status=b"302 Found", **sized(PAGE)),
    "status 304": Answer(constant(b""), b"", b"304 Not Modified"),
    "status 404": Answer(status=b"404 Not Found", **sized(PAGE)),
    "status 503 that may have run": Answer(status=b"503 Busy", **sized(PAGE)),
    "status 429 that may have run": Answer(status=b"429 Slow", **sized(PAGE)),
    "no HTTP": Answer(constant(b""), head=b"\x16\x03\x01 this is not HTTP\r\n\r\n"),
    "page without a head": Answer(constant(PAGE), head=b""),
    "part of a head": Answer(constant(b""), head=b"HTTP/1.1 200 OK\r\nReque"),
    "nothing": Answer(constant(b""), head=b""),
    "head and then nothing": Answer(constant(b""), end=None),
    **both_ends("head", Answer(constant(b""))),
    "page instead of chunks": Answer(constant(b"HTTP/1.1 500 Failed\r\n\r\n" + PAGE)),
    "answer to another request": Answer(
        constant(events(5, 6)),
        head=b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: %d\r\n\r\n"
        % len(events(5, 6)),
    ),
}

#: Answers of status 200 that are no streams.
PAGES = {
    "page of status 200": Answer(**sized(PAGE)),
    "empty page of status 200": Answer(**sized(b"")),
    "JSON of status 200": Answer(**sized(JSON + b"\n\n", b"application/json")),
    "page of status 200 in chunks": Answer(
        constant(chunk(PAGE) + LAST_CHUNK), b"Content-Type: text/html\r\n" + CHUNKED
    ),
    "page of status 200 until the end": Answer(
        constant(PAGE), b"Content-Type: text/html\r\n" + UNFRAMED
    ),
    "page of status 200 until a reset": Answer(
        constant(PAGE), b"Content-Type: text/html\r\n" + UNFRAMED, end=reset
    ),
}

#: Answers that end without an event.
EMPTY_STREAMS = {
    "head without framing": Answer(constant(b""), EVENT_STREAM + UNFRAMED),
    "head without framing, reset": Answer(
        constant(b""), EVENT_STREAM + UNFRAMED, end=reset
    ),
    "empty line without framing": Answer(constant(b"\n"), EVENT_STREAM + UNFRAMED),
    "empty stream in chunks": Answer(constant(LAST_CHUNK)),
    "empty stream with a length": Answer(
        constant(b""), EVENT_STREAM + b"Content-Length: 0\r\n"
    ),
}

#: Answers that end without an event, but with bytes of an event stream.
COMMENT_STREAMS = {
    name: Answer(constant(chunk(data) + LAST_CHUNK))
    for name, data in {
        "comment": b": out of memory\n\n",
        "time for reconnecting": b"retry: 3000\n\n",
        "empty lines": b"\n\n",
    }.items()
} | {
    "comment without framing": Answer(constant(b": wait\n\n"), EVENT_STREAM + UNFRAMED)
}

#: Streams that don't go on where the one before broke off.
OTHER_EVENTS = {
    "events from the first on": Answer(constant(chunk(events(1, EVENTS)) + LAST_CHUNK)),
    "events from the last on": Answer(
        lambda request: chunk(events(request.last_event, EVENTS)) + LAST_CHUNK
    ),
    "events that skip one": Answer(
        lambda request: chunk(events(request.last_event + 2, EVENTS)) + LAST_CHUNK
    ),
    "events without ids": Answer(constant(chunk(UNNAMED) + LAST_CHUNK)),
    "page as events": Answer(constant(chunk(PAGE) + LAST_CHUNK)),
    "page without a media type": Answer(constant(PAGE), UNFRAMED),
    "page with its head as events": Answer(
        constant(b"HTTP/1.1 500 Failed\r\n\r\n" + PAGE), EVENT_STREAM + UNFRAMED
    ),
    "comment, then events from the first on": Answer(
        constant(chunk(b": wait\n\n") + chunk(events(1, EVENTS)) + LAST_CHUNK)
    ),
}

#: Runs that end as they should.
SOUND_RUNS = {
    "sound": SOUND,
    "sound, without framing": Answer(
        lambda request: events(request.last_event + 1, EVENTS), EVENT_STREAM + UNFRAMED
    ),
    "sound, then a page": Answer(
        lambda request: (
            chunk(events(request.last_event + 1, EVENTS))
            + LAST_CHUNK
            + b"HTTP/1.1 500 Failed\r\nContent-Length: %d\r\n\r\n" % len(PAGE)
            + PAGE
        )
    ),
}

#: Answers after which another engine may run the request.
REFUSALS = {
    "refused with 503": Answer(
        constant(b"full"), REFUSAL + b"Content-Length: 4\r\n", b"503 Busy"
    ),
    "refused with 429": Answer(
        constant(chunk(PAGE) + LAST_CHUNK), REFUSAL + CHUNKED, b"429 Slow"
    ),
    "refused with 421": Answer(status=b"421 Misdirected", **sized(PAGE)),
}


class StreamCase(unittest.TestCase):
    """
    Checks the raw bytes that callers receive.

    There is one head and whole events in order, and the stream ends as whole only after
    its last event.
    """

    def receive(self, cases, path="/draft/1", whole=None, **headers):
        """Return what callers receive in some cases, and check it."""
        found = receive_all(cases, path, **headers)
        for case, received in found.items():
            with self.subTest(case=case):
                self.assertEqual(received.find_fault(), "")
                if whole is not None:
                    self.assertEqual(received.is_whole, whole)
        return found

    def check_failures(self, failures):
        """Check streams that failures continue, or begin, or are all there is."""
        begun = {
            (name, failure): [first, answer]
            for name, first in BREAKS.items()
            for failure, answer in failures.items()
        }
        self.receive(begun, whole=False)
        early = {
            (name, failure): [first, answer]
            for name, first in EARLY_BREAKS.items()
            for failure, answer in failures.items()
        }
        self.receive(early)
        alone = {(failure,): [answer, SOUND] for failure, answer in failures.items()}
        self.receive(alone)
        self.receive(alone, "/once/1")


class ErrorAnswerTests(StreamCase):
    """Guard against the text of an error in the middle of a stream."""

    def test_errors(self):
        self.check_failures(ERRORS)

    def test_answers_of_another_media_type(self):
        self.check_failures(PAGES)

    def test_connection_that_the_caller_would_keep_is_closed(self):
        failures = [ERRORS["page with a length"], EMPTY_STREAMS["head without framing"]]
        cases = {
            (name, number): [first, answer]
            for name, first in BREAKS.items()
            for number, answer in enumerate(failures)
        }
        self.receive(cases, whole=False, Connection="keep-alive")


class EndlessErrorTests(StreamCase):
    """Guard against streams that wait for the end of an error that nobody gets."""

    def test_refusal_without_an_end(self):
        refusal = Answer(constant(b"full"), REFUSAL + UNFRAMED, b"503 Busy", end=None)
        cases = {
            (name,): [first, refusal, SOUND]
            for name, first in (BREAKS | EARLY_BREAKS).items()
        }
        self.receive(cases | {"alone": [refusal, SOUND]}, whole=True)

    def test_error_page_without_an_end(self):
        page = ERRORS["page without an end"]
        cases = {(name,): [first, page] for name, first in BREAKS.items()}
        for case, received in self.receive(cases, whole=False).items():
            with self.subTest(case=case):
                self.assertLess(received.seconds, PATIENCE / 2)


class EmptyContinuationTests(StreamCase):
    """
    Guard against a stream that ends as whole although events are missing.

    A run without an event counted as the rest of the stream.
    """

    def test_begun_stream_is_broken_off(self):
        cases = {
            (name, end): [first, answer]
            for name, first in BREAKS.items()
            for end, answer in EMPTY_STREAMS.items()
        }
        self.receive(cases, whole=False)

    # Guards against comments that count as the events that are missing.
    def test_comments_do_not_end_a_begun_stream(self):
        cases = {
            (name, comment): [first, answer]
            for name, first in BREAKS.items()
            for comment, answer in COMMENT_STREAMS.items()
        }
        for case, received in receive_all(cases, "/draft/1").items():
            with self.subTest(case=case):
                self.assertEqual(received.ids, [1, 2, 3, 4])
                self.assertFalse(received.is_whole)

    # Guards against a lost connection that counts as the end after a comment.
    def test_answer_without_framing_proves_no_end(self):
        answer = EMPTY_STREAMS["head without framing"]
        found = receive_all({"": [answer]}, "/draft/1", Last_Event_Id="4")
        self.assertEqual(found[""].status, 502)
        answer = COMMENT_STREAMS["comment without framing"]
        found = receive_all({"": [answer]}, "/draft/1", Last_Event_Id="4")
        self.assertFalse(found[""].is_whole)

    def test_comment_before_the_end_keeps_a_whole_stream(self):
        cases = {"end": [COMMENT_STREAMS["comment"]]}
        found = receive_all(cases, "/draft/1", Last_Event_Id=str(EVENTS))
        self.assertTrue(found["end"].is_whole)

    def test_caller_who_has_all_events_gets_the_end(self):
        found = receive_all({"": [SOUND]}, "/draft/1", Last_Event_Id=str(EVENTS))
        self.assertEqual((found[""].status, found[""].ids), (200, []))
        self.assertTrue(found[""].is_whole)


class ContinuityTests(StreamCase):
    """
    Guard against streams in which events are missing or come twice.

    The ids of a run's events were not compared with those before.
    """

    def test_run_that_does_not_go_on_is_not_joined(self):
        cases = {
            (name, other): [first, answer]
            for name, first in BREAKS.items()
            for other, answer in OTHER_EVENTS.items()
        }
        self.receive(cases, whole=False)

    def test_page_after_events_is_not_relayed(self):
        page = b"HTTP/1.1 500 Failed\r\nContent-Type: text/html\r\n\r\n" + PAGE
        first = Answer(constant(events(1, SENT) + page), EVENT_STREAM + UNFRAMED)
        self.receive({"page": [first, SOUND]}, whole=True)
        self.receive({"page": [first, SOUND]}, "/once/1", whole=False)

    def test_events_that_the_caller_has_are_not_sent_again(self):
        answer = OTHER_EVENTS["events from the first on"]
        found = receive_all({"": [answer, SOUND]}, "/draft/1", Last_Event_Id="4")
        self.assertEqual(found[""].ids, [5, 6, 7, 8])
        self.assertTrue(found[""].is_whole)

    def test_stream_without_ids_is_not_continued(self):
        whole = Answer(constant(chunk(UNNAMED) + LAST_CHUNK))
        broken = Answer(constant(chunk(UNNAMED)))
        cases = {"whole": [whole], "broken": [broken, whole]}
        found = receive_all(cases, "/draft/1")
        self.assertTrue(found["whole"].is_whole)
        self.assertEqual(b"".join(found["broken"].chunks), UNNAMED)
        self.assertFalse(found["broken"].is_whole)


class SoundRunTests(StreamCase):
    """Guard against streams that sound runs do not complete."""

    def test_runs_after_a_break(self):
        cases = {
            (name, run): [first, answer]
            for name, first in (BREAKS | EARLY_BREAKS).items()
            for run, answer in SOUND_RUNS.items()
        }
        self.receive(cases, whole=True)
        cases = {(name,): [answer] for name, answer in SOUND_RUNS.items()}
        self.receive(cases, "/once/1", whole=True)

    def test_runs_after_a_refusal(self):
        cases = {
            (name, refusal): [first, answer, SOUND]
            for name, first in (BREAKS | EARLY_BREAKS).items()
            for refusal, answer in REFUSALS.items()
        }
        self.receive(cases, whole=True)

    def test_broken_streams_that_may_not_be_resumed(self):
        cases = {(name,): [answer, SOUND] for name, answer in BREAKS.items()}
        found = self.receive(cases, "/once/1", whole=False)
        self.assertEqual({tuple(it.ids) for it in found.values()}, {(1, 2, 3, 4)})
