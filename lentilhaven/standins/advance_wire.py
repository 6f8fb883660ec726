"""`Advance` and `Advanced` as JSON, written out by hand since each hop needs it."""

from lentilhaven.core.ids import EndpointId, ModelVersion, RequestId
from lentilhaven.endpoints.piece_wire import decode_entry, encode_entry
from lentilhaven.endpoints.stage import Stage
from lentilhaven.standins.advance import Advance, Advanced
from lentilhaven.tables.layer_range import LayerRange


def encode_advance(advance: Advance) -> dict:
    """Return the JSON object of a message to a stage."""
    return {
        "request": advance.request,
        "attempt": advance.attempt,
        "version": advance.version,
        "chain": [encode_stage(stage) for stage in advance.chain],
        "index": advance.index,
        "start": advance.start,
        "activations": advance.activations,
    }


def encode_stage(stage: Stage) -> list:
    """Return the JSON array of a stage."""
    layers = stage.layers
    return [stage.endpoint, stage.url, layers.start, layers.stop, stage.import_from]


def decode_advance(document: dict) -> Advance:
    """Return the message that a JSON object stands for."""
    return Advance(
        RequestId(document["request"]),
        document["attempt"],
        ModelVersion(document["version"]),
        [decode_stage(stage) for stage in document["chain"]],
        document["index"],
        document["start"],
        document["activations"],
    )


def decode_stage(stage: list) -> Stage:
    """Return the stage that a JSON array stands for."""
    endpoint, url, start, stop, import_from = stage
    return Stage(EndpointId(endpoint), url, LayerRange(start, stop), import_from)


def encode_advanced(advanced: Advanced) -> dict:
    """Return the JSON object of a stage's result."""
    trail = [encode_entry(entry) for entry in advanced.trail]
    return {"activation": advanced.activation, "trail": trail}


def decode_advanced(document: dict) -> Advanced:
    """Return the result that a JSON object stands for."""
    trail = [decode_entry(entry) for entry in document["trail"]]
    return Advanced(document["activation"], trail)
