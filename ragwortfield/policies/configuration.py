"""Versions of the configuration: they only ever go up on an instance."""

from ragwortfield.core.configuration import VersionedConfiguration
from ragwortfield.core.instance_state import InstanceState
from ragwortfield.invariants import INVARIANTS


def apply_configuration(
    instance_state: InstanceState,
    version: VersionedConfiguration,
    text: str,
) -> bool:
    """
    Put a version in force unless a newer one is.

    :param instance_state: the instance's tables.
    :param version: the version, from the table or from a peer.
    :param text: its TOML text, to be passed on to peers.
    :returns: whether it was put in force now.
    """
    before = instance_state.configuration_version()
    if version.version <= before:
        return False
    instance_state.version = version
    instance_state.configuration_text = text
    INVARIANTS.check(
        'configuration_never_reverts',
        is_held=instance_state.configuration_version() > before,
        detail=f'before={before} after={instance_state.configuration_version()}',
    )
    return True
