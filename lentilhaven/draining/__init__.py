"""
Planned stops: what a process that has got SIGTERM still does, and until when.

A balancer needs a while to notice that a process stops, in which requests still arrive.
Each of them must be answered before the process ends: it is refused, or finished, or
the caller is told that the result is unknown.

- `stop_schedule`: the times of a stop.
- `time_limits`: tasks that end together at a time which is not known when they begin.
- `signal_time`: when a signal arrived, even if the event loop is late.
- `failures`: what the callers of refused and cut requests are told.
"""
