"""Signals to a daemon."""

import asyncio
import signal

from lentilhaven.serving.operators_app import OperatorSource, dump_json, dump_state


def follow_signals(
    stopping: asyncio.Event, hurry: asyncio.Event, source: OperatorSource
) -> None:
    """
    Stop on SIGTERM and SIGINT, and write the state dump on SIGUSR1.

    Parameters
    ----------
    stopping : asyncio.Event
        Set by the first signal to stop.
    hurry : asyncio.Event
        Set by the second one.
    source : OperatorSource
        Knows the state; the dump is one line on standard output.
    """

    def stop() -> None:
        if stopping.is_set():
            hurry.set()
        stopping.set()

    def dump() -> None:
        print(dump_json(dump_state(source)), flush=True)

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop)
    loop.add_signal_handler(signal.SIGUSR1, dump)
