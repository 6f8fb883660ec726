"""Command line entry point of ``lentilhaven-gateway``."""

import gc
import signal
import sys
from collections.abc import Iterator
from contextlib import contextmanager

#: Maximum log lines with the same event text in ten seconds: about four times the
#: requests that one VM serves in that time at the highest planned load.
LINES_PER_WINDOW = 1000


@contextmanager
def uncollected_imports() -> Iterator[None]:
    """
    Keep the garbage collector from examining what is imported in the context.

    Modules and classes live as long as the process, so that collections find hardly
    anything, neither while they are imported nor later.
    """
    gc.disable()
    try:
        yield
    finally:
        gc.freeze()
        gc.enable()


def main() -> int:
    """
    Run a gateway with the settings file that the environment names.

    Returns
    -------
    int
        Exit status: 0 after a normal shutdown, 2 if the settings can't be read.
    """
    # The default action of SIGHUP ends the process.  Ignoring the signal until a
    # handler is installed is safe: the settings have not been read yet.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # These imports take most of the startup time, so the signal is ignored first.
    with uncollected_imports():
        from lentilhaven.core.log_buffer import LogBuffer
        from lentilhaven.core.logs import configure_logs
        from lentilhaven.draining.run_to_end import run_to_end
        from lentilhaven.gateway.program import serve
        from lentilhaven.platform.settings import SettingsFileError, read_settings

    stream = LogBuffer(sys.stdout.fileno())
    configure_logs("info", stream, LINES_PER_WINDOW)  # type: ignore[arg-type]
    try:
        settings = read_settings()
    except SettingsFileError as error:
        print(f"lentilhaven-gateway: {error}", file=sys.stderr)
        return 2
    run_to_end(serve(settings))
    return 0


if __name__ == "__main__":
    sys.exit(main())
