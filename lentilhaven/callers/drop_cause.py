"""Reasons for which a connection or a request is dropped."""

from enum import StrEnum


class DropCause(StrEnum):
    """Why a client's connection is closed; the value is the label of a counter."""

    HEAD = "head too large"
    FRAMING = "too many bytes around a body"
    MALFORMED = "malformed request"
    MEMORY = "connections hold too much"
    CONNECTIONS = "too many connections"
    REQUESTS = "too many requests in progress"
    HANDSHAKES = "too many handshakes"
