"""Local deployment of entry instances, for tests and demos."""

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from pathlib import Path
from typing import Any

import gevent

from ragwortfield.adapters.http_client import (
    HttpConnectionPool,
    HttpRequest,
    Timeouts,
)
from ragwortfield.adapters.json_codec import encode_json
from ragwortfield.core.outcomes import WholeAnswer
from ragwortfield.core.resources import Resources
from ragwortfield.http_api.operator_api import OPERATOR_TOKEN_HEADER
from ragwortfield.policies.admission import hash_token
from ragwortfield.ports.platform import ListedInstance
from ragwortfield.testing.fake_http_servers import InstanceListChange
from ragwortfield.testing.free_ports import find_free_port
from ragwortfield.types import Seconds

#: Secret that all entry instances of a deployment share.
PEER_TOKEN = 'trial-peer-token-0123456789'
#: Token of the operators of a deployment.
OPERATOR_TOKEN = 'trial-operator-token-0123456789'
#: Token of the only team of a deployment.
TEAM_TOKEN = 'trial-team-token'
#: Name of the only team of a deployment.
TEAM = 'hospitals'
#: Name of the only service of a deployment.
SERVICE = 'shifts'

_HOST = '127.0.0.1'
_TIMEOUTS = Timeouts(first_byte_s=5, total_s=5)
#: Interval at which conditions are checked, in seconds.
_POLL_INTERVAL_S = 0.05
#: Memory of each worker, in MiB; default of the daemon that serves the fakes.
_WORKER_MEMORY_MB = 125_000
#: Maximum time that a killed process may take to end, in seconds.
_TERMINATE_WAIT_S = 15

#: Configuration of a deployment. Leases are short so that take-overs happen
#: within seconds.
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
    """
    Process of a deployment.

    :param address: host and port of its HTTP server.
    :param peer_address: host and port for other entry instances; empty for
        processes of other kinds.
    """

    name: str
    process: subprocess.Popen[bytes]
    address: str
    data_centre: str = ''
    peer_address: str = ''


class EntryDeployment:
    """
    Fake platform, fake workers and entry instances, each in a process.

    :param folder: folder that settings and logs are written to.
    """

    def __init__(self, *, folder: Path) -> None:
        self.folder = folder
        self.entry_by_id: dict[str, DeployedProcess] = {}
        self.worker_by_id: dict[str, DeployedProcess] = {}
        self.platform: DeployedProcess | None = None
        self._pool_by_address: dict[str, HttpConnectionPool] = {}

    def start_platform(self) -> DeployedProcess:
        """
        Start the fake platform and wait until it answers.

        :returns: the process.
        """
        address = find_free_address()
        command = _make_fake_command('platform', address)
        process = self._start_process('platform', command)
        deployed_process = DeployedProcess(
            name='platform', process=process, address=address
        )
        self.platform = deployed_process
        self.wait_for(lambda: self.is_answering(address, '/switches'))
        return deployed_process

    def start_worker(
        self,
        worker_id: str,
        data_centre: str,
        *,
        cpu: float = 30,
        slots: int = 8,
    ) -> DeployedProcess:
        """
        Start a fake worker with a target, and add both to the instance list.

        :param worker_id: identifier of the worker.
        :param data_centre: data centre of the worker.
        :param cpu: CPU cores of the worker.
        :param slots: slots of its target.
        :returns: the process.
        """
        address = find_free_address()
        command = [
            *_make_fake_command('worker', address),
            f'--worker={worker_id}',
            f'--cpu={cpu}',
            f'--slots={slots}',
        ]
        deployed_process = DeployedProcess(
            name=worker_id,
            process=self._start_process(worker_id, command),
            address=address,
            data_centre=data_centre,
        )
        self.worker_by_id[worker_id] = deployed_process
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
        return deployed_process

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
        :param data_centre: data centre of the instance.
        :param is_listed: whether it is added to the platform's instance list.
        :param log_level: level of its log.
        :param seeds: peer addresses to use while the list is unavailable.
        :returns: the process.
        """
        address = find_free_address()
        peer_address = find_free_address()
        settings = self.folder / f'{instance_id}.toml'
        settings.write_text(
            self._format_settings(
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
        deployed_process = DeployedProcess(
            name=instance_id,
            process=self._start_process(instance_id, command),
            address=address,
            data_centre=data_centre,
            peer_address=peer_address,
        )
        self.entry_by_id[instance_id] = deployed_process
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
        return deployed_process

    def accept_configuration(
        self,
        instance_id: str,
        text: str = CONFIGURATION,
        expected_version: int = 0,
    ) -> WholeAnswer:
        """
        Submit a configuration through an instance.

        :param instance_id: instance that gets the call.
        :param text: configuration in TOML.
        :param expected_version: version that the configuration replaces.
        :returns: the response.
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
        Make a call to the operators' API.

        :param instance_id: instance that gets the call.
        :param method: HTTP method.
        :param call: path after ``/operators/``.
        :param document: body, sent as JSON; ``None`` for an empty one.
        :returns: the response.
        :raises TimeoutError: when there is no complete response within 5 s.
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
        Change the injected faults of the platform.

        :param changes: new values of fields of ``PlatformFaults``.
        """
        self._post_json(self._get_platform_address(), '/switches', changes)

    def set_target_faults(self, worker_id: str, **changes: Any) -> None:
        """
        Change the injected faults of a target.

        :param worker_id: worker of the target.
        :param changes: new values of fields of ``TargetFaults``.
        """
        address = self.worker_by_id[worker_id].address
        self._post_json(address, '/stand-in/target', changes)

    def set_worker_faults(self, worker_id: str, **changes: Any) -> None:
        """
        Change the injected faults of a worker.

        :param worker_id: the worker.
        :param changes: new values of fields of ``WorkerFaults``.
        """
        address = self.worker_by_id[worker_id].address
        self._post_json(address, '/stand-in/worker', changes)

    def describe_worker(self, worker_id: str) -> Any:
        """
        Fetch the counters and task spans of a worker and its target.

        :param worker_id: the worker.
        :returns: the decoded JSON document.
        """
        address = self.worker_by_id[worker_id].address
        request = HttpRequest(method='GET', path='/stand-in')
        return json.loads(self.send_request(address, request).body)

    def change_instance_list(self, change: InstanceListChange) -> None:
        """
        Change the platform's instance list.

        :param change: entries to add, remove and mark as leaving.
        """
        self._post_json(self._get_platform_address(), '/instances', change)

    def wait_until_ready(self, timeout_s: Seconds = 10) -> None:
        """
        Wait until all entry instances are ready and all seats are held.

        :param timeout_s: longest wait for each of the two, in seconds.
        :raises TimeoutError: when it takes longer.
        """
        self.wait_for(self._is_every_entry_ready, timeout_s)
        self.wait_for(self._is_every_seat_held, timeout_s)

    def fetch_seats_by_instance(self) -> dict[str, tuple[str, ...]]:
        """
        Fetch the seats that each running instance holds.

        :returns: seats by instance identifier.
        """
        seats = {}
        for name, deployed_process in self.entry_by_id.items():
            if deployed_process.process.poll() is not None:
                continue
            answer = self.call_operator_api(name, 'GET', 'instances')
            own_entry = json.loads(answer.body)['instances'][0]
            seats[name] = tuple(own_entry['seats'])
        return seats

    def wait_for(
        self,
        is_met: Callable[[], bool],
        timeout_s: Seconds = 10,
    ) -> None:
        """
        Wait for a condition.

        :param is_met: the condition; it is checked several times a second.
        :param timeout_s: longest wait, in seconds.
        :raises TimeoutError: when the condition is not met in time.
        """
        deadline = time.monotonic() + timeout_s
        while not is_met():
            if time.monotonic() > deadline:
                raise TimeoutError(f'condition not met within {timeout_s} s')
            gevent.sleep(_POLL_INTERVAL_S)

    def send_request(self, address: str, request: HttpRequest) -> WholeAnswer:
        """
        Send an HTTP request.

        :param address: host and port.
        :param request: the request.
        :returns: the complete response.
        :raises TimeoutError: when there is no complete response.
        """
        pool = self._pool_by_address.get(address)
        if pool is None:
            pool = HttpConnectionPool(address=address)
            self._pool_by_address[address] = pool
        outcome = pool.exchange(request, _TIMEOUTS)
        if not isinstance(outcome, WholeAnswer):
            raise TimeoutError(
                f'{request.method} {address}{request.path}: {outcome.reason}',
            )
        return outcome

    def is_answering(self, address: str, path: str) -> bool:
        """
        Check that a ``GET`` request gets status 200.

        :param address: host and port.
        :param path: path of the request.
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
        self, deployed_process: DeployedProcess, number: signal.Signals
    ) -> None:
        """
        Send a signal to one process of this deployment.

        :param deployed_process: the process.
        :param number: the signal.
        """
        deployed_process.process.send_signal(number)

    def stop(self) -> None:
        """Kill all processes of this deployment and wait for their ends."""
        all_processes = [
            *self.entry_by_id.values(),
            *self.worker_by_id.values(),
        ]
        if self.platform is not None:
            all_processes.append(self.platform)
        for deployed_process in all_processes:
            if deployed_process.process.poll() is None:
                deployed_process.process.kill()
        for deployed_process in all_processes:
            deployed_process.process.wait(_TERMINATE_WAIT_S)

    def read_log(self, name: str) -> str:
        """
        Read the log of a process.

        :param name: name of the process.
        :returns: text of its log.
        """
        return (self.folder / f'{name}.log').read_text(encoding='utf-8')

    def _format_settings(
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
address = "{self._get_platform_address()}"
timeout_s = 1

[peers]
seeds = {list(seeds)!r}

[log]
level = "{log_level}"
"""

    def _start_process(
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

    def _get_platform_address(self) -> str:
        return '' if self.platform is None else self.platform.address

    def _post_json(self, address: str, path: str, document: Any) -> None:
        request = HttpRequest(
            method='POST',
            path=path,
            body=encode_json(document),
        )
        self.send_request(address, request)

    def _is_every_entry_ready(self) -> bool:
        return all(
            self.is_answering(deployed_process.address, '/ready')
            for deployed_process in self.entry_by_id.values()
        )

    def _is_every_seat_held(self) -> bool:
        seat_count_by_data_centre: dict[str, int] = {}
        for name, seats in self.fetch_seats_by_instance().items():
            data_centre = self.entry_by_id[name].data_centre
            seat_count_by_data_centre[data_centre] = (
                seat_count_by_data_centre.get(data_centre, 0) + len(seats)
            )
        return all(
            seat_count == 4 for seat_count in seat_count_by_data_centre.values()
        )


def find_free_address() -> str:
    """
    Find a port of the loopback address that is free at the moment.

    :returns: host and port.
    """
    return f'{_HOST}:{find_free_port()}'


def _make_fake_command(kind: str, address: str) -> list[str]:
    port = address.rpartition(':')[2]
    return [
        sys.executable,
        '-m',
        'ragwortfield.testing.stand_in_daemon',
        f'--kind={kind}',
        f'--port={port}',
    ]
