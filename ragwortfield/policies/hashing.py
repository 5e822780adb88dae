"""Stable hashes shared by every instance."""

from collections.abc import Sequence

import xxhash


def stable_hash(text: str) -> int:
    """
    Hash a text alike on every instance.

    :param text: the text.
    :returns: 64-bit number.
    """
    return xxhash.xxh3_64_intdigest(text.encode())


def rendezvous_hash(key: str, names: Sequence[str]) -> str:
    """
    Choose a name for a key by highest random weight.

    :param key: what is to be placed.
    :param names: the candidates; the order is without meaning.
    :returns: the chosen name; empty when there are no candidates.
    """
    best_name = ''
    best_weight = -1
    for name in names:
        weight = stable_hash(f'{key}|{name}')
        if (weight, name) > (best_weight, best_name):
            best_weight = weight
            best_name = name
    return best_name
