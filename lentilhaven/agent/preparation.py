"""Reads the files that the agent's settings name."""

import ssl

import attrs
from expression import Error, Ok, Result

from lentilhaven.agent.agent_settings import AgentSettings
from lentilhaven.core.failure import Failure, join_failures
from lentilhaven.core.secrets import read_secret
from lentilhaven.core.tls import load_client_context, load_server_context
from lentilhaven.serving.operator_tokens import read_operator_hashes


@attrs.frozen
class AgentFiles:
    """
    What the files hold.

    Attributes
    ----------
    cluster_token : str
        Token that the system's processes share.
    operator_hashes : frozenset of str
        Hashes of the operators' tokens.
    operators_tls : ssl.SSLContext or None
        Certificate of the operators' listener; None for plain HTTP.
    store_tls : ssl.SSLContext
        Authorities that the platform's certificate is checked with.
    """

    cluster_token: str = attrs.field(repr=False)
    operator_hashes: frozenset[str] = attrs.field(repr=False)
    operators_tls: ssl.SSLContext | None
    store_tls: ssl.SSLContext


def prepare_agent(settings: AgentSettings) -> Result[AgentFiles, Failure]:
    """
    Return what the files hold, or the failures of all of them.

    Parameters
    ----------
    settings : AgentSettings
        Settings.
    """
    token = read_secret(settings.cluster_token_file, "$.cluster_token_file")
    hashes = read_operator_hashes(settings.operators.token_hashes_file)
    operators = load_server_context(settings.operators.tls, "$.operators.tls")
    store = load_client_context(settings.store_ca_file, "$.store_ca_file")
    failure = join_failures([token, hashes, operators, store])
    if failure is not None:
        return Error(failure)
    return Ok(AgentFiles(token.ok, hashes.ok, operators.ok, store.ok))
