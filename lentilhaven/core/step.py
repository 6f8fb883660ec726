"""The processing steps in which a request or a control message can fail."""

import enum


class Step(enum.Enum):
    """A processing step; every failure names the step in which it occurred."""

    SETTINGS = "settings"
    PARSE = "parse"
    AUTHENTICATE = "authenticate"
    ROUTE = "route"
    ADMIT = "admit"
    CLAIM = "claim"
    CHOOSE = "choose"
    CONNECT = "connect"
    SEND = "send"
    STREAM = "stream"
    VERIFY = "verify"
    SETTLE = "settle"
    RESUME = "resume"
    READ_OBJECT = "read-object"
    WRITE_OBJECT = "write-object"
    WATCH = "watch"
    LIST_VMS = "list-vms"
    SPREAD = "spread"
    ORDER = "order"
    INTERNAL = "internal"
