"""Settings of the router process."""

import attrs

from lentilhaven.core.ids import DataCentre, VmId
from lentilhaven.core.logs import LEVELS
from lentilhaven.core.tls import TlsSettings
from lentilhaven.core.validators import http_url, not_empty, one_of, within
from lentilhaven.serving.operator_settings import OperatorSettings
from lentilhaven.serving.server_limits import ServerLimits


@attrs.frozen
class RouterSettings:
    """
    Settings of one router.

    Attributes
    ----------
    vm : str
        Name of this VM.
    data_centre : str
        Data centre of this VM.
    agent_url : str
        Base URL of this VM's agent.
    host : str
        Address on which callers are served.
    port : int
        Port on which callers are served; 0 picks a free port.
    cluster_token_file : str
        File with the token shared by the processes of the cluster.
    max_body_bytes : int
        Largest request body, in bytes.
    drain_delay : float
        Seconds between reporting not ready and refusing new requests.
    drain_limit : float
        Seconds after which a shutdown cuts off the requests still in flight.
    resume_window : float
        Seconds for which an answer is kept after its caller has disconnected, so
        that the caller can resume it.
    write_timeout : float
        Seconds after which a caller that reads no data is disconnected.
    log_level : str
        Least severe level to log.
    limits : ServerLimits
        Limits of the callers' listener.
    tls : TlsSettings
        Certificate of the callers' listener.
    endpoint_ca_file : str
        PEM file of the authorities that sign the endpoints' certificates; empty
        for those of the operating system.
    operators : OperatorSettings
        Listener that serves operators.
    """

    vm: VmId = attrs.field(validator=not_empty)
    data_centre: DataCentre = attrs.field(validator=not_empty)
    agent_url: str = attrs.field(default="http://127.0.0.1:7400", validator=http_url)
    host: str = attrs.field(default="127.0.0.1", validator=not_empty)
    port: int = attrs.field(default=7300, validator=within(0, 65535))
    cluster_token_file: str = ""
    max_body_bytes: int = attrs.field(
        default=1_000_000, validator=within(1, 1_000_000_000)
    )
    drain_delay: float = attrs.field(default=2.0, validator=within(0, 600))
    drain_limit: float = attrs.field(default=120.0, validator=within(0, 86_400))
    resume_window: float = attrs.field(default=10.0, validator=within(0, 600))
    write_timeout: float = attrs.field(default=30.0, validator=within(0.1, 600))
    log_level: str = attrs.field(default="info", validator=one_of(*LEVELS))
    limits: ServerLimits = attrs.field(factory=ServerLimits)
    tls: TlsSettings = attrs.field(factory=TlsSettings)
    endpoint_ca_file: str = ""
    operators: OperatorSettings = attrs.field(
        factory=lambda: OperatorSettings(port=7301)
    )
