"""Estimates of the time that a request spends on the parts of a chain."""

import attrs

from lentilhaven.fleet.engine_spec import EngineSpec

#: One-way time within a data centre, in ms; what the engines' list of delays
#: leaves out.
LOCAL_HOP_MS = 0.1

#: One-way time to another data centre that the list leaves out, in ms.
REMOTE_HOP_MS = 0.75

#: How many transfers a prompt waits for at the pipe between two data centres,
#: its own among them: the mean of a queue that is half full.
PIPE_SHARE = 2.0


@attrs.frozen
class ChainCosts:
    """
    Times of one request, from what the engines publish.

    Attributes
    ----------
    spec : EngineSpec
        The engines.
    prompt, answer : float
        Tokens to read, and tokens to write.
    """

    spec: EngineSpec
    prompt: float
    answer: float

    def layer_ms(self, card: str, slowdown: float, batch: float) -> float:
        """
        Return the time of a request on one layer, in ms.

        Parameters
        ----------
        card : str
            Kind of accelerator.
        slowdown : float
            How many times as long as its kind the endpoint takes.
        batch : float
            Requests that it runs.
        """
        spec = self.spec
        kind = spec.cards.get(card)
        step, prefill = (
            (kind.step_factor, kind.prefill_factor) if kind else (1.0, 1.0)
        )
        context = (self.prompt + self.answer / 2) / 1000.0
        per_sequence = spec.step_ms_per_sequence + spec.step_ms_per_k * context
        token = (spec.step_ms + batch * per_sequence) * step
        reading = self.prompt / spec.prefill_tokens_per_s * 1000.0 * prefill
        return slowdown * (token * self.answer + reading) / max(1, spec.layers)

    def hop_ms(self, origin: str, target: str) -> float:
        """Return the time of a request between two parts, in ms."""
        spec = self.spec
        kilobits = spec.activation_bytes * 8e-3 * self.prompt
        if origin == target:
            transfer = kilobits / spec.link_mbps if spec.link_mbps else 0.0
            return LOCAL_HOP_MS * self.answer + transfer
        transfer = kilobits / spec.pipe_mbps if spec.pipe_mbps else 0.0
        return REMOTE_HOP_MS * self.answer + PIPE_SHARE * transfer

    def state_tokens(self) -> float:
        """Return the tokens whose state the request holds at its end."""
        return self.prompt + self.answer
