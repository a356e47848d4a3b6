"""Model-checks the specifications; each mutant must violate an invariant."""

import unittest

from specs.run import ALL_SPECS, explore


class SpecTests(unittest.TestCase):
    def test_every_reachable_state_holds(self):
        for module in ALL_SPECS:
            with self.subTest(module.__name__):
                found = explore(module)
                self.assertTrue(found.exhaustive)
                self.assertEqual((found.violated, found.liveness_failure), ("", ""))

    def test_every_mutant_is_caught(self):
        for module in ALL_SPECS:
            for mutant in module.MUTANTS:
                with self.subTest(f"{module.__name__}: {mutant}"):
                    self.assertNotEqual(explore(module, mutant).violated, "")
