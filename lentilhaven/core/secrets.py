"""Reads secrets from files, so that they appear in no settings and no state dump."""

from pathlib import Path

from expression import Error, Ok, Result

from lentilhaven.core.failure import Failure
from lentilhaven.core.step import Step

#: Minimum length of a secret, in characters.
MIN_SECRET_LENGTH = 16


def read_secret(path: str, setting: str) -> Result[str, Failure]:
    """
    Read a secret from its file.

    Parameters
    ----------
    path : str
        Path of the file; an empty path is an error.
    setting : str
        Path of the setting that names the file, for the error message.

    Returns
    -------
    Result
        The secret without surrounding whitespace, or a failure if the file can't be
        read or the secret is shorter than `MIN_SECRET_LENGTH`.

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
        # The message of a decoding error quotes the secret, so it is not passed on.
        reason = error.strerror if isinstance(error, OSError) else "not UTF-8"
        return Error(bad_secret(setting, f"{path!r} can't be read: {reason}"))
    if len(text) < MIN_SECRET_LENGTH:
        requirement = f"{path!r} must contain at least {MIN_SECRET_LENGTH} characters"
        return Error(bad_secret(setting, f"{requirement}, not {len(text)}"))
    return Ok(text)


def bad_secret(setting: str, detail: str) -> Failure:
    """Return the failure for a secret that can't be used."""
    return Failure(Step.SETTINGS, "", "bad-secret", f"{setting}: {detail}")
