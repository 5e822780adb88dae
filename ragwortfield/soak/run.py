"""One seeded run of a soak."""

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from itertools import accumulate
from pathlib import Path
from random import Random

import gevent

from ragwortfield.soak.callers import CallerPool
from ragwortfield.soak.checks import Checker
from ragwortfield.soak.client_faults import ClientFaults
from ragwortfield.soak.cut_faults import CutFaults
from ragwortfield.soak.deployment import SoakDeployment
from ragwortfield.soak.instance_faults import InstanceFaults
from ragwortfield.soak.jobs import JobBook
from ragwortfield.soak.platform_faults import PlatformFaults
from ragwortfield.soak.processes import DeployedRole
from ragwortfield.soak.run_history import count_ends, find_least_gaps
from ragwortfield.soak.site import Site
from ragwortfield.soak.storm_faults import StormFaults
from ragwortfield.soak.timeline import Timeline
from ragwortfield.types import Seconds

#: Kinds of faults that a run draws from: planned work only, one fault after
#: another, faults that overlap, the loss of all instances at one moment, the
#: loss of owners in series, at last together with workers, and cuts between
#: single instances and workers while jobs are cancelled.
THEMES = ('planned', 'series', 'overlapping', 'power', 'owners', 'cuts')
#: Theme that no seed draws: crowds of clients outside the limits beside another
#: fault.
CLIENT_THEME = 'clients'
_CLIENT_CROWD = 'client_crowd'
#: Theme that no seed draws: many long faults at once, most of them of workers
#: and owners; two of them strike in each such interval, in seconds.
STORM_THEME = 'storm'
_STORM_INTERVAL_S: Seconds = 5
#: Faults of owners, and longest pause between two of them, in seconds.
_OWNER_FAULTS = ('owner_gone', 'owner_kill', 'owner_power', 'owner_term')
_OWNER_PAUSE_S: Seconds = 5
#: Faults of owners and planned work that a storm draws from as well.
_STORM_ADDITIONS = (*_OWNER_FAULTS, 'owner_freeze', 'scale_in', 'scale_out')
#: Time for which the deployment runs before the traffic, in seconds.
_LEAD_S: Seconds = 5
_START_TIMEOUT_S: Seconds = 30
#: Time after the traffic at which all jobs are asked for, in seconds.
_FINISH_S: Seconds = 14
#: Traffic before the first fault and after the last one, in seconds.
_CALM_START_S: Seconds = 3
_CALM_END_S: Seconds = 12
_LASTING_JOBS = 4
#: Interval of the seeds in which nobody reads the output of the processes.
_UNREAD_LOG_INTERVAL = 7


@dataclass(frozen=True, kw_only=True, slots=True)
class SoakPlan:
    """
    What a run does.

    :param theme: kind of its faults.
    :param kinds: faults to strike in turn; if empty, they are drawn.
    """

    seed: int
    site: Site
    theme: str
    kinds: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class SoakReport:
    """
    Outcome of a run.

    :param struck: kinds of the faults in the order of their start.
    :param figures: what was counted, by name.
    """

    plan: SoakPlan
    struck: tuple[str, ...]
    figures: dict[str, object]
    violations: tuple[str, ...]

    def text(self) -> str:
        """
        Format the report.

        :returns: one line, and one for each violation.
        """
        figures = ' '.join(
            f'{name}={figure}' for name, figure in self.figures.items()
        )
        head = (
            f'seed={self.plan.seed} theme={self.plan.theme} '
            f'violations={len(self.violations)} '
            f'faults={",".join(self.struck)} {figures}'
        )
        return '\n  '.join((head, *self.violations))


class SoakRun:
    """
    Deployment, callers, faults and checks of one run.

    :param plan: what to do.
    :param role: role that all instances run.
    :param folder: folder for the records.
    :param timeline: record of the run.
    """

    def __init__(
        self,
        *,
        plan: SoakPlan,
        role: DeployedRole,
        folder: Path,
        timeline: Timeline,
    ) -> None:
        """Create without starting anything."""
        self._plan = plan
        self._timeline = timeline
        self._random = Random(plan.seed)
        self._jobs = JobBook(random=Random(plan.seed + 1))
        self._deployment = SoakDeployment(
            site=plan.site,
            role=role,
            folder=folder,
            random=Random(plan.seed + 2),
            timeline=timeline,
            jobs=self._jobs,
            is_log_read=bool(plan.seed % _UNREAD_LOG_INTERVAL),
        )
        self._checker = Checker(deployment=self._deployment, timeline=timeline)
        self._callers = CallerPool(
            site=plan.site,
            jobs=self._jobs,
            random=Random(plan.seed + 3),
            list_instances=lambda: self._deployment.instances,
            on_exchange=self._checker.check_exchange,
        )
        self._struck: list[str] = []

    def run(self) -> SoakReport:
        """
        Run from the start of the processes to the last check.

        :returns: the report.
        """
        self._deployment.start()
        try:
            self._play()
        finally:
            self._deployment.stop()
        return SoakReport(
            plan=self._plan,
            struck=tuple(self._struck),
            figures=self._collect_figures(),
            violations=tuple(self._timeline.violations),
        )

    def _play(self) -> None:
        if not self._deployment.wait_until_serving(_START_TIMEOUT_S):
            self._timeline.violate('no owner after the start')
            return
        gevent.sleep(_LEAD_S)
        self._timeline.started_at = time.monotonic()
        watcher = gevent.spawn(self._checker.watch)
        self._callers.submit_lasting(_LASTING_JOBS)
        self._callers.start()
        faults = gevent.spawn(self._strike)
        gevent.sleep(self._plan.site.traffic_s)
        self._callers.is_ending = True
        if self._plan.theme == STORM_THEME:
            # Its faults last for longer than the calm at the end of others.
            faults.join()
        gevent.sleep(_FINISH_S)
        faults.join()
        self._checker.check_end(self._callers)
        watcher.kill()

    def _strike(self) -> None:
        strike_by_kind = self._list_faults()
        gevent.sleep(_CALM_START_S)
        window_s = self._plan.site.traffic_s - _CALM_START_S - _CALM_END_S
        kinds = self._plan.kinds or self._draw_kinds(strike_by_kind)
        is_series = self._plan.theme == 'series'
        times = self._draw_times(len(kinds), window_s)
        started_at = time.monotonic()
        strikes = []
        for kind, at_s in zip(kinds, times, strict=True):
            if time.monotonic() - started_at > window_s:
                break
            gevent.sleep(max(0, started_at + at_s - time.monotonic()))
            self._struck.append(kind)
            strikes.append(gevent.spawn(strike_by_kind[kind]))
            if is_series:
                strikes[-1].join()
        gevent.joinall(strikes)

    def _list_faults(self) -> dict[str, Callable[[], None]]:
        instances = InstanceFaults(
            deployment=self._deployment,
            timeline=self._timeline,
            random=self._random,
        )
        platform = PlatformFaults(
            deployment=self._deployment,
            timeline=self._timeline,
            random=self._random,
            callers=self._callers,
        )
        clients = ClientFaults(
            deployment=self._deployment,
            timeline=self._timeline,
            random=self._random,
        )
        return {
            **clients.unplanned(),
            **self._list_cuts(),
            **self._list_storm(),
            **instances.planned(),
            **instances.unplanned(),
            **platform.planned(),
            **platform.unplanned(),
        }

    def _list_cuts(self) -> dict[str, Callable[[], None]]:
        cuts = CutFaults(
            deployment=self._deployment,
            timeline=self._timeline,
            random=self._random,
            callers=self._callers,
        )
        return cuts.unplanned()

    def _list_storm(self) -> dict[str, Callable[[], None]]:
        storm = StormFaults(
            deployment=self._deployment,
            timeline=self._timeline,
            random=self._random,
        )
        return storm.unplanned()

    def _draw_storm(self) -> tuple[str, ...]:
        count = round(self._plan.site.traffic_s / _STORM_INTERVAL_S)
        kinds = sorted(self._list_storm())
        others = sorted({*kinds, *self._list_cuts(), *_STORM_ADDITIONS})
        drawn = self._random.choices(kinds, k=count)
        drawn.extend(self._random.choices(others, k=count))
        self._random.shuffle(drawn)
        return tuple(drawn)

    def _draw_kinds(
        self, strike_by_kind: dict[str, Callable[[], None]]
    ) -> tuple[str, ...]:
        planned = (
            'roll_term',
            'roll_term_together',
            'owner_term',
            'hup',
            'add_nodes',
            'replace_planned',
            'config_change',
            'big_config',
        )
        if self._plan.theme == STORM_THEME:
            return self._draw_storm()
        if self._plan.theme == 'planned':
            return tuple(self._random.choices(planned, k=4))
        if self._plan.theme == 'cuts':
            cuts = self._random.choices(sorted(self._list_cuts()), k=2)
            other = self._random.choice(
                sorted(
                    strike_by_kind.keys()
                    - self._list_storm().keys()
                    - {_CLIENT_CROWD}
                )
            )
            return ('cancel_wave', *cuts, other)
        if self._plan.theme == 'owners':
            count = self._random.randint(0, 3)
            series = self._random.choices(_OWNER_FAULTS, k=count)
            return (*series, 'srv_gone', self._random.choice(_OWNER_FAULTS))
        uncut = sorted(
            strike_by_kind.keys()
            - self._list_cuts().keys()
            - self._list_storm().keys()
            - {_CLIENT_CROWD}
        )
        if self._plan.theme == CLIENT_THEME:
            return (
                _CLIENT_CROWD,
                self._random.choice(uncut),
                _CLIENT_CROWD,
                _CLIENT_CROWD,
            )
        if self._plan.theme == 'power':
            herd = self._random.choice(('herd_kill', 'herd_power'))
            other = self._random.choice(uncut)
            return self._random.choice(((other, herd), ('srv_gone', herd)))
        return tuple(self._random.choices(uncut, k=4))

    def _draw_times(self, count: int, window_s: Seconds) -> list[Seconds]:
        if self._plan.theme not in {'owners', 'power'}:
            times = [self._random.uniform(0, window_s) for _ in range(count)]
            return sorted(times)
        # The workers are lost shortly before their owner or all instances.
        pauses_s = [
            self._random.uniform(1, _OWNER_PAUSE_S) for _ in range(count - 1)
        ]
        pauses_s.append(self._random.uniform(0, 1))
        return list(accumulate(pauses_s))

    def _collect_figures(self) -> dict[str, object]:
        hosts = self._deployment.workers
        gaps = find_least_gaps(hosts)
        return {
            'ends': _format(count_ends(hosts)),
            'least_gaps_s': _format(
                {how: round(gap_s, 3) for how, gap_s in gaps.items()}
            ),
            'jobs': len(self._jobs.job_by_id),
            'accepted': len(self._jobs.list_accepted()),
            'longest_cut_s': round(self._checker.longest_cut_s, 3),
            'longest_away_s': round(self._checker.longest_away_s, 3),
            'exchanges': _format(self._checker.counts),
        }


def _format(figures: Mapping[str, float]) -> str:
    return ';'.join(f'{name}:{figures[name]}' for name in sorted(figures))


def run_soak(plan: SoakPlan, role: DeployedRole, folder: Path) -> SoakReport:
    """
    Run one seed.

    :param plan: what to do.
    :param role: role that all instances run.
    :param folder: folder for events, settings files and logs.
    :returns: the report.
    """
    folder = folder.resolve()
    folder.mkdir(parents=True, exist_ok=True)
    for old in folder.iterdir():
        old.unlink()
    with (folder / 'events.jsonl').open('w', encoding='utf-8') as output:
        timeline = Timeline(output=output)
        run = SoakRun(plan=plan, role=role, folder=folder, timeline=timeline)
        return run.run()
