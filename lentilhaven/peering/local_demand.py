"""How often the gateways of a data centre are asked for each service."""

from collections.abc import Mapping

from lentilhaven.peering.peer_table import PeerTable


def sum_local_demand(
    table: PeerTable, own: Mapping[str, float], now: float
) -> dict[str, float]:
    """
    Return the demand of the gateways that report here and share the data centre.

    Parameters
    ----------
    table : PeerTable
        The other gateways.
    own : mapping
        Requests per second at this gateway, by service.
    now : float
        Time of the event loop, in seconds.

    Returns
    -------
    dict
        Requests per second, by service.
    """
    total = dict(own)
    for peer in table.local_peers():
        if peer.is_fresh(now):
            for service, rate in (peer.message.attempts or {}).items():
                total[service] = total.get(service, 0.0) + rate
    return total


def local_demand(
    table: PeerTable, own: Mapping[str, float], now: float
) -> dict[str, float]:
    """
    Return the demand of this gateway's data centre, as a leader tells it if need be.

    Returns an empty dict if no leader tells it.  See `sum_local_demand` for the
    parameters.
    """
    if not table.is_large_fleet(now) or table.directory.is_leader(now):
        return sum_local_demand(table, own, now)
    told = [
        peer
        for peer in table.fleet_sums.values()
        if peer.is_fresh(now)
        and peer.message.data_centre == table.own.data_centre
        and peer.message.local_attempts is not None
    ]
    latest = max(told, key=lambda peer: peer.received_at, default=None)
    return dict(latest.message.local_attempts or {}) if latest else {}
