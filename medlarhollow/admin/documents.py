"""Documents that operators send and get, beside the records themselves."""

import attrs

from ..messages.records import Account
from ..messages.records import ClientBlock
from ..messages.records import Link
from ..messages.records import Preset
from ..messages.records import RegionWeight
from ..messages.records import Replica
from ..messages.records import ReplicaStatus
from ..messages.records import Route
from ..messages.records import Service
from ..messages.records import VmState

__all__ = [
    "Accepted",
    "ActivePreset",
    "ClientBlocks",
    "Configuration",
    "ConfigurationAnswer",
    "DataCentreStatus",
    "ErrorAnswer",
    "FleetStatus",
    "KeyOrder",
    "KeySummary",
    "MoveOrder",
    "PlannedChange",
    "ReplicaAnswer",
    "ReplicaOrder",
    "RollBackOrder",
    "VmStatus",
]


@attrs.frozen
class Accepted:
    """Answer to an accepted change."""

    revision: int
    request_id: str


@attrs.frozen
class ErrorAnswer:
    """Answer to a rejected request."""

    error: str
    outcome: str
    detail: str
    revision: int = 0


@attrs.frozen
class KeyOrder:
    """Key made by the client, which keeps the secret to itself."""

    key_id: str
    secret_sha256: bytes


@attrs.frozen
class KeySummary:
    """What is told of a key."""

    key_id: str
    account: str
    issued_at_s: float


@attrs.frozen
class MoveOrder:
    """Order to move a service to another version by a deadline.

    Without `move_id` the move is named after its request identifier. At
    most `cap` of traffic moves in one step, and a step lasts `step_s`.
    """

    service: str
    to_version: str
    deadline_s: float
    move_id: str = ""
    from_version: str = ""
    cap: float = 0.25
    step_s: float = 30.0


@attrs.frozen
class RollBackOrder:
    """Order to roll a move back."""

    reason: str = "ordered by an operator"


@attrs.frozen
class ReplicaOrder:
    """Control replica to add; a new incarnation replaces the old one."""

    address: str
    incarnation: str = ""


@attrs.frozen
class ActivePreset:
    """Preset in force and how far the shift to it has come, 0 to 1."""

    preset: str = ""
    fraction: float = 0.0
    stepped_at_s: float = 0.0
    base: tuple[RegionWeight, ...] = ()


@attrs.frozen
class ClientBlocks:
    """Client blocks to set."""

    blocks: tuple[ClientBlock, ...]


@attrs.frozen
class ReplicaAnswer:
    """What one control replica answers; `error` if it does not."""

    address: str
    error: str = ""
    status: ReplicaStatus | None = None
    members: tuple[Replica, ...] = ()


@attrs.frozen
class VmStatus:
    """Entry VM of the roster, its last report and whether it is overdue."""

    name: str
    region: str
    data_centre: str
    state: VmState
    caller_address: str
    revision: int
    freshness_age_s: float
    report_age_s: float
    overdue: bool


@attrs.frozen
class DataCentreStatus:
    """Numbers of entry VMs of one data centre."""

    data_centre: str
    region: str
    serving: int
    draining: int
    overdue: int
    allocator: str


@attrs.frozen
class FleetStatus:
    """State of the fleet as the answering replica knows it."""

    cluster: str
    answered_by: str
    is_leader: bool
    freshness_age_s: float
    revision: int
    operator_revision: int
    replicas: tuple[ReplicaAnswer, ...]
    vms: tuple[VmStatus, ...]
    data_centres: tuple[DataCentreStatus, ...]


@attrs.frozen
class Configuration:
    """Whole configuration. A part that is null is left as it is.

    A service without a version keeps the one that it is at. Keys and moves
    are no part of it: applying an old document must not bring back a revoked
    key or repeat a move.
    """

    accounts: tuple[Account, ...] | None = None
    services: tuple[Service, ...] | None = None
    routes: tuple[Route, ...] | None = None
    presets: tuple[Preset, ...] | None = None
    active_preset: str | None = None
    client_blocks: tuple[ClientBlock, ...] | None = None
    links: tuple[Link, ...] | None = None


@attrs.frozen
class PlannedChange:
    """One difference: kind of the change and the record or name it names."""

    change: str
    body: dict


@attrs.frozen
class ConfigurationAnswer:
    """Differences found and how many of them are in force."""

    dry_run: bool
    revision: int
    applied: int
    changes: tuple[PlannedChange, ...]
