"""
Route requests to model pipelines over mixed accelerators.

A large language model is split into ranges of layers.  Each range is held by an
endpoint, and a *pipeline* is a chain of endpoints that hold consecutive ranges.
lentilhaven accepts requests from callers, selects a pipeline for each request,
streams the response back, and replaces stages that fail during the request.

Each subpackage covers one subject and contains its own tests.  `core` and `tables`
do no input or output; only `platform` and `endpoints` implement the protocols of
external systems; `router`, `agent` and `cli` are the programs that combine the
other subpackages.
"""

__version__ = "0.1.0"
