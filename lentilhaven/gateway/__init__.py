"""
The gateway: the program that serves callers on the platform.

One process runs on each VM.  It takes callers' requests, finds their route and
workspace in the manifest, and passes them on to a replica of a plain service or
to a chain of engines.  Its decisions rest on `lentilhaven.fleet.FleetView`,
which it follows in the platform's store, and on what it sees of its own
exchanges; no request waits for a call to the store.

A request ends in one of three ways: with the endpoint's answer, with a refusal
that promises that it has not run, or with an error that promises nothing.
`lentilhaven.core.Ran` decides between the last two.
"""
