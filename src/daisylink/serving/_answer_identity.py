"""Tells which answers of the local backend server a late copy could be mistaken for.

A server in trouble may send an answer once more, before that of the next request on the
connection. The request id in it tells the copy from the next answer, if there is one.
"""

from http import HTTPStatus

from daisylink.serving._records import MemberRecord


class AnswerIdentity:
    """Whether the answers of the server say which request they belong to.

    :param is_used: whether servers send request ids at all.
    """

    def __init__(self, is_used: bool):
        self.is_used = is_used
        # This node's record when its server last sent a request id.
        self.record_with_id: MemberRecord | None = None

    def record_id(self, record: MemberRecord) -> None:
        """Record that the server has sent a request id.

        :param record: this node's record, which names the start of the server.
        """
        self.record_with_id = record

    def may_be_repeated(self, status: int, record: MemberRecord) -> bool:
        """Return whether a copy of an answer without an id passes for the next answer.

        Servers that have never sent a request id are believed but for failures: a copy
        of a rejection would say that the next request has not run.

        :param status: status of the answer.
        :param record: this node's record, which names the start of the server.
        """
        if not self.is_used:
            return False
        known = self.record_with_id
        sends_ids = known is not None and known.server_start == record.server_start
        return sends_ids or status >= HTTPStatus.BAD_REQUEST
