"""Secrets are read from files, so that they stand in no settings and no dump."""

from pathlib import Path

from expression import Error, Ok, Result

from lentilhaven.core.failure import Failure
from lentilhaven.core.step import Step

#: Fewest characters of a token that the processes share.
SHORTEST_TOKEN = 16


def read_secret(path: str, setting: str) -> Result[str, Failure]:
    """
    Return the content of a secret's file.

    Parameters
    ----------
    path : str
        Path of the file.
    setting : str
        Path of the setting that names the file.

    Returns
    -------
    Result
        The secret, or a failure if the file can't be read or holds too little.

    Examples
    --------
    >>> print(read_secret("", "$.cluster_token_file").error.detail)
    $.cluster_token_file: a file is required
    """
    if not path:
        return Error(bad_secret(setting, "a file is required"))
    try:
        text = Path(path).read_text(encoding="utf-8").strip()
    except (OSError, ValueError) as error:
        # The text of a decoding error quotes the secret.
        reason = error.strerror if isinstance(error, OSError) else "not UTF-8"
        return Error(bad_secret(setting, f"{path!r} can't be read: {reason}"))
    if len(text) < SHORTEST_TOKEN:
        need = f"{path!r} must hold at least {SHORTEST_TOKEN} characters"
        return Error(bad_secret(setting, f"{need}, not {len(text)}"))
    return Ok(text)


def bad_secret(setting: str, detail: str) -> Failure:
    """Return the failure of a secret that can't be used."""
    return Failure(Step.SETTINGS, "", "bad-secret", f"{setting}: {detail}")
