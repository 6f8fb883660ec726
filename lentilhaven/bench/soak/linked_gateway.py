"""
A gateway whose own connections can be cut off from hosts, for a soak.

The process reads which hosts it is cut off from, and how, from a file that the soak
writes.  A cut acts on what the gateway opens itself, so that callers, the store and the
other gateways still reach it, as behind a partition between it and the replicas.
"""

import signal
import sys

#: Seconds between two reads of the file.
POLL_INTERVAL = 0.02


def main() -> int:
    """Run the gateway; return the exit status."""
    # As in `lentilhaven.gateway.__main__`, before the imports that take long.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from lentilhaven.bench.soak.linked_run import run
    from lentilhaven.core.logs import configure_logs
    from lentilhaven.draining.run_to_end import run_to_end

    configure_logs("info", sys.stdout)
    run_to_end(run(POLL_INTERVAL))
    return 0


if __name__ == "__main__":
    sys.exit(main())
