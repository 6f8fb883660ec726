import unittest

from lentilhaven.balancing.path_policies import PATH_POLICIES
from lentilhaven.limits.admission_policies import ADMISSION_POLICIES
from lentilhaven.tables.policy_names import ADMISSION_POLICY_NAMES, PATH_POLICY_NAMES


class PolicyNameTests(unittest.TestCase):
    def test_every_name_that_tables_accept_is_a_policy(self):
        self.assertEqual(set(PATH_POLICY_NAMES), set(PATH_POLICIES))
        self.assertEqual(set(ADMISSION_POLICY_NAMES), set(ADMISSION_POLICIES))
