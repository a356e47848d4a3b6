"""Metrics of a node, by OpenTelemetry, shown as Prometheus text."""

from collections.abc import Callable, Iterable

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from opentelemetry.sdk.resources import Resource
from prometheus_client import generate_latest
from prometheus_client.registry import CollectorRegistry

LATENCY_BOUNDS_SECONDS = (
    0.0005,
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
    30.0,
)


class Metrics:
    """Instruments of one node.

    :param node: name of the node.
    :param zone: availability zone of the node.
    """

    def __init__(self, node: str, zone: str):
        self.registry = CollectorRegistry()
        reader = PrometheusMetricReader(registry=self.registry)
        bounds = ExplicitBucketHistogramAggregation(LATENCY_BOUNDS_SECONDS)
        view = View(instrument_name="daisylink.request.duration", aggregation=bounds)
        resource = Resource({"service.instance.id": node, "cloud.zone": zone})
        self.provider = MeterProvider([reader], resource, views=[view])
        meter = self.provider.get_meter("daisylink")
        self.meter = meter
        self.duration = meter.create_histogram(
            "daisylink.request.duration", "s", "Time from a request's head to its end."
        )
        self.retries = meter.create_counter(
            "daisylink.request.retries", "1", "Attempts after the first."
        )
        self.control_bytes = meter.create_counter(
            "daisylink.control.bytes", "By", "Control bytes by direction and transport."
        )
        self.control_messages = meter.create_counter(
            "daisylink.control.messages", "1", "Control messages by direction."
        )

    def observe(self, name: str, read: Callable[[], float], description: str) -> None:
        """Show a value that is read when metrics are asked for."""

        def callback(_options: CallbackOptions) -> Iterable[Observation]:
            return [Observation(read())]

        self.meter.create_observable_gauge(name, [callback], "1", description)

    def note_request(
        self, service: str, code: str, seconds: float, attempts: int
    ) -> None:
        """Count a request that ended.

        :param code: ``ok``, ``error`` for a server's own 5xx answer, or a result code.
        """
        labels = {"service": service, "code": code}
        self.duration.record(seconds, labels)
        if attempts > 1:
            self.retries.add(attempts - 1, {"service": service})

    def format_text(self) -> bytes:
        """Return all metrics as Prometheus text."""
        return generate_latest(self.registry)

    def shutdown(self) -> None:
        """Stop collecting."""
        self.provider.shutdown()
