"""Hash functions that give the same result on every instance."""

from collections.abc import Sequence

import xxhash


def stable_hash(text: str) -> int:
    """
    Hash a text independently of process and platform.

    :returns: unsigned 64-bit number.
    """
    return xxhash.xxh3_64_intdigest(text.encode())


def rendezvous_hash(key: str, names: Sequence[str]) -> str:
    """
    Choose a name for a key by rendezvous (highest random weight) hashing.

    :param key: key to assign.
    :param names: candidates, in any order.
    :returns: the chosen name; empty if there are no candidates.
    """
    best_name = ''
    best_weight = -1
    for name in names:
        weight = stable_hash(f'{key}|{name}')
        if (weight, name) > (best_weight, best_name):
            best_weight = weight
            best_name = name
    return best_name
