"""Why links to peers end, and for how long they were silent, for the log."""

from dataclasses import dataclass
from enum import StrEnum

from websockets.exceptions import ConnectionClosed

from ragwortfield.types import MonotonicTime, Seconds

#: Stands in the log for a duration of a link that was never open.
_NEVER = -1


class LinkEnd(StrEnum):
    """
    Why a link to a peer has ended.

    ``CALL_TIMEOUT``, ``SILENCE``, ``REJECTED`` and ``CLOSED_BY_US``: this
    instance has closed it, because a call was not answered, because no message
    came, because it did not accept a message, or for another reason.
    ``CLOSED_BY_PEER``: the peer has closed it in the way of the protocol.
    ``ENDED_BY_PEER``: the peer's end was closed without that, as when its
    process ends.
    """

    CALL_TIMEOUT = 'call_timeout'
    SILENCE = 'silence'
    REJECTED = 'rejected'
    CLOSED_BY_US = 'closed_by_us'
    CLOSED_BY_PEER = 'closed_by_peer'
    ENDED_BY_PEER = 'ended_by_peer'
    REFUSED = 'refused'
    RESET = 'reset'
    BROKEN = 'broken'


#: First match counts, so subclasses come first.
_END_BY_ERROR_TYPE: tuple[tuple[type[BaseException], LinkEnd], ...] = (
    (TimeoutError, LinkEnd.SILENCE),
    (ConnectionRefusedError, LinkEnd.REFUSED),
    (ConnectionResetError, LinkEnd.RESET),
    (BrokenPipeError, LinkEnd.RESET),
    (OSError, LinkEnd.BROKEN),
)


@dataclass(kw_only=True, slots=True)
class LinkRecord:
    """
    Times of one link to a peer.

    :param opened_at: monotonic time at which it was opened; 0 before that.
    :param received_at: monotonic time at which the latest frame was received;
        0 before the first.
    """

    opened_at: MonotonicTime = 0
    received_at: MonotonicTime = 0

    def format_ages(self, now: MonotonicTime) -> dict[str, Seconds]:
        """
        Return the ages of the link and of the latest frame for the log.

        :param now: monotonic time, in seconds.
        :returns: seconds by name; -1 if the link was never open. A link without
            a frame has been silent since it was opened.
        """
        if not self.opened_at:
            return {'silent_s': _NEVER, 'link_s': _NEVER}
        return {
            'silent_s': now - max(self.received_at, self.opened_at),
            'link_s': now - self.opened_at,
        }


def classify_link_end(error: BaseException | None) -> LinkEnd:
    """
    Tell from an error why a link has ended.

    :param error: error that ended its use; ``None`` if there was none.
    :returns: the kind of its end.
    """
    if error is None:
        return LinkEnd.CLOSED_BY_PEER
    if isinstance(error, ConnectionClosed):
        return _classify_closing(error)
    return _classify_error(error.__cause__ or error)


def _classify_closing(closed: ConnectionClosed) -> LinkEnd:
    if closed.rcvd is not None:
        is_by_peer = closed.sent is None or closed.rcvd_then_sent
        return LinkEnd.CLOSED_BY_PEER if is_by_peer else LinkEnd.CLOSED_BY_US
    if closed.sent is not None:
        return LinkEnd.CLOSED_BY_US
    cause = closed.__cause__
    if cause is None or isinstance(cause, EOFError):
        return LinkEnd.ENDED_BY_PEER
    return _classify_error(cause)


def _classify_error(error: BaseException) -> LinkEnd:
    for error_type, end in _END_BY_ERROR_TYPE:
        if isinstance(error, error_type):
            return end
    return LinkEnd.REJECTED
