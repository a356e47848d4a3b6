"""Runs the fault matrix: every fault at every step, for each kind of request."""

import unittest

from tests.request_matrix import FAULTS, KINDS, STEPS, Cell, run_cells


class RequestMatrixTests(unittest.TestCase):
    def check_step(self, kind, step):
        cells = [Cell(kind, step, fault) for fault in FAULTS]
        for cell, result in run_cells(cells).items():
            with self.subTest(kind=kind, step=step, fault=cell.fault):
                if isinstance(result, Exception):
                    raise result


def _add_tests():
    for kind in KINDS:
        for step in STEPS:

            def test(self, kind=kind, step=step):
                self.check_step(kind, step)

            setattr(RequestMatrixTests, f"test_{kind}_{step}", test)


_add_tests()
