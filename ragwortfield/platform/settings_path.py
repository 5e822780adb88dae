"""Where the platform puts the settings of a process."""

import os

_VARIABLE = 'RAGWORTFIELD_BOOT'


def find_settings_path() -> str:
    """
    Tell where the settings file lies.

    :returns: its path; empty when the platform named none.
    """
    return os.environ.get(_VARIABLE, '')
