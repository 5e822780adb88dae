"""Estimates the speed of a worker relative to the others.

The load that it answers: some workers take several times as long for the same
tasks, for a time or for good, while they still answer polls. A short task there
makes its whole job late.

The tasks of one step are alike, so the runs of a step on different workers
show the relative speed of these. Single runs can take several times as long on
a worker of full speed. Therefore a step counts with its fastest run on the
worker, and the estimate is a weighted median, in which the assumption of full
speed takes part: one slow run alone proves nothing. What was observed loses
weight with time, so that a worker that was avoided is tried again.
"""

from dataclasses import dataclass, field

from ragwortfield.types import JobId, MonotonicTime, Seconds

#: Job, occurrence and number of a step.
StepId = tuple[JobId, int, int]

#: Time in which an observation loses half of its weight, in seconds. A slow
#: worker is avoided for about twice this time after its last observation: long
#: beside a job (seconds), short beside the life of a worker (minutes).
_HALF_LIFE_S: Seconds = 30
#: Weight of the assumption that a worker has full speed, in runs.
_PRIOR_WEIGHT = 1.0
#: Most runs of one step that count: that both of two runs take several times as
#: long by chance is rare enough, and further ones share their neighbours.
_MAX_RUNS_PER_STEP = 2
#: Weight of a comparison with the predicted duration. Several steps together
#: must agree, because a prediction is wrong for all tasks of a step alike.
_PREDICTED_WEIGHT = 0.75
#: Most steps that an estimate is based on, the latest ones; more would hide for
#: seconds that a worker has become slow.
_MAX_STEPS = 4


@dataclass(kw_only=True, slots=True)
class _Observation:
    """
    Speed of a worker in one step.

    :param speed: speed of its fastest run there, as a share of full speed.
    :param seen_at: monotonic time of the latest observation.
    :param runs: runs that have been observed.
    """

    speed: float
    seen_at: MonotonicTime
    is_predicted: bool
    runs: set[tuple[int, int]] = field(default_factory=set)

    def weigh(self, now: MonotonicTime) -> float:
        """Return the weight that is left."""
        weight = (
            _PREDICTED_WEIGHT
            if self.is_predicted
            else float(min(len(self.runs), _MAX_RUNS_PER_STEP))
        )
        return weight * 0.5 ** ((now - self.seen_at) / _HALF_LIFE_S)


@dataclass(kw_only=True, slots=True)
class WorkerSpeed:
    """
    Observed speed of one worker; a later owner observes it again.

    :param is_slow: whether the worker counted as slow at the latest check.
    """

    is_slow: bool = False
    _observation_by_step: dict[StepId, _Observation] = field(
        default_factory=dict
    )

    def observe(
        self,
        step: StepId,
        run: tuple[int, int],
        speed: float,
        now: MonotonicTime,
        *,
        is_predicted: bool,
    ) -> None:
        """
        Take over the speed that a run shows.

        :param step: step of the run.
        :param run: index of the task and number of the run.
        :param speed: share of full speed; more than 1 counts as 1.
        :param now: monotonic time, in seconds.
        :param is_predicted: whether the run was compared with a prediction
            instead of the step's runs on other workers.
        """
        speed = min(speed, 1)
        before = self._observation_by_step.pop(step, None)
        if before is None or before.is_predicted and not is_predicted:
            before = _Observation(
                speed=speed, seen_at=now, is_predicted=is_predicted
            )
        elif is_predicted and not before.is_predicted:
            self._observation_by_step[step] = before
            return
        elif before.runs == {run}:
            # A run that is observed again has a better estimate.
            before.speed = speed
        else:
            before.speed = max(before.speed, speed)
        before.runs.add(run)
        before.seen_at = now
        self._observation_by_step[step] = before
        if len(self._observation_by_step) > _MAX_STEPS:
            self._observation_by_step.pop(next(iter(self._observation_by_step)))

    def has_evidence_below(self, speed: float) -> bool:
        """Tell whether a step was slower than a share of full speed there."""
        return any(
            observation.speed < speed
            for observation in self._observation_by_step.values()
        )

    def estimate(self, now: MonotonicTime) -> float:
        """
        Estimate the present speed.

        :param now: monotonic time, in seconds.
        :returns: share of full speed, above 0 and at most 1; 1 unless more
            than half of the evidence is against it.
        """
        if not self._observation_by_step:
            return 1
        weighted = sorted(
            (observation.speed, observation.weigh(now))
            for observation in self._observation_by_step.values()
        )
        half = (_PRIOR_WEIGHT + sum(weight for _, weight in weighted)) / 2
        passed: float = 0
        for speed, weight in weighted:
            passed += weight
            if passed > half:
                return speed
        return 1

    def forget(self) -> None:
        """Forget the observations of a process that has ended."""
        self.is_slow = False
        self._observation_by_step.clear()
