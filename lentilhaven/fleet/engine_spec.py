"""Capacity and speed of the engines of one model."""

import attrs


@attrs.frozen
class AcceleratorType:
    """
    An accelerator type, which other classes name in an attribute `card`.

    Attributes
    ----------
    name : str
        Name of the type.
    memory_mb : float
        Memory for weights and KV caches, in MB.
    step_factor : float
        Duration of a decoding step, as a multiple of the nominal duration.
    prefill_factor : float
        Duration of prefill, as a multiple of the nominal duration.
    """

    name: str
    memory_mb: float
    step_factor: float = 1.0
    prefill_factor: float = 1.0


@attrs.frozen
class EngineSpec:
    """
    The model that a service's engines run, and its nominal sizes and durations.

    Attributes
    ----------
    model : str
        Name of the model.
    layers : int
        Number of layers.
    layer_mb : float
        Size of one layer's weights, in MB.
    kv_bytes_per_token : float
        KV cache size of one token over all layers, in bytes.
    cards : dict
        `AcceleratorType` by name.
    step_ms : float
        Duration of one decoding step over all layers, in ms.
    step_ms_per_sequence : float
        Added duration for each request in the batch, in ms.
    step_ms_per_1k_tokens : float
        Added duration for each 1,000 tokens of context of each request, in ms.
    prefill_tokens_per_s : float
        Prompt tokens processed per second.
    load_s : float
        Seconds to load all layers.
    max_full_speed_loads : int
        Number of loads that run concurrently at full speed.
    activation_bytes : float
        Activations that a pipeline stage sends to the next one for each token, in
        bytes.
    link_mbps, data_centre_link_mbps : float
        Transfer rate between two replicas in one data centre, and between two data
        centres, in Mbit/s; 0 if not stated.
    mean_prompt_tokens, mean_output_tokens : float
        Mean lengths of prompt and output, in tokens.
    tokens_per_step : int
        Tokens that a decoding step produces for each request.
    report_lag_ms : float
        Age of an engine's status report, in ms.
    mean_kv_tokens : float
        KV cache that a replica with all layers would hold, in tokens; reference for
        the capacity of a replica.  0 if not stated.
    """

    model: str
    layers: int
    layer_mb: float
    kv_bytes_per_token: float
    cards: dict[str, AcceleratorType]
    step_ms: float = 1.0
    step_ms_per_sequence: float = 0.0
    step_ms_per_1k_tokens: float = 0.0
    prefill_tokens_per_s: float = 1e6
    load_s: float = 0.0
    max_full_speed_loads: int = 0
    activation_bytes: float = 0.0
    link_mbps: float = 0.0
    data_centre_link_mbps: float = 0.0
    mean_prompt_tokens: float = 0.0
    mean_output_tokens: float = 0.0
    tokens_per_step: int = 1
    report_lag_ms: float = 0.0
    mean_kv_tokens: float = 0.0

    def max_layers(self, card: str, tokens: float = 0.0) -> int:
        """
        Return how many layers fit on an accelerator together with a KV cache.

        Parameters
        ----------
        card : str
            Accelerator type; an unknown one holds no layers.
        tokens : float
            Number of tokens whose KV cache must fit in addition to the weights.

        Examples
        --------
        >>> cards = {"big": AcceleratorType("big", 72_000.0)}
        >>> spec = EngineSpec("m", 80, 1750.0, 590_000.0, cards)
        >>> spec.max_layers("big"), spec.max_layers("big", 19_000.0)
        (41, 38)
        """
        kind = self.cards.get(card)
        if kind is None:
            return 0
        mb_per_layer = (
            self.layer_mb + tokens * self.kv_bytes_per_token / self.layers / 1e6
        )
        return min(self.layers, int(kind.memory_mb / mb_per_layer))

    def max_cached_tokens(self, card: str, layers: int) -> float:
        """
        Return the number of tokens whose KV cache fits in addition to the weights.

        Parameters
        ----------
        card : str
            Accelerator type; an unknown one holds no tokens.
        layers : int
            Number of layers that the engine holds.
        """
        kind = self.cards.get(card)
        if kind is None or layers <= 0:
            return 0.0
        free_mb = kind.memory_mb - layers * self.layer_mb
        return max(
            0.0, free_mb * 1e6 / (layers * self.kv_bytes_per_token / self.layers)
        )
