"""Names of the platform's own rows."""

from ragwortfield.ports.row_store import RowName

#: Table with the operator's documents.
OPERATOR_TABLE = 'op'
#: Table in which workers register, each under its identifier.
WORKER_TABLE = 'servers'
_CONFIGURATION_KEY = 'config'


def is_configuration_row(name: RowName) -> bool:
    """
    Tell whether a row holds the configuration.

    :param name: a row of the operator's table.
    :returns: whether it does.
    """
    return name.key == _CONFIGURATION_KEY
