"""What may be at fault when an endpoint ends: a part of prompts, or one request."""

import enum

import attrs

#: Id of an endpoint and time of its start (see `Endpoint.incarnation`).
Incarnation = tuple[str, int]


class SubjectKind(enum.Enum):
    """Kind of a subject."""

    #: A part of prompts that requests share.
    PART = "part"
    #: A request that comes again with the same caller, path and body.
    REQUEST = "request"


@attrs.frozen(order=True, cache_hash=True)
class Subject:
    """
    What endpoints were running when they ended.

    Attributes
    ----------
    service : str
        Name of the service that runs it.
    name : str
        Id of the part, or digest of the request.
    kind : SubjectKind
        What it is.
    """

    service: str
    name: str
    kind: SubjectKind = attrs.field(default=SubjectKind.PART, order=lambda it: it.value)

    @property
    def is_request(self) -> bool:
        """Return whether this is a request."""
        return self.kind is SubjectKind.REQUEST
