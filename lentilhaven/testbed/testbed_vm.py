"""One VM of a testbed."""

from contextlib import AsyncExitStack

import attrs

from lentilhaven.agent.agent import Agent
from lentilhaven.core.ids import DataCentre, VmId
from lentilhaven.router.router import Router


@attrs.define
class TestbedVm:
    """
    One VM of a testbed.

    Attributes
    ----------
    id : str
        Its name.
    data_centre : str
        Where it stands.
    agent : Agent
        Its agent.
    router : Router
        Its router.
    url : str
        Where its router answers callers.
    agent_url : str
        Where its agent answers.
    stack : AsyncExitStack
        Stops it.
    """

    __test__ = False

    id: VmId
    data_centre: DataCentre
    agent: Agent
    router: Router
    url: str
    agent_url: str
    stack: AsyncExitStack
