"""The program ``lentilhaven-gateway``."""

import signal
import sys

#: Lines of one text in ten seconds: about four times what one VM serves at the
#: heaviest load that is planned for.
LINES_PER_WINDOW = 1000


def main() -> int:
    """Run a gateway with the settings that the environment names."""
    # The signal's default ends the process.  Until there is a handler nothing has
    # to be read again: the settings have not been read yet.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Most of a start is spent on these, so that they follow.
    import asyncio

    from lentilhaven.core.log_buffer import LogBuffer
    from lentilhaven.core.logs import configure_logs
    from lentilhaven.gateway.program import serve
    from lentilhaven.platform.settings import SettingsFileError, read_settings

    stream = LogBuffer(sys.stdout.fileno())
    configure_logs("info", stream, LINES_PER_WINDOW)  # type: ignore[arg-type]
    try:
        settings = read_settings()
    except SettingsFileError as error:
        print(f"lentilhaven-gateway: {error}", file=sys.stderr)
        return 2
    asyncio.run(serve(settings))
    return 0


if __name__ == "__main__":
    sys.exit(main())
