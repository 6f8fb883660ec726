"""
JSON encoding of `AdvanceRequest` and `AdvanceResult`.

The code is written by hand instead of with `CONVERTER`, because it runs at every hop
between engines.
"""

from lentilhaven.core.ids import EndpointId, ModelVersion, RequestId
from lentilhaven.endpoints.piece_codec import decode_entry, encode_entry
from lentilhaven.endpoints.stage import Stage
from lentilhaven.standins.advance import AdvanceRequest, AdvanceResult
from lentilhaven.tables.layer_range import LayerRange


def encode_advance_request(advance: AdvanceRequest) -> dict:
    """Return the JSON object of a request to a stage."""
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
    """Return the JSON array that encodes a stage; its layers take two elements."""
    layers = stage.layers
    return [stage.endpoint, stage.url, layers.start, layers.stop, stage.import_from]


def decode_advance_request(document: dict) -> AdvanceRequest:
    """Return the request that a JSON object encodes."""
    return AdvanceRequest(
        RequestId(document["request"]),
        document["attempt"],
        ModelVersion(document["version"]),
        [decode_stage(stage) for stage in document["chain"]],
        document["index"],
        document["start"],
        document["activations"],
    )


def decode_stage(stage: list) -> Stage:
    """Return the stage that a JSON array encodes."""
    endpoint, url, start, stop, import_from = stage
    return Stage(EndpointId(endpoint), url, LayerRange(start, stop), import_from)


def encode_advance_result(result: AdvanceResult) -> dict:
    """Return the JSON object of a stage's result."""
    trail = [encode_entry(entry) for entry in result.trail]
    return {"activation": result.activation, "trail": trail}


def decode_advance_result(document: dict) -> AdvanceResult:
    """Return the result that a JSON object encodes."""
    trail = [decode_entry(entry) for entry in document["trail"]]
    return AdvanceResult(document["activation"], trail)
