import json
import re
import unittest

import aiohttp

from lentilhaven.cli.tests.operator_testbed import OPERATOR_TOKEN, open_operator_testbed
from lentilhaven.core.hashing import token_hash
from lentilhaven.testbed.tokens import CLUSTER_TOKEN, WORKSPACE_TOKEN


class TableCommandTests(unittest.IsolatedAsyncioTestCase):
    async def test_edit_apply_and_rollback(self):
        async with open_operator_testbed() as system:
            code, out, _ = await system.run("get")
            tables = json.loads(out)
            self.assertEqual((code, tables["version"]), (0, 1))
            tables["routes"][0]["deadline"] = 30.0
            path = system.write_json("tables.json", tables)
            code, out, _ = await system.run("check", path)
            self.assertEqual(code, 0, out)
            code, out, _ = await system.run("diff", path)
            self.assertIn("deadline: 60.0 -> 30.0", out)
            code, out, _ = await system.run("apply", path, "--wait")
            self.assertEqual(code, 0, out)
            self.assertIn("version 2 is in force everywhere", out)
            code, _, errors = await system.run("apply", path)
            self.assertEqual(code, 3)
            self.assertIn("deadline: 60.0 -> 30.0", errors)
            code, out, _ = await system.run("rollback", "1", "--wait")
            self.assertEqual(code, 0, out)
            code, out, _ = await system.run("history", "--json")
            versions = [it["version"] for it in json.loads(out)]
            self.assertEqual(versions, [1, 2, 3])
            code, out, _ = await system.run("get")
            self.assertEqual(json.loads(out)["routes"][0]["deadline"], 60.0)

    async def test_errors_name_file_path_and_value(self):
        async with open_operator_testbed(1) as system:
            bad = {"routes": [{"name": "chat", "pool": "llm", "deadline": "soon"}]}
            path = system.write_json("bad.json", bad)
            for command in ("check", "apply", "diff"):
                code, _, errors = await system.run(command, path)
                self.assertEqual(code, 2)
                self.assertIn("bad.json", errors)
                self.assertIn(
                    "$.routes[0].deadline: expected float, not 'soon'", errors
                )
            code, _, errors = await system.run("check", "/absent/tables.json")
            self.assertEqual(code, 2)
            self.assertIn("/absent/tables.json", errors)
            code, _, errors = await system.run("get", "--version", "77")
            self.assertEqual(code, 1)
            self.assertIn("77", errors)


class StateCommandTests(unittest.IsolatedAsyncioTestCase):
    async def test_status_explain_dump_and_drain(self):
        async with open_operator_testbed() as system:
            code, out, _ = await system.run("status", "--json")
            status = json.loads(out)
            self.assertEqual(code, 0, out)
            self.assertEqual([vm["router_tables"] for vm in status["vms"]], [1, 1])
            llm = next(it for it in status["pools"] if it["name"] == "llm")
            self.assertEqual(llm["endpoints"], {"live": 6})
            code, out, _ = await system.run("status")
            self.assertRegex(out, r"vm-1 +mty-a +1 +1 +0 +ready")
            request = {"workspace": "depot", "model": "lentil-12", "prompt": "a b"}
            path = system.write_json("request.json", request)
            code, out, _ = await system.run("explain", "route", path)
            self.assertEqual(code, 0, out)
            self.assertIn("route chat -> pool llm", out)
            self.assertIn("layers 0-3", out)
            path = system.write_json("request.json", request | {"model": "absent"})
            code, out, _ = await system.run("explain", "route", path, "--json")
            verdict = json.loads(out)["considered"][0]["verdict"]
            self.assertEqual((code, verdict), (1, "answers models ['lentil-12']"))
            code, out, _ = await system.run("explain", "bound")
            self.assertIn("pool llm: at most", out)
            code, out, _ = await system.run("drain", "engine-1a", "--wait")
            self.assertEqual(code, 0, out)
            code, out, _ = await system.run("status")
            self.assertIn("pool llm: 1 of 6 endpoints leaving", out)
            self.assertIn("pool llm: not live: engine-1a", out)
            code, out, _ = await system.run("drain", "vm-2")
            self.assertEqual((code, system.drained_vms), (0, ["vm-2"]))
            code, _, errors = await system.run("drain", "nothing")
            self.assertEqual((code, "unknown-name" in errors), (1, True))

    async def test_status_names_an_unreachable_vm(self):
        async with open_operator_testbed() as system:
            system.router_urls["vm-2"] = "http://127.0.0.1:1"
            code, out, _ = await system.run("status")
            self.assertEqual(code, 4)
            self.assertIn("vm-2 (router): no-answer", out)

    async def test_dump_shows_decisions_but_no_secrets(self):
        async with open_operator_testbed(1) as system:
            await request_completion(system, WORKSPACE_TOKEN)
            code, out, _ = await system.run("dump", "vm-1")
            state = json.loads(out)["router"]
            decision = state["decisions"][-1]
            self.assertEqual((code, state["format"]), (0, 1))
            self.assertEqual((decision["route"], decision["attempt"]), ("chat", 1))
            self.assertTrue(decision["stages"][0]["alternatives"])
            for secret in (WORKSPACE_TOKEN, CLUSTER_TOKEN, OPERATOR_TOKEN):
                self.assertNotIn(secret, out)
                self.assertNotIn(token_hash(secret), out)
            self.assertNotIn("private words", out)

    async def test_keys_prints_a_token_and_its_hash(self):
        async with open_operator_testbed(1) as system:
            _, out, _ = await system.run("keys", "--json")
        key = json.loads(out)
        self.assertEqual(key["hash"], token_hash(key["token"]))
        self.assertGreaterEqual(len(key["token"]), 43)


async def request_completion(system, token, **fields):
    """Request a completion and return the status of the response."""
    body = {"model": "lentil-12", "prompt": "private words", "max_tokens": 3}
    body |= fields
    headers = {"Authorization": f"Bearer {token}"}
    url = f"{system.caller_urls['vm-1']}/v1/completions"
    async with aiohttp.ClientSession(headers=headers) as session:
        async with session.post(url, json=body) as response:
            await response.read()
            return response.status


class TokenTests(unittest.IsolatedAsyncioTestCase):
    async def test_each_token_is_accepted_only_by_its_own_listeners(self):
        async with open_operator_testbed(1) as system:
            urls_by_token = {
                WORKSPACE_TOKEN: system.caller_urls["vm-1"] + "/v1/models",
                OPERATOR_TOKEN: system.router_urls["vm-1"] + "/debug/state",
                CLUSTER_TOKEN: system.testbed.vms[0].agent_url + "/view",
            }
            agent_status_url = system.agent_urls["vm-1"] + "/status"
            async with aiohttp.ClientSession() as session:
                for token in (*urls_by_token, "", "wrong"):
                    for owner, url in urls_by_token.items():
                        status = await get_status(session, url, token)
                        self.assertEqual(status, 200 if token == owner else 401, url)
                    status = await get_status(session, agent_status_url, token)
                    self.assertEqual(status, 200 if token == OPERATOR_TOKEN else 401)


async def get_status(session, url, token):
    headers = {"Authorization": f"Bearer {token}"} if token else {}
    async with session.get(url, headers=headers) as response:
        return response.status


class MetricsTests(unittest.IsolatedAsyncioTestCase):
    async def test_callers_cannot_add_unbounded_series(self):
        async with open_operator_testbed(1) as system:
            await request_completion(system, WORKSPACE_TOKEN)
            await request_completion(system, WORKSPACE_TOKEN, stream=True)
            before = await scrape_metrics(system)
            self.assertIn("gen_ai_server_time_to_first_token_seconds_count", before)
            self.assertRegex(before, r"http_server_request_duration_seconds_count")
            self.assertRegex(before, r"lentilhaven_tables_version\S* 1\.0")
            for number in range(50):
                await request_completion(system, f"unknown-{number}")
            after = await scrape_metrics(system)
        self.assertNotIn("unknown-", after)
        self.assertNotIn("depot", after)
        names = [set(re.findall(r"^[^#\s]+", it, re.M)) for it in (before, after)]
        # A new response status adds one histogram, regardless of the caller.
        self.assertLessEqual(len(names[1] - names[0]), 20)


async def scrape_metrics(system):
    url = system.router_urls["vm-1"] + "/metrics"
    headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
    async with aiohttp.ClientSession(headers=headers) as session:
        async with session.get(url) as response:
            return await response.text()
