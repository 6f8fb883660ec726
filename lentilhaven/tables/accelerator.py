"""Kinds of accelerators."""

import attrs


@attrs.frozen
class Accelerator:
    """
    Rates of one kind of accelerator, for one endpoint.

    Attributes
    ----------
    decode_rate : float
        Layers times generated tokens, per second, at a full batch.
    prefill_rate : float
        Layers times prompt tokens, per second.
    step_overhead : float
        Seconds that one batch step takes besides its tokens.
    batch_size : int
        Most streams in one step.
    kv_capacity : float
        Layers times tokens that its KV cache holds.
    weight_capacity : int
        Layers whose weights it can hold.
    """

    decode_rate: float
    prefill_rate: float
    step_overhead: float
    batch_size: int
    kv_capacity: float
    weight_capacity: int
