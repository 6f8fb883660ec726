"""
Requests and parts of prompts that end the endpoints that run them.

An endpoint that ends takes all of its runs with it, of which at most one is at fault.
A retry, a second run, or the next request with the same content then ends the next
endpoint, until none is left.  The three modules answer one question each:

- `run_log`: what did this gateway run on an endpoint that has ended?
- `ledger`: which of the subjects that lost runs explains the ends?
- `breaker`: for how long is a subject refused, and when may it be tried again?

Every gateway keeps a ledger and tells the others what it adds, so that all of them
judge by the same evidence.  An endpoint is meant by its incarnation: one that has
started again is another endpoint.
"""
