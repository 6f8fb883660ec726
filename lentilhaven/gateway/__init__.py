"""
The gateway: the server that handles callers' requests on the platform.

One process runs on each VM.  It looks up the route and workspace of a request in
the manifest and forwards the request to a replica of a plain service or to a
chain of engines.  It bases its choice on `lentilhaven.fleet.FleetView`, which it
keeps up to date from the platform's store and from other gateways, and on what it
and the other gateways observe of the endpoints; no request waits for a call to the
store.

A request ends in one of three ways: with the endpoint's response, with a refusal
that guarantees that it has not run, or with an error after which it may have run.
`lentilhaven.core.Ran` distinguishes the last two.
"""
