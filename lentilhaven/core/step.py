"""The processing steps in which a request or a control message can fail."""

import enum


class Step(enum.Enum):
    """A processing step; every failure names the step in which it occurred."""

    SETTINGS = "settings"
    PARSE = "parse"
    AUTHENTICATE = "authenticate"
    ROUTE = "route"
    ADMIT = "admit"
    #: Claiming the right to dispatch a call with an idempotency key.
    CLAIM = "claim"
    CHOOSE = "choose"
    CONNECT = "connect"
    SEND = "send"
    STREAM = "stream"
    #: Checking that the events of a stream are valid and complete.
    VERIFY = "verify"
    #: Committing operations to the idempotency journal.
    SETTLE = "settle"
    #: Resuming a stream after the event that the caller received last.
    RESUME = "resume"
    READ_OBJECT = "read-object"
    WRITE_OBJECT = "write-object"
    WATCH = "watch"
    LIST_VMS = "list-vms"
    #: Exchanging state between agents, or between an agent and a router.
    SPREAD = "spread"
    #: Reading an engine's status report or giving it an order.
    ORDER = "order"
    INTERNAL = "internal"
