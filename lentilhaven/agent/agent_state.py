"""Status, state and metrics of the agent for operators."""

from collections.abc import Callable
from typing import Any

from lentilhaven.agent.agent import Agent
from lentilhaven.core.converter import to_document
from lentilhaven.core.invariants import VIOLATIONS
from lentilhaven.serving.metrics import Metrics
from lentilhaven.serving.operators_app import OperatorCallbacks


def agent_source(
    agent: Agent, metrics: Metrics, drain: Callable[[], None]
) -> OperatorCallbacks:
    """
    Return the callbacks and metrics for the operators' listener of an agent.

    Parameters
    ----------
    agent : Agent
        The agent.
    metrics : Metrics
        Metrics of the agent.
    drain : callable
        Starts the shutdown of the agent.
    """
    return OperatorCallbacks(
        read_status=lambda: agent_status(agent),
        read_state=lambda: agent_state(agent),
        drain=drain,
        metrics=metrics,
    )


def agent_status(agent: Agent) -> dict[str, Any]:
    """
    Return a summary of an agent and of the VMs that it knows.

    Parameters
    ----------
    agent : Agent
        The agent.
    """
    members = agent.members
    return {
        "role": "agent",
        "vm": members.own,
        "data_centre": members.data_centre,
        "ready": agent.ready,
        "leaving": agent.view.leaving,
        "tables_version": agent.holder.head.version,
        "list_version": members.vm_list.version,
        "vms": [describe_vm(agent, it) for it in members.vm_list.vms],
        "unreachable": sorted(members.unreachable),
        "violations": sum(VIOLATIONS.values()),
    }


def describe_vm(agent: Agent, vm) -> dict[str, Any]:
    """Return the state of a VM as an agent sees it."""
    return {
        "vm": vm.id,
        "data_centre": vm.data_centre,
        "address": vm.address,
        "leaving": vm.state.value == "leaving" or vm.id in agent.members.leaving,
        "suspected": agent.members.is_suspected(vm.id),
    }


def agent_state(agent: Agent) -> dict[str, Any]:
    """
    Return the complete state on which an agent's decisions are based.

    Parameters
    ----------
    agent : Agent
        The agent.
    """
    view = agent.view
    return agent_status(agent) | {
        "settings": to_document(agent.settings),
        "at": agent.clock.wall(),
        "view_sequence": view.sequence,
        "head": to_document(agent.holder.head),
        "endpoints": to_document(view.endpoints),
        "live_vms": list(view.live_vms),
        "votes": to_document(agent.members.votes),
        "incarnations": to_document(agent.members.incarnations),
        "polled": sorted(agent.poller.specs),
        "journal": agent.journal.describe(),
        "invariant_violations": dict(VIOLATIONS),
    }


def register_agent_metrics(agent: Agent, metrics: Metrics) -> None:
    """
    Register the metrics whose values are read at each scrape.

    Parameters
    ----------
    agent : Agent
        The agent.
    metrics : Metrics
        Metrics of the agent.
    """
    members = agent.members
    metrics.observe_gauge(
        "lentilhaven.tables.version",
        "1",
        "Version of the tables in force.",
        lambda: agent.holder.head.version,
    )
    metrics.observe_gauge(
        "lentilhaven.vms.live",
        "{vm}",
        "VMs believed to be live.",
        lambda: len(members.live()),
    )
    metrics.observe_gauge(
        "lentilhaven.vms.suspected",
        "{vm}",
        "VMs whose heartbeats are missed.",
        lambda: sum(members.is_suspected(it.id) for it in members.vm_list.vms),
    )
    metrics.observe_counts(
        "lentilhaven.invariant.violations",
        "lentilhaven.invariant",
        "Broken invariants by name.",
        lambda: VIOLATIONS,
    )
