"""Summarizes what an entry has learnt, for entries that start later.

Load pattern: all hosts lose power, or an entry is killed, while demand is high. The
entry that starts then knows neither how customers' declared times relate to run times
nor which workers are fast, and for a second or two it sends tasks to slow workers as
to fast ones.

A summary is small, says nothing about tasks in progress, and is only a prior: it counts
for a few runs, so a wrong one yields to what is seen. Logarithms are in thousandths.
They are relative to declared run times, so that summaries of several entries agree.
An age is the number of times that an item was carried over into a newer summary without
being seen again; no clock is needed, and what is gone is forgotten.
"""

from collections.abc import Callable, Iterable
from typing import Annotated, TypeVar

import msgspec

from gooseberrylink.exceptions import UnreadableEstimatesError

# Raised with each incompatible change.
FORMAT = 1
MAX_BYTES = 32_000
# Largest logarithm (base 2) of a declared time, either way.
MAX_SIZE = 99
_MAX_WORKERS = 500
_MAX_FITS = 200
_MAX_CLASSES = 600
_MAX_AGE = 30

MilliLog = Annotated[int, msgspec.Meta(ge=-20_000, le=20_000)]
_Age = Annotated[int, msgspec.Meta(ge=0, le=_MAX_AGE)]


class WorkerSummary(msgspec.Struct, array_like=True, frozen=True):
    """How slow a worker is.

    Attributes:
        log_slowdown: Run time over declared run time.
        born_ms: When its backend server started; see WorkerIdentity.
    """

    worker: str
    hardware: str
    born_ms: int
    log_slowdown: MilliLog
    age: _Age = 0

    @property
    def key(self) -> str:
        """What the summary is about."""
        return self.worker


class FitSummary(msgspec.Struct, array_like=True, frozen=True):
    """How a customer's declared times (x) relate to run times (y)."""

    customer: str
    service: str
    mean_x: MilliLog
    mean_y: MilliLog
    variance_x: Annotated[int, msgspec.Meta(ge=0, le=100_000)]
    covariance: Annotated[int, msgspec.Meta(ge=-100_000, le=100_000)]
    age: _Age = 0

    @property
    def key(self) -> tuple[str, str]:
        """What the summary is about."""
        return self.customer, self.service


class ClassSummary(msgspec.Struct, array_like=True, frozen=True):
    """Run times of a class of tasks; see RunTimeModel.

    Attributes:
        size: Logarithm (base 2) of the declared times.
        mean_log: Mean of the logarithm of run times.
        log_mean: Logarithm of the mean run time.
        long_permille: Thousandths of the tasks that counted as long.
    """

    customer: str
    service: str
    size: Annotated[int, msgspec.Meta(ge=-MAX_SIZE, le=MAX_SIZE)]
    mean_log: MilliLog
    log_mean: MilliLog
    long_permille: Annotated[int, msgspec.Meta(ge=0, le=1000)]
    age: _Age = 0

    @property
    def key(self) -> tuple[str, str, int]:
        """What the summary is about."""
        return self.customer, self.service, self.size


_Item = TypeVar("_Item", WorkerSummary, FitSummary, ClassSummary)


class LearnedEstimates(msgspec.Struct, array_like=True):
    """A summary of one entry's estimates, or of several entries'.

    Attributes:
        format: Number of the format.
        types: Logarithm of the slowdown by hardware type.
    """

    format: int = FORMAT
    types: dict[str, MilliLog] = {}
    workers: list[WorkerSummary] = []
    fits: list[FitSummary] = []
    classes: list[ClassSummary] = []

    @property
    def is_empty(self) -> bool:
        """Whether nothing was learnt."""
        return not (self.workers or self.fits)

    def carry_over(self, earlier: "LearnedEstimates") -> "LearnedEstimates":
        """Returns these estimates with what only the earlier ones know, aged by 1."""
        return _union([self, _aged(earlier)])


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(LearnedEstimates)
_format_decoder = msgspec.msgpack.Decoder(list[msgspec.Raw])


def merge(summaries: list[LearnedEstimates]) -> LearnedEstimates:
    """Returns the union of summaries; of several values the one seen last.

    Of values of the same age, the one in the first summary counts.
    """
    return _union(summaries)


def encode(estimates: LearnedEstimates) -> bytes:
    """Encodes a summary as MessagePack, without its oldest items if it is too large."""
    while len(data := _encoder.encode(estimates)) > MAX_BYTES:
        estimates = LearnedEstimates(
            types=estimates.types if estimates.workers else {},
            workers=estimates.workers[: len(estimates.workers) // 2],
            fits=estimates.fits[: len(estimates.fits) // 2],
            classes=estimates.classes[: len(estimates.classes) // 2],
        )
    return data


def decode(data: bytes) -> LearnedEstimates:
    """Decodes and checks a summary.

    Raises:
        UnreadableEstimatesError: It is too large, malformed or of another format.
    """
    if len(data) > MAX_BYTES:
        raise UnreadableEstimatesError("too_large", f"{len(data)} bytes")
    try:
        fields = _format_decoder.decode(data)
        number = msgspec.msgpack.decode(fields[0], type=int) if fields else 0
        if number != FORMAT:
            raise UnreadableEstimatesError(
                "other_format", f"format {number}, expected {FORMAT}"
            )
        return _decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise UnreadableEstimatesError("malformed", str(error)) from None


def _aged(earlier: LearnedEstimates) -> LearnedEstimates:
    return LearnedEstimates(
        types=earlier.types,
        workers=_age_items(earlier.workers),
        fits=_age_items(earlier.fits),
        classes=_age_items(earlier.classes),
    )


def _age_items(items: Iterable[_Item]) -> list[_Item]:
    return [
        msgspec.structs.replace(item, age=item.age + 1)
        for item in items
        if item.age < _MAX_AGE
    ]


def _union(summaries: list[LearnedEstimates]) -> LearnedEstimates:
    workers = _newest(summaries, lambda summary: summary.workers, _MAX_WORKERS)
    types: dict[str, int] = {}
    for hardware in {worker.hardware for worker in workers}:
        values = [s.types[hardware] for s in summaries if hardware in s.types]
        if values:
            types[hardware] = values[0]
    return LearnedEstimates(
        types=types,
        workers=workers,
        fits=_newest(summaries, lambda summary: summary.fits, _MAX_FITS),
        classes=_newest(summaries, lambda summary: summary.classes, _MAX_CLASSES),
    )


def _newest(
    summaries: list[LearnedEstimates],
    items_of: Callable[[LearnedEstimates], list[_Item]],
    max_count: int,
) -> list[_Item]:
    newest: dict[object, _Item] = {}
    for summary in summaries:
        for item in items_of(summary):
            known = newest.get(item.key)
            if known is None or item.age < known.age:
                newest[item.key] = item
    return sorted(newest.values(), key=lambda item: item.age)[:max_count]
