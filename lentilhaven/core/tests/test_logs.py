import io
import json
import logging
import unittest

import structlog

from lentilhaven.core.log_limit import LINES_PER_WINDOW, WINDOW_LENGTH, LogLimit
from lentilhaven.core.logs import configure_logs, describe_exception, get_logger


class LogTests(unittest.TestCase):
    def setUp(self):
        self.config = structlog.get_config()
        self.stream = io.StringIO()
        self.handlers = logging.getLogger().handlers
        self.level = logging.getLogger().level
        configure_logs("info", self.stream)

    def tearDown(self):
        structlog.configure(**self.config)
        logging.getLogger().handlers = self.handlers
        logging.getLogger().setLevel(self.level)

    def lines(self):
        return [json.loads(line) for line in self.stream.getvalue().splitlines()]

    def test_secrets_and_payloads_are_masked(self):
        log = get_logger("test")
        log.info(
            "shown Bearer s3cret", token="s3cret", prompt="private", body=b"private"
        )
        log.error("failed", **describe_exception(ValueError("private")))
        try:
            raise KeyError("private")
        except KeyError:
            logging.getLogger("library").exception("it broke: %s", "private")
        text = self.stream.getvalue()
        self.assertNotIn("s3cret", text)
        self.assertNotIn("private", text)
        self.assertEqual(len(self.lines()), 3)

    def test_repeated_lines_are_limited_and_counted(self):
        now = 0.0
        limit = LogLimit(monotonic=lambda: now)

        def write():
            return limit(None, "info", {"event": "refused", "component": "c"})

        for _ in range(LINES_PER_WINDOW):
            write()
        for _ in range(7):
            self.assertRaises(structlog.DropEvent, write)
        now = WINDOW_LENGTH
        self.assertEqual(write()["dropped"], 7)
        self.assertNotIn("dropped", write())

    def test_an_unhashable_stream_is_accepted(self):
        class Buffer(io.StringIO):
            __hash__ = None

        stream = Buffer()
        configure_logs("info", stream)
        get_logger("test").info("refused")
        self.assertEqual(json.loads(stream.getvalue())["event"], "refused")
