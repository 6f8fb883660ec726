"""Reading of the files that the agent's settings name."""

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
    Contents of the files that the settings name.

    Attributes
    ----------
    cluster_token : str
        Token that the system's processes share.
    operator_hashes : frozenset of str
        Hashes of the operators' access tokens.
    operators_tls : ssl.SSLContext or None
        TLS context of the operators' listener; None for plain HTTP.
    store_tls : ssl.SSLContext
        TLS context that verifies the platform's certificate.
    """

    cluster_token: str = attrs.field(repr=False)
    operator_hashes: frozenset[str] = attrs.field(repr=False)
    operators_tls: ssl.SSLContext | None
    store_tls: ssl.SSLContext


def prepare_agent(settings: AgentSettings) -> Result[AgentFiles, Failure]:
    """
    Read the files that the settings name, and report all failures together.

    Parameters
    ----------
    settings : AgentSettings
        Settings of the agent.
    """
    token = read_secret(settings.cluster_token_file, "$.cluster_token_file")
    hashes = read_operator_hashes(settings.operators.token_hashes_file)
    operators = load_server_context(settings.operators.tls, "$.operators.tls")
    store = load_client_context(settings.store_ca_file, "$.store_ca_file")
    failure = join_failures([token, hashes, operators, store])
    if failure is not None:
        return Error(failure)
    return Ok(AgentFiles(token.ok, hashes.ok, operators.ok, store.ok))
