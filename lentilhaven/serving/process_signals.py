"""Handlers of the signals that a daemon receives."""

import asyncio
import signal

from lentilhaven.serving.operators_app import OperatorCallbacks, dump_json, dump_state


def follow_signals(
    stop_requested: asyncio.Event, force_stop: asyncio.Event, source: OperatorCallbacks
) -> None:
    """
    Install handlers that stop on SIGTERM and SIGINT and dump the state on SIGUSR1.

    Parameters
    ----------
    stop_requested : asyncio.Event
        Set by the first SIGTERM or SIGINT.
    force_stop : asyncio.Event
        Set by the second SIGTERM or SIGINT.
    source : OperatorCallbacks
        The source of the state; the dump is one line on standard output.
    """

    def stop() -> None:
        if stop_requested.is_set():
            force_stop.set()
        stop_requested.set()

    def dump() -> None:
        print(dump_json(dump_state(source)), flush=True)

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop)
    loop.add_signal_handler(signal.SIGUSR1, dump)
