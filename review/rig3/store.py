"""Stand-in of the platform's metadata store, with the standard library only."""

import asyncio
import contextlib
import copy
import json
import time
from urllib.parse import parse_qsl

from wire import HttpServer, Reply

PAGE_ITEMS = 500
MAX_WAIT_SECONDS = 30.0


class Store(HttpServer):
    """Items with revisions, leases that run out, watches and transactions.

    :param host: loopback address to listen on.
    """

    def __init__(self, host):
        super().__init__(host)
        self.era = 1
        self.revision = 10
        self.items = {}
        self.events = []
        # Revision up to which the history is gone.
        self.compacted = 0
        self.leases = {}
        self.next_lease = 1000
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        """Write an item; the value is base64 text."""
        self.revision += 1
        made = self.items.get(key, {}).get("create_rev", self.revision)
        item = {
            "key": key,
            "value": value,
            "rev": self.revision,
            "create_rev": made,
            "lease": lease,
        }
        self.items[key] = item
        self._publish(item)

    def delete(self, key):
        """Delete an item, if it exists."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._publish({"key": key, "rev": self.revision, "tombstone": True})

    def _publish(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def make_copy(self):
        """Return a copy of the contents, for :meth:`come_back`."""
        return copy.deepcopy((self.items, self.leases, self.next_lease, self.revision))

    def go_away(self):
        """Refuse and reset all connections until :meth:`come_back`."""
        self.close()

    async def come_back(self, contents):
        """Come back from an older copy, in the next era.

        What the operator wrote since is written again by the caller.
        """
        items, leases, self.next_lease, self.revision = copy.deepcopy(contents)
        self.items = items
        # Leases run on from the return.
        now = time.monotonic()
        self.leases = {
            number: (now + seconds, seconds) for number, (_, seconds) in leases.items()
        }
        self.events = []
        self.compacted = self.revision
        self.era += 1
        await self.start(self.port)

    def expire_leases(self):
        """End the leases whose time is over."""
        now = time.monotonic()
        for number in [n for n, (end, _) in self.leases.items() if end <= now]:
            self._end_lease(number)

    def _end_lease(self, number):
        self.leases.pop(number, None)
        for key in [k for k, item in self.items.items() if item["lease"] == number]:
            self.delete(key)

    async def handle(self, request):
        """Answer one call."""
        self.expire_leases()
        path, _, text = request.target.partition("?")
        query = dict(parse_qsl(text))
        status, value = await self._perform(request, path, query)
        body = json.dumps(value).encode()
        headers = {"Content-Type": "application/json", "Store-Era": str(self.era)}
        return Reply(status, body, headers)

    async def _perform(self, request, path, query):
        match request.method, path.split("/")[2:]:
            case "GET", ["kv-key"]:
                item = self.items.get(query.get("key", ""))
                if item is None:
                    return 404, {"current_rev": self.revision}
                return 200, {**item, "current_rev": self.revision}
            case "GET", ["kv-range"]:
                return 200, self._list(query)
            case "GET", ["kv-watch"]:
                return await self._watch(query)
            case "POST", ["kv-txn"]:
                return self._write(json.loads(request.body))
            case "POST", ["kv-lease"]:
                return 200, self._grant(json.loads(request.body))
            case "POST", ["kv-keep", number]:
                return self._renew(int(number))
            case "DELETE", ["kv-lease-end", number]:
                self._end_lease(int(number))
                return 200, {}
        return 404, {}

    def _list(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        return {
            "items": [self.items[key] for key in keys[:PAGE_ITEMS]],
            "more_pages": len(keys) > PAGE_ITEMS,
            "current_rev": self.revision,
        }

    async def _watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        if not self.compacted <= after <= self.revision:
            return 410, {}
        end = time.monotonic() + min(int(query["wait_ms"]) / 1000, MAX_WAIT_SECONDS)
        while True:
            found = [
                event
                for event in self.events
                if event["rev"] > after and event["key"].startswith(prefix)
            ]
            left = end - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "current_rev": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)

    def _write(self, call):
        expected = call.get("expect_rev") or []
        current = [self.items.get(row["key"]) for row in expected]
        for row, item in zip(expected, current, strict=True):
            if (item["rev"] if item else 0) != row["rev"]:
                return 412, {"items": [item for item in current if item]}
        puts = call.get("puts") or []
        if any(put["lease"] and put["lease"] not in self.leases for put in puts):
            return 404, {}
        for put in puts:
            self.put(put["key"], put["value"], put["lease"])
        for key in call.get("deletes") or []:
            self.delete(key)
        return 200, {"rev": self.revision}

    def _grant(self, call):
        seconds = max(1.0, parse_seconds(call["ttl_time"]))
        number, self.next_lease = self.next_lease, self.next_lease + 1
        self.leases[number] = (time.monotonic() + seconds, seconds)
        return {"lease": number, "ttl_time": f"{round(seconds * 1000)}ms"}

    def _renew(self, number):
        if number not in self.leases:
            return 404, {}
        seconds = self.leases[number][1]
        self.leases[number] = (time.monotonic() + seconds, seconds)
        return 200, {"lease": number, "ttl_time": f"{round(seconds * 1000)}ms"}


def parse_seconds(text):
    """Return the seconds of a time such as ``1500ms`` or ``2.5s``."""
    if text.endswith("ms"):
        return float(text[:-2]) / 1000
    return float(text[:-1])
