"""Scheduler for latency-critical services and batch jobs that share workers."""

from ragwortfield.core.configuration import Configuration
from ragwortfield.core.jobs import Job, JobSpec, JobState
from ragwortfield.core.outcomes import Refusal, RunState, WholeAnswer
from ragwortfield.core.resources import Resources
from ragwortfield.settings.configuration_parsing import parse_configuration
from ragwortfield.settings.instance import InstanceSettings, load_settings

__all__ = (
    'Configuration',
    'InstanceSettings',
    'Job',
    'JobSpec',
    'JobState',
    'Refusal',
    'Resources',
    'RunState',
    'WholeAnswer',
    'load_settings',
    'parse_configuration',
)
