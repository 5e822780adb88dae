"""Pauses between the attempts of a request, which its caller may cut short."""

from collections.abc import Callable

import gevent

from ragwortfield.types import Seconds

#: Waits for a duration in seconds, and returns whether to try again; false if
#: nobody needs the outcome any more.
Pause = Callable[[Seconds], bool]


def pause_uninterrupted(duration_s: Seconds) -> bool:
    """
    Wait between two attempts that nothing cuts short.

    :param duration_s: length of the pause, in seconds.
    :returns: true.
    """
    gevent.sleep(duration_s)
    return True
