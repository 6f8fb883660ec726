"""Exit codes of the operators' client; scripts may rely on them."""

import enum


class ExitCode(enum.IntEnum):
    """How a command ended."""

    OK = 0
    #: The system refused, failed or did not answer.
    FAILED = 1
    #: What was given is malformed: a file, an option or the settings.
    INVALID = 2
    #: Another edit came first; nothing was changed.
    CONFLICT = 3
    #: Done, but some VMs did not answer or have not followed yet.
    PARTIAL = 4
