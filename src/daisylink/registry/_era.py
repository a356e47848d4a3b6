"""The era of the store, which rises when the store comes back from an older copy."""

from collections.abc import Callable

from daisylink.errors import PlatformError, ResultCode


class EraTracker:
    """The newest era that this node knows of, from the store's responses and peers."""

    def __init__(self):
        self.current = 0
        self.unstated = 0
        self.rejected = 0
        # Called with the era before, 0 for the first one.
        self.on_rise: Callable[[int], None] = lambda previous: None

    def check_response(self, era: int | None) -> int:
        """Return the era of a response of the store.

        A store that has not stated an era yet is in era 0.

        :param era: the era that the response states, None if it states none.
        :raises PlatformError: ``PLATFORM_ERA_INVALID`` if it states an older era than
            before, or none any more.
        """
        if era is None:
            self.unstated += 1
            if not self.current:
                return 0
        if era is None or era < self.current:
            self.rejected += 1
            message = f"response of era {era}, in era {self.current}"
            raise PlatformError(message, ResultCode.PLATFORM_ERA_INVALID)
        self.learn(era)
        return era

    def learn(self, era: int) -> None:
        """Take note of an era that a response or a peer states."""
        if era <= self.current:
            return
        previous, self.current = self.current, era
        self.on_rise(previous)
