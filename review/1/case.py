"""Pipelined requests: one read ends within the head of the second request."""

import asyncio
import time

from fleet.case import HOST, make_configuration, make_route, run_case
from fleet.http import connect, encode_request, read_message

CONNECTIONS = 12
TIMEOUT_SECONDS = 1.0
LATE_SECONDS = 0.5
# Time limit of the requester, in which a late answer would still arrive.
DEADLINE_MS = 4000
BODY = b"x" * 20_000
# Bytes of the second head that arrive together with the first request.
FIRST_PART = 60
REST_DELAY_SECONDS = 0.03
MIN_UNANSWERED = 8


async def play(case):
    """Send two idempotent requests on each of some connections, one after the other."""
    routes = [make_route("report", "files"), make_route("status", "files")]
    await case.start(make_configuration(3, routes, ["files"]), {"a": "files"})
    results = []
    for number in range(CONNECTIONS):
        results += await send_pair(case, number)
    unanswered = results.count(False)
    case.say(f"{unanswered} of {len(results)} requests unanswered at their timeout")
    return unanswered >= MIN_UNANSWERED and unanswered * 4 > len(results)


async def send_pair(case, number):
    """Send an upload and a look-up; return whether each was answered in time."""
    upload = make_request("PUT", f"u{number}", "/report/1", BODY)
    lookup = make_request("GET", f"l{number}", "/status/1")
    reader, writer = await connect(case.find("a").outbound)
    results = []
    if case.has_trouble:
        case.record(f"u{number} and l{number} sent, pipelined")
        sent_at = time.monotonic()
        writer.write(upload + lookup[:FIRST_PART])
        await asyncio.sleep(REST_DELAY_SECONDS)
        writer.write(lookup[FIRST_PART:])
        for name in (f"u{number}", f"l{number}"):
            results.append(await read_answer(case, reader, name, sent_at))
    else:
        for name, data in ((f"u{number}", upload), (f"l{number}", lookup)):
            case.record(f"{name} sent")
            writer.write(data)
            results.append(await read_answer(case, reader, name, time.monotonic()))
    writer.close()
    return results


def make_request(method, name, path, body=b""):
    """Return the bytes of a request."""
    headers = {"X-Daisylink-Request-Id": name, "X-Daisylink-Deadline-Ms": DEADLINE_MS}
    return encode_request(method, path, HOST, headers, body)


async def read_answer(case, reader, name, sent_at):
    """Return whether a complete answer comes by half a second after the timeout."""
    left = sent_at + TIMEOUT_SECONDS + LATE_SECONDS - time.monotonic()
    try:
        answer = await asyncio.wait_for(read_message(reader), max(0.01, left))
    except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
        case.record(f"{name} has no answer: {type(error).__name__}")
        return False
    case.record(f"{name} answered: {answer.status}")
    return True


run_case(__file__, play)
