"""Departures of backend servers around restarts of their node and of themselves."""

import unittest

from daisylink.serving import Announcement, Departure, LocalServer, LocalServerSettings
from daisylink.serving._records import ServerState

LEFT_AT = 10.0
# On the wall clock, in milliseconds.
OLD_BORN, LEFT_MS, NEW_BORN = 1000, 1500, 2000


def announce(instance="i-1", born=OLD_BORN, sequence=17):
    return Announcement("a:1", "p", instance=instance, born=born, sequence=sequence)


class DepartureTests(unittest.TestCase):
    def setUp(self):
        self.local_server = LocalServer(LocalServerSettings())

    def test_a_late_announcement_after_a_restart_of_the_node_is_ignored(self):
        """The node restarted before the leave message, which states no birth."""
        self.local_server.handle_departure(Departure("i-1"), LEFT_MS)
        self.local_server.handle_announcement(announce(), LEFT_AT + 2.1)
        self.assertIs(self.local_server.state, ServerState.ABSENT)
        self.local_server.handle_announcement(announce(sequence=18), LEFT_AT + 30.0)
        self.assertIs(self.local_server.state, ServerState.ABSENT)

    def test_a_late_first_announcement_of_a_server_that_left_is_ignored(self):
        """It was taken for the first one of a new start, by its sequence number."""
        self.local_server.handle_departure(Departure("i-1"), LEFT_MS)
        self.local_server.handle_announcement(announce(sequence=1), LEFT_AT + 2.1)
        self.assertIs(self.local_server.state, ServerState.ABSENT)

    def test_a_new_start_under_the_same_instance_serves(self):
        self.local_server.handle_departure(Departure("i-1"), LEFT_MS)
        self.local_server.handle_announcement(announce(), LEFT_AT + 2.1)
        restarted = announce(born=NEW_BORN, sequence=1)
        self.local_server.handle_announcement(restarted, LEFT_AT + 4.0)
        self.local_server.handle_announcement(announce(), LEFT_AT + 4.1)
        self.assertIs(self.local_server.state, ServerState.SERVING)
        self.assertEqual(self.local_server.announcement.born, NEW_BORN)

    def test_a_start_whose_first_announcements_were_lost_serves_after_a_while(self):
        self.local_server.handle_departure(Departure("i-1"), LEFT_MS)
        late = announce(born=NEW_BORN, sequence=9)
        self.local_server.handle_announcement(late, LEFT_AT + 11.0)
        self.assertIs(self.local_server.state, ServerState.SERVING)

    def test_the_departure_of_a_replaced_server_leaves_the_new_one_serving(self):
        self.local_server.handle_announcement(announce("i-2", NEW_BORN, 1), 9.0)
        self.local_server.handle_departure(Departure("i-1"), LEFT_MS)
        self.assertIs(self.local_server.state, ServerState.SERVING)
        self.local_server.handle_departure(Departure("i-2"), LEFT_MS)
        self.assertIs(self.local_server.state, ServerState.DRAINING)
