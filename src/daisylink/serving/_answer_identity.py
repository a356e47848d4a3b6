"""Tells which answers of the local backend server a late copy could be mistaken for.

A server in trouble may send an answer once more, before that of the next request on the
connection. The request id in it tells the copy from the next answer, if there is one.
"""

from http import HTTPStatus

from daisylink.request import HeaderNames, ResponseHead
from daisylink.serving._records import ServerStart


class AnswerIdentity:
    """Whether the answers of the server say which request they belong to.

    :param header_names: names of the server's headers.
    """

    def __init__(self, header_names: HeaderNames):
        self.id_header = header_names.request_id
        # The last start of the server that has sent a request id.
        self.start_with_ids: ServerStart | None = None

    def may_be_repeated(self, head: ResponseHead, start: ServerStart) -> bool:
        """Return whether a copy of an answer would be taken for the next one.

        Servers that never send a request id are believed but for their rejections: a
        copy of one would say that the next request has not run.

        :param head: head of the answer.
        :param start: the start of the server that sent it.
        """
        if not self.id_header:
            return False
        if any(name == self.id_header for name, _ in head.headers):
            self.start_with_ids = start
            return False
        is_failure = head.status >= HTTPStatus.BAD_REQUEST
        return is_failure or start == self.start_with_ids
