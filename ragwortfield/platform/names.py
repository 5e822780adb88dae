"""Names of the platform's own rows."""

from ragwortfield.ports.row_store import RowName

#: Table with the operator's documents.
OPERATOR_TABLE = 'op'
#: Table in which workers register, each under its identifier.
WORKER_TABLE = 'servers'
_STATUS_TABLE = 'status'
_CONFIGURATION_KEY = 'config'
_WAVE_PREFIX = 'wave/'


def is_configuration(name: RowName) -> bool:
    """
    Tell whether a row holds the configuration.

    :param name: a row of the operator's table.
    :returns: whether it does.
    """
    return name.key == _CONFIGURATION_KEY


def is_wave(name: RowName) -> bool:
    """
    Tell whether a row asks for a wave of upkeep.

    :param name: a row of the operator's table.
    :returns: whether it does.
    """
    return name.key.startswith(_WAVE_PREFIX)


def wave_status_row(wave: int) -> RowName:
    """
    Name the row that tells how far a wave is.

    :param wave: number of the wave.
    :returns: the row.
    """
    return RowName(
        table=_STATUS_TABLE,
        part='',
        key=f'{_WAVE_PREFIX}{wave}',
    )
