"""Models of a caller and of a backend server that check what a node sends them.

Both read the bytes of a :class:`~tests.simulated_network.PeerEnd` as HTTP/1.1, with
code of their own.
"""

from typing import NamedTuple

from tests.platform_standin import SEAL
from tests.simulated_network import HOST

STATUS_LINE_START = b"HTTP/1.1 "


class Message(NamedTuple):
    """A request or a response, as far as it has arrived.

    :param first: words of the first line.
    :param headers: values by name in lower case.
    :param is_whole: whether its body is complete.
    :param size: bytes that it takes, framing included.
    """

    first: list[str]
    headers: dict[str, str]
    body: bytes
    is_whole: bool
    size: int

    @property
    def name(self):
        return self.headers.get("x-daisylink-request-id", "")


def read_message(data):
    """Return the message at the start of some bytes, None before its head is whole."""
    end = data.find(b"\r\n\r\n")
    if end < 0:
        return None
    first, *lines = data[:end].decode("latin-1").split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in lines)
    body, rest = b"", end + 4
    if headers.get("transfer-encoding") != "chunked":
        length = int(headers.get("content-length", 0))
        body = data[rest : rest + length]
        is_whole = len(body) == length
        return Message(first.split(" "), headers, body, is_whole, rest + len(body))
    while True:
        line_end = data.find(b"\r\n", rest)
        if line_end < 0:
            return Message(first.split(" "), headers, body, False, len(data))
        size = int(data[rest:line_end], 16)
        rest = line_end + 2
        piece = data[rest : rest + size]
        body += piece
        if len(data) < rest + size + 2:
            return Message(first.split(" "), headers, body, False, len(data))
        rest += size + 2
        if not size:
            return Message(first.split(" "), headers, body, True, rest)


def read_messages(data):
    """Return the messages in some bytes, of which the last may be incomplete."""
    messages = []
    while data:
        message = read_message(data)
        if message is None:
            break
        messages.append(message)
        data = data[message.size :]
    return messages


class MessageReader:
    """The messages that have arrived at one end of a connection.

    :param received: all bytes that have arrived; it grows.
    """

    def __init__(self, received):
        self.received = received
        self.whole = []
        self.start = 0
        self.seen = -1
        self.messages = []

    def read(self):
        """Return the messages, of which the last may be incomplete."""
        if len(self.received) == self.seen:
            return self.messages
        self.seen = len(self.received)
        found = read_messages(bytes(self.received[self.start :]))
        while found and found[0].is_whole:
            self.whole.append(found.pop(0))
            self.start += self.whole[-1].size
        self.messages = [*self.whole, *found]
        return self.messages


class SentRequest(NamedTuple):
    """A request of a caller.

    :param runs_once: whether it may reach one server at most.
    """

    name: str
    runs_once: bool
    body: bytes
    is_chunked: bool

    def encode(self):
        path = "y" if self.runs_once else "x"
        head = (
            f"PUT /{path}/{self.name} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Daisylink-Request-Id: {self.name}\r\n"
        )
        if not self.is_chunked:
            head += f"Content-Length: {len(self.body)}\r\n\r\n"
            return head.encode() + self.body
        pieces = [self.body[i : i + 3000] for i in range(0, len(self.body), 3000)]
        chunks = b"".join(b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces)
        return (
            head.encode()
            + b"Transfer-Encoding: chunked\r\n\r\n"
            + chunks
            + b"0\r\n\r\n"
        )


class CallerModel:
    """A caller with one connection.

    :ivar outgoing: bytes that it has not sent yet.
    :ivar is_garbled: whether it has sent bytes that are no request.
    :ivar is_excused: whether its connection may close on requests: it has left, or has
        stopped reading for a while.
    """

    def __init__(self, end):
        self.end = end
        self.requests = []
        self.outgoing = bytearray()
        self.is_garbled = False
        self.is_excused = False
        self.reader = MessageReader(end.received)

    def add(self, request):
        self.requests.append(request)
        self.outgoing += request.encode()

    def send(self, size):
        data = bytes(self.outgoing[:size])
        del self.outgoing[:size]
        self.end.send(data)

    def check(self):
        """Check that each answer is whole, or cut, and belongs to its own request."""
        answers = self.reader.read()
        rest = bytes(self.end.received[self.reader.start :][: len(STATUS_LINE_START)])
        assert STATUS_LINE_START.startswith(rest), "bytes that are no answer"
        allowed = len(self.requests) + self.is_garbled
        assert len(answers) <= allowed, "an answer to no request"
        for number, answer in enumerate(answers):
            is_last = number == len(answers) - 1
            assert 200 <= int(answer.first[1]) <= 599, "an invalid status"
            assert answer.is_whole or is_last, "an answer in another one's body"
            if answer.first[1] != "200":
                continue
            request = self.requests[number]
            assert answer.name == request.name, "an answer out of order"
            expected = make_answer_body(request.name)
            if answer.is_whole:
                is_right = answer.body == expected or set(answer.body) == {ord("f")}
                assert is_right, "an answer's body was changed"


class ServerModel:
    """One connection of the backend server, which serves one request at a time.

    :param is_relay: whether it is one of another node, beside the next server.
    :ivar is_open: whether it has begun an answer in chunks.
    :ivar is_stuck: whether it has sent a part of an answer and sends no more.
    :ivar is_disturbed: whether it has broken an answer off, or the connection.
    :ivar last_answer: the bytes of the last whole answer.
    """

    def __init__(self, end, is_relay=False):
        self.end = end
        self.is_relay = is_relay
        self.answered = 0
        self.is_open = False
        self.is_stuck = False
        self.is_disturbed = False
        self.last_answer = b""
        self.reader = MessageReader(end.received)

    @property
    def requests(self):
        return self.reader.read()

    @property
    def waiting(self):
        """Return the request that waits for an answer, None without one."""
        requests = self.requests
        is_idle = self.is_stuck or len(requests) <= self.answered
        return None if is_idle else requests[self.answered]


def make_answer_body(name):
    """Return the body of the answer to a request."""
    return f"answer to {name} ".encode() * 50


def make_answer_head(name, framing, status="200 OK"):
    """Return the head of an answer.

    :param name: id of the request, "" for an answer without one.
    :param framing: the header line that frames its body, and others.
    """
    head = f"HTTP/1.1 {status}\r\n"
    head += f"X-Daisylink-Request-Id: {name}\r\n" if name else ""
    return f"{head}X-Daisylink-Response-Seal: {SEAL}\r\n{framing}\r\n\r\n".encode()
