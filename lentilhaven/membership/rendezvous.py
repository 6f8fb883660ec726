"""
Rendezvous hashing.

References
----------
Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
IEEE/ACM Transactions on Networking 6(1), 1998.
"""

from collections.abc import Iterable

import xxhash

from lentilhaven.core.ids import VmId


def rank_members(key: str, members: Iterable[VmId]) -> list[VmId]:
    """
    Return members ordered by rank for a key, its first owner first.

    When a member leaves, only the keys that it owned change owners.  When one
    joins, only the keys that it takes over change owners.

    Parameters
    ----------
    key : str
        Key of a task or a shard.
    members : iterable of str
        Ids of the candidate VMs.

    Examples
    --------
    >>> ranked = rank_members("shard/3", ["vm-1", "vm-2", "vm-3"])
    >>> rank_members("shard/3", ranked[1:]) == ranked[1:]
    True
    """
    return sorted(members, key=lambda member: score(key, member), reverse=True)


def choose_owners(key: str, members: Iterable[VmId], count: int) -> list[VmId]:
    """
    Return the `count` members that own a key, or fewer if there are fewer.

    Parameters
    ----------
    key : str
        Key of a task or a shard.
    members : iterable of str
        Ids of the candidate VMs.
    count : int
        Number of owners.
    """
    return rank_members(key, members)[:count]


def score(key: str, member: VmId) -> tuple[int, VmId]:
    """Return the score of a member for a key; ties are broken by id."""
    return xxhash.xxh3_64_intdigest(f"{key}\x00{member}".encode()), member
