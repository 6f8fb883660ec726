"""
Route requests to model pipelines over mixed accelerators.

A large language model is cut into ranges of layers.  Each range is held by an
endpoint, and a *pipeline* is a chain of endpoints whose ranges follow on from
one another.  lentilhaven accepts requests from callers, picks a pipeline for
each, streams the answer back, and replaces stages that fail on the way.

Every subpackage treats one subject and keeps its tests beside its code.
`core` and `tables` do no input or output; `platform` and `endpoints` are the
only places that know the protocols of outside systems; `router`, `agent` and
`cli` are the programs that join the subjects together.
"""

__version__ = "0.1.0"
