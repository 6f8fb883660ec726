"""Maps calls to objects of the store."""

import attrs
import xxhash

from lentilhaven.control.claim import ClaimRequest
from lentilhaven.idempotency.call_key import key_time


@attrs.frozen
class EntryLocation:
    """
    The location of a call's journal entry.

    Attributes
    ----------
    shard : str
        Name of the shard, which is the unit of ownership.
    name : str
        Name of the object.
    bucket : int
        Number of the key's time span; 0 for a key that contains no time.
    timed : bool
        Whether the key contains its creation time.
    """

    shard: str
    name: str
    bucket: int
    timed: bool


@attrs.frozen
class JournalLayout:
    """
    The mapping of keys to objects; every VM must use the same one.

    A timed key, which contains its creation time, belongs to the time span, or
    *bucket*, in which it was created.  Buckets share a ring of objects: the object
    of a bucket is overwritten when the bucket that is `ring_size` buckets later is
    first used.  A key expires because of that overwrite, not because of a clock.
    Keys without a time never expire and are stored in a fixed number of separate
    objects.

    Attributes
    ----------
    shard_count : int
        Number of shards for timed keys.
    bucket_seconds : int
        Length of a bucket, in seconds.
    ring_size : int
        Number of buckets that are kept; multiplied by the length of a bucket, it
        gives the retention time.
    untimed_count : int
        Number of objects for keys without a time.
    """

    shard_count: int = 64
    bucket_seconds: int = 60
    ring_size: int = 1_500
    untimed_count: int = 1_024

    @property
    def retention(self) -> float:
        """Return the minimum time for which a timed key is kept, in seconds."""
        return float(self.bucket_seconds * (self.ring_size - 1))

    def locate(self, request: ClaimRequest) -> EntryLocation:
        """
        Return the location of a call's journal entry.

        Parameters
        ----------
        request : ClaimRequest
            A claim on the call.

        Examples
        --------
        >>> claim = ClaimRequest("w", "r", "issue-4711", "f", "q")
        >>> JournalLayout().locate(claim).bucket
        0
        """
        call_hash = xxhash.xxh3_64_intdigest(call_identity(request).encode())
        created_at = key_time(request.key)
        if created_at is None:
            shard = f"u{call_hash % self.untimed_count}"
            return EntryLocation(shard, f"journal/{shard}", 0, timed=False)
        bucket = int(created_at // self.bucket_seconds)
        shard = f"t{call_hash % self.shard_count}"
        name = f"journal/{shard}/{bucket % self.ring_size}"
        return EntryLocation(shard, name, bucket, timed=True)


def call_identity(request: ClaimRequest) -> str:
    r"""
    Return the string that identifies a call.

    Examples
    --------
    >>> call_identity(ClaimRequest("w", "r", "k", "f", "q"))
    'w\nr\nk'
    """
    return f"{request.workspace}\n{request.route}\n{request.key}"


def entry_key(request: ClaimRequest) -> str:
    """
    Return the key of a call within its object, a 128-bit hash in hexadecimal.

    Examples
    --------
    >>> len(entry_key(ClaimRequest("w", "r", "k", "f", "q")))
    32
    """
    return xxhash.xxh3_128_hexdigest(call_identity(request).encode())
