"""Metrics in the Prometheus text format."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence

from _masticspoke.metrics.families import Metric
from _masticspoke.metrics.families import Sample
from _masticspoke.metrics.families import Summary

EXPOSITION_TYPE = "text/plain; version=0.0.4; charset=utf-8"
_ESCAPES = str.maketrans({"\\": "\\\\", '"': '\\"', "\n": "\\n"})


def encode_metrics(values: Iterable[Sample | Summary]) -> bytes:
    """Return the exposition: each metric's help, type and values."""
    families: dict[Metric, list[Sample | Summary]] = {metric: [] for metric in Metric}
    for value in values:
        families[value.metric].append(value)
    lines = [
        line for metric in Metric for line in _family_lines(metric, families[metric])
    ]
    return ("\n".join(lines) + "\n").encode()


def _family_lines(metric: Metric, values: Sequence[Sample | Summary]) -> Iterator[str]:
    spec = metric.value
    yield f"# HELP {spec.name} {spec.help}"
    yield f"# TYPE {spec.name} {spec.type.value}"
    for value in values:
        labels = tuple(zip(spec.labels, value.labels, strict=True))
        if isinstance(value, Sample):
            yield _sample_line(spec.name, labels, value.value)
            continue
        yield from _summary_lines(spec.name, labels, value)


def _summary_lines(
    name: str, labels: tuple[tuple[str, str], ...], summary: Summary
) -> Iterator[str]:
    for quantile, value in summary.quantiles:
        yield _sample_line(name, (*labels, ("quantile", f"{quantile:g}")), value)
    yield _sample_line(f"{name}_sum", labels, summary.sum)
    yield _sample_line(f"{name}_count", labels, summary.count)


def _sample_line(name: str, labels: tuple[tuple[str, str], ...], value: float) -> str:
    pairs = ",".join(f'{key}="{text.translate(_ESCAPES)}"' for key, text in labels)
    return f"{name}{{{pairs}}} {value:.10g}" if pairs else f"{name} {value:.10g}"
