"""The package as it was at an older commit."""

import io
import subprocess
import tarfile
from pathlib import Path

import attrs
from expression import Error, Ok, Result

#: Name of the package's folder in the repository.
PACKAGE = "lentilhaven"

#: Seconds within which git must write the archive.
GIT_TIMEOUT = 30.0


@attrs.frozen
class MissingCheckout:
    """
    The reason why there is no checkout of a commit.

    Attributes
    ----------
    commit : str
        The commit.
    reason : str
        What git or the archive said.
    """

    commit: str
    reason: str

    def __str__(self) -> str:
        """Return one line for a report."""
        return f"no checkout of commit {self.commit}: {self.reason}"


def extract_commit(
    commit: str, repository: Path, folder: Path
) -> Result[Path, MissingCheckout]:
    """
    Write the package as of a commit into a folder.

    Parameters
    ----------
    commit : str
        Name of the commit.
    repository : Path
        Folder in a git repository that holds the commit.
    folder : Path
        Folder into which the package is written; created if it does not exist.

    Returns
    -------
    Result of Path or MissingCheckout
        The folder, or why there is no checkout: git is not installed, the folder is no
        repository, or the repository does not hold the commit or its package.
    """
    # A commit that begins with a dash would be an option.
    revision = f"{commit}^{{commit}}"
    command = ["git", "-C", str(repository), "rev-parse", "--verify", "--quiet"]
    known = run_git([*command, "--end-of-options", revision])
    if known.is_error():
        reason = known.error or "the repository does not hold it"
        return Error(MissingCheckout(commit, reason))
    archived = run_git(
        ["git", "-C", str(repository), "archive", known.ok.decode().strip(), PACKAGE]
    )
    if archived.is_error():
        return Error(MissingCheckout(commit, archived.error))
    try:
        with tarfile.open(fileobj=io.BytesIO(archived.ok)) as archive:
            archive.extractall(folder, filter="data")
    except (tarfile.TarError, OSError) as error:
        return Error(MissingCheckout(commit, str(error)))
    return Ok(folder)


def run_git(command: list[str]) -> Result[bytes, str]:
    """Run git; return its output, or what it said when it failed."""
    try:
        done = subprocess.run(command, capture_output=True, timeout=GIT_TIMEOUT)
    except (OSError, subprocess.TimeoutExpired) as error:
        return Error(str(error))
    if done.returncode:
        return Error(done.stderr.decode(errors="replace").strip())
    return Ok(done.stdout)
