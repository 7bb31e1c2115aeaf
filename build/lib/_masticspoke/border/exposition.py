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


def encode_metrics(found: Iterable[Sample | Summary]) -> bytes:
    """Return the body of a metrics answer; each metric has its help and type."""
    families: dict[Metric, list[Sample | Summary]] = {metric: [] for metric in Metric}
    for value in found:
        families[value.metric].append(value)
    lines = [line for metric in Metric for line in _family(metric, families[metric])]
    return ("\n".join(lines) + "\n").encode()


def _family(metric: Metric, values: Sequence[Sample | Summary]) -> Iterator[str]:
    spec = metric.value
    yield f"# HELP {spec.name} {spec.help}"
    yield f"# TYPE {spec.name} {spec.type.value}"
    for value in values:
        labels = tuple(zip(spec.labels, value.labels, strict=True))
        if isinstance(value, Sample):
            yield _line(spec.name, labels, value.value)
            continue
        yield from _summary(spec.name, labels, value)


def _summary(
    name: str, labels: tuple[tuple[str, str], ...], summary: Summary
) -> Iterator[str]:
    for quantile, value in summary.quantiles:
        yield _line(name, (*labels, ("quantile", f"{quantile:g}")), value)
    yield _line(f"{name}_sum", labels, summary.sum)
    yield _line(f"{name}_count", labels, summary.count)


def _line(name: str, labels: tuple[tuple[str, str], ...], value: float) -> str:
    pairs = ",".join(f'{key}="{text.translate(_ESCAPES)}"' for key, text in labels)
    return f"{name}{{{pairs}}} {value:.10g}" if pairs else f"{name} {value:.10g}"
