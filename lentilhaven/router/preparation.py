"""Reads the files that the router's settings name."""

import ssl

import attrs
from expression import Error, Ok, Result

from lentilhaven.core.failure import Failure, join_failures
from lentilhaven.core.secrets import read_secret
from lentilhaven.core.tls import load_client_context, load_server_context
from lentilhaven.router.router_settings import RouterSettings
from lentilhaven.serving.operator_tokens import read_operator_hashes


@attrs.frozen
class RouterFiles:
    """
    What the files hold.

    Attributes
    ----------
    cluster_token : str
        Token that the system's processes share.
    operator_hashes : frozenset of str
        Hashes of the operators' tokens.
    callers_tls, operators_tls : ssl.SSLContext or None
        Certificates of the listeners; None for plain HTTP.
    """

    cluster_token: str = attrs.field(repr=False)
    operator_hashes: frozenset[str] = attrs.field(repr=False)
    callers_tls: ssl.SSLContext | None
    operators_tls: ssl.SSLContext | None


def prepare_router(settings: RouterSettings) -> Result[RouterFiles, Failure]:
    """
    Return what the files hold, or the failures of all of them.

    Parameters
    ----------
    settings : RouterSettings
        Settings.
    """
    token = read_secret(settings.cluster_token_file, "$.cluster_token_file")
    hashes = read_operator_hashes(settings.operators.token_hashes_file)
    callers = load_server_context(settings.tls, "$.tls")
    operators = load_server_context(settings.operators.tls, "$.operators.tls")
    endpoints = load_client_context(settings.endpoint_ca_file, "$.endpoint_ca_file")
    failure = join_failures([token, hashes, callers, operators, endpoints])
    if failure is not None:
        return Error(failure)
    return Ok(RouterFiles(token.ok, hashes.ok, callers.ok, operators.ok))
