"""Settings of the agent."""

import attrs

from lentilhaven.core.ids import DataCentre, VmId


@attrs.frozen
class AgentSettings:
    """
    Settings of one agent.

    Attributes
    ----------
    vm : str
        Name of this VM.
    data_centre : str
        Where it stands.
    store_url : str
        Base URL of the platform's object API.
    host : str
        Address to listen on.
    port : int
        Port to listen on.
    cluster_token_file : str
        File with the token that the system's processes share.
    seeds : list of str
        Base URLs of some agents, to join while the platform is down.
    log_level : str
        Least severe level to log.
    """

    vm: VmId
    data_centre: DataCentre
    store_url: str
    host: str = "127.0.0.1"
    port: int = 7400
    cluster_token_file: str = ""
    seeds: list[str] = attrs.field(factory=list)
    log_level: str = "info"
