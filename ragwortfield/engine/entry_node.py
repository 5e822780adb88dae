"""Wiring and background loops of an entry instance."""

import random
from collections.abc import Callable

import gevent

from ragwortfield.core.instance_state import InstanceIdentity, InstanceState
from ragwortfield.core.targets import TargetState
from ragwortfield.engine.burn_report_writer import BurnReportWriter
from ragwortfield.engine.claim_store import ClaimStore
from ragwortfield.engine.deferred_queue import DeferredQueue
from ragwortfield.engine.dispatcher import Dispatcher
from ragwortfield.engine.group_commit import GroupCommitWriter
from ragwortfield.engine.job_scheduler import JobScheduler
from ragwortfield.engine.peer_message_handler import (
    PeerMessageHandler,
    is_store_reachable,
)
from ragwortfield.engine.platform_sync import Platform, PlatformSync
from ragwortfield.engine.request_handler import RequestHandler
from ragwortfield.engine.target_connections import TargetConnections
from ragwortfield.http_api.headers import RelaySigner
from ragwortfield.log import event
from ragwortfield.peering.connections import PeerConnections
from ragwortfield.policies.membership import (
    is_link_required,
    remove_silent_peers,
)
from ragwortfield.policies.seat_leases import drop_superseded_seats
from ragwortfield.policies.seat_suspension import (
    resume_on_peer_evidence,
    suspend_after_pause,
    suspend_if_isolated,
)
from ragwortfield.policies.target_shares import update_target_shares
from ragwortfield.ports.clock import Clock
from ragwortfield.ports.platform import (
    ListedInstance,
    WorkerControl,
)
from ragwortfield.report.request_recorder import RequestRecorder
from ragwortfield.types import Seconds

#: Interval of the tick loop, in seconds.
TICK_INTERVAL_S = 0.1
#: Interval of the exchange with the platform, in seconds.
_SYNC_INTERVAL_S = 1.0
#: Interval of the job scheduler's rounds, in seconds.
_JOBS_INTERVAL_S = 0.5
#: Interval at which deferred requests are started, in seconds.
_DEFERRED_INTERVAL_S = 1.0
#: Interval of the health checks of idle targets, in seconds.
_HEALTH_CHECK_INTERVAL_S = 1.0
#: Interval at which the burn report's buckets are written, in seconds.
_BURN_REPORT_INTERVAL_S = 10.0
#: Time after the last heartbeat at which a peer is forgotten, in seconds.
_PEER_FORGET_TIMEOUT_S = 30.0
#: Time for which peers and the load balancer can learn of a planned stop, in
#: seconds.
_LEAVE_DELAY_S = 2.0
#: Longest wait until all claims are written to the table, in seconds.
_HAND_OVER_TIMEOUT_S = 5.0


class EntryNode:
    """
    Components and background loops of one entry instance.

    :param identity: identifier, location and addresses of the instance.
    :param platform: the platform's table, instance list and object store.
    :param worker_control: starts, renews and stops tasks on workers.
    :param peer_token: secret shared by all entry instances.
    :param seeds: peer addresses to dial while the instance list is
        unavailable.
    :param deferred_body_bytes: largest body of a deferred request.
    :param clock: source of time.
    :param random_generator: source of random numbers.
    """

    def __init__(
        self,
        *,
        identity: InstanceIdentity,
        platform: Platform,
        worker_control: WorkerControl,
        peer_token: str,
        seeds: tuple[str, ...],
        deferred_body_bytes: int,
        clock: Clock,
        random_generator: random.Random,
    ) -> None:
        """Create the components; :meth:`start` runs them."""
        self.instance_state = InstanceState(identity=identity)
        self.clock = clock
        self.platform = platform
        self.relay_signer = RelaySigner(token=peer_token, clock=clock)
        self.writer = GroupCommitWriter(table=platform)
        self.claim_store = ClaimStore(
            instance_state=self.instance_state,
            table=platform,
            writer=self.writer,
            clock=clock,
        )
        self.target_connections = TargetConnections(
            instance_state=self.instance_state
        )
        self.dispatcher = Dispatcher(
            instance_state=self.instance_state,
            clock=clock,
            random_generator=random_generator,
            target_connections=self.target_connections,
            make_relay_headers=self.relay_signer,
        )
        self.deferred_queue = DeferredQueue(
            instance_state=self.instance_state,
            table=platform,
            writer=self.writer,
            clock=clock,
            max_body_bytes=deferred_body_bytes,
        )
        self.request_handler = RequestHandler(
            instance_state=self.instance_state,
            clock=clock,
            dispatcher=self.dispatcher,
            claim_store=self.claim_store,
            deferred_queue=self.deferred_queue,
        )
        self.recorder = RequestRecorder(instance_state=self.instance_state)
        self.job_scheduler = JobScheduler(
            instance_state=self.instance_state,
            table=platform,
            worker_control=worker_control,
            clock=clock,
        )
        self.peer_connections = PeerConnections(
            instance_id=identity.instance_id,
            token=peer_token,
            handler=PeerMessageHandler(
                instance_state=self.instance_state,
                clock=clock,
            ),
        )
        self.platform_sync = PlatformSync(
            instance_state=self.instance_state,
            platform=platform,
            claim_store=self.claim_store,
            clock=clock,
        )
        self._burn_report_writer = BurnReportWriter(
            instance_id=identity.instance_id,
            recorder=self.recorder,
            table=platform,
            clock=clock,
        )
        self._seeds = frozenset(seeds)
        self._suspended_at = float('-inf')
        self._loops: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Listen for peers and start the background loops."""
        self.instance_state.last_tick_at = self.clock.monotonic()
        self.peer_connections.listen(self.instance_state.identity.peer_address)
        self.peer_connections.dial(self._seeds)
        self._loops = [
            self.writer.start(),
            self._spawn_loop('tick', TICK_INTERVAL_S, self.tick),
            self._spawn_loop(
                'platform',
                _SYNC_INTERVAL_S,
                self._sync_with_platform,
            ),
            self._spawn_loop(
                'jobs',
                _JOBS_INTERVAL_S,
                self.job_scheduler.run_round,
            ),
            self._spawn_loop(
                'deferred',
                _DEFERRED_INTERVAL_S,
                self._start_deferred_requests,
            ),
            self._spawn_loop(
                'health',
                _HEALTH_CHECK_INTERVAL_S,
                self._check_targets,
            ),
            self._spawn_loop(
                'burn',
                _BURN_REPORT_INTERVAL_S,
                self._burn_report_writer.write_round,
            ),
        ]

    def tick(self) -> None:
        """Update seats, peers and target shares, which change with time."""
        now = self.clock.monotonic()
        if suspend_after_pause(self.instance_state, now):
            self._suspended_at = now
            event('process_paused', s=now - self.instance_state.last_tick_at)
        self.instance_state.last_tick_at = now
        for seat in drop_superseded_seats(self.instance_state):
            event('seat_superseded', seat=seat)
        wall_time = self.clock.wall_time()
        if suspend_if_isolated(
            self.instance_state,
            now=now,
            wall_time=wall_time,
        ):
            self._suspended_at = now
            event('isolated')
        if any(
            held.is_suspended
            for held in self.instance_state.held_seat_by_key.values()
        ):
            resume_on_peer_evidence(
                self.instance_state,
                suspended_at=self._suspended_at,
                now=now,
            )
        for peer in remove_silent_peers(
            self.instance_state,
            now,
            _PEER_FORGET_TIMEOUT_S,
        ):
            event('peer_forgotten', peer=peer)
        update_target_shares(self.instance_state, now)
        self.dispatcher.slots.assign_free_slots()

    def is_ready(self) -> bool:
        """
        Tell whether the load balancer may send callers to this instance.

        :returns: whether a configuration, a target, and a usable seat or a
            peer are known, and no planned stop is in progress.
        """
        if (
            self.instance_state.version is None
            or self.instance_state.is_leaving
        ):
            return False
        if not self.instance_state.target_by_id:
            return False
        now = self.clock.monotonic()
        return bool(
            self.instance_state.list_usable_seats(now)
            or self.instance_state.peer_by_id
        )

    def announce_stop(self) -> None:
        """Announce a planned stop and wait until others can know of it."""
        self.instance_state.is_leaving = True
        self.peer_connections.send_heartbeats()
        event('leaving')
        gevent.sleep(_LEAVE_DELAY_S)

    def hand_over(self) -> None:
        """Finish deferred requests, write claims and release the seats."""
        self.deferred_queue.wait_for_running()
        deadline = self.clock.monotonic() + _HAND_OVER_TIMEOUT_S
        is_flushed = self.claim_store.flush()
        while not is_flushed and self.clock.monotonic() < deadline:
            gevent.sleep(TICK_INTERVAL_S)
            is_flushed = self.claim_store.flush()
        self._burn_report_writer.write_round()
        self.platform_sync.release_seats()
        event('left', is_flushed=is_flushed)

    def _spawn_loop(
        self,
        name: str,
        interval_s: Seconds,
        run_round: Callable[[], object],
    ) -> gevent.Greenlet:
        return gevent.spawn(self._repeat_forever, name, interval_s, run_round)

    def _repeat_forever(
        self,
        name: str,
        interval_s: Seconds,
        run_round: Callable[[], object],
    ) -> None:
        while True:
            started_at = self.clock.monotonic()
            try:
                run_round()
            # If an error ended the loop, the instance would run on without
            # it; so the error is logged and the next round tries again.
            except Exception as error:
                event('round_failed', loop=name, error=repr(error))
            elapsed_s = self.clock.monotonic() - started_at
            gevent.sleep(max(interval_s - elapsed_s, TICK_INTERVAL_S / 2))

    def _sync_with_platform(self) -> None:
        held_before = set(self.instance_state.held_seat_by_key)
        self.platform_sync.run_round()
        if held_before != set(self.instance_state.held_seat_by_key):
            update_target_shares(self.instance_state, self.clock.monotonic())
            self.peer_connections.send_heartbeats()
        self.target_connections.close_unlisted()
        self.claim_store.delete_expired()
        if self.claim_store.count_dirty() and self._is_store_reachable():
            self.claim_store.flush()
        self.peer_connections.dial(self._list_addresses_to_dial())

    def _is_store_reachable(self) -> bool:
        return is_store_reachable(self.instance_state, self.clock.monotonic())

    def _start_deferred_requests(self) -> None:
        self.deferred_queue.run_round(self.request_handler.run)

    def _check_targets(self) -> None:
        share_by_target = self.instance_state.share_by_target
        health_checks = [
            gevent.spawn(self.target_connections.check_health, target)
            for target in tuple(self.instance_state.target_by_id.values())
            if target.state is TargetState.LIVE
            and target.target_id in share_by_target
            and not self.instance_state.slots_in_use_by_target.get(
                target.target_id
            )
        ]
        gevent.joinall(health_checks, timeout=_HEALTH_CHECK_INTERVAL_S)

    def _list_addresses_to_dial(self) -> frozenset[str]:
        listing = self.instance_state.listing
        if listing is None:
            own_address = self.instance_state.identity.peer_address
            return (self._seeds | self.instance_state.peer_addresses) - {
                own_address
            }
        entries = [
            listed for listed in listing.instances if listed.kind == 'entry'
        ]
        # Of two linked instances, the one with the smaller identifier dials.
        own_entry = _find_own_entry(entries, self.instance_state.identity)
        return frozenset(
            entry.peer_address
            for entry in entries
            if entry.instance_id > own_entry.instance_id
            and entry.peer_address
            and is_link_required(own_entry, entry, entries)
        )


def _find_own_entry(
    entries: list[ListedInstance],
    identity: InstanceIdentity,
) -> ListedInstance:
    for entry in entries:
        if entry.instance_id == identity.instance_id:
            return entry
    return ListedInstance(
        instance_id=identity.instance_id,
        kind='entry',
        data_centre=identity.data_centre,
        address=identity.http_address,
        peer_address=identity.peer_address,
    )
