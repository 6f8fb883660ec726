"""Which object of the store holds a call."""

import attrs
import xxhash

from lentilhaven.control.claim import ClaimRequest
from lentilhaven.idempotency.call_key import key_time


@attrs.frozen
class Place:
    """
    Where a call is kept.

    Attributes
    ----------
    shard : str
        The unit of ownership.
    name : str
        Name of the object.
    bucket : int
        Number of the key's time span; 0 for a key that carries no time.
    timed : bool
        Whether the key carries its time.
    """

    shard: str
    name: str
    bucket: int
    timed: bool


@attrs.frozen
class JournalLayout:
    """
    How keys map to objects; every VM must use the same one.

    A key that carries its time belongs to the time span, or *bucket*, in which
    it was made.  Buckets share a ring of objects, so that a bucket's object is
    overwritten when the bucket one whole ring later is first used; that, and no
    clock, is what makes a key expire.  Keys without a time are never forgotten
    and live in a fixed number of objects of their own.

    Attributes
    ----------
    shard_count : int
        Number of shards of keys that carry their time.
    bucket_seconds : int
        Length of a bucket.
    ring_size : int
        Buckets kept; their product with the length is the retention.
    untimed_count : int
        Number of objects for keys without a time.
    """

    shard_count: int = 64
    bucket_seconds: int = 60
    ring_size: int = 1_500
    untimed_count: int = 1_024

    @property
    def retention(self) -> float:
        """Return how long a timed key is kept at least, in seconds."""
        return float(self.bucket_seconds * (self.ring_size - 1))

    def place(self, request: ClaimRequest) -> Place:
        """
        Return where a call is kept.

        Parameters
        ----------
        request : ClaimRequest
            The call.

        Examples
        --------
        >>> claim = ClaimRequest("w", "r", "issue-4711", "f", "q")
        >>> JournalLayout().place(claim).bucket
        0
        """
        hashed = xxhash.xxh3_64_intdigest(call_name(request).encode())
        made = key_time(request.key)
        if made is None:
            shard = f"u{hashed % self.untimed_count}"
            return Place(shard, f"journal/{shard}", 0, timed=False)
        bucket = int(made // self.bucket_seconds)
        shard = f"t{hashed % self.shard_count}"
        name = f"journal/{shard}/{bucket % self.ring_size}"
        return Place(shard, name, bucket, timed=True)


def call_name(request: ClaimRequest) -> str:
    r"""
    Return the text that identifies a call.

    Examples
    --------
    >>> call_name(ClaimRequest("w", "r", "k", "f", "q"))
    'w\nr\nk'
    """
    return f"{request.workspace}\n{request.route}\n{request.key}"


def entry_key(request: ClaimRequest) -> str:
    """
    Return the short key of a call within its object, 128 bits in hexadecimal.

    Examples
    --------
    >>> len(entry_key(ClaimRequest("w", "r", "k", "f", "q")))
    32
    """
    return xxhash.xxh3_128_hexdigest(call_name(request).encode())
