"""Path of the settings file that the platform assigns to a process."""

import os

#: Environment variable with the path of the settings file.
SETTINGS_PATH_VARIABLE = 'RAGWORTFIELD_BOOT'


def find_settings_path() -> str:
    """
    Read the path of the settings file from the environment.

    :returns: the path; empty when the platform sets none.
    """
    return os.environ.get(SETTINGS_PATH_VARIABLE, '')
