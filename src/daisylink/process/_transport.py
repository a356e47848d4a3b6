"""Transports control messages: small ones as datagrams, others as gRPC calls."""

import asyncio
import os
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from daisylink.errors import NodeError, ResultCode, SettingError
from daisylink.process._messages import (
    Message,
    PullReply,
    PullRequest,
    ReplicaReply,
    ReplicaRequest,
    SurveyReply,
    SurveyRequest,
    decode_message,
    encode_message,
)
from daisylink.serving._burn import BurnReply
from daisylink.settings import Address

# gRPC reads this on import; without it, gRPC writes its own lines into the log.
os.environ.setdefault("GRPC_VERBOSITY", "NONE")
import grpc  # noqa: E402

SERVICE = "daisylink.Control"
PULL = f"/{SERVICE}/Pull"
SURVEY = f"/{SERVICE}/Survey"
KEEP = f"/{SERVICE}/Keep"
BURN = f"/{SERVICE}/Burn"
MAX_MESSAGE_BYTES = 32 * 1024 * 1024
MAX_CHANNELS = 16
CALL_TIMEOUT_SECONDS = 5.0
OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.so_reuseport", 0),
    ("grpc.enable_http_proxy", 0),
    ("grpc.enable_retries", 0),
)

TrafficCallback = Callable[[str, str, int], None]


class DatagramEndpoint(asyncio.DatagramProtocol):
    """Sends and receives small messages.

    :param on_message: called with each received message.
    :param on_traffic: called with direction, transport and size in bytes.
    """

    def __init__(
        self, on_message: Callable[[Message], None], on_traffic: TrafficCallback
    ):
        self.on_message = on_message
        self.on_traffic = on_traffic
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Store the transport of the open socket."""
        self.transport = transport

    def datagram_received(self, data: bytes, _address: Any) -> None:
        """Decode a datagram; an invalid one is dropped."""
        self.on_traffic("in", "datagram", len(data))
        try:
            message = decode_message(data)
        except NodeError:
            return
        self.on_message(message)

    def error_received(self, _error: OSError) -> None:
        """Ignore an unreachable port: pings detect dead nodes."""

    def send(self, address: str, message: Message) -> None:
        """Send a message to ``ip:port``."""
        data = encode_message(message)
        self.on_traffic("out", "datagram", len(data))
        host, _, port = address.rpartition(":")
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data, (host, int(port)))


class ControlClient:
    """Calls other nodes over gRPC, on a bounded number of open channels.

    :param on_traffic: called with direction, transport and size in bytes.
    """

    def __init__(self, on_traffic: TrafficCallback):
        self.on_traffic = on_traffic
        self.channels: OrderedDict[str, grpc.aio.Channel] = OrderedDict()

    async def pull(self, address: str, request: PullRequest) -> PullReply:
        """Pull missing data from a node.

        :raises NodeError: ``NODE_UNREACHABLE`` if it does not answer.
        """
        return await self._call(address, PULL, request, PullReply)

    async def survey(self, address: str, request: SurveyRequest) -> SurveyReply:
        """Ask a node for the versions in force in a segment of its zone's ring.

        :raises NodeError: ``NODE_UNREACHABLE`` if it does not answer.
        """
        return await self._call(address, SURVEY, request, SurveyReply)

    async def burn(self, address: str, request: SurveyRequest) -> BurnReply:
        """Ask a node for the request counts of a segment of its zone's ring.

        :raises NodeError: ``NODE_UNREACHABLE`` if it does not answer.
        """
        return await self._call(address, BURN, request, BurnReply)

    async def call_replica(self, address: str, request: ReplicaRequest) -> ReplicaReply:
        """Ask a replica to seal a shard or to store records.

        :raises NodeError: ``NODE_UNREACHABLE`` if it does not answer.
        """
        return await self._call(address, KEEP, request, ReplicaReply)

    async def close(self) -> None:
        """Close all channels."""
        for channel in self.channels.values():
            await channel.close()
        self.channels.clear()

    async def _call(
        self, address: str, method: str, request: msgspec.Struct, reply_type: type
    ) -> Any:
        data = msgspec.msgpack.encode(request)
        self.on_traffic("out", "grpc", len(data))
        try:
            call = (await self._channel(address)).unary_unary(method)
            reply_data = await call(data, timeout=CALL_TIMEOUT_SECONDS)
            self.on_traffic("in", "grpc", len(reply_data))
            return msgspec.msgpack.decode(reply_data, type=reply_type)
        except (grpc.aio.AioRpcError, msgspec.MsgspecError) as error:
            raise NodeError(f"{address} does not answer", None) from error

    async def _channel(self, address: str) -> grpc.aio.Channel:
        channel = self.channels.pop(address, None)
        if channel is None:
            channel = grpc.aio.insecure_channel(address, OPTIONS)
        self.channels[address] = channel
        if len(self.channels) > MAX_CHANNELS:
            _, oldest = self.channels.popitem(last=False)
            await oldest.close(CALL_TIMEOUT_SECONDS)
        return channel


class ControlServer:
    """Answers the gRPC calls of other nodes.

    :param answer_pull: returns the reply to a pull.
    :param answer_survey: returns the reply to a survey.
    :param answer_burn: returns the request counts against the objectives.
    :param answer_replica_request: returns the reply to a seal or a copy of key records.
    :param on_traffic: called with direction, transport and size in bytes.
    """

    def __init__(
        self,
        answer_pull: Callable[[PullRequest], PullReply],
        answer_survey: Callable[[SurveyRequest], Awaitable[SurveyReply]],
        answer_burn: Callable[[SurveyRequest], Awaitable[BurnReply]],
        answer_replica_request: Callable[[ReplicaRequest], ReplicaReply],
        on_traffic: TrafficCallback,
    ):
        self.answer_pull = answer_pull
        self.answer_survey = answer_survey
        self.answer_burn = answer_burn
        self.answer_replica_request = answer_replica_request
        self.on_traffic = on_traffic
        self.server = grpc.aio.server(options=OPTIONS)
        handlers = {
            "Pull": self._pull,
            "Survey": self._survey,
            "Keep": self._keep,
            "Burn": self._burn,
        }
        self.server.add_generic_rpc_handlers(
            (
                grpc.method_handlers_generic_handler(
                    SERVICE,
                    {
                        name: grpc.unary_unary_rpc_method_handler(handler)
                        for name, handler in handlers.items()
                    },
                ),
            )
        )

    async def start(self, address: Address) -> int:
        """Start listening; return the bound port.

        :raises SettingError: ``SETTING_ADDRESS_IN_USE`` if it cannot be bound.
        """
        try:
            port = self.server.add_insecure_port(str(address))
        except RuntimeError as error:
            raise SettingError(
                f"control: cannot listen on {address}",
                ResultCode.SETTING_ADDRESS_IN_USE,
            ) from error
        await self.server.start()
        return port

    async def stop(self) -> None:
        """Close the listener."""
        await self.server.stop(None)

    async def _pull(self, data: bytes, context: grpc.aio.ServicerContext) -> bytes:
        request = await self._decode(data, PullRequest, context)
        return self._encode(self.answer_pull(request))

    async def _survey(self, data: bytes, context: grpc.aio.ServicerContext) -> bytes:
        request = await self._decode(data, SurveyRequest, context)
        return self._encode(await self.answer_survey(request))

    async def _burn(self, data: bytes, context: grpc.aio.ServicerContext) -> bytes:
        request = await self._decode(data, SurveyRequest, context)
        return self._encode(await self.answer_burn(request))

    async def _keep(self, data: bytes, context: grpc.aio.ServicerContext) -> bytes:
        request = await self._decode(data, ReplicaRequest, context)
        return self._encode(self.answer_replica_request(request))

    async def _decode(
        self, data: bytes, kind: type, context: grpc.aio.ServicerContext
    ) -> Any:
        self.on_traffic("in", "grpc", len(data))
        try:
            return msgspec.msgpack.decode(data, type=kind)
        except msgspec.MsgspecError as error:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))

    def _encode(self, reply: msgspec.Struct) -> bytes:
        data = msgspec.msgpack.encode(reply)
        self.on_traffic("out", "grpc", len(data))
        return data
