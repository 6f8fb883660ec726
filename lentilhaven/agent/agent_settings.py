"""Settings of the agent."""

import attrs

from lentilhaven.core.ids import DataCentre, VmId
from lentilhaven.core.logs import LEVELS
from lentilhaven.core.validators import each, http_url, not_empty, one_of, within
from lentilhaven.serving.operator_settings import OperatorSettings
from lentilhaven.serving.server_limits import ServerLimits


@attrs.frozen
class AgentSettings:
    """
    Settings of one agent.

    Attributes
    ----------
    vm : str
        Name of this VM.
    data_centre : str
        Data centre of this VM.
    store_url : str
        Base URL of the platform's object API.
    host : str
        Address to listen on.
    port : int
        Port to listen on.
    cluster_token_file : str
        File with the token that the system's processes share.
    seeds : list of str
        Base URLs of agents to join through while the platform is down.
    log_level : str
        Least severe level to log.
    limits : ServerLimits
        Limits of the listener for the system's other processes.
    store_ca_file : str
        PEM file of the certificate authorities that sign the platform's
        certificate; empty to use the system's authorities.
    operators : OperatorSettings
        Settings of the operators' listener.
    """

    vm: VmId = attrs.field(validator=not_empty)
    data_centre: DataCentre = attrs.field(validator=not_empty)
    store_url: str = attrs.field(validator=http_url)
    host: str = attrs.field(default="127.0.0.1", validator=not_empty)
    port: int = attrs.field(default=7400, validator=within(0, 65535))
    cluster_token_file: str = ""
    seeds: list[str] = attrs.field(factory=list, validator=each(http_url))
    log_level: str = attrs.field(default="info", validator=one_of(*LEVELS))
    limits: ServerLimits = attrs.field(factory=ServerLimits)
    store_ca_file: str = ""
    operators: OperatorSettings = attrs.field(
        factory=lambda: OperatorSettings(port=7401)
    )
