"""Settings of the router."""

import attrs

from lentilhaven.core.ids import DataCentre, VmId


@attrs.frozen
class RouterSettings:
    """
    Settings of one router.

    Attributes
    ----------
    vm : str
        Name of this VM.
    data_centre : str
        Where it stands.
    agent_url : str
        Base URL of this VM's agent.
    host : str
        Address to listen on.
    port : int
        Port to listen on.
    cluster_token_file : str
        File with the token that the system's processes share.
    max_body_bytes : int
        Largest request body.
    drain_delay : float
        Seconds between saying not ready and refusing new work.
    drain_limit : float
        Seconds after which a shutdown cuts off what is left.
    resume_window : float
        Seconds for which an answer whose caller has gone is kept for its return.
    write_timeout : float
        Seconds after which a caller that takes nothing is disconnected.
    log_level : str
        Least severe level to log.
    """

    vm: VmId
    data_centre: DataCentre
    agent_url: str = "http://127.0.0.1:7400"
    host: str = "127.0.0.1"
    port: int = 7300
    cluster_token_file: str = ""
    max_body_bytes: int = 1_000_000
    drain_delay: float = 2.0
    drain_limit: float = 120.0
    resume_window: float = 10.0
    write_timeout: float = 30.0
    log_level: str = "info"
