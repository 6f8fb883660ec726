"""Checks that the example deployments are complete and valid."""

import unittest
from pathlib import Path

from lentilhaven.agent.agent_settings import AgentSettings
from lentilhaven.cli.client_settings import ClientSettings
from lentilhaven.core.settings import read_document
from lentilhaven.pipelines.bound import bound_of
from lentilhaven.router.router_settings import RouterSettings
from lentilhaven.tables import parse_tables

EXAMPLES = Path(__file__).parents[3] / "examples"

DEPLOYMENTS = {
    "monterrey": ["mty-a", "mty-b", "mty-c"],
    "muscat": ["qurum", "ruwi", "seeb"],
}

SETTINGS = {
    "router.json": RouterSettings,
    "agent.json": AgentSettings,
    "client.json": ClientSettings,
}


class ExampleTests(unittest.TestCase):
    def test_tables_are_valid_and_have_the_expected_size(self):
        for name, data_centres in DEPLOYMENTS.items():
            with self.subTest(name):
                text = (EXAMPLES / name / "tables.json").read_text(encoding="utf-8")
                tables = parse_tables(text).ok
                engines, services = tables.pools
                used_data_centres = {spec.data_centre for spec in engines.endpoints}
                self.assertEqual(sorted(used_data_centres), data_centres)
                self.assertEqual(len(engines.endpoints), 40)
                self.assertEqual(len(services.endpoints), 3)
                self.assertEqual(len(tables.workspaces), 10)
                self.assertGreater(bound_of(engines).rate, 0)

    def test_settings_are_valid(self):
        for name in DEPLOYMENTS:
            for file, kind in SETTINGS.items():
                with self.subTest(f"{name}/{file}"):
                    parsed = read_document(EXAMPLES / name / file, kind)
                    self.assertTrue(parsed.is_ok(), parsed)
