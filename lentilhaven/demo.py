"""
End-to-end demonstration of the system, run by ``make demo``.

It starts embedded stand-ins and the agent and router of one VM on free loopback
ports, sends real HTTP requests, edits the routes with the operators' client, kills a
stage during a streamed response, and prints the results.  The exit code is 1 if any
check fails.
"""

import asyncio
import json
import sys
import tempfile
from pathlib import Path

import attrs

from lentilhaven.cli.__main__ import app as operators_client
from lentilhaven.core.converter import to_document
from lentilhaven.core.logs import configure_logs
from lentilhaven.router.completion_request import split_tokens
from lentilhaven.standins.toy_model import reference_answer
from lentilhaven.testbed import Testbed, TestbedPlan, open_testbed

PROMPT = "explain the discrepancy in meter counts"

#: Length of the requested completions, in tokens.
COMPLETION_LENGTH = 40


@attrs.define
class Checklist:
    """
    Prints the results of checks and counts the failed ones.

    Attributes
    ----------
    failed : int
        Number of checks that failed.
    """

    failed: int = 0

    def check(self, title: str, holds: bool, observed: object = "") -> None:
        """
        Print the result of one check.

        Parameters
        ----------
        title : str
            Description of the condition.
        holds : bool
            Whether the condition holds.
        observed : object
            The observed value.
        """
        self.failed += not holds
        print(f"{'ok    ' if holds else 'FAILED'} {title}: {observed}")


def expected_text(testbed: Testbed) -> str:
    """Return the completion that the reference model computes."""
    plan = testbed.plan
    prompt = split_tokens(PROMPT)
    tokens = reference_answer(plan.version, plan.layer_count, prompt, COMPLETION_LENGTH)
    return "".join(tokens)


async def request_completion(testbed: Testbed) -> str:
    """Request a completion without streaming and return its text."""
    body = completion_body(testbed)
    url = f"{testbed.vms[0].url}/v1/completions"
    async with testbed.session.post(
        url, json=body, headers=testbed.headers
    ) as response:
        document = await response.json()
        return document["choices"][0]["text"] if response.status == 200 else ""


def completion_body(testbed: Testbed) -> dict:
    """Return the body of a completion request."""
    model = testbed.plan.model
    return {"model": model, "prompt": PROMPT, "max_tokens": COMPLETION_LENGTH}


async def request_stream(testbed: Testbed, kill_after: int | None = None) -> str:
    """
    Request a streamed completion and return its text.

    Parameters
    ----------
    testbed : Testbed
        The running system.
    kill_after : int or None
        Number of tokens after which a middle stage is killed; None kills no stage.
    """
    texts: list[str] = []
    body = completion_body(testbed) | {"stream": True}
    url = f"{testbed.vms[0].url}/v1/completions"
    async with testbed.session.post(
        url, json=body, headers=testbed.headers
    ) as response:
        async for line in response.content:
            text = line.decode().strip()
            if not text.startswith("data: {"):
                continue
            texts.append(json.loads(text[6:])["choices"][0]["text"])
            if kill_after is not None and len(texts) == kill_after:
                kill_busy_stage(testbed)
    return "".join(texts)


def kill_busy_stage(testbed: Testbed) -> None:
    """Kill a busy engine that holds the middle range of layers."""
    for name, load in sorted(testbed.vms[0].router.own_load.items()):
        # A name ends with the letter of the layer range; "b" is the middle one.
        if load > 0 and name.endswith("b"):
            testbed.engines[name].faults.dead = True
            print(f"       killed {name} in the middle of the answer")
            return


async def use_service(testbed: Testbed, checklist: Checklist) -> None:
    """Look up an item, and send one posting twice with the same idempotency key."""
    base = f"{testbed.vms[0].url}/services/stock"
    async with testbed.session.get(
        f"{base}/items/meter-7", headers=testbed.headers
    ) as response:
        checklist.check("idempotent lookup", response.status == 200, response.status)
    headers = testbed.headers | {"Idempotency-Key": "issue-4711"}
    bodies = []
    for _ in range(2):
        async with testbed.session.post(
            f"{base}/postings", json={"meter": 7, "change": -1}, headers=headers
        ) as response:
            bodies.append(await response.text())
    runs = sum(service.runs["issue-4711"] for service in testbed.services.values())
    checklist.check("posting sent twice ran once", runs == 1, f"{runs} run")
    checklist.check("both got the same response", bodies[0] == bodies[1], bodies[0])


async def edit_route(testbed: Testbed, checklist: Checklist) -> None:
    """Change the deadline of every route with the operators' client."""
    tables = testbed.vms[0].router.view.tables
    routes = [attrs.evolve(route, deadline=30.0) for route in tables.routes]
    edited = attrs.evolve(tables, routes=routes)
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "tables.json"
        path.write_text(json.dumps(to_document(edited)), encoding="utf-8")
        arguments = ["apply", str(path), "--store", testbed.store_url]
        code = await asyncio.to_thread(run_client, arguments)
    checklist.check("the operators' client applied an edit", code == 0, code)
    seconds = await testbed.wait_until_adopted(tables.version + 1)
    deadline = testbed.vms[0].router.view.tables.routes[0].deadline
    checklist.check("the edit is in force", deadline == 30.0, f"after {seconds:.3f} s")


def run_client(arguments: list[str]) -> int:
    """Run the operators' client in this process and return its exit code."""
    # By default, the client would end the process.
    return operators_client(arguments, result_action="return_value")


async def demonstrate() -> int:
    """Run the demonstration and return the number of failed checks."""
    checklist = Checklist()
    async with open_testbed(TestbedPlan(virtual=False)) as testbed:
        expected = expected_text(testbed)
        engines = len(testbed.engines)
        print(f"started {engines} engines in 2 pipelines, 1 service, 1 VM")
        whole = await request_completion(testbed)
        checklist.check("whole answer", whole == expected, whole[:40] + "...")
        streamed = await request_stream(testbed)
        checklist.check("streamed answer", streamed == expected, streamed[:40] + "...")
        await use_service(testbed, checklist)
        await edit_route(testbed, checklist)
        resumed = await request_stream(testbed, kill_after=10)
        title = "answer completed after its stage was killed"
        checklist.check(title, resumed == expected, f"{len(resumed.split())} tokens")
    return checklist.failed


def main() -> None:
    """Run the demonstration."""
    configure_logs("error")
    failed = asyncio.run(demonstrate())
    print("all checks hold" if not failed else f"{failed} checks FAILED")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
