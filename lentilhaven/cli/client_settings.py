"""Settings of the operators' client."""

import attrs

from lentilhaven.core.ids import VmId
from lentilhaven.core.validators import http_url, within


@attrs.frozen
class ClientSettings:
    """
    Addresses and credentials that the operators' client connects with.

    Attributes
    ----------
    store_url : str
        Base URL of the platform's object API.
    store_ca_file : str
        PEM file of the certificate authorities that sign the platform's
        certificate; empty for those of the system.
    token_file : str
        File with the operator's token.
    ca_file : str
        PEM file of the certificate authorities that sign the VMs' certificates;
        empty for those of the system.
    tls : bool
        Whether the operators' listeners serve TLS.
    agent_port : int
        Port of the operators' listener of every agent.
    router_port : int
        Port of the operators' listener of every router.
    agent_urls : dict
        Base URLs of agents' operators' listeners by VM, in place of the
        VM's address and `agent_port`.
    router_urls : dict
        Base URLs of routers' operators' listeners by VM, in place of the
        VM's address and `router_port`.
    timeout : float
        Timeout of each request to a VM, in seconds.
    """

    store_url: str = attrs.field(default="http://127.0.0.1:7200", validator=http_url)
    store_ca_file: str = ""
    token_file: str = ""
    ca_file: str = ""
    tls: bool = False
    agent_port: int = attrs.field(default=7401, validator=within(1, 65535))
    router_port: int = attrs.field(default=7301, validator=within(1, 65535))
    agent_urls: dict[VmId, str] = attrs.field(factory=dict)
    router_urls: dict[VmId, str] = attrs.field(factory=dict)
    timeout: float = attrs.field(default=3.0, validator=within(0.1, 300))
