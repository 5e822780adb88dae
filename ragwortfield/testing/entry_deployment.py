"""A deployment of real processes on the loopback address, for trials."""

import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from pathlib import Path
from typing import Any

import gevent

from ragwortfield.adapters.json_codec import encode_json
from ragwortfield.adapters.http_client import (
    HttpConnectionPool,
    HttpRequest,
    Timeouts,
)
from ragwortfield.core.outcomes import WholeAnswer
from ragwortfield.core.resources import Resources
from ragwortfield.http_api.operator_api import OPERATOR_TOKEN_HEADER
from ragwortfield.ports.platform import ListedInstance
from ragwortfield.policies.admission import hash_token
from ragwortfield.testing.fake_http_servers import InstanceListChange
from ragwortfield.types import Seconds

#: Secret of the peers of every trial.
PEER_TOKEN = 'trial-peer-token-0123456789'
#: Secret of the operators of every trial.
OPERATOR_TOKEN = 'trial-operator-token-0123456789'
#: Token of the only team of every trial.
TEAM_TOKEN = 'trial-team-token'
#: Name of the only team of every trial.
TEAM = 'hospitals'
#: Name of the only service of every trial.
SERVICE = 'shifts'

_HOST = '127.0.0.1'
_TIMEOUTS = Timeouts(first_byte_s=5, total_s=5)
_POLL_S = 0.05
_WORKER_MEMORY_MB = 125_000
_TERMINATE_WAIT_S = 15

#: Configuration of a trial; leases are short, so that a trial is short too.
CONFIGURATION = f"""
name = "trial"
cross_region_bytes_per_s = 500000

[data_centres.bergamo]
region = "lombardy"
seats = 4

[data_centres.milano]
region = "lombardy"
seats = 4

[data_centres.torino]
region = "piedmont"
seats = 4

[services.{SERVICE}]
slots = 8
connections = 64
deadline_s = 4
first_byte_timeout_s = 2
objective_ms = 500
objective_share = 0.99

[teams.{TEAM}]
token_sha256 = "{hash_token(TEAM_TOKEN)}"
requests_per_s = 20000
burst_s = 2
jobs_cpu = 1000

[timing]
seat_lease_s = 3
takeover_after_s = 5
peer_timeout_s = 2
task_lease_s = 4
clock_bound_s = 0.2
key_lifetime_s = 600
"""

REGION_BY_DATA_CENTRE = {
    'bergamo': 'lombardy',
    'milano': 'lombardy',
    'torino': 'piedmont',
}


@dataclass(frozen=True, kw_only=True, slots=True)
class DeployedProcess:
    """Process of a trial."""

    name: str
    process: subprocess.Popen[bytes]
    address: str
    data_centre: str = ''
    peer_address: str = ''


class EntryDeployment:
    """
    Platform, workers and entry instances, each a process of its own.

    :param folder: where settings and logs are written.
    """

    def __init__(self, *, folder: Path) -> None:
        """Create a deployment without processes."""
        self.folder = folder
        self.entry_by_id: dict[str, DeployedProcess] = {}
        self.worker_by_id: dict[str, DeployedProcess] = {}
        self.platform: DeployedProcess | None = None
        self._pool_by_address: dict[str, HttpConnectionPool] = {}

    def start_platform(self) -> DeployedProcess:
        """
        Start the platform's stand-in.

        :returns: the process.
        """
        address = find_free_address()
        command = _stand_in('platform', address)
        process = self._spawn('platform', command)
        running = DeployedProcess(
            name='platform', process=process, address=address
        )
        self.platform = running
        self.wait_for(lambda: self.is_answering(address, '/switches'))
        return running

    def start_worker(
        self,
        worker_id: str,
        data_centre: str,
        *,
        cpu: float = 30,
        slots: int = 8,
    ) -> DeployedProcess:
        """
        Start a worker with a target, and list both.

        :param worker_id: identifier of the worker.
        :param data_centre: where it stands.
        :param cpu: its processor cores.
        :param slots: slots of its target.
        :returns: the process.
        """
        address = find_free_address()
        command = [
            *_stand_in('worker', address),
            f'--worker={worker_id}',
            f'--cpu={cpu}',
            f'--slots={slots}',
        ]
        running = DeployedProcess(
            name=worker_id,
            process=self._spawn(worker_id, command),
            address=address,
            data_centre=data_centre,
        )
        self.worker_by_id[worker_id] = running
        self.wait_for(lambda: self.is_answering(address, '/health'))
        self.change_instance_list(
            InstanceListChange(
                add=(
                    ListedInstance(
                        instance_id=worker_id,
                        kind='worker',
                        data_centre=data_centre,
                        address=address,
                        capacity=Resources(
                            cpu=cpu, memory_mb=_WORKER_MEMORY_MB
                        ),
                    ),
                    ListedInstance(
                        instance_id=f'{worker_id}-{SERVICE}',
                        kind='target',
                        data_centre=data_centre,
                        address=address,
                        service=SERVICE,
                    ),
                ),
            ),
        )
        return running

    def start_entry_instance(
        self,
        instance_id: str,
        data_centre: str,
        *,
        is_listed: bool = True,
        log_level: str = 'info',
        seeds: tuple[str, ...] = (),
    ) -> DeployedProcess:
        """
        Start an entry instance.

        :param instance_id: identifier of the instance.
        :param data_centre: where it stands.
        :param is_listed: whether the platform lists it.
        :param log_level: level of its log.
        :param seeds: peer addresses to try while the list is away.
        :returns: the process.
        """
        address = find_free_address()
        peer_address = find_free_address()
        settings = self.folder / f'{instance_id}.toml'
        settings.write_text(
            self._settings_text(
                instance_id,
                data_centre,
                address=address,
                peer_address=peer_address,
                log_level=log_level,
                seeds=seeds,
            ),
            encoding='utf-8',
        )
        command = [
            sys.executable,
            '-m',
            'ragwortfield.daemons.entry',
            f'--settings={settings}',
        ]
        running = DeployedProcess(
            name=instance_id,
            process=self._spawn(instance_id, command),
            address=address,
            data_centre=data_centre,
            peer_address=peer_address,
        )
        self.entry_by_id[instance_id] = running
        if is_listed:
            self.change_instance_list(
                InstanceListChange(
                    add=(
                        ListedInstance(
                            instance_id=instance_id,
                            kind='entry',
                            data_centre=data_centre,
                            address=address,
                            peer_address=peer_address,
                        ),
                    ),
                ),
            )
        return running

    def accept_configuration(
        self,
        instance_id: str,
        text: str = CONFIGURATION,
        expected_version: int = 0,
    ) -> WholeAnswer:
        """
        Accept a configuration through an instance.

        :param instance_id: the instance.
        :param text: the TOML text.
        :param expected_version: version that the change starts from.
        :returns: the answer.
        """
        return self.call_operator_api(
            instance_id,
            'POST',
            'configuration',
            {'text': text, 'expected_version': expected_version},
        )

    def call_operator_api(
        self,
        instance_id: str,
        method: str,
        call: str,
        document: Any = None,
    ) -> WholeAnswer:
        """
        Make an operators' call.

        :param instance_id: the instance to ask.
        :param method: HTTP method.
        :param call: path after the operators' prefix.
        :param document: body of the call.
        :returns: the answer.
        :raises TimeoutError: when there is none for several seconds.
        """
        body = b'' if document is None else encode_json(document)
        return self.send_request(
            self.entry_by_id[instance_id].address,
            HttpRequest(
                method=method,
                path=f'/operators/{call}',
                fields=((OPERATOR_TOKEN_HEADER, OPERATOR_TOKEN),),
                body=body,
            ),
        )

    def set_platform_faults(self, **changes: Any) -> None:
        """
        Change the platform's faults.

        :param changes: switches by name.
        """
        self._post(self._platform_address(), '/switches', changes)

    def set_target_faults(self, worker_id: str, **changes: Any) -> None:
        """
        Change a target's faults.

        :param worker_id: the worker of the target.
        :param changes: switches by name.
        """
        address = self.worker_by_id[worker_id].address
        self._post(address, '/stand-in/target', changes)

    def set_worker_faults(self, worker_id: str, **changes: Any) -> None:
        """
        Change a worker's faults.

        :param worker_id: the worker.
        :param changes: switches by name.
        """
        address = self.worker_by_id[worker_id].address
        self._post(address, '/stand-in/worker', changes)

    def describe_worker(self, worker_id: str) -> Any:
        """
        Read what a worker and its target saw.

        :param worker_id: the worker.
        :returns: the decoded description.
        """
        address = self.worker_by_id[worker_id].address
        request = HttpRequest(method='GET', path='/stand-in')
        return json.loads(self.send_request(address, request).body)

    def change_instance_list(self, change: InstanceListChange) -> None:
        """
        Change the platform's list.

        :param change: the change.
        """
        self._post(self._platform_address(), '/instances', change)

    def wait_until_ready(self, timeout_s: Seconds = 10) -> None:
        """
        Wait until every instance is ready and every seat is held.

        :param timeout_s: longest wait, in seconds.
        """
        self.wait_for(self._is_every_entry_ready, timeout_s)
        self.wait_for(self._is_every_seat_held, timeout_s)

    def fetch_seats_by_instance(self) -> dict[str, tuple[str, ...]]:
        """
        Ask each living instance for its seats.

        :returns: seats by instance.
        """
        seats = {}
        for name, running in self.entry_by_id.items():
            if running.process.poll() is not None:
                continue
            answer = self.call_operator_api(name, 'GET', 'instances')
            own = json.loads(answer.body)['instances'][0]
            seats[name] = tuple(own['seats'])
        return seats

    def wait_for(
        self,
        is_met: Callable[[], bool],
        timeout_s: Seconds = 10,
    ) -> None:
        """
        Wait for a condition.

        :param is_met: the condition.
        :param timeout_s: longest wait, in seconds.
        :raises TimeoutError: when it does not come true in time.
        """
        until = time.monotonic() + timeout_s
        while not is_met():
            if time.monotonic() > until:
                raise TimeoutError(f'condition not reached in {timeout_s} s')
            gevent.sleep(_POLL_S)

    def send_request(self, address: str, request: HttpRequest) -> WholeAnswer:
        """
        Make one HTTP call.

        :param address: host and port.
        :param request: the request.
        :returns: the whole answer.
        :raises TimeoutError: when there is none.
        """
        pool = self._pool_by_address.get(address)
        if pool is None:
            pool = HttpConnectionPool(address=address)
            self._pool_by_address[address] = pool
        outcome = pool.exchange(request, _TIMEOUTS)
        if not isinstance(outcome, WholeAnswer):
            raise TimeoutError(outcome.reason)
        return outcome

    def is_answering(self, address: str, path: str) -> bool:
        """
        Tell whether a page answers with status 200.

        :param address: host and port.
        :param path: the page.
        :returns: whether it does.
        """
        try:
            answer = self.send_request(
                address, HttpRequest(method='GET', path=path)
            )
        except TimeoutError:
            return False
        return answer.status == HTTPStatus.OK

    def send_signal(
        self, running: DeployedProcess, number: signal.Signals
    ) -> None:
        """
        Send a signal to one process of this deployment.

        :param running: the process.
        :param number: the signal.
        """
        running.process.send_signal(number)

    def stop(self) -> None:
        """End every process of this deployment."""
        running = [*self.entry_by_id.values(), *self.worker_by_id.values()]
        if self.platform is not None:
            running.append(self.platform)
        for one in running:
            if one.process.poll() is None:
                one.process.kill()
        for one in running:
            one.process.wait(_TERMINATE_WAIT_S)

    def read_log(self, name: str) -> str:
        """
        Read the log of a process.

        :param name: name of the process.
        :returns: its text.
        """
        return (self.folder / f'{name}.log').read_text(encoding='utf-8')

    def _settings_text(
        self,
        instance_id: str,
        data_centre: str,
        *,
        address: str,
        peer_address: str,
        log_level: str,
        seeds: tuple[str, ...],
    ) -> str:
        return f"""
[instance]
id = "{instance_id}"
data_centre = "{data_centre}"
region = "{REGION_BY_DATA_CENTRE[data_centre]}"
http_address = "{address}"
peer_address = "{peer_address}"

[platform]
address = "{self._platform_address()}"
timeout_s = 1

[peers]
seeds = {list(seeds)!r}

[log]
level = "{log_level}"
"""

    def _spawn(
        self,
        name: str,
        command: list[str],
    ) -> subprocess.Popen[bytes]:
        environment = {
            **os.environ,
            'RAGWORTFIELD_PEER_TOKEN': PEER_TOKEN,
            'RAGWORTFIELD_OPERATOR_TOKEN': OPERATOR_TOKEN,
        }
        with (self.folder / f'{name}.log').open('ab') as log:
            return subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment,
            )

    def _platform_address(self) -> str:
        return '' if self.platform is None else self.platform.address

    def _post(self, address: str, path: str, document: Any) -> None:
        request = HttpRequest(
            method='POST',
            path=path,
            body=encode_json(document),
        )
        self.send_request(address, request)

    def _is_every_entry_ready(self) -> bool:
        return all(
            self.is_answering(running.address, '/ready')
            for running in self.entry_by_id.values()
        )

    def _is_every_seat_held(self) -> bool:
        by_place: dict[str, int] = {}
        for name, seats in self.fetch_seats_by_instance().items():
            place = self.entry_by_id[name].data_centre
            by_place[place] = by_place.get(place, 0) + len(seats)
        return all(held == 4 for held in by_place.values())


def find_free_address() -> str:
    """
    Find a free port on the loopback address.

    :returns: host and port.
    """
    with socket.socket() as probe:
        probe.bind((_HOST, 0))
        return f'{_HOST}:{probe.getsockname()[1]}'


def _stand_in(kind: str, address: str) -> list[str]:
    port = address.rpartition(':')[2]
    return [
        sys.executable,
        '-m',
        'ragwortfield.testing.stand_in_daemon',
        f'--kind={kind}',
        f'--port={port}',
    ]
