"""Hashes of documents and tokens."""

import hashlib
import json


def canonical_json(document: object) -> str:
    """
    Return JSON that is equal for equal documents.

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
    Return the form in which the tables hold a bearer token.

    Tokens are random and long, so that a plain hash withstands guessing.

    Examples
    --------
    >>> token_hash("secret")[:19]
    'sha256:2bb80d537b1d'
    """
    # A header may hold bytes that are not UTF-8; they match no token.
    return (
        "sha256:" + hashlib.sha256(token.encode(errors="surrogateescape")).hexdigest()
    )
