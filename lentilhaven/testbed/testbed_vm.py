"""A VM of a testbed."""

from contextlib import AsyncExitStack

import attrs

from lentilhaven.agent.agent import Agent
from lentilhaven.core.ids import DataCentre, VmId
from lentilhaven.router.router import Router


@attrs.define
class TestbedVm:
    """
    A running VM of a testbed: its agent and its router.

    Attributes
    ----------
    id : str
        Name of the VM.
    data_centre : str
        Data centre of the VM.
    agent : Agent
        Agent of the VM.
    router : Router
        Router of the VM.
    url : str
        Base URL at which the router serves callers.
    agent_url : str
        Base URL of the agent.
    stack : AsyncExitStack
        Stops the agent and the router.
    """

    __test__ = False

    id: VmId
    data_centre: DataCentre
    agent: Agent
    router: Router
    url: str
    agent_url: str
    stack: AsyncExitStack
