"""Kinds of accelerators and their capacity."""

import attrs


@attrs.frozen
class Accelerator:
    """
    Rates and capacities of an endpoint with one kind of accelerator.

    Attributes
    ----------
    decode_rate : float
        Decoding rate at a full batch, in layers times generated tokens per second.
    prefill_rate : float
        Prefill rate, in layers times prompt tokens per second.
    step_overhead : float
        Seconds per batch step that do not depend on the number of tokens.
    batch_size : int
        Maximum number of streams in one step.
    kv_capacity : float
        Capacity of the KV cache, in layers times tokens.
    weight_capacity : int
        Maximum number of layers whose weights fit into memory.
    """

    decode_rate: float
    prefill_rate: float
    step_overhead: float
    batch_size: int
    kv_capacity: float
    weight_capacity: int
