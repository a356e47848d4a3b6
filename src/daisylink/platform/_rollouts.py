"""Orders of rollouts and their statuses."""

import msgspec

from daisylink.errors import NodeError
from daisylink.platform._units import parse_duration
from daisylink.registry import Item
from daisylink.rollout import RolloutOrder

ORDER_PREFIX = "op/rollout/"
STATUS_PREFIX = "status/rollout/"


class _Order(msgspec.Struct):
    """An operator's order.

    :param duration: time limit of the rollout, such as ``12s``.
    """

    service: str
    target_version: str
    duration: str


class _Status(msgspec.Struct):
    """What the operator is told of a rollout.

    :param state: ``running``, ``completed`` or ``rolled_back``.
    """

    state: str
    target_version: str


def decode_order(item: Item) -> RolloutOrder:
    """Decode an operator's order.

    :raises NodeError: if it cannot be decoded, or names another service than its key.
    """
    try:
        order = msgspec.json.decode(item.value, type=_Order)
        duration = parse_duration(order.duration).total_seconds()
    except (msgspec.MsgspecError, ValueError, OverflowError) as error:
        raise NodeError(str(error)) from error
    service = item.key.removeprefix(ORDER_PREFIX)
    if order.service != service or not order.target_version or not duration > 0:
        raise NodeError("service, version or duration are not valid")
    return RolloutOrder(service, order.target_version, duration, item.revision.number)


def status_key(service: str) -> str:
    """Return the key of a service's status."""
    return STATUS_PREFIX + service


def encode_status(state: str, target_version: str) -> bytes:
    """Return a status in the platform's format."""
    return msgspec.json.encode(_Status(state, target_version))
