"""Invalid daemon settings, each with a part of the expected error message."""

import json

import attrs


@attrs.frozen
class BrokenCase:
    """Invalid settings as JSON text, and a part of the expected error message."""

    name: str
    text: str
    expected: str


def settings_json(values):
    """Return valid settings, changed by `values`, as JSON; ``"-"`` removes a key."""
    valid = {"vm": "vm-1", "data_centre": "mty-a", "cluster_token_file": "TOKEN"}
    valid["log_level"] = "critical"
    merged = valid | values
    return json.dumps({key: value for key, value in merged.items() if value != "-"})


def common_cases():
    """Return the cases that apply to every daemon."""
    cases = [
        ("empty file", "", "invalid-json"),
        ("no JSON", "{vm: ", "invalid-json"),
        ("list", "[]", "$"),
        ("text", '"vm"', "$"),
        ("null", "null", "$"),
        ("deep", "[" * 100_000, "invalid-json"),
        ("key twice", '{"vm": "a", "vm": "b"}', "invalid-json"),
        ("comment not closed", '{/* "vm": 1}', "invalid-json"),
        ("unknown key", settings_json({"prot": 1}), "prot"),
        ("no vm", settings_json({"vm": "-"}), "'vm'"),
        ("empty vm", settings_json({"vm": " "}), "$.vm"),
        ("number as vm", settings_json({"vm": 7}), "$.vm: expected str, not 7"),
        ("no data centre", settings_json({"data_centre": "-"}), "'data_centre'"),
        ("null data centre", settings_json({"data_centre": None}), "$.data_centre"),
        ("port as text", settings_json({"port": "80"}), "$.port: expected int"),
        ("port as bool", settings_json({"port": True}), "$.port: expected int"),
        ("port as fraction", settings_json({"port": 80.5}), "$.port: expected int"),
        ("port too high", settings_json({"port": 70000}), "65535, not 70000"),
        ("port below 0", settings_json({"port": -1}), "not -1"),
        # Found by the bench scenario `fuzz` with seed 1.
        (
            "port beyond floats",
            settings_json({"port": 10**400}),
            "$.port: must be from 0",
        ),
        ("empty host", settings_json({"host": ""}), "$.host"),
        (
            "host that is none",
            settings_json({"host": "256.1.1.1", "port": 0}),
            "256.1.1.1",
        ),
        ("level", settings_json({"log_level": "loud"}), "not 'loud'"),
        ("limits as list", settings_json({"limits": []}), "$.limits"),
        ("unknown limit", settings_json({"limits": {"speed": 1}}), "speed"),
        ("limit of 0", settings_json({"limits": {"max_connections": 0}}), "not 0"),
        (
            "endless time",
            settings_json({"limits": {"head_timeout": 1e9}}),
            "head_timeout",
        ),
        (
            "token file absent",
            settings_json({"cluster_token_file": "/absent"}),
            "/absent",
        ),
        (
            "token file is a folder",
            settings_json({"cluster_token_file": "FOLDER"}),
            "FOLDER",
        ),
        (
            "no token file",
            settings_json({"cluster_token_file": ""}),
            "$.cluster_token_file",
        ),
        (
            "empty token",
            settings_json({"cluster_token_file": "EMPTY"}),
            "16 characters",
        ),
        (
            "operators port",
            settings_json({"operators": {"port": 1e6}}),
            "$.operators.port",
        ),
        (
            "operators' hashes",
            settings_json({"operators": {"token_hashes_file": "TOKEN"}}),
            "not a hash",
        ),
        (
            "certificate alone",
            settings_json({"operators": {"tls": {"certificate_file": "TOKEN"}}}),
            "must be set together",
        ),
        ("port in use", settings_json({"port": "TAKEN"}), "address already in use"),
    ]
    return [BrokenCase(*case) for case in cases]
