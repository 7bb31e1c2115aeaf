from __future__ import annotations

import re

from _masticspoke.border.exposition import encode_metrics
from _masticspoke.metrics.families import Metric
from _masticspoke.metrics.families import MetricType
from _masticspoke.metrics.families import Sample
from _masticspoke.metrics.families import Summary

LINE = re.compile(
    r'[a-z_]+(\{[a-z_]+="(\\.|[^"\\\n])*"(,[a-z_]+="(\\.|[^"\\\n])*")*\})? [0-9.e+-]+'
)
VALUES = (
    Sample(Metric.REQUESTS, ("clients", "line", "answered"), 3),
    Sample(Metric.CATALOGUE_VERSION, (), 7),
    Summary(Metric.ADDED_LATENCY, ("peers",), ((0.5, 0.000125), (0.999, 1.5)), 2.5, 4),
    Summary(Metric.LATENCY, ("peers", "line"), (), 0.0, 0),
)


def test_each_line_is_a_comment_or_a_sample() -> None:
    lines = encode_metrics(VALUES).decode().splitlines()

    assert [x for x in lines if not x.startswith("# ") and not LINE.fullmatch(x)] == []
    assert 'masticspoke_requests_total{port="clients",class="line"' in "\n".join(lines)
    assert "masticspoke_catalogue_version 7" in lines
    assert (
        'masticspoke_added_latency_seconds{port="peers",quantile="0.999"} 1.5' in lines
    )
    assert 'masticspoke_added_latency_seconds_count{port="peers"} 4' in lines


def test_each_metric_has_one_help_and_type_line_before_its_samples() -> None:
    lines = encode_metrics(VALUES).decode().splitlines()

    for metric in Metric:
        spec = metric.value
        assert lines.count(f"# TYPE {spec.name} {spec.type.value}") == 1
        assert lines.count(f"# HELP {spec.name} {spec.help}") == 1
        first = next((i for i, x in enumerate(lines) if x.startswith(spec.name)), None)
        if first is not None:
            assert lines[first - 1].startswith(f"# TYPE {spec.name} ")


def test_label_values_are_escaped() -> None:
    sample = Sample(Metric.EVENTS, ('a"b\\c\nd',), 1)

    body = encode_metrics((sample,)).decode()

    assert 'masticspoke_events_total{event="a\\"b\\\\c\\nd"} 1' in body.splitlines()


def test_only_counter_names_end_in_total() -> None:
    for metric in Metric:
        is_counter = metric.value.type is MetricType.COUNTER
        assert metric.value.name.endswith("_total") is is_counter
