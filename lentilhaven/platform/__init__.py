"""
Adapter to the platform on which the gateway runs: names, formats and calls.

Only this subpackage uses the platform's own names of headers, of fields in
records and of URL paths.  It decodes each record once, into a type of
`lentilhaven.fleet` whose fields have descriptive names.  It makes no decisions:
its callers choose which call to make and when, and act on the response.
"""
