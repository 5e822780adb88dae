"""Configuration updates; the version on an instance never decreases."""

from ragwortfield.core.configuration import VersionedConfiguration
from ragwortfield.core.instance_state import InstanceState
from ragwortfield.invariants import INVARIANTS


def apply_configuration(
    instance_state: InstanceState,
    versioned: VersionedConfiguration,
    text: str,
) -> bool:
    """
    Apply a configuration if it is newer than the current one.

    :param instance_state: state of this instance.
    :param versioned: configuration from the platform's table or from a peer.
    :param text: its TOML text, which is passed on to peers.
    :returns: whether the configuration was applied.
    """
    previous_version = instance_state.configuration_version()
    if versioned.version <= previous_version:
        return False
    instance_state.version = versioned
    instance_state.configuration_text = text
    INVARIANTS.check(
        'configuration_never_reverts',
        is_satisfied=instance_state.configuration_version() > previous_version,
        detail=(
            f'before={previous_version} '
            f'after={instance_state.configuration_version()}'
        ),
    )
    return True
