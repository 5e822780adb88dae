"""Processes of the scheduler, built and started as the deploy file says."""

import fcntl
import os
import re
import signal
import subprocess
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, BinaryIO

import gevent

from ragwortfield.platform.settings_path import SETTINGS_PATH_VARIABLE
from ragwortfield.testing.free_ports import find_free_port
from ragwortfield.types import Seconds

HOST = '127.0.0.1'
#: Variables that a process inherits from the caller.
_INHERITED_VARIABLES = ('PATH', 'HOME', 'LANG')
#: Limits of a process, by their names in the settings template.
_LIMITS = {'cpu_share': 0.537, 'cores': 2, 'memory_mb': 552}
#: Size of a pipe that nobody reads, in bytes; it is full after some lines.
_UNREAD_PIPE_BYTES = 4096
_PLACEHOLDER = re.compile(r'\{\{([\w.]+)\}\}')
#: Part of a template that is left out where its field has no value.
_SECTION = re.compile(r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', re.DOTALL)
#: Interval at which the end of a process is awaited, in seconds.
_POLL_INTERVAL_S: Seconds = 0.02


@dataclass(frozen=True, kw_only=True, slots=True)
class DeployedRole:
    """
    Role of the deploy file.

    :param root: folder of the sources that are deployed.
    :param command: program and arguments.
    :param template: template of the settings file.
    """

    root: Path
    command: tuple[str, ...]
    template: str


def build(root: Path) -> DeployedRole:
    """
    Build the sources as the deploy file says.

    :param root: folder of the sources.
    :returns: the role that all instances run.
    :raises subprocess.CalledProcessError: when the build fails.
    """
    document = tomllib.loads(
        (root / 'deploy' / 'system.toml').read_text(encoding='utf-8')
    )
    subprocess.run(
        document['build'],
        shell=True,
        cwd=root,
        check=True,
        stdout=subprocess.DEVNULL,
    )
    role = next(iter(document['roles'].values()))
    return DeployedRole(
        root=root,
        command=tuple(role['run'].split()),
        template=(root / role['template']).read_text(encoding='utf-8'),
    )


def render_template(template: str, fields: Mapping[str, Any]) -> str:
    """
    Fill in the placeholders of a settings template.

    :param template: text with placeholders such as ``{{listen.front}}``.
    :param fields: nested tables and lists with the values.
    :returns: the text; a placeholder without a value becomes empty, and so does
        a section ``{{#FIELD}}...{{/FIELD}}``.
    """
    text = _SECTION.sub(
        lambda match: match[2] if _find_field(fields, match[1]) else '',
        template,
    )
    return _PLACEHOLDER.sub(lambda match: _find_field(fields, match[1]), text)


def _find_field(fields: Mapping[str, Any], path: str) -> str:
    found: Any = fields
    for part in path.split('.'):
        if isinstance(found, list):
            found = found[int(part)]
        elif isinstance(found, Mapping):
            found = found.get(part, '')
    return str(found)


@dataclass(kw_only=True, slots=True)
class InstanceProcess:
    """
    Instance of the scheduler over all starts of its process.

    :param store_address: host and port of the store for this instance; set
        before ``start``.
    :param caller_host: host under which the instance sees others.
    :param bounds: timing bounds, by their names in the template.
    :param folder: folder for the settings file and the log.
    :param is_log_read: whether the output goes to a file; otherwise it goes to
        a pipe that nobody reads.
    :param is_wanted: whether the process is started again when it has ended.
    :param unexpected_exits: statuses with which the process ended by itself.
    """

    name: str
    data_centre: str
    role: DeployedRole
    bounds: Mapping[str, Any]
    folder: Path
    caller_host: str = HOST
    store_address: str = ''
    callers_port: int = field(default_factory=find_free_port)
    health_port: int = field(default_factory=find_free_port)
    peer_port: int = field(default_factory=find_free_port)
    is_log_read: bool = True
    is_wanted: bool = True
    is_ending: bool = False
    unexpected_exits: list[int] = field(default_factory=list)
    process: subprocess.Popen[bytes] | None = None
    _unread_pipe: tuple[int, ...] = ()

    def peer_address(self) -> str:
        """
        Return the address at which peers reach the instance.

        :returns: host and port.
        """
        return f'{HOST}:{self.peer_port}'

    def is_running(self) -> bool:
        """
        Check whether the process runs.

        :returns: whether it has been started and has not ended.
        """
        return self.process is not None and self.process.poll() is None

    def start(self) -> None:
        """
        Start the process unless it runs; its log is kept over restarts.

        Faults overlap, so another one may have started it already.
        """
        if self.is_running():
            return
        path = self.folder / f'{self.name}.toml'
        path.write_text(
            render_template(self.role.template, self._make_fields()),
            encoding='utf-8',
        )
        variables = {
            name: os.environ[name]
            for name in _INHERITED_VARIABLES
            if name in os.environ
        }
        with self._open_log() as log:
            self.process = subprocess.Popen(
                self.role.command,
                cwd=self.role.root,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    **variables,
                    'PYTHONPATH': 'target/deps',
                    SETTINGS_PATH_VARIABLE: str(path),
                },
            )
        self.is_ending = False

    def send(self, number: signal.Signals) -> None:
        """
        Send a signal to the process if it runs.

        :param number: the signal.
        """
        if self.process is not None and self.is_running():
            if number in {signal.SIGTERM, signal.SIGKILL}:
                self.is_ending = True
            self.process.send_signal(number)

    def wait(self, timeout_s: Seconds) -> bool:
        """
        Wait for the end of the process.

        :param timeout_s: longest wait, in seconds.
        :returns: whether it has ended.
        """
        waited_s: Seconds = 0
        while self.is_running() and waited_s < timeout_s:
            gevent.sleep(_POLL_INTERVAL_S)
            waited_s += _POLL_INTERVAL_S
        return not self.is_running()

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def close_log(self) -> None:
        """Close the pipe for the output, if there is one."""
        for descriptor in self._unread_pipe:
            os.close(descriptor)
        self._unread_pipe = ()

    def _open_log(self) -> BinaryIO:
        if self.is_log_read:
            return (self.folder / f'{self.name}.log').open('ab')
        if not self._unread_pipe:
            self._unread_pipe = os.pipe()
            fcntl.fcntl(
                self._unread_pipe[1], fcntl.F_SETPIPE_SZ, _UNREAD_PIPE_BYTES
            )
        return os.fdopen(os.dup(self._unread_pipe[1]), 'wb')

    def _make_fields(self) -> dict[str, Any]:
        return {
            'node': self.name,
            'zone': self.data_centre,
            'region': 'region',
            'ip': HOST,
            'port_range': [self.peer_port, self.peer_port],
            'listen': {
                'front': f'{HOST}:{self.callers_port}',
                'ready': f'{HOST}:{self.health_port}',
            },
            'limits': _LIMITS,
            'bounds': self.bounds,
            'platform': {'address': self.store_address},
            'cloud': {'address': ''},
            'advice': '',
        }
