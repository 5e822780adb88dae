"""Questionnaire for a new team and the configuration generated from it."""

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
from ragwortfield.policies.admission import hash_token
from ragwortfield.settings.toml_parsing import SettingsError, parse_toml
from ragwortfield.types import Seconds

#: Burst that a team may send at once, in seconds of its request quota.
_BURST_S = 2.0
#: Ratio of a team's request quota to its expected peak load.
_QUOTA_HEADROOM_FACTOR = 2.0
#: Objective weights of a team's first, second and third priority.
_WEIGHTS_BY_RANK = (4.0, 2.0, 1.0)
#: Random bytes in a new team token.
_TOKEN_BYTES = 24
_MS_PER_S = 1000


class Priority(StrEnum):
    """Optimisation goals that a team ranks."""

    TAIL_LATENCY = 'tail-latency'
    THROUGHPUT = 'throughput'
    EVICTIONS = 'evictions'


@dataclass(frozen=True, kw_only=True, slots=True)
class DataCentreAnswer:
    """Data centre in which the team's work runs."""

    data_centre: str
    region: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceAnswer:
    """
    Service whose callers wait for the response.

    :param answer_within_ms: latency objective, in milliseconds.
    :param good_share: fraction of requests that must meet this objective.
    :param usual_class: class of requests that specify none.
    :param slots: maximum number of concurrent requests per target, over all
        entry instances.
    :param connections: maximum number of connections per target, over all
        entry instances.
    :param deadline_s: deadline of requests that specify none, in seconds.
    :param may_leave_region: whether urgent requests may be relayed to another
        region.
    """

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
    """
    Answers of a team to the questionnaire.

    :param requests_per_s: expected peak load, in requests per second.
    :param jobs_cpu: CPU cores that the team's batch jobs may hold at once.
    :param priorities: all priorities, most important first.
    :param highest_class: most urgent class that the team may use.
    """

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
    Configuration generated from answers.

    :param text: the TOML text.
    :param token: the team's new token. The configuration holds only its hash,
        so it must be shown to the operator now.
    """

    text: str
    token: str


#: Blank questionnaire. It is valid TOML and its example answers pass the
#: checks, so it can be edited line by line.
BLANK_QUESTIONNAIRE = """\
# What is the deployment called, and what is your team called?
deployment = "brembana"
team = "hospitals"

# How many requests a second does the team send on its busiest morning?
requests_per_s = 50
# How many CPU cores may its batch jobs hold at once?
jobs_cpu = 200

# What matters most? List these three goals, most important first.
priorities = ["tail-latency", "evictions", "throughput"]

# How urgent may the team's requests be: "urgent", "normal" or "deferred"?
highest_class = "urgent"

# Where does the work run? Add one entry for each data centre.
[[places]]
data_centre = "bergamo"
region = "lombardy"

[[places]]
data_centre = "milano"
region = "lombardy"

[[places]]
data_centre = "torino"
region = "piedmont"

# Which services do callers wait for? Add one entry for each service.
[[services]]
name = "shifts"
# Within how many milliseconds should a response arrive, and for which
# fraction of the requests?
answer_within_ms = 500
good_share = 0.99
# Which class has a request that specifies none?
usual_class = "normal"
# After how many seconds is a response no longer useful?
deadline_s = 10
# May urgent requests be sent to another region when this one is full?
may_leave_region = true
"""


def parse_answers(text: str, source: str) -> Answers | SettingsError:
    """
    Parse a completed questionnaire.

    :param text: the TOML text.
    :param source: path of the file, for error messages.
    :returns: the answers, or the problems that were found.
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
                f"key 'priorities' is {given!r}, expected each of "
                f'{expected} once, most important first',
            ),
        )
    return answers


def generate_configuration(
    answers: Answers,
    base: Configuration | None = None,
) -> GeneratedConfiguration:
    """
    Generate a configuration from the answers of a team.

    :param answers: the answers of one team.
    :param base: configuration to which the team is added. All of it is kept
        except a team of the same name, which is replaced.
    :returns: the configuration and the team's token.
    """
    token = secrets.token_urlsafe(_TOKEN_BYTES)
    initial = base or Configuration(name=answers.deployment, data_centres={})
    new_data_centres = {
        place.data_centre: DataCentre(region=place.region)
        for place in answers.places
    }
    services = {
        answer.name: _make_service(answer) for answer in answers.services
    }
    team = Team(
        token_sha256=hash_token(token),
        highest_class=answers.highest_class,
        requests_per_s=answers.requests_per_s * _QUOTA_HEADROOM_FACTOR,
        burst_s=_BURST_S,
        jobs_cpu=answers.jobs_cpu,
    )
    objective = _make_objective(answers) if base is None else initial.objective
    configuration = replace(
        initial,
        data_centres={**new_data_centres, **initial.data_centres},
        services={**services, **initial.services},
        teams={**initial.teams, answers.team: team},
        objective=objective,
    )
    return GeneratedConfiguration(
        text=tomli_w.dumps(msgspec.to_builtins(configuration)),
        token=token,
    )


def _make_service(answer: ServiceAnswer) -> Service:
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


def _make_objective(answers: Answers) -> ObjectiveWeights:
    weight_by_priority = dict(
        zip(answers.priorities, _WEIGHTS_BY_RANK, strict=True)
    )
    return ObjectiveWeights(
        tail_latency=weight_by_priority[Priority.TAIL_LATENCY],
        throughput=weight_by_priority[Priority.THROUGHPUT],
        evictions=weight_by_priority[Priority.EVICTIONS],
    )
