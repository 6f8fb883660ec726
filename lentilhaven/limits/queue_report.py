"""What a process reports to the others about its queue of a service."""

from lentilhaven.limits.start_rates import StartRates
from lentilhaven.limits.waiting_queue import WaitingQueue
from lentilhaven.peering.queue_state import QueueState


def report_queue(queue: WaitingQueue, rates: StartRates, now: float) -> QueueState:
    """
    Return the state of a queue, as other processes need it.

    Parameters
    ----------
    queue : WaitingQueue
        The requests that wait.
    rates : StartRates
        What has lately been started of the same service.
    now : float
        Current time, in seconds, by the clock of `rates`.

    Examples
    --------
    >>> from lentilhaven.limits.waiting_queue import QueueEntry
    >>> queue, rates = WaitingQueue(), StartRates()
    >>> report_queue(queue, rates, 0.0).is_empty
    True
    >>> queue.add(QueueEntry("r1", 2, "depot", 10.0, arrived=0.0, due=1.0))
    >>> rates.record("quay", 0, 800.0, now=0.0)
    >>> report_queue(queue, rates, 0.0)
    QueueState(waiting={2: (1, 10.0)}, started={0: 400.0}, heavy=(('quay', 0, 400.0),))
    """
    waiting = {
        priority: (level.count, level.cost)
        for priority, level in queue.levels.items()
        if level.count
    }
    return QueueState(waiting, rates.by_priority(now), rates.heavy(now))
