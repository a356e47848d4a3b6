"""Stand-in of the platform's metadata store."""

import asyncio
import json
import time
from base64 import b64encode
from urllib.parse import parse_qs

from fleet.http import Listener, encode_response

PAGE_ITEMS = 500
LEASE_CHECK_SECONDS = 0.1


def parse_seconds(text):
    """Return the seconds of a time such as ``1500ms`` or ``3s``."""
    return float(text[:-2]) / 1000 if text.endswith("ms") else float(text[:-1])


class Store(Listener):
    """Items with revisions, leases and watches."""

    def __init__(self, host, port):
        super().__init__(host, port)
        self.revision = 1
        self.items = {}
        self.events = []
        # Seconds of the lease and when it ends, by number.
        self.leases = {}
        self.next_lease = 100
        self.changed = asyncio.Event()
        self.expiry = None

    async def start(self):
        """Accept calls and end leases that are not renewed."""
        await self.listen()
        self.expiry = asyncio.create_task(self._expire())

    def stop(self):
        """Stop at once."""
        self.stop_listening()
        self.expiry.cancel()

    def put(self, key, value, lease=0):
        """Write a key; ``value`` is base64 text or bytes."""
        self.revision += 1
        if isinstance(value, bytes):
            value = b64encode(value).decode()
        known = self.items.get(key)
        created = known["create_rev"] if known else self.revision
        item = {"key": key, "value": value, "rev": self.revision, "lease": lease}
        self.items[key] = {**item, "create_rev": created}
        self._record(self.items[key])

    def put_json(self, key, value):
        """Write a key as the operator does."""
        self.put(key, json.dumps(value).encode())

    def delete(self, key):
        """Delete a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record({"key": key, "rev": self.revision, "tombstone": True})

    def _record(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _expire(self):
        while True:
            await asyncio.sleep(LEASE_CHECK_SECONDS)
            now = time.monotonic()
            for lease, (_, ends_at) in list(self.leases.items()):
                if now >= ends_at:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)

    async def handle(self, message, reader, writer):
        """Answer a call of a node."""
        method, target, _ = message.first
        path, _, query = target.partition("?")
        fields = {name: values[-1] for name, values in parse_qs(query).items()}
        body = json.loads(message.body) if message.body else {}
        status, value = await self._perform(method, path, fields, body)
        data = json.dumps(value).encode()
        writer.write(encode_response(status, data, {"Store-Era": 1}))

    async def _perform(self, method, path, fields, body):
        match method, path.split("/")[2:]:
            case "GET", ["kv-range"]:
                return 200, self._list(fields)
            case "GET", ["kv-watch"]:
                return await self._watch(fields)
            case "POST", ["kv-txn"]:
                return self._write(body)
            case "POST", ["kv-lease"]:
                lease, self.next_lease = self.next_lease, self.next_lease + 1
                seconds = max(1.0, parse_seconds(body["ttl_time"]))
                self.leases[lease] = seconds, time.monotonic() + seconds
                return 200, {"lease": lease, "ttl_time": f"{seconds:g}s"}
            case "POST", ["kv-keep", number] if int(number) in self.leases:
                seconds, _ = self.leases[int(number)]
                self.leases[int(number)] = seconds, time.monotonic() + seconds
                return 200, {"ttl_time": f"{seconds:g}s"}
            case "DELETE", ["kv-lease-end", number]:
                self._end_lease(int(number))
                return 200, {}
        return 404, {}

    def _list(self, fields):
        prefix, after = fields.get("prefix", ""), fields.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        return {
            "items": [self.items[key] for key in keys[:PAGE_ITEMS]],
            "more_pages": len(keys) > PAGE_ITEMS,
            "current_rev": self.revision,
        }

    async def _watch(self, fields):
        prefix, after = fields.get("prefix", ""), int(fields["after"])
        if after > self.revision:
            return 410, {}
        ends_at = time.monotonic() + int(fields["wait_ms"]) / 1000
        while True:
            found = [
                event
                for event in self.events
                if event["rev"] > after and event["key"].startswith(prefix)
            ]
            left = ends_at - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "current_rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                continue

    def _write(self, body):
        for row in body.get("expect_rev", []):
            item = self.items.get(row["key"])
            if (item["rev"] if item else 0) != row["rev"]:
                return 412, {"items": []}
        for put in body.get("puts", []):
            if put.get("lease") and put["lease"] not in self.leases:
                return 404, {}
        for put in body.get("puts", []):
            self.put(put["key"], put["value"], put.get("lease", 0))
        for key in body.get("deletes", []):
            self.delete(key)
        return 200, {"rev": self.revision}
