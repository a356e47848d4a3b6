"""How long each step may take until the last node has a version in force.

The operator's bound runs from the store's acknowledgement of a version. A follower gets
it from a reader, the reader by a watch of the store, and each of them may be silent,
behind or gone. The shares below give every step its part, so that the longest way stays
within the bound; :attr:`ApplyBudget.longest_ways` adds them up.
"""

from datetime import timedelta
from typing import NamedTuple

# Shares of the bound.
WATCH_WAIT = 0.4
SMALL_FLEET_WATCH_WAIT = 0.55
STORE_RESPONSE = 0.16
READER_BATCH = 0.12
FOLLOWER_BATCH = 0.4
MAX_VIEW_AGE = 0.74
POLL_WAIT = 0.24
POLL_RESPONSE = 0.2
RANK_DELAY = 0.16
MAX_RANK_DELAY = 0.48
# What is left of the bound for reading, publishing and sending the version itself.
TRANSFER = 0.15


class ApplyBudget(NamedTuple):
    """Parts of the bound for applying a configuration.

    :param bound: time from the store's acknowledgement until all nodes use a version.
    """

    bound: timedelta = timedelta(seconds=2.5)

    @property
    def watch_wait(self) -> timedelta:
        """Return how long a watch waits at the store for a change."""
        return self.bound * WATCH_WAIT

    @property
    def small_fleet_watch_wait(self) -> timedelta:
        """Return the same where all nodes watch the store and none waits for another.

        All of them make these calls.
        """
        return self.bound * SMALL_FLEET_WATCH_WAIT

    @property
    def store_response(self) -> timedelta:
        """Return how long the store may take to answer beyond that."""
        return self.bound * STORE_RESPONSE

    @property
    def reader_batch(self) -> timedelta:
        """Return how long a reader collects changes between two watches."""
        return self.bound * READER_BATCH

    @property
    def follower_batch(self) -> timedelta:
        """Return the same for a follower that asks the store."""
        return self.bound * FOLLOWER_BATCH

    @property
    def max_view_age(self) -> timedelta:
        """Return how long a reader serves keys that the store has not confirmed."""
        return self.bound * MAX_VIEW_AGE

    @property
    def poll_wait(self) -> timedelta:
        """Return how long a follower's poll waits at a reader for a change."""
        return self.bound * POLL_WAIT

    @property
    def poll_response(self) -> timedelta:
        """Return how long a reader may take to answer beyond that."""
        return self.bound * POLL_RESPONSE

    @property
    def rank_delay(self) -> timedelta:
        """Return how much longer each reader waits to publish than the one before."""
        return self.bound * RANK_DELAY

    @property
    def max_rank_delay(self) -> timedelta:
        """Return how long any reader waits to publish."""
        return self.bound * MAX_RANK_DELAY

    @property
    def longest_ways(self) -> dict[str, timedelta]:
        """Return how long the steps of each way take, without the transfers."""
        reader = self.reader_batch + self.watch_wait + self.store_response
        small_fleet = self.reader_batch + self.small_fleet_watch_wait
        first_reader = self.poll_wait + self.poll_response
        return {
            "all readers hear nothing": reader,
            "all nodes of a small fleet hear nothing": small_fleet
            + self.store_response,
            "all readers but the last one end": self.reader_batch + self.max_rank_delay,
            "a reader loses the store": self.max_view_age,
            "a reader is silent": first_reader,
            "two readers are silent": first_reader + self.poll_response,
        }
