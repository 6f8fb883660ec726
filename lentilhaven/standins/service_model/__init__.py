"""
Service times of engines and links in virtual time, to measure policies with.

An engine works in steps.  A step takes its overhead, and for each decoded token
and each token of prompts its share of time; it holds at most a batch of streams
and a chunk of prompts.  KV memory is reserved for a stream's whole length.
Links have a latency and a rate, per pair of data centres and boundary.

Left out: that prompts of one stream overlap between stages, that decoding slows
with the length of the context, eviction from KV memory, answers shorter than
asked for, network loss below the level of links, and any time that a router
itself takes to decide.
"""

from lentilhaven.standins.service_model.cluster import Cluster
from lentilhaven.standins.service_model.event_queue import EventQueue
from lentilhaven.standins.service_model.model_stream import ModelStream

__all__ = ["Cluster", "EventQueue", "ModelStream"]
