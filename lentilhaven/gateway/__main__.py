"""The program ``lentilhaven-gateway``."""

import asyncio
import sys

from lentilhaven.core.log_buffer import LogBuffer
from lentilhaven.core.logs import configure_logs
from lentilhaven.gateway.program import serve
from lentilhaven.platform.settings import SettingsFileError, read_settings

#: Lines of one text in ten seconds: about four times what one VM serves at the
#: heaviest load that is planned for.
LINES_PER_WINDOW = 1000


def main() -> int:
    """Run a gateway with the settings that the environment names."""
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
