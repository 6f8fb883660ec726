"""
Service times of engines and links in virtual time, for the evaluation of policies.

An engine works in steps.  A step takes a fixed overhead plus a time per decoded token
and per token of prompts.  A step decodes at most one batch of streams and prefills at
most one chunk of prompts.  KV memory is reserved for the whole length of a stream.
Links have a latency and a rate, per pair of data centres and layer boundary.

The model does not simulate stages that process parts of one prompt at the same time,
decoding that slows down with the length of the context, eviction from KV memory,
answers shorter than the requested length, network loss below the level of links, or
the time that a router takes to decide.
"""

from lentilhaven.standins.service_model.cluster import Cluster
from lentilhaven.standins.service_model.event_queue import EventQueue
from lentilhaven.standins.service_model.model_stream import ModelStream

__all__ = ["Cluster", "EventQueue", "ModelStream"]
