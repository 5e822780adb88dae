"""Questionnaire of a new team, and the configuration made from its answers."""

import secrets
from dataclasses import dataclass, field, replace
from enum import StrEnum

import msgspec
import tomli_w

from ragwortfield.core.configuration import (
    Configuration,
    DataCentre,
    ObjectiveWeights,
    RequestClass,
    Service,
    Team,
)
from ragwortfield.settings.toml_parsing import SettingsError, parse_toml
from ragwortfield.policies.admission import hash_token
from ragwortfield.types import Seconds

#: A team's burst holds this many seconds of its usual load.
_BURST_S = 2.0
#: Quotas leave this factor above the load that the team expects.
_HEADROOM = 2.0
#: Weight of what a team names first, second and third.
_WEIGHTS = (4.0, 2.0, 1.0)
_TOKEN_BYTES = 24
_MS_PER_S = 1000


class Priority(StrEnum):
    """What a team may put first."""

    TAIL_LATENCY = 'tail-latency'
    THROUGHPUT = 'throughput'
    EVICTIONS = 'evictions'


@dataclass(frozen=True, kw_only=True, slots=True)
class DataCentreAnswer:
    """One place where the work runs."""

    data_centre: str
    region: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceAnswer:
    """One service that callers wait for."""

    name: str
    answer_within_ms: float
    good_share: float = 0.99
    usual_class: RequestClass = RequestClass.NORMAL
    slots: int = 8
    connections: int = 64
    deadline_s: Seconds = 10
    may_leave_region: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class Answers:
    """Answers of a team to the questionnaire."""

    deployment: str
    team: str
    requests_per_s: float
    jobs_cpu: float
    priorities: tuple[Priority, ...] = tuple(Priority)
    highest_class: RequestClass = RequestClass.URGENT
    places: tuple[DataCentreAnswer, ...] = ()
    services: tuple[ServiceAnswer, ...] = field(default_factory=tuple)


@dataclass(frozen=True, kw_only=True, slots=True)
class GeneratedConfiguration:
    """
    Configuration made from answers.

    :param text: the TOML text.
    :param token: the team's new token, shown once and kept nowhere.
    """

    text: str
    token: str


#: Questionnaire to fill in; every line of it is valid TOML.
BLANK_QUESTIONNAIRE = """\
# What is the deployment called, and what is your team called?
deployment = "brembana"
team = "hospitals"

# How many requests a second does the team send on its busiest morning?
requests_per_s = 50
# How many processor cores may its batch jobs hold at once?
jobs_cpu = 200

# What matters most? Put these three in your order.
priorities = ["tail-latency", "evictions", "throughput"]

# How urgent may the team's requests be: "urgent", "normal" or "deferred"?
highest_class = "urgent"

# Where does the work run? One entry for each data centre.
[[places]]
data_centre = "bergamo"
region = "lombardy"

[[places]]
data_centre = "milano"
region = "lombardy"

[[places]]
data_centre = "torino"
region = "piedmont"

# Which services do callers wait for? One entry for each.
[[services]]
name = "shifts"
# Within how many milliseconds is an answer useful, and for which share?
answer_within_ms = 500
good_share = 0.99
# How urgent is a request that does not say so itself?
usual_class = "normal"
# After how many seconds is an answer of no use any more?
deadline_s = 10
# May urgent requests cross to the other region when this one is full?
may_leave_region = true
"""


def parse_answers(text: str, source: str) -> Answers | SettingsError:
    """
    Read a filled-in questionnaire.

    :param text: the TOML text.
    :param source: name of the file, for errors.
    :returns: the answers, or what is wrong with them.
    """
    answers = parse_toml(text, Answers, source)
    if isinstance(answers, SettingsError):
        return answers
    if sorted(answers.priorities) != sorted(Priority):
        given = ', '.join(answers.priorities)
        expected = ', '.join(Priority)
        return SettingsError(
            source=source,
            problems=(
                f"key 'priorities' is {given!r}, expected {expected} in an "
                'order of your own',
            ),
        )
    return answers


def generate_configuration(
    answers: Answers,
    base: Configuration | None = None,
) -> GeneratedConfiguration:
    """
    Make a configuration from answers.

    :param answers: the answers of one team.
    :param base: configuration to which the team is added; its places,
        services, teams and timing are kept.
    :returns: the configuration and the team's token.
    """
    token = secrets.token_urlsafe(_TOKEN_BYTES)
    start = base or Configuration(name=answers.deployment, data_centres={})
    places = {
        place.data_centre: DataCentre(region=place.region)
        for place in answers.places
    }
    services = {one.name: _service(one) for one in answers.services}
    team = Team(
        token_sha256=hash_token(token),
        highest_class=answers.highest_class,
        requests_per_s=answers.requests_per_s * _HEADROOM,
        burst_s=_BURST_S,
        jobs_cpu=answers.jobs_cpu,
    )
    objective = _objective(answers) if base is None else start.objective
    configuration = replace(
        start,
        data_centres={**places, **start.data_centres},
        services={**services, **start.services},
        teams={**start.teams, answers.team: team},
        objective=objective,
    )
    return GeneratedConfiguration(
        text=tomli_w.dumps(msgspec.to_builtins(configuration)),
        token=token,
    )


def _service(answer: ServiceAnswer) -> Service:
    return Service(
        slots=answer.slots,
        connections=answer.connections,
        default_class=answer.usual_class,
        deadline_s=answer.deadline_s,
        first_byte_timeout_s=max(
            answer.deadline_s / 2,
            answer.answer_within_ms / _MS_PER_S,
        ),
        objective_ms=answer.answer_within_ms,
        objective_share=answer.good_share,
        is_cross_region_allowed=answer.may_leave_region,
    )


def _objective(answers: Answers) -> ObjectiveWeights:
    weight_by_priority = dict(zip(answers.priorities, _WEIGHTS, strict=True))
    return ObjectiveWeights(
        tail_latency=weight_by_priority[Priority.TAIL_LATENCY],
        throughput=weight_by_priority[Priority.THROUGHPUT],
        evictions=weight_by_priority[Priority.EVICTIONS],
    )
