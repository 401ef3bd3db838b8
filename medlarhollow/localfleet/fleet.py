"""A fleet of local processes."""

import configparser
import hashlib
import pathlib
import secrets
import signal

import attrs

from .ports import free_addresses
from .process import LocalProcess

__all__ = ["LocalFleet", "VmAddresses"]

OPERATOR_TOKEN = "local-operator-token"


@attrs.frozen
class VmAddresses:
    """Addresses of the listeners of one VM.

    Attributes
    ----------
    peer, callers, announce, admin : str
        ``host:port`` of each listener.
    """

    peer: str
    callers: str
    announce: str
    admin: str


class LocalFleet:
    """Write the settings files of a fleet and run its processes.

    Parameters
    ----------
    folder : str or pathlib.Path
        Empty folder for settings, data and logs.
    replicas : int
        Number of control replicas.
    data_centres : tuple of (str, str, int)
        Region, name and number of entry VMs of each data centre.
    options : dict or None
        Additional settings, as ``{section: {option: value}}``.
    """

    def __init__(self, folder, replicas, data_centres, options=None):
        self._folder = pathlib.Path(folder)
        self._options = options or {}
        self._addresses = {}
        self._processes = {}
        self._backends = {}
        self._write_secrets()
        control = [f"control-{number + 1}" for number in range(replicas)]
        entry_vms = [
            (f"{data_centre}-{number + 1}", region, data_centre)
            for region, data_centre, count in data_centres
            for number in range(count)
        ]
        ports = iter(free_addresses(4 * (len(control) + len(entry_vms))))
        for name in [*control, *(name for name, _, _ in entry_vms)]:
            self._addresses[name] = VmAddresses(*(next(ports) for _ in "1234"))
        self._replicas = [self._addresses[name].peer for name in control]
        first_data_centre = data_centres[0]
        for name in control:
            self._write_settings(
                name, first_data_centre[0], first_data_centre[1], "control"
            )
        for name, region, data_centre in entry_vms:
            self._write_settings(name, region, data_centre, "entry")

    @property
    def addresses(self):
        """Dict of VmAddresses by process name."""
        return self._addresses

    @property
    def processes(self):
        """Dict of LocalProcess by name."""
        return self._processes

    @property
    def operator_token(self):
        """Token of the operator of this fleet."""
        return OPERATOR_TOKEN

    def start(self):
        """Start all processes."""
        for process in self._processes.values():
            process.start()

    def stop(self):
        """Stop all processes gracefully, at the same time.

        Returns
        -------
        dict of int
            Exit codes by name.
        """
        for process in self._processes.values():
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGTERM)
        return {
            name: process.wait() for name, process in self._processes.items()
        }

    def kill(self):
        """Kill all processes."""
        for process in self._processes.values():
            process.kill()

    def add_backend(
        self, name, service, version, credential, *entry_vms, options=()
    ):
        """Add a fake backend server without starting it.

        Parameters
        ----------
        name, service, version : str
            Name, service and version that it announces.
        credential : str
            Credential of the service.
        *entry_vms : str
            Names of the entry VMs that it announces itself to, tried in order
            until one accepts.
        options : tuple of str
            Further command-line options, such as ``("--latency-ms", "5")``.

        Returns
        -------
        LocalProcess
            The process.
        """
        address = self._backends[name] = free_addresses(1)[0]
        arguments = [
            "medlarhollow.localfleet.backend",
            *("--name", name),
            *("--service", service),
            *("--version", version),
            *("--credential", credential),
            *("--listen", address),
            *options,
        ]
        for entry_vm in entry_vms:
            arguments += ["--announce", self._addresses[entry_vm].announce]
        process = LocalProcess(name, arguments, self._folder)
        self._processes[name] = process
        return process

    def backend_address(self, name):
        """Return the address of a fake backend server."""
        return self._backends[name]

    def _write_secrets(self):
        self._folder.mkdir(parents=True, exist_ok=True)
        (self._folder / "peer.secret").write_text(secrets.token_hex(32))
        token = hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()
        (self._folder / "operators").write_text(f"operator {token}\n")

    def _write_settings(self, name, region, data_centre, role):
        addresses = self._addresses[name]
        parser = configparser.ConfigParser(interpolation=None)
        parser.read_dict(
            {
                "vm": {
                    "name": name,
                    "cluster": "local",
                    "region": region,
                    "data_centre": data_centre,
                    "roles": role,
                },
                "peer": {
                    "listen": addresses.peer,
                    "secret_file": str(self._folder / "peer.secret"),
                },
                "control": {"replicas": ", ".join(self._replicas)},
                "entry": {
                    "listen": addresses.callers,
                    "announce_listen": addresses.announce,
                },
            }
        )
        if role == "control":
            parser["control"]["data_dir"] = str(self._folder / f"{name}.data")
            parser["control"]["bootstrap"] = "yes"
            parser["admin"] = {
                "listen": addresses.admin,
                "tokens_file": str(self._folder / "operators"),
            }
        for section, values in self._options.items():
            if not parser.has_section(section):
                parser.add_section(section)
            parser[section].update(values)
        path = self._folder / f"{name}.ini"
        with open(path, "w", encoding="utf-8") as file:
            parser.write(file)
        self._processes[name] = LocalProcess(
            name, ["medlarhollow.daemon", str(path)], self._folder
        )
