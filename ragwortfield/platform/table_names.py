"""Names of the platform's own tables and rows."""

from ragwortfield.ports.row_store import RowName

#: Table with the operator's documents, such as the configuration.
OPERATOR_TABLE = 'op'
#: Table in which workers register; the key is the worker's identifier.
WORKER_TABLE = 'servers'
_CONFIGURATION_KEY = 'config'
_EVACUATION_PREFIX = 'evacuate/'


def is_configuration_row(name: RowName) -> bool:
    """
    Check whether a row holds the configuration.

    Change feeds deliver the rows of all partitions of a table.

    :param name: name of a row of the operator's table.
    :returns: whether the row holds the configuration.
    """
    return name.key == _CONFIGURATION_KEY and not name.partition


def find_evacuated_zone(name: RowName) -> str:
    """
    Return the zone that a row evacuates while it exists.

    :param name: name of a row of the operator's table.
    :returns: the zone; empty for any other row.
    """
    if name.partition or not name.key.startswith(_EVACUATION_PREFIX):
        return ''
    return name.key.removeprefix(_EVACUATION_PREFIX)
