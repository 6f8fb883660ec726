"""Secrets are read from files, so that they stand in no settings and no dump."""

from pathlib import Path


def read_secret(path: str) -> str:
    """
    Return the content of a secret's file.

    Parameters
    ----------
    path : str
        Path of the file; an empty path stands for an empty secret.

    Raises
    ------
    OSError
        If the file can't be read.

    Examples
    --------
    >>> read_secret("")
    ''
    """
    return Path(path).read_text(encoding="utf-8").strip() if path else ""
