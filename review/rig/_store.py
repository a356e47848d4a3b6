"""A sound stand-in of the platform's metadata store."""

import asyncio
import base64
import json
from urllib.parse import parse_qsl

from review.rig._http import encode, read_message

ANSWER_SECONDS = 0.004
PAGE_ITEMS = 500
HISTORY_EVENTS = 5000


def parse_seconds(text: str) -> float:
    """Return the seconds of a time such as ``1500ms``."""
    if text.endswith("ms"):
        return float(text[:-2]) / 1000
    return float(text.removesuffix("s"))


class Store:
    """Items with revisions, leases that run out, watches and a history."""

    def __init__(self):
        self.server = None
        self.revision = 1
        self.items = {}
        self.events = []
        self.lost_before = 0
        self.leases = {}
        self.next_lease = 100
        self.changed = asyncio.Event()
        self.tasks = set()

    async def start(self, host: str) -> str:
        """Listen; return the address."""
        self.server = await asyncio.start_server(self._serve, host, 0)
        name, port = self.server.sockets[0].getsockname()[:2]
        return f"{name}:{port}"

    def close(self) -> None:
        """Stop to listen and end the connections."""
        self.server.close()
        for task in self.tasks:
            task.cancel()

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write an item."""
        self.revision += 1
        previous = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "rev": self.revision,
            "create_rev": previous["create_rev"] if previous else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self._add(item)

    def delete(self, key: str) -> None:
        """Delete an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._add({"key": key, "rev": self.revision, "tombstone": True})

    def _add(self, event: dict) -> None:
        self.events.append(event)
        if len(self.events) > HISTORY_EVENTS:
            self.lost_before = self.events.pop(0)["rev"]
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer) -> None:
        self.tasks.add(asyncio.current_task())
        try:
            while True:
                message = await read_message(reader)
                method, target, _ = message.first.split(" ")
                await asyncio.sleep(ANSWER_SECONDS)
                status, value = await self._answer(method, target, message.body)
                body = json.dumps(value).encode()
                headers = {"Content-Type": "application/json", "Store-Era": "1"}
                writer.write(encode(status, body, headers))
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(asyncio.current_task())
            writer.close()

    async def _answer(self, method: str, target: str, body: bytes):
        self._end_leases()
        path, _, query = target.partition("?")
        fields = dict(parse_qsl(query))
        match method, path.split("/")[2:]:
            case "GET", ["kv-key"]:
                item = self.items.get(fields["key"])
                return (
                    (200, {**item, "current_rev": self.revision})
                    if item
                    else (
                        404,
                        {"current_rev": self.revision},
                    )
                )
            case "GET", ["kv-range"]:
                return 200, self._list(fields)
            case "GET", ["kv-watch"]:
                return await self._watch(fields)
            case "POST", ["kv-txn"]:
                return self._write(json.loads(body))
            case "POST", ["kv-lease"]:
                ttl = json.loads(body)["ttl_time"]
                lease = self.next_lease
                self.next_lease += 1
                self.leases[lease] = [self._now() + parse_seconds(ttl), ttl]
                return 200, {"lease": lease, "ttl_time": ttl}
            case "POST", ["kv-keep", number] if int(number) in self.leases:
                lease = self.leases[int(number)]
                lease[0] = self._now() + parse_seconds(lease[1])
                return 200, {"ttl_time": lease[1]}
            case "DELETE", ["kv-lease-end", number]:
                self._end_lease(int(number))
                return 200, {}
        return 404, {}

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _end_leases(self) -> None:
        now = self._now()
        for number in [n for n, lease in self.leases.items() if lease[0] <= now]:
            self._end_lease(number)

    def _end_lease(self, number: int) -> None:
        self.leases.pop(number, None)
        for key in [k for k, item in self.items.items() if item["lease"] == number]:
            if number:
                self.delete(key)

    def _list(self, fields: dict) -> dict:
        prefix, after = fields.get("prefix", ""), fields.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        return {
            "items": [self.items[key] for key in keys[:PAGE_ITEMS]],
            "more_pages": len(keys) > PAGE_ITEMS,
            "current_rev": self.revision,
        }

    async def _watch(self, fields: dict):
        after, prefix = int(fields["after"]), fields.get("prefix", "")
        if not self.lost_before <= after <= self.revision:
            return 410, {}

        def find() -> list:
            return [
                event
                for event in self.events
                if event["rev"] > after and event["key"].startswith(prefix)
            ]

        end = self._now() + int(fields["wait_ms"]) / 1000
        while not find() and self._now() < end:
            waiting = self.changed.wait()
            # Leases run out while nobody calls.
            limit = min(end - self._now(), 0.1)
            try:
                await asyncio.wait_for(waiting, max(0.0, limit))
            except TimeoutError:
                self._end_leases()
        await asyncio.sleep(ANSWER_SECONDS)
        return 200, {"events": find(), "current_rev": self.revision}

    def _write(self, call: dict):
        for row in call.get("expect_rev", []):
            if self.items.get(row["key"], {"rev": 0})["rev"] != row["rev"]:
                keys = [row["key"] for row in call["expect_rev"]]
                return 412, {"items": [self.items[k] for k in keys if k in self.items]}
        puts = call.get("puts", [])
        if any(p.get("lease", 0) and p["lease"] not in self.leases for p in puts):
            return 404, {}
        for row in puts:
            self.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in call.get("deletes", []):
            self.delete(key)
        return 200, {"rev": self.revision}
