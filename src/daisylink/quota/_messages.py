"""Datagrams between a node and a coordinator; each may be lost, late or repeated."""

import msgspec


class QuotaLend(msgspec.Struct, array_like=True, frozen=True):
    """Lends a node's share of a shard, or asks a coordinator for its time.

    :param size: number of nodes that share each quota, as the lender knows it.
    :param process: the coordinator's process that stated ``time``, 0 for none yet.
    :param time: time that the coordinator's last reply stated, in its seconds.
    """

    shard: int
    size: int
    process: int = 0
    time: float = 0.0


class QuotaLent(msgspec.Struct, array_like=True, frozen=True):
    """Reply to :class:`QuotaLend`, with the coordinator's time.

    :param process: distinguishes the starts of the coordinator's process, whose clocks
        may differ.
    """

    shard: int
    process: int
    time: float


class QuotaAsk(msgspec.Struct, array_like=True, frozen=True):
    """Asks for a token for one request.

    :param number: identifies the request at its node; the same in a repeated message.
    """

    number: int
    tenant: str


class QuotaAnswer(msgspec.Struct, array_like=True, frozen=True):
    """Reply to :class:`QuotaAsk`.

    :param is_granted: whether the request has a token.
    :param retry: seconds until there is one for this request, after those that were
        refused before it.
    :param rate: tokens a second of the coordinator's pool.
    """

    number: int
    is_granted: bool
    retry: float = 0.0
    rate: float = 0.0
