"""A request that crashes each server that begins to run it, and how often it may."""

import time

# Crashes until the request has to be known, and retries that may reach servers later.
CRASHES = 3
MAX_RETRIES = 3
STABLE_SECONDS = 3.0


class Poison:
    """The servers that the request has reached, and when each of its ids was sent.

    :param back_seconds: how long a server is away after a crash.
    """

    def __init__(self, back_seconds):
        self.back_seconds = back_seconds
        self.sent_at = {}
        self.runs = []

    def note_sent(self):
        """Return the id of the next sending, which begins now."""
        request_id = f"p{len(self.sent_at)}"
        self.sent_at[request_id] = time.monotonic()
        return request_id

    def make_crash(self, server):
        """Return a handler that crashes the server when it begins to run a request."""

        async def crash(message, writer):
            request_id = message.headers["x-daisylink-request-id"]
            self.runs.append((time.monotonic(), request_id))
            server.crash(self.back_seconds)

        return crash

    def judge(self, case):
        """Return whether the request reached servers too often."""
        sent, reached = len(self.sent_at), len(self.runs)
        case.say(f"sent {sent} times, reached servers {reached} times")
        if reached <= CRASHES:
            return False
        late_from = self.runs[CRASHES - 1][0] + STABLE_SECONDS
        late = [
            request_id
            for _, request_id in self.runs[CRASHES:]
            if self.sent_at[request_id] > late_from
        ]
        case.say(f"{len(late)} of them sent over 3 s after the third crash")
        return len(late) > MAX_RETRIES
