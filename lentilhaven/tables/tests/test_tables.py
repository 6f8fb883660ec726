import json
import unittest

import attrs
from hypothesis import given, settings, strategies as st

from lentilhaven.core.hashing import canonical_json, token_hash
from lentilhaven.tables import (
    EndpointSpec,
    LayerRange,
    Pool,
    Route,
    Tables,
    Workspace,
    diff_tables,
    index_tables,
    parse_tables,
    rebase_tables,
    validate_tables,
)
from lentilhaven.tables.matching import RequestTraits, match_completion
from lentilhaven.tables.parts import join_parts, parse_part, split_tables
from lentilhaven.tables.pool import PoolKind


def make_tables(workspaces=2, endpoints=2):
    specs = [
        EndpointSpec(
            f"e{i}", f"http://10.0.0.1:{i + 1}", "ruwi", LayerRange(0, 4), "v1"
        )
        for i in range(endpoints)
    ]
    pool = Pool("big", PoolKind.ENGINE, specs, model="m", layer_count=4)
    return Tables(
        routes=[Route("chat", "big"), Route("batch", "big")],
        pools=[pool],
        workspaces=[
            Workspace(f"w{i}", [token_hash(f"t{i}")]) for i in range(workspaces)
        ],
    )


class ValidationTests(unittest.TestCase):
    def test_error_contains_the_path_of_the_invalid_value(self):
        valid = make_tables()
        spec = valid.pools[0].endpoints[0]
        cases = {
            "$.routes[0].match.workspaces[0]": attrs.evolve(
                valid,
                routes=[
                    attrs.evolve(
                        valid.routes[0],
                        match=attrs.evolve(valid.routes[0].match, workspaces=["no"]),
                    )
                ],
            ),
            "$.routes[0].versions['v9']": attrs.evolve(
                valid, routes=[attrs.evolve(valid.routes[0], versions={"v9": 1.0})]
            ),
            "$.pools[0].endpoints[0].url": attrs.evolve(
                valid,
                pools=[
                    attrs.evolve(
                        valid.pools[0], endpoints=[attrs.evolve(spec, url="10.0.0.1")]
                    )
                ],
            ),
            "$.workspaces[1].token_hashes[0]": attrs.evolve(
                valid,
                workspaces=[
                    valid.workspaces[0],
                    attrs.evolve(valid.workspaces[0], id="other"),
                ],
            ),
            "$.workspaces[0].weight": attrs.evolve(
                valid,
                workspaces=[attrs.evolve(valid.workspaces[0], weight=float("inf"))],
            ),
        }
        self.assertTrue(validate_tables(valid).is_ok())
        for path, tables in cases.items():
            with self.subTest(path):
                self.assertIn(path, validate_tables(tables).error.detail)

    def test_error_of_a_layer_range_contains_its_path(self):
        text = json.dumps(
            {
                "pools": [
                    {
                        "name": "p",
                        "kind": "engine",
                        "endpoints": [
                            {
                                "id": "e",
                                "url": "http://10.0.0.1",
                                "data_centre": "ruwi",
                                "layers": {"start": 4, "stop": 2},
                            }
                        ],
                    }
                ]
            }
        )
        detail = parse_tables(text).error.detail
        self.assertIn("$.pools[0].endpoints[0].layers: a layer range", detail)


class PartTests(unittest.TestCase):
    def test_joined_parts_equal_the_split_tables(self):
        tables = make_tables(workspaces=900, endpoints=500)
        parts = [parse_part(part).ok for part in split_tables(tables).values()]
        joined = join_parts(parts, 3)
        self.assertEqual(diff_tables(tables, joined), [])
        self.assertEqual(joined.version, 3)

    def test_parts_of_20_000_workspaces_stay_below_1_mb(self):
        tables = make_tables(workspaces=20_000, endpoints=3_700)
        sizes = [
            len(canonical_json(document).encode())
            for document in split_tables(tables).values()
        ]
        self.assertLess(max(sizes), 1_000_000)

    def test_an_edit_of_one_workspace_changes_one_part(self):
        tables = make_tables(workspaces=900)
        workspaces = list(tables.workspaces)
        workspaces[7] = attrs.evolve(workspaces[7], weight=2.0)
        edited = attrs.evolve(tables, workspaces=workspaces)
        changed = set(split_tables(edited)) - set(split_tables(tables))
        self.assertEqual(len(changed), 1)


class RebaseTests(unittest.TestCase):
    def test_keeps_the_changes_of_both_edits(self):
        base = make_tables()
        mine = attrs.evolve(base, routes=[Route("new", "big"), *base.routes])
        workspaces = [attrs.evolve(base.workspaces[0], weight=3.0), base.workspaces[1]]
        theirs = attrs.evolve(base, workspaces=workspaces, version=2)
        merged = rebase_tables(base, mine, theirs).ok
        self.assertEqual(
            [route.name for route in merged.routes], ["new", "chat", "batch"]
        )
        self.assertEqual(merged.workspaces[0].weight, 3.0)

    def test_conflict_contains_the_path_that_both_edits_changed(self):
        base = make_tables()
        sides = [
            attrs.evolve(base, routes=[attrs.evolve(base.routes[0], deadline=deadline)])
            for deadline in (1.0, 2.0)
        ]
        failure = rebase_tables(base, *sides).error
        self.assertEqual(failure.kind, "edit-conflict")
        self.assertIn("$.routes[chat].deadline", failure.detail)

    def test_edits_that_are_invalid_together_are_refused(self):
        base = attrs.evolve(make_tables(), routes=[])
        mine = attrs.evolve(base, routes=[Route("chat", "big")])
        theirs = attrs.evolve(base, pools=[])
        self.assertEqual(rebase_tables(base, mine, theirs).error.kind, "invalid-tables")

    @settings(max_examples=60, derandomize=True, deadline=None)
    @given(
        st.lists(st.sampled_from("abcd"), unique=True),
        st.lists(st.sampled_from("abcdef"), unique=True),
    )
    def test_an_edit_rebased_onto_its_own_base_is_itself(self, before, after):
        pools = make_tables().pools
        base = Tables([Route(name, "big") for name in before], pools)
        mine = Tables([Route(name, "big", deadline=9.0) for name in after], pools)
        self.assertEqual(rebase_tables(base, mine, base).ok, mine)


class IndexTests(unittest.TestCase):
    def test_finds_the_same_entries_as_a_linear_search(self):
        tables = make_tables(workspaces=50)
        index = index_tables(tables)
        for model in ("m", "other"):
            traits = RequestTraits("w1", model=model)
            self.assertEqual(
                index.match_completion(traits), match_completion(tables, traits)
            )
        for workspace in tables.workspaces:
            found = index.find_workspace(workspace.token_hashes[0])
            self.assertEqual(found, workspace)
        self.assertIsNone(index.find_workspace(token_hash("nobody")))
