"""Every fault at every step of acceptance, distribution and membership."""

import unittest

from tests.fleet_matrix import FAULTS, STEPS, Cell


class FleetMatrixTests(unittest.TestCase):
    def check_step(self, step):
        for fault in FAULTS:
            with self.subTest(step=step, fault=fault):
                Cell(step, fault).run()


def _add_tests():
    for step in STEPS:

        def test(self, step=step):
            self.check_step(step)

        setattr(FleetMatrixTests, f"test_{step}", test)


_add_tests()
