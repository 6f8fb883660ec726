"""Loading of the files that the router's settings name."""

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
    Contents of the files that the settings name.

    Attributes
    ----------
    cluster_token : str
        Token shared by the processes of the cluster.
    operator_hashes : frozenset of str
        Hashes of the operators' tokens.
    callers_tls, operators_tls : ssl.SSLContext or None
        TLS contexts of the two listeners; None serves plain HTTP.
    """

    cluster_token: str = attrs.field(repr=False)
    operator_hashes: frozenset[str] = attrs.field(repr=False)
    callers_tls: ssl.SSLContext | None
    operators_tls: ssl.SSLContext | None


def prepare_router(settings: RouterSettings) -> Result[RouterFiles, Failure]:
    """
    Load all files, and check that the endpoints' CA file can be loaded.

    Parameters
    ----------
    settings : RouterSettings
        Settings that name the files.

    Returns
    -------
    Result
        The contents, or one failure that joins the failures of all unusable files.
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
