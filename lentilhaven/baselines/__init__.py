"""
Naive path policies with which the product's own policies are compared.

They implement the same interface and can be selected by name in the route table,
but are meant for comparison only.
"""

from lentilhaven.baselines.least_loaded import choose_least_loaded
from lentilhaven.baselines.random_of_two import choose_random_of_two
from lentilhaven.baselines.round_robin import choose_round_robin

__all__ = ["choose_least_loaded", "choose_random_of_two", "choose_round_robin"]
