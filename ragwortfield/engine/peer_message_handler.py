"""Heartbeats to peers and handling of the messages of peers."""

from ragwortfield.core.configuration import VersionedConfiguration
from ragwortfield.core.instance_state import InstanceState
from ragwortfield.core.peers import Peer
from ragwortfield.log import event
from ragwortfield.peering.messages import (
    ConfigurationAsk,
    ConfigurationOffer,
    Heartbeat,
    Message,
    PeersAsk,
    PeersOffer,
)
from ragwortfield.policies.configuration import apply_configuration
from ragwortfield.policies.routing import count_free_slots
from ragwortfield.ports.clock import Clock
from ragwortfield.settings.configuration_parsing import parse_configuration
from ragwortfield.settings.toml_parsing import SettingsError
from ragwortfield.types import InstanceId, Seconds

#: Time since the last answer of the store within which it counts as reachable,
#: in seconds.
STORE_REACHABLE_S: Seconds = 5.0


class PeerMessageHandler:
    """
    Creates heartbeats and applies messages of peers to the instance's state.

    :param instance_state: state of this instance.
    :param clock: source of time.
    """

    def __init__(self, *, instance_state: InstanceState, clock: Clock) -> None:
        """Create without peers."""
        self._instance_state = instance_state
        self._clock = clock

    def heartbeat(self) -> Heartbeat:
        """
        Create a heartbeat from the current state.

        :returns: the heartbeat.
        """
        instance_state = self._instance_state
        now = self._clock.monotonic()
        configuration = instance_state.configuration()
        services = () if configuration is None else configuration.services
        return Heartbeat(
            instance_id=instance_state.identity.instance_id,
            data_centre=instance_state.identity.data_centre,
            http_address=instance_state.identity.http_address,
            free_by_service={
                name: count_free_slots(instance_state, name, now)
                for name in services
            },
            generation_by_seat={
                key: held.generation
                for key, held in instance_state.held_seat_by_key.items()
                if not held.is_suspended
            },
            configuration_version=instance_state.configuration_version(),
            is_leaving=instance_state.is_leaving,
            is_store_reachable=is_store_reachable(instance_state, now),
        )

    def receive(self, peer_id: InstanceId, message: Message) -> Message | None:
        """
        Handle a message of a peer.

        :param peer_id: the peer as authenticated by the handshake.
        :param message: the message.
        :returns: the answer; ``None`` if there is none.
        """
        if isinstance(message, Heartbeat):
            return self._receive_heartbeat(peer_id, message)
        if isinstance(message, ConfigurationAsk):
            return self._answer_configuration_ask(message)
        if isinstance(message, PeersAsk):
            return self._list_peers()
        if isinstance(message, ConfigurationOffer):
            self._adopt_configuration(peer_id, message)
        elif isinstance(message, PeersOffer):
            self._instance_state.peer_addresses |= frozenset(message.addresses)
        return None

    def _receive_heartbeat(
        self,
        peer_id: InstanceId,
        heartbeat: Heartbeat,
    ) -> Message | None:
        self._instance_state.peer_by_id[peer_id] = Peer(
            instance_id=peer_id,
            data_centre=heartbeat.data_centre,
            http_address=heartbeat.http_address,
            heard_at=self._clock.monotonic(),
            free_by_service=heartbeat.free_by_service,
            generation_by_seat=heartbeat.generation_by_seat,
            configuration_version=heartbeat.configuration_version,
            is_leaving=heartbeat.is_leaving,
            is_store_reachable=heartbeat.is_store_reachable,
        )
        known_version = self._instance_state.configuration_version()
        if heartbeat.configuration_version > known_version:
            return ConfigurationAsk(known_version=known_version)
        if self._instance_state.listing is None:
            return PeersAsk(
                data_centre=self._instance_state.identity.data_centre
            )
        return None

    def _list_peers(self) -> Message:
        listing = self._instance_state.listing
        listed = () if listing is None else listing.instances
        addresses = {
            entry.peer_address for entry in listed if entry.kind == 'entry'
        }
        addresses |= self._instance_state.peer_addresses
        return PeersOffer(addresses=tuple(sorted(addresses - {''})))

    def _answer_configuration_ask(
        self, ask: ConfigurationAsk
    ) -> Message | None:
        version = self._instance_state.configuration_version()
        if version <= ask.known_version:
            return None
        return ConfigurationOffer(
            version=version,
            text=self._instance_state.configuration_text,
        )

    def _adopt_configuration(
        self, peer_id: InstanceId, offer: ConfigurationOffer
    ) -> None:
        configuration = parse_configuration(offer.text, f'peer {peer_id}')
        if isinstance(configuration, SettingsError):
            event('configuration_offer_refused', reason=configuration.text())
            return
        versioned = VersionedConfiguration(
            version=offer.version,
            configuration=configuration,
        )
        if apply_configuration(self._instance_state, versioned, offer.text):
            event(
                'configuration_in_force',
                version=offer.version,
                source=f'peer {peer_id}',
            )


def is_store_reachable(instance_state: InstanceState, now: float) -> bool:
    """
    Tell whether the platform's store has answered recently.

    :param instance_state: state of this instance.
    :param now: monotonic time, in seconds.
    :returns: whether it answered within ``STORE_REACHABLE_S``.
    """
    return bool(instance_state.store_reached_at) and (
        now - instance_state.store_reached_at <= STORE_REACHABLE_S
    )
