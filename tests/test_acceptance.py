"""Acceptance under lost responses, outages, crashes and concurrent planners."""

import random
import unittest

from daisylink.errors import AcceptanceError, PlatformError
from daisylink.version import (
    HEAD_KEY,
    MAX_PART_BYTES,
    Acceptance,
    Accepted,
    Conflict,
    Content,
    Pool,
    Unchanged,
    Unsettled,
    decode_head,
    describe_delta,
    history_key,
    part_key,
    unpack_content,
)
from tests.support import (
    make_content,
    make_proposal,
    make_store,
    perform_action,
    run_acceptance,
)

OLD = make_content("a")
NEW = make_content("a", "b")
OTHER = make_content("a", "c")


def head_of(store):
    entry = store.get(HEAD_KEY)
    return decode_head(entry.value) if entry else None


def content_of(store, record):
    parts = [store.get(part_key(record, part)).value for part in range(record.parts)]
    return unpack_content(b"".join(parts), record.digest)


def accept(store, content, name, **options):
    return run_acceptance(Acceptance(make_proposal(content, name)), store, **options)


def store_with(content):
    store = make_store()
    accept(store, content, "old")
    return store


class AcceptanceTests(unittest.TestCase):
    def test_a_failure_at_any_step_is_resolved(self):
        """Each action fails once, with or without effect; the outcome is correct."""
        for takes_effect in (False, True):
            for step in range(12):
                with self.subTest(step=step, takes_effect=takes_effect):
                    store = store_with(OLD)
                    outcome = accept(store, NEW, "new", faults={step: takes_effect})
                    self.assertIsInstance(outcome, Accepted)
                    self.assertEqual(head_of(store).acceptance_id, "new")
                    self.assertEqual(head_of(store).number, 2)
                    self.assertEqual(content_of(store, head_of(store)), NEW)
                    self.assertIsNotNone(store.get(history_key(1)))

    def test_a_crash_at_any_step_leaves_a_whole_head(self):
        for step_count in range(1, 12):
            store = store_with(OLD)
            steps = Acceptance(make_proposal(NEW, "new")).steps()
            self._crash_after(steps, store, step_count)
            head = head_of(store)
            self.assertIn(content_of(store, head), (OLD, NEW))
            outcome = accept(store, OTHER, "later")
            self.assertIsInstance(outcome, Accepted)
            self.assertEqual(outcome.record.number, head.number + 1)

    def _crash_after(self, steps, store, step_count):
        event = None
        for _ in range(step_count):
            try:
                event = perform_action(steps.send(event), store)
            except StopIteration:
                return

    def test_a_concurrent_planner_gets_a_conflict_with_the_changes(self):
        for step in range(1, 5):
            with self.subTest(step=step):
                store = store_with(OLD)
                rival = {step: lambda store=store: accept(store, OTHER, "rival")}
                outcome = accept(store, NEW, "new", before_action=rival)
                self.assertIsInstance(outcome, Conflict)
                self.assertIn("set pool c", describe_delta(outcome.delta))
                self.assertEqual(content_of(store, head_of(store)), OTHER)
                remaining_keys = [key for key in store.entries if "/new/" in key]
                self.assertEqual(remaining_keys, [])

    def test_a_lost_response_before_a_rival_is_still_accepted(self):
        """The swap takes effect, its response is lost, and another planner follows."""
        store = store_with(OLD)
        swap = self._swap_step()
        rival = {swap + 1: lambda: accept(store, OTHER, "rival")}
        outcome = accept(store, NEW, "new", faults={swap: True}, before_action=rival)
        self.assertIsInstance(outcome, Accepted)
        self.assertEqual(outcome.record.number, 2)
        self.assertEqual(head_of(store).number, 3)

    def _swap_step(self):
        steps = Acceptance(make_proposal(NEW, "new")).steps()
        store = store_with(OLD)
        event, count = None, 0
        while True:
            action = steps.send(event)
            if getattr(action, "key", "") == HEAD_KEY and hasattr(action, "value"):
                return count
            event = perform_action(action, store)
            count += 1

    def test_a_lost_response_and_an_outage_are_unsettled_not_failed(self):
        store = store_with(OLD)
        swap = self._swap_step()
        faults = {swap: True, **dict.fromkeys(range(swap + 1, 200), False)}
        self.assertIsInstance(accept(store, NEW, "new", faults=faults), Unsettled)
        self.assertEqual(head_of(store).acceptance_id, "new")

    def test_an_outage_before_the_swap_fails_with_nothing_accepted(self):
        store = store_with(OLD)
        with self.assertRaises(PlatformError):
            accept(store, NEW, "new", faults=dict.fromkeys(range(200), False))
        self.assertEqual(content_of(store, head_of(store)), OLD)

    def test_the_same_content_makes_no_version(self):
        store = store_with(OLD)
        self.assertIsInstance(accept(store, OLD, "again"), Unchanged)
        self.assertEqual(head_of(store).number, 1)

    def test_a_stale_base_is_a_conflict(self):
        store = store_with(OLD)
        accept(store, NEW, "new")
        outcome = run_acceptance(Acceptance(make_proposal(OTHER, "x", base=1)), store)
        self.assertIsInstance(outcome, Conflict)
        self.assertIn("set pool b", describe_delta(outcome.delta))
        with self.assertRaises(AcceptanceError):
            run_acceptance(Acceptance(make_proposal(OLD, "y", base=4)), make_store())

    def test_a_version_over_one_megabyte_is_split(self):
        rng = random.Random(3)
        names = {f"{rng.getrandbits(200):x}" for _ in range(45_000)}
        content = Content.from_rows((Pool(name, 1, 1, 0) for name in names), (), ())
        store = store_with(OLD)
        outcome = accept(store, content, "big")
        self.assertGreater(outcome.record.parts, 1)
        self.assertIsNone(outcome.record.delta)
        self.assertEqual(content_of(store, outcome.record), content)
        sizes = [len(entry.value) for entry in store.entries.values()]
        self.assertLessEqual(max(sizes), MAX_PART_BYTES)

    def test_old_versions_are_pruned(self):
        store = make_store()
        for number in range(130):
            accept(store, make_content("a", f"v{number}"), f"id{number}")
        kept = [key for key in store.entries if key.startswith("daisylink/history/")]
        self.assertLessEqual(len(kept), 100)
        self.assertLess(len(store.entries), 210)
