"""Metrics of a node: OpenTelemetry instruments, exported as Prometheus text."""

from collections import Counter
from collections.abc import Callable, Iterable

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import HistogramDataPoint, InMemoryMetricReader
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from opentelemetry.sdk.resources import Resource
from prometheus_client import generate_latest
from prometheus_client.registry import CollectorRegistry

from daisylink.serving._tenant_labels import TenantLabels, classify_outcome

DURATION_NAME = "daisylink.request.duration"
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
    :param reads_latency: whether :meth:`read_latency` is used; costs a second record of
        each request.
    """

    def __init__(self, node: str, zone: str, reads_latency: bool = True):
        self.registry = CollectorRegistry()
        reader = PrometheusMetricReader(registry=self.registry)
        bounds = ExplicitBucketHistogramAggregation(LATENCY_BOUNDS_SECONDS)
        view = View(instrument_name=DURATION_NAME, aggregation=bounds)
        resource = Resource({"service.instance.id": node, "cloud.zone": zone})
        self.memory_reader = InMemoryMetricReader() if reads_latency else None
        readers = [reader, self.memory_reader] if reads_latency else [reader]
        self.provider = MeterProvider(readers, resource, views=[view])
        meter = self.provider.get_meter("daisylink")
        self.meter = meter
        self.duration = meter.create_histogram(
            DURATION_NAME, "s", "Time from a request's head to its end."
        )
        self.retries = meter.create_counter(
            "daisylink.request.retries", "1", "Attempts after the first."
        )
        self.tenant_labels = TenantLabels()
        # Counted here and read at collection, as a record of an instrument for each
        # request takes too much processor time.
        self.tenant_counts: Counter[tuple[str, str]] = Counter()
        meter.create_observable_counter(
            "daisylink.tenant.requests",
            [self._observe_tenants],
            "1",
            "Requests by tenant and outcome.",
        )
        self.control_bytes = meter.create_counter(
            "daisylink.control.bytes", "By", "Control bytes by direction and transport."
        )
        self.control_messages = meter.create_counter(
            "daisylink.control.messages", "1", "Control messages by direction."
        )
        self.announcements = meter.create_counter(
            "daisylink.announcements", "1", "Announcements of the backend server."
        )
        self.server_notices = meter.create_counter(
            "daisylink.server.notices",
            "1",
            "What the backend server said of itself in responses, when it changed.",
        )

    def add_gauge(self, name: str, read: Callable[[], float], description: str) -> None:
        """Register a gauge whose value is read at collection.

        :param read: returns the current value.
        """

        def callback(_options: CallbackOptions) -> Iterable[Observation]:
            return [Observation(read())]

        self.meter.create_observable_gauge(name, [callback], "1", description)

    def record_request(
        self, service: str, code: str, seconds: float, attempts: int
    ) -> None:
        """Record the duration and the retries of a request that ended.

        :param code: ``ok``, ``error`` for a server's own 5xx response, ``cancelled``,
            ``cut`` or a result code.
        :param seconds: time from the request's head to its end.
        :param attempts: number of attempts, 0 if there was none.
        """
        labels = {"service": service, "code": code}
        self.duration.record(seconds, labels)
        if attempts > 1:
            self.retries.add(attempts - 1, {"service": service})

    def record_tenant(self, tenant: str, code: str) -> None:
        """Count a request that ended, by its tenant.

        :param tenant: name of the tenant, "" for none.
        :param code: as for :meth:`record_request`.
        """
        label = self.tenant_labels.find(tenant)
        self.tenant_counts[label, classify_outcome(code)] += 1

    def _observe_tenants(self, _options: CallbackOptions) -> Iterable[Observation]:
        return [
            Observation(count, {"tenant": tenant, "outcome": outcome})
            for (tenant, outcome), count in self.tenant_counts.items()
        ]

    def record_announcement(self, result: str) -> None:
        """Count an announcement of the local backend server.

        :param result: ``applied``, or why it was ignored.
        """
        self.announcements.add(1, {"result": result})

    def record_server_notice(self, kind: str) -> None:
        """Count a changed notice of the local backend server.

        :param kind: ``limit``, ``leaving`` or ``malformed``.
        """
        self.server_notices.add(1, {"kind": kind})

    def read_latency(self) -> dict[str, dict[float, int]]:
        """Return latency histograms by service: counts by upper bound in seconds."""
        found: dict[str, dict[float, int]] = {}
        if self.memory_reader is None:
            return found
        data = self.memory_reader.get_metrics_data()
        if data is None:
            return found
        for resource in data.resource_metrics:
            for scope in resource.scope_metrics:
                for metric in scope.metrics:
                    if metric.name == DURATION_NAME:
                        _add_points(found, metric.data.data_points)
        return found

    def format_text(self) -> bytes:
        """Return all metrics as Prometheus text."""
        return generate_latest(self.registry)

    def shutdown(self) -> None:
        """Shut down the meter provider."""
        self.provider.shutdown()


def _add_points(
    found: dict[str, dict[float, int]], points: Iterable[HistogramDataPoint]
) -> None:
    """Add the data points of a histogram to counts by service and upper bound."""
    for point in points:
        counts = found.setdefault(str(point.attributes["service"]), {})
        bounds = (*point.explicit_bounds, float("inf"))
        for bound, count in zip(bounds, point.bucket_counts, strict=True):
            if count:
                counts[bound] = counts.get(bound, 0) + count
