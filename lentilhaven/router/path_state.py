"""A router's choice of paths through one pool."""

import attrs

from lentilhaven.balancing.link_timing import links_of
from lentilhaven.balancing.path_chooser import PathChooser
from lentilhaven.balancing.path_policies import PATH_POLICIES
from lentilhaven.control.view import View
from lentilhaven.core.ids import EndpointId, RequestId
from lentilhaven.pipelines.path_loads import PathRequest
from lentilhaven.pipelines.range_group import Member
from lentilhaven.tables.pool import Pool
from lentilhaven.tables.route import Route


@attrs.define
class PathState:
    """
    The chooser of a pool and the requests whose KV memory it has reserved.

    Attributes
    ----------
    chooser : PathChooser
        Chooses paths.
    sequence : int
        Sequence of the view whose reports the chooser has.
    admitted : dict
        Path by request, for requests whose memory is reserved.
    sizes : dict
        `PathRequest` by request.
    """

    chooser: PathChooser = attrs.field(factory=PathChooser)
    sequence: int = -1
    admitted: dict[RequestId, list[Member]] = attrs.field(factory=dict)
    sizes: dict[RequestId, PathRequest] = attrs.field(factory=dict)

    def follow(self, view: View, route: Route, pool: Pool) -> None:
        """
        Take in the view's reports and the route's policy.

        Parameters
        ----------
        view : View
            What the router decides on.
        route : Route
            Names the policy.
        pool : Pool
            The pool.
        """
        wanted = route.policies.path
        self.chooser.policy = PATH_POLICIES[wanted]
        if view.sequence == self.sequence:
            return
        self.sequence = view.sequence
        reported: dict[EndpointId, float] = {}
        for spec in pool.endpoints:
            known = view.endpoints.get(spec.id)
            if known is not None and known.report is not None:
                reported[spec.id] = float(known.report.running + known.report.waiting)
        self.chooser.adopt_reports(reported, len(view.live_vms))

    def open(self, request: RequestId) -> None:
        """Begin to reserve KV memory for a request."""
        self.admitted[request] = []

    def close(self, request: RequestId) -> None:
        """Release what is reserved for a request."""
        path = self.admitted.pop(request, [])
        size = self.sizes.pop(request, PathRequest())
        self.chooser.loads.release(path, size)

    def move(self, request: RequestId, path: list[Member], size: PathRequest) -> None:
        """
        Reserve KV memory on a request's new path in place of its old one.

        Parameters
        ----------
        request : str
            The request; ignored unless `open` was called for it.
        path : list of Member
            Its new path.
        size : PathRequest
            Its size.
        """
        if request not in self.admitted:
            return
        loads = self.chooser.loads
        loads.release(self.admitted[request], self.sizes.get(request, size))
        loads.reserve(path, size)
        self.admitted[request] = path
        self.sizes[request] = size

    def note_gap(self, request: RequestId, gap: float, now: float) -> None:
        """
        Let link timing follow the seconds between two tokens.

        Parameters
        ----------
        request : str
            The request.
        gap : float
            Seconds between its tokens.
        now : float
            Monotonic time, in seconds.
        """
        path = self.admitted.get(request, [])
        self.chooser.timing.observe(links_of(path), gap, now)
