"""Capacity and speed of the engines of one model."""

import attrs


@attrs.frozen
class CardKind:
    """
    A kind of accelerator.

    Attributes
    ----------
    name : str
        Its name.
    memory_mb : float
        Memory for weights and for the state of requests, in MB.
    step_factor : float
        How many times as long as the nominal time a decoding step takes.
    prefill_factor : float
        The same for the reading of prompts.
    """

    name: str
    memory_mb: float
    step_factor: float = 1.0
    prefill_factor: float = 1.0


@attrs.frozen
class EngineSpec:
    """
    The model that a service's engines run, and their nominal times.

    Attributes
    ----------
    model : str
        Name of the model.
    layers : int
        Number of layers.
    layer_mb : float
        Size of one layer's weights, in MB.
    state_bytes : float
        Memory of one token over all layers, in bytes.
    cards : dict
        `CardKind` by name.
    step_ms : float
        One decoding step over all layers, in ms.
    step_ms_per_sequence : float
        Added for each request in the batch, in ms.
    step_ms_per_k : float
        Added for each 1,000 tokens of context of each request, in ms.
    prefill_tokens_per_s : float
        Prompt tokens read per second.
    load_s : float
        Seconds to load all layers.
    loads_at_once : int
        Loads that run at full speed together.
    activation_bytes : float
        What one token sends from one part to the next, in bytes.
    link_mbps, pipe_mbps : float
        Rate between two replicas, and between two data centres.
    usual_prompt, usual_answer : float
        Mean lengths, in tokens.
    stride : int
        Tokens that a decoding pass produces for each request.
    report_lag_ms : float
        Age of what an engine reports of itself, in ms.
    usual_state_tokens : float
        Tokens whose state a whole replica would hold.
    """

    model: str
    layers: int
    layer_mb: float
    state_bytes: float
    cards: dict[str, CardKind]
    step_ms: float = 1.0
    step_ms_per_sequence: float = 0.0
    step_ms_per_k: float = 0.0
    prefill_tokens_per_s: float = 1e6
    load_s: float = 0.0
    loads_at_once: int = 0
    activation_bytes: float = 0.0
    link_mbps: float = 0.0
    pipe_mbps: float = 0.0
    usual_prompt: float = 0.0
    usual_answer: float = 0.0
    stride: int = 1
    report_lag_ms: float = 0.0
    usual_state_tokens: float = 0.0

    def most_layers(self, card: str, tokens: float = 0.0) -> int:
        """
        Return how many layers a card holds beside the state of some tokens.

        Parameters
        ----------
        card : str
            Kind of accelerator; an unknown one holds nothing.
        tokens : float
            Tokens whose state must fit beside the weights.

        Examples
        --------
        >>> cards = {"big": CardKind("big", 72_000.0)}
        >>> spec = EngineSpec("m", 80, 1750.0, 590_000.0, cards)
        >>> spec.most_layers("big"), spec.most_layers("big", 19_000.0)
        (41, 38)
        """
        kind = self.cards.get(card)
        if kind is None:
            return 0
        per_layer = self.layer_mb + tokens * self.state_bytes / self.layers / 1e6
        return min(self.layers, int(kind.memory_mb / per_layer))

    def tokens_beside(self, card: str, layers: int) -> float:
        """Return the tokens whose state fits beside that many layers."""
        kind = self.cards.get(card)
        if kind is None or layers <= 0:
            return 0.0
        free = kind.memory_mb - layers * self.layer_mb
        return max(0.0, free * 1e6 / (layers * self.state_bytes / self.layers))
