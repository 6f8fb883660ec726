"""Settings that no daemon may start with, and what the error must name."""

import json

import attrs


@attrs.frozen
class BrokenCase:
    """A change to valid settings, as JSON text, and a part of the error."""

    name: str
    text: str
    expected: str


def change(values):
    """Return JSON text of settings that `values` replaces or, if None, removes."""
    good = {"vm": "vm-1", "data_centre": "mty-a", "cluster_token_file": "TOKEN"}
    good["log_level"] = "critical"
    merged = good | values
    return json.dumps({key: value for key, value in merged.items() if value != "-"})


def common_cases():
    """Return the cases that hold for every daemon."""
    cases = [
        ("empty file", "", "invalid-json"),
        ("no JSON", "{vm: ", "invalid-json"),
        ("list", "[]", "$"),
        ("text", '"vm"', "$"),
        ("null", "null", "$"),
        ("deep", "[" * 100_000, "invalid-json"),
        ("key twice", '{"vm": "a", "vm": "b"}', "invalid-json"),
        ("comment not closed", '{/* "vm": 1}', "invalid-json"),
        ("unknown key", change({"prot": 1}), "prot"),
        ("no vm", change({"vm": "-"}), "'vm'"),
        ("empty vm", change({"vm": " "}), "$.vm"),
        ("number as vm", change({"vm": 7}), "$.vm: expected str, not 7"),
        ("no data centre", change({"data_centre": "-"}), "'data_centre'"),
        ("null data centre", change({"data_centre": None}), "$.data_centre"),
        ("port as text", change({"port": "80"}), "$.port: expected int"),
        ("port as bool", change({"port": True}), "$.port: expected int"),
        ("port as fraction", change({"port": 80.5}), "$.port: expected int"),
        ("port too high", change({"port": 70000}), "65535, not 70000"),
        ("port below 0", change({"port": -1}), "not -1"),
        # Found by the scenario fuzz, seed 1.
        ("port beyond floats", change({"port": 10**400}), "$.port: must be from 0"),
        ("empty host", change({"host": ""}), "$.host"),
        ("host that is none", change({"host": "256.1.1.1", "port": 0}), "256.1.1.1"),
        ("level", change({"log_level": "loud"}), "not 'loud'"),
        ("limits as list", change({"limits": []}), "$.limits"),
        ("unknown limit", change({"limits": {"speed": 1}}), "speed"),
        ("limit of 0", change({"limits": {"max_connections": 0}}), "not 0"),
        ("endless time", change({"limits": {"head_timeout": 1e9}}), "head_timeout"),
        ("token file absent", change({"cluster_token_file": "/absent"}), "/absent"),
        ("token file is a folder", change({"cluster_token_file": "FOLDER"}), "FOLDER"),
        ("no token file", change({"cluster_token_file": ""}), "$.cluster_token_file"),
        ("empty token", change({"cluster_token_file": "EMPTY"}), "16 characters"),
        ("operators port", change({"operators": {"port": 1e6}}), "$.operators.port"),
        (
            "operators' hashes",
            change({"operators": {"token_hashes_file": "TOKEN"}}),
            "not a hash",
        ),
        (
            "certificate alone",
            change({"operators": {"tls": {"certificate_file": "TOKEN"}}}),
            "must be set together",
        ),
        ("port in use", change({"port": "TAKEN"}), "address already in use"),
    ]
    return [BrokenCase(*case) for case in cases]
