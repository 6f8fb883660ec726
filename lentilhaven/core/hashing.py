"""Hashes of JSON documents and bearer tokens."""

import hashlib
import json


def canonical_json(document: object) -> str:
    """
    Serialize a document to JSON text that is identical for equal documents.

    Examples
    --------
    >>> canonical_json({"b": 1, "a": [2]})
    '{"a":[2],"b":1}'
    """
    return json.dumps(
        document, sort_keys=True, separators=(",", ":"), ensure_ascii=False
    )


def content_hash(document: object) -> str:
    """
    Return the SHA-256 of a document's canonical JSON, in hexadecimal.

    Examples
    --------
    >>> content_hash({})[:12]
    '44136fa355b3'
    """
    return hashlib.sha256(canonical_json(document).encode()).hexdigest()


def token_hash(token: str) -> str:
    """
    Return the hash that the tables store instead of a bearer token.

    Tokens are long and random, so a plain hash without salt resists guessing.

    Examples
    --------
    >>> token_hash("secret")[:19]
    'sha256:2bb80d537b1d'
    """
    # A header may contain bytes that are not UTF-8; "surrogateescape" hashes them
    # without an error, and the hash matches no token.
    return (
        "sha256:" + hashlib.sha256(token.encode(errors="surrogateescape")).hexdigest()
    )
