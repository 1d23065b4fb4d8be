"""Run times learned from finished runs; declared ones are inaccurate.

Designed for some thousand classes and 20,000 workers. State per class: about
1 KB in memory and 70 bytes in the store. An expected time that is kept from
an earlier call takes two dictionary look-ups.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from marigoldgap import json_object
from marigoldgap.cell import duration_model
from marigoldgap.cell import records
from marigoldgap.cell import worker_speeds

if TYPE_CHECKING:
    from marigoldgap.cell import model
    from marigoldgap.cell import runs
    from marigoldgap.cell import step_progress

# Upper bound on the classes that are kept; the one whose latest run was
# recorded first is dropped. Callers choose the numbers of steps.
_MAX_CLASSES = 4_096
# Number of the step in the class of a whole queue.
_WHOLE_QUEUE = -1
# Runs in a class from which its expected times are compared with measured ones.
_MIN_COMPARED_RUNS = 3
# The factor outside the rack of the data: weight, in runs, of the assumption
# that it is 1, forgetting by run, and upper bound of its logarithm.
_FAR_PRIOR_WEIGHT = 1.0
_FAR_FORGETTING = 0.95
_MAX_FAR_LOG = math.log(20)
# Upper bound on the encoded state: it is one row among those of a transaction.
_MAX_BYTES = 32_768

# Queue, number of the step, and whether a run time was declared.
_ClassKey = tuple[str, int, bool]


class FinishedRun(NamedTuple):
    """A completed run whose time was measured from its beginning.

    Attributes:
        worker_id: Worker on which it ran.
        born_ms: Wall time at which the process of the worker started.
        elapsed_s: Measured time in seconds.
        is_far: Whether it ran outside the rack of its data.
    """

    worker_id: str
    born_ms: int
    elapsed_s: float
    is_far: bool


class Expectation(NamedTuple):
    """Expected time of a step with its source, for the log.

    Attributes:
        seconds: Expected time.
        source: Class or queue from which it was learned, or `declared`.
    """

    seconds: float
    source: str


class _FarFactor:
    """Log factor on the times of a queue outside the rack of the data."""

    __slots__ = ("mean", "weight")

    def __init__(self, mean: float = 0.0, weight: float = 0.0) -> None:
        self.mean = mean
        self.weight = weight

    def record(self, residual: float) -> None:
        residual = min(_MAX_FAR_LOG, max(0.0, residual))
        self.weight = _FAR_FORGETTING * self.weight + 1
        self.mean += (residual - self.mean) / self.weight

    @property
    def log(self) -> float:
        return self.mean * self.weight / (self.weight + _FAR_PRIOR_WEIGHT)


class RunTimes:
    """Learned run times of all classes, and speeds of workers."""

    def __init__(self) -> None:
        self.speeds = worker_speeds.WorkerSpeeds()
        # Number of the latest change of an expected time, also by queue.
        self._change_count = 0
        self._versions: dict[str, int] = {}
        # Whether runs were recorded since the latest call of `encode`.
        self.has_unstored = False
        # Ordered by the latest recorded run.
        self._models: dict[_ClassKey, duration_model.DurationModel] = {}
        self._far: dict[str, _FarFactor] = {}

    def __len__(self) -> int:
        return len(self._models)

    def version(self, queue: str) -> int:
        """Returns a number that changes with the expected times of a queue."""
        return self._versions.get(queue, 0)

    def expected_s(self, step: step_progress.StepProgress) -> float:
        """Returns the expected run time of a task, in seconds."""
        spec = step.spec
        fit = self._fit(step.job.queue.name, step.number, spec)
        if fit is None:
            return spec.estimate_ms / 1000
        # Kept at the step until the fit of its class changes.
        if step.expected_fit is not fit:
            step.expected_fit = fit
            step.expected_time_s = _expected_s(fit, spec)
        return step.expected_time_s

    def quantile_s(
        self, step: step_progress.StepProgress, share: float
    ) -> float:
        """Returns the time within which a task ends with a probability.

        Args:
            step: Step of the task.
            share: The probability, above 0 and below 1.

        Returns:
            The time in seconds.
        """
        fit = self._fit(step.job.queue.name, step.number, step.spec)
        deviation = (fit or duration_model.DECLARED).deviation
        factor = math.exp(duration_model.deviations(share) * deviation)
        return self.expected_s(step) * factor

    def expected_on_s(self, run: runs.Run, now: float) -> float:
        """Returns the expected time of a run on its worker, in seconds.

        Args:
            run: The run.
            now: Current monotonic time in seconds.
        """
        expected_s = self.expected_s(run.step)
        worker = run.worker
        factor = self.speeds.slow_down(worker.worker_id, worker.born_ms, now)
        if run.is_far:
            factor *= self.far_factor(run.step.job.queue.name)
        return expected_s * factor

    def far_factor(self, queue: str) -> float:
        """Returns the factor on times outside the rack of the data."""
        far = self._far.get(queue)
        return 1.0 if far is None else math.exp(far.log)

    def chains_s(
        self, job_spec: model.JobSpec, queue: model.Queue
    ) -> list[float]:
        """Returns the longest expected chain from each step, in seconds.

        The steps are visited in reverse order, since prerequisites have lower
        numbers than the steps that depend on them.
        """
        steps = job_spec.steps
        own_s = [
            self._expected_spec_s(queue.name, number, spec)
            for number, spec in enumerate(steps)
        ]
        chains_s = list(own_s)
        for number in reversed(range(len(steps))):
            for before in steps[number].after:
                chains_s[before] = max(
                    chains_s[before], own_s[before] + chains_s[number]
                )
        return chains_s

    def chain_s(self, job_spec: model.JobSpec, queue: model.Queue) -> float:
        """Returns the expected time of the longest chain, in seconds."""
        return max(self.chains_s(job_spec, queue), default=0.0)

    def explain(self, step: step_progress.StepProgress) -> Expectation:
        """Returns the expected time of a task with its source."""
        queue = step.job.queue.name
        seconds = round(self.expected_s(step), 3)
        is_declared = step.spec.estimate_ms > 0
        for number, name in (
            (step.number, f"step {step.number} of queue {queue}"),
            (_WHOLE_QUEUE, f"queue {queue}"),
        ):
            learned = self._models.get((queue, number, is_declared))
            if learned is not None and not step.spec.is_long_running:
                return Expectation(
                    seconds, f"{learned.run_count} runs of {name}"
                )
        return Expectation(seconds, "declared")

    def record(
        self,
        step: step_progress.StepProgress,
        finished: FinishedRun,
        now: float,
    ) -> None:
        """Records a completed run.

        Its nominal time is what it would have taken on a usual worker in the
        rack of its data.

        Args:
            step: Step of its task.
            finished: The run.
            now: Current monotonic time in seconds.
        """
        queue = step.job.queue.name
        is_declared = step.spec.estimate_ms > 0
        declared_log = _declared_log(step.spec)
        measured_log = duration_model.log_s(finished.elapsed_s)
        key = (queue, step.number, is_declared)
        learned = self._models.get(key)
        is_known = learned is not None and (
            learned.weight >= _MIN_COMPARED_RUNS
        )
        worker = finished.worker_id, finished.born_ms
        speed_log = math.log(self.speeds.slow_down(*worker, now))
        if is_known and finished.is_far:
            # Its class is known: the run shows only what the distance costs.
            assert learned is not None
            residual = measured_log - learned.fit.expected_log(declared_log)
            self._far_for(queue).record(residual - speed_log)
            self.has_unstored = True
            return
        if finished.is_far:
            measured_log -= math.log(self.far_factor(queue))
        if is_known:
            assert learned is not None
            residual = measured_log - learned.fit.expected_log(declared_log)
            self.speeds.record(*worker, residual, learned.fit.deviation, now)
        self._learn(key, declared_log, measured_log - speed_log)

    def _learn(
        self, key: _ClassKey, declared_log: float, nominal_log: float
    ) -> None:
        queue, _, is_declared = key
        queue_key = (queue, _WHOLE_QUEUE, is_declared)
        general = self._models.get(queue_key)
        if general is None:
            prior = duration_model.DECLARED
            if not is_declared:
                # Nothing is known but the run itself.
                prior = prior._replace(center=0.0, level=nominal_log, slope=0.0)
        else:
            prior = general.fit
        for each, each_prior in (
            (key, prior),
            (
                queue_key,
                duration_model.DECLARED if is_declared else prior,
            ),
        ):
            found = self._models.pop(each, None)
            if found is None:
                found = duration_model.DurationModel(each_prior)
                if len(self._models) >= _MAX_CLASSES:
                    self._models.pop(next(iter(self._models)))
            self._models[each] = found
            former = found.fit
            found.record(declared_log, nominal_log, each_prior)
            if found.fit is not former:
                self._count_change(queue)
        self.has_unstored = True

    def _count_change(self, queue: str) -> None:
        if len(self._versions) >= _MAX_CLASSES:
            self._versions.clear()
        self._change_count += 1
        self._versions[queue] = self._change_count

    def _far_for(self, queue: str) -> _FarFactor:
        far = self._far.get(queue)
        if far is None:
            far = self._far[queue] = _FarFactor()
            if len(self._far) > _MAX_CLASSES:
                del self._far[next(iter(self._far))]
        return far

    def _fit(
        self, queue: str, number: int, spec: model.StepSpec
    ) -> duration_model.Fit | None:
        """Returns the fit of a class, or of its queue; None without runs."""
        if spec.is_long_running:
            return None
        is_declared = spec.estimate_ms > 0
        found = self._models.get(
            (queue, number, is_declared)
        ) or self._models.get((queue, _WHOLE_QUEUE, is_declared))
        return None if found is None else found.fit

    def _expected_spec_s(
        self, queue: str, number: int, spec: model.StepSpec
    ) -> float:
        fit = self._fit(queue, number, spec)
        if fit is None:
            return spec.estimate_ms / 1000
        return _expected_s(fit, spec)

    def encode(self) -> bytes:
        """Returns the stored form, with the classes with the most runs."""
        self.has_unstored = False
        far = [
            [queue, round(each.mean, 4), round(each.weight, 3)]
            for queue, each in self._far.items()
        ]
        # A quarter of the row is kept for the factors outside of racks.
        far_bytes = 0
        kept_far = []
        for each_far in far:
            far_bytes += len(json_object.encode(each_far)) + 1
            if far_bytes > _MAX_BYTES // 4:
                break
            kept_far.append(each_far)
        size = len(json_object.encode({"classes": [], "far": kept_far}))
        classes = []
        for key in self._stored_order():
            encoded = [*key, self._models[key].encode()]
            size += len(json_object.encode(encoded)) + 1
            if size > _MAX_BYTES:
                break
            classes.append(encoded)
        return json_object.encode({"classes": classes, "far": kept_far})

    def _stored_order(self) -> list[_ClassKey]:
        """Returns the classes by their numbers of runs, most runs first.

        A queue comes just before the first of its classes.
        """
        keys: dict[_ClassKey, None] = {}
        for key in sorted(
            self._models,
            key=lambda key: self._models[key].run_count,
            reverse=True,
        ):
            queue, number, is_declared = key
            queue_key = (queue, _WHOLE_QUEUE, is_declared)
            if number != _WHOLE_QUEUE:
                if queue_key in self._models:
                    keys[queue_key] = None
                keys[key] = None
        return list(keys)

    def restore(self, content: bytes | None) -> None:
        """Restores the learned times from their stored form.

        Raises:
            RecordError: The content is invalid; nothing was restored.
        """
        fields = records.decode(content)
        try:
            models = _decode_models(fields["classes"])
            far = {
                _name(queue): _FarFactor(
                    _bounded(mean, _MAX_FAR_LOG), _bounded(weight, 1e3)
                )
                for queue, mean, weight in fields["far"]
            }
        except (KeyError, TypeError, ValueError, ArithmeticError) as error:
            raise records.RecordError(
                f"invalid learned run times: {error!r}"
            ) from error
        self._models = models
        self._far = far
        for queue, _, _ in models:
            self._count_change(queue)


def _decode_models(
    rows: list[list[Any]],
) -> dict[_ClassKey, duration_model.DurationModel]:
    models: dict[_ClassKey, duration_model.DurationModel] = {}
    # The row of a queue comes before those of its classes.
    for queue, number, is_declared, values in rows:
        if type(number) is not int or type(is_declared) is not bool:
            raise ValueError(f"invalid class {queue!r}, {number!r}")
        general = models.get((_name(queue), _WHOLE_QUEUE, is_declared))
        prior = duration_model.DECLARED if general is None else general.fit
        models[(_name(queue), number, is_declared)] = (
            duration_model.DurationModel.decode(values, prior)
        )
    if len(models) > _MAX_CLASSES:
        raise ValueError("too many classes")
    # The classes with the fewest runs are dropped first.
    return dict(reversed(models.items()))


def _name(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"not a name: {value!r}")
    return value


def _bounded(value: Any, maximum: float) -> float:
    if type(value) not in (int, float) or not 0 <= value <= maximum:
        raise ValueError(f"not between 0 and {maximum}: {value!r}")
    return float(value)


def _declared_log(spec: model.StepSpec) -> float:
    if spec.estimate_ms <= 0:
        return 0.0
    return duration_model.log_s(spec.estimate_ms / 1000)


def _expected_s(fit: duration_model.Fit, spec: model.StepSpec) -> float:
    return fit.expected_s(_declared_log(spec))
