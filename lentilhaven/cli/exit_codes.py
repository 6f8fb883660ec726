"""Exit codes of the operators' client; scripts may rely on them."""

import enum


class ExitCode(enum.IntEnum):
    """Result of a command."""

    OK = 0
    #: The system refused the request, failed or did not answer.
    FAILED = 1
    #: A file, an option or the settings is malformed.
    INVALID = 2
    #: Another edit was applied first; nothing was changed.
    CONFLICT = 3
    #: Done, but some VMs did not answer or do not use the new version yet.
    PARTIAL = 4
