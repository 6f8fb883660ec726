"""State of one router's path choice for one pool."""

import attrs

from lentilhaven.balancing.link_timing import inter_data_centre_links
from lentilhaven.balancing.path_chooser import PathChooser
from lentilhaven.balancing.path_policies import PATH_POLICIES
from lentilhaven.control.view import View
from lentilhaven.core.ids import EndpointId, RequestId
from lentilhaven.pipelines.path_loads import PathRequest
from lentilhaven.pipelines.range_group import GroupMember
from lentilhaven.tables.pool import Pool
from lentilhaven.tables.route import Route


@attrs.define
class PathState:
    """
    The path chooser of a pool and the requests with reserved KV memory.

    Attributes
    ----------
    chooser : PathChooser
        Chooses paths through the pool.
    view_sequence : int
        Sequence number of the view whose load reports the chooser uses.
    reserved_paths : dict
        Path by request; an empty list until memory has been reserved for it.
    path_requests : dict
        `PathRequest` by request, for requests with a reserved path.
    """

    chooser: PathChooser = attrs.field(factory=PathChooser)
    view_sequence: int = -1
    reserved_paths: dict[RequestId, list[GroupMember]] = attrs.field(factory=dict)
    path_requests: dict[RequestId, PathRequest] = attrs.field(factory=dict)

    def update(self, view: View, route: Route, pool: Pool) -> None:
        """
        Adopt the route's path policy and, if the view is new, its load reports.

        Parameters
        ----------
        view : View
            The current view.
        route : Route
            Route that names the path policy.
        pool : Pool
            Pool whose endpoints are read from the view.
        """
        policy_name = route.policies.path
        self.chooser.policy = PATH_POLICIES[policy_name]
        if view.sequence == self.view_sequence:
            return
        self.view_sequence = view.sequence
        reported: dict[EndpointId, float] = {}
        for spec in pool.endpoints:
            endpoint_view = view.endpoints.get(spec.id)
            if endpoint_view is not None and endpoint_view.report is not None:
                reported[spec.id] = float(
                    endpoint_view.report.running + endpoint_view.report.waiting
                )
        self.chooser.adopt_reports(reported, len(view.live_vms))

    def begin_reservation(self, request: RequestId) -> None:
        """Allow `reserve` for a request until `release` is called."""
        self.reserved_paths[request] = []

    def release(self, request: RequestId) -> None:
        """Release the KV memory reserved for a request."""
        path = self.reserved_paths.pop(request, [])
        path_request = self.path_requests.pop(request, PathRequest())
        self.chooser.loads.release(path, path_request)

    def reserve(
        self, request: RequestId, path: list[GroupMember], path_request: PathRequest
    ) -> None:
        """
        Reserve KV memory on a request's new path and release its old path.

        Parameters
        ----------
        request : str
            The request.  The call has no effect unless `begin_reservation` was
            called for it.
        path : list of GroupMember
            The new path.
        path_request : PathRequest
            Size and prompt prefix of the request.
        """
        if request not in self.reserved_paths:
            return
        loads = self.chooser.loads
        loads.release(
            self.reserved_paths[request], self.path_requests.get(request, path_request)
        )
        loads.reserve(path, path_request)
        self.reserved_paths[request] = path
        self.path_requests[request] = path_request

    def observe_token_gap(self, request: RequestId, gap: float, now: float) -> None:
        """
        Record the time between two tokens for the links of a request's path.

        Parameters
        ----------
        request : str
            The request.
        gap : float
            Time between the tokens, in seconds.
        now : float
            Monotonic time, in seconds.
        """
        path = self.reserved_paths.get(request, [])
        self.chooser.timing.observe(inter_data_centre_links(path), gap, now)
