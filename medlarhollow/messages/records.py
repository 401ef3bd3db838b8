"""Records of the messages and of the fleet state.

Generated from the schema by tools/generate.py; do not edit.
"""

import enum

import attrs

__all__ = [
    "AcceptedConfiguration",
    "Account",
    "AcquireUsageHolder",
    "ActivatePreset",
    "Allocator",
    "AppendRequest",
    "AppendResponse",
    "Applied",
    "BackendServer",
    "Ballot",
    "BatchReport",
    "BootstrapRequest",
    "BootstrapResponse",
    "BootstrapVote",
    "CallerLimits",
    "Change",
    "Claim",
    "ClaimRecord",
    "ClaimStatus",
    "ClientBlock",
    "Commit",
    "CompleteClaim",
    "Configuration",
    "ConfirmUsage",
    "CreditRequest",
    "CreditResponse",
    "DeleteAccount",
    "DeletePreset",
    "DeleteRoute",
    "DeleteService",
    "DemandSample",
    "Destination",
    "Division",
    "EndEvacuation",
    "EntryKind",
    "ErrorKind",
    "Evacuation",
    "ExchangeUpdate",
    "Failure",
    "FinishMove",
    "HardState",
    "Header",
    "Identity",
    "IssueKey",
    "Key",
    "Link",
    "LogEntry",
    "LogSnapshot",
    "Move",
    "MoveState",
    "OrderRecord",
    "Outcome",
    "Preset",
    "Priority",
    "ProposeRequest",
    "ProposeResponse",
    "PutAccount",
    "PutClientBlocks",
    "PutConfiguration",
    "PutLink",
    "PutPreset",
    "PutRoute",
    "PutService",
    "RegionSteps",
    "RegionWeight",
    "ReleaseClaim",
    "Replica",
    "ReplicaSet",
    "ReplicaStatus",
    "RequestRecord",
    "RevokeKey",
    "RollBackMove",
    "Route",
    "Service",
    "SetAllocator",
    "SetDivision",
    "SetReplicasRequest",
    "SetServiceVersion",
    "SetShares",
    "SetVm",
    "SettleUsage",
    "Share",
    "Shift",
    "SnapshotRequest",
    "SnapshotResponse",
    "StartEvacuation",
    "StartMove",
    "StateSnapshot",
    "StatusRequest",
    "StepMove",
    "StepShift",
    "SyncRequest",
    "SyncResponse",
    "TokenRequest",
    "TokenRequests",
    "TokenResponse",
    "TokenResponses",
    "UsageCount",
    "UsageHolder",
    "UsageSample",
    "UsageWindow",
    "VersionSample",
    "Vm",
    "VmReport",
    "VmState",
    "VoteRequest",
    "VoteResponse",
    "WaitSample",
]


class ErrorKind(enum.IntEnum):
    """All kinds of error."""

    NONE = 0
    BAD_REQUEST = 1
    NOT_FOUND = 2
    UNAUTHENTICATED = 3
    FORBIDDEN = 4
    CONFLICT = 5
    RATE_LIMITED = 6
    OVERLOADED = 7
    NO_BACKEND = 8
    DEADLINE_EXCEEDED = 9
    STALE_AUTHORITY = 10
    NOT_LEADER = 11
    NO_QUORUM = 12
    OUTCOME_UNKNOWN = 13
    KEY_REUSED = 14
    DRAINING = 15
    BACKEND_FAILED = 16
    STORAGE_DAMAGED = 17
    WRONG_CLUSTER = 18
    TOO_LARGE = 19
    TOKENS_UNAVAILABLE = 20
    NO_REGION = 21


class Priority(enum.IntEnum):
    """Values of Priority."""

    ORDINARY = 0
    URGENT = 1
    PATIENT = 2


class MoveState(enum.IntEnum):
    """Values of MoveState."""

    IN_PROGRESS = 0
    FINISHED = 1
    ROLLED_BACK = 2


class VmState(enum.IntEnum):
    """Values of VmState."""

    SERVING = 0
    DRAINING = 1
    GONE = 2


class ClaimStatus(enum.IntEnum):
    """Values of ClaimStatus."""

    GRANTED = 0
    PENDING = 1
    COMPLETED = 2
    MISMATCHED = 3
    RELEASED = 4


class EntryKind(enum.IntEnum):
    """Values of EntryKind."""

    NOOP = 0
    CHANGE = 1
    REPLICAS = 2


@attrs.frozen
class Failure:
    """Record of Failure."""

    kind: ErrorKind = ErrorKind(0)
    detail: str = ""
    revision: int = 0
    leader: str = ""
    retry_after_s: float = 0.0


@attrs.frozen
class Account:
    """Record of Account."""

    name: str = ""
    rate_per_s: float = 0.0
    burst: float = 0.0
    priority: Priority = Priority(0)
    home_regions: "tuple[str, ...]" = ()


@attrs.frozen
class Key:
    """Record of Key."""

    key_id: str = ""
    account: str = ""
    secret_sha256: bytes = b""
    issued_at_s: float = 0.0


@attrs.frozen
class Service:
    """Record of Service."""

    name: str = ""
    announce_sha256: bytes = b""
    version: str = ""
    health_path: str = ""
    connections: int = 0
    cold_rate_per_s: float = 0.0


@attrs.frozen
class Destination:
    """Service that receives a weighted fraction of a route's requests."""

    service: str = ""
    weight: float = 0.0


@attrs.frozen
class Route:
    """Record of Route."""

    host: str = ""
    path_prefix: str = ""
    service: str = ""
    open: bool = False
    idempotent: bool = False
    priority: Priority = Priority(0)
    timeout_s: float = 0.0
    stale_keys_s: float = 0.0
    attempts: int = 0
    split: "tuple[Destination, ...]" = ()
    sticky: bool = False
    home_regions: "tuple[str, ...]" = ()
    unclaimed: bool = False
    objective_s: float = 0.0


@attrs.frozen
class CallerLimits:
    """Limits on requests and connections of callers."""

    header_bytes: int = 0
    body_bytes: int = 0
    head_timeout_s: float = 0.0
    idle_timeout_s: float = 0.0


@attrs.frozen
class Configuration:
    """Configuration that operators submit as one document."""

    version: int = 0
    accounts: "tuple[Account, ...]" = ()
    keys: "tuple[Key, ...]" = ()
    services: "tuple[Service, ...]" = ()
    routes: "tuple[Route, ...]" = ()
    limits: "CallerLimits | None" = None
    document: bytes = b""
    document_sha256: bytes = b""


@attrs.frozen
class AcceptedConfiguration:
    """Version and digest of an accepted configuration."""

    version: int = 0
    sha256: bytes = b""


@attrs.frozen
class Evacuation:
    """Evacuated data centre, whose backend servers receive no new requests."""

    data_centre: str = ""
    started_at_s: float = 0.0
    ended_at_s: float = 0.0


@attrs.frozen
class RegionWeight:
    """Record of RegionWeight."""

    from_region: str = ""
    to_region: str = ""
    weight: float = 0.0


@attrs.frozen
class Preset:
    """Record of Preset."""

    name: str = ""
    weights: "tuple[RegionWeight, ...]" = ()
    shift_cap: float = 0.0
    shift_step_s: float = 0.0
    reserve: float = 0.0


@attrs.frozen
class Shift:
    """Shift to the preset in force, with the effective weights base x (1 - fraction) + target x fraction."""

    preset: str = ""
    base: "tuple[RegionWeight, ...]" = ()
    fraction: float = 0.0
    stepped_at_s: float = 0.0


@attrs.frozen
class Move:
    """Record of Move."""

    move_id: str = ""
    service: str = ""
    from_version: str = ""
    to_version: str = ""
    started_at_s: float = 0.0
    deadline_s: float = 0.0
    cap: float = 0.0
    step_s: float = 0.0
    fraction: float = 0.0
    stepped_at_s: float = 0.0
    state: MoveState = MoveState(0)
    reason: str = ""
    ended_at_s: float = 0.0


@attrs.frozen
class ClientBlock:
    """Record of ClientBlock."""

    prefix: str = ""
    region: str = ""


@attrs.frozen
class Link:
    """Record of Link."""

    from_region: str = ""
    to_region: str = ""
    mbit_per_s: float = 0.0


@attrs.frozen
class Vm:
    """Record of Vm."""

    name: str = ""
    incarnation: str = ""
    region: str = ""
    data_centre: str = ""
    caller_address: str = ""
    peer_address: str = ""
    state: VmState = VmState(0)
    announce_address: str = ""
    control: bool = False


@attrs.frozen
class Share:
    """A data centre's share of an account's rate and burst."""

    account: str = ""
    data_centre: str = ""
    rate_per_s: float = 0.0
    burst: float = 0.0
    epoch: int = 0


@attrs.frozen
class Allocator:
    """VM that allocates the tokens of a data centre's shares."""

    data_centre: str = ""
    vm: str = ""
    incarnation: str = ""
    epoch: int = 0
    has_predecessor: bool = False
    predecessor_may_run: bool = False
    started: bool = False
    is_confirmed: bool = False


@attrs.frozen
class RegionSteps:
    """Steps, of a fixed total, of the objects that a region's servers get."""

    region: str = ""
    steps: int = 0
    slots: int = 0


@attrs.frozen
class Division:
    """Division of the objects that the callers of a region request from one version of a service."""

    caller_region: str = ""
    service: str = ""
    version: str = ""
    steps: "tuple[RegionSteps, ...]" = ()


@attrs.frozen
class UsageHolder:
    """Replica that sends the usage reports."""

    vm: str = ""
    incarnation: str = ""
    token: int = 0


@attrs.frozen
class UsageCount:
    """Record of UsageCount."""

    account: str = ""
    requests: int = 0


@attrs.frozen
class UsageWindow:
    """Requests that backend servers began to run in one window."""

    window: int = 0
    counts: "tuple[UsageCount, ...]" = ()
    missing_vms: "tuple[str, ...]" = ()


@attrs.frozen
class Header:
    """Record of Header."""

    name: str = ""
    value: str = ""


@attrs.frozen
class Outcome:
    """Record of Outcome."""

    status: int = 0
    headers: "tuple[Header, ...]" = ()
    body: bytes = b""
    body_kept: bool = False


@attrs.frozen
class ClaimRecord:
    """Record of ClaimRecord."""

    account: str = ""
    idempotency_key: str = ""
    attempt: str = ""
    fingerprint: bytes = b""
    claimed_at_s: float = 0.0
    status: ClaimStatus = ClaimStatus(0)
    outcome: "Outcome | None" = None


@attrs.frozen
class PutAccount:
    """Changes by operators."""

    account: "Account | None" = None


@attrs.frozen
class DeleteAccount:
    """Record of DeleteAccount."""

    name: str = ""


@attrs.frozen
class IssueKey:
    """Record of IssueKey."""

    key: "Key | None" = None


@attrs.frozen
class RevokeKey:
    """Record of RevokeKey."""

    key_id: str = ""


@attrs.frozen
class PutService:
    """Record of PutService."""

    service: "Service | None" = None


@attrs.frozen
class DeleteService:
    """Record of DeleteService."""

    name: str = ""


@attrs.frozen
class PutRoute:
    """Record of PutRoute."""

    route: "Route | None" = None


@attrs.frozen
class DeleteRoute:
    """Record of DeleteRoute."""

    host: str = ""
    path_prefix: str = ""


@attrs.frozen
class PutPreset:
    """Record of PutPreset."""

    preset: "Preset | None" = None


@attrs.frozen
class DeletePreset:
    """Record of DeletePreset."""

    name: str = ""


@attrs.frozen
class ActivatePreset:
    """Record of ActivatePreset."""

    name: str = ""


@attrs.frozen
class StartMove:
    """Record of StartMove."""

    move: "Move | None" = None


@attrs.frozen
class RollBackMove:
    """Record of RollBackMove."""

    move_id: str = ""
    reason: str = ""


@attrs.frozen
class PutClientBlocks:
    """Sets the region of each block; an empty region deletes the block."""

    blocks: "tuple[ClientBlock, ...]" = ()


@attrs.frozen
class PutLink:
    """Record of PutLink."""

    link: "Link | None" = None


@attrs.frozen
class PutConfiguration:
    """Replaces all accounts, keys, services and routes."""

    configuration: "Configuration | None" = None
    base_version: int = 0


@attrs.frozen
class StartEvacuation:
    """Record of StartEvacuation."""

    data_centre: str = ""


@attrs.frozen
class EndEvacuation:
    """Record of EndEvacuation."""

    data_centre: str = ""


@attrs.frozen
class SetVm:
    """Changes by the control leader."""

    vm: "Vm | None" = None


@attrs.frozen
class StepShift:
    """Record of StepShift."""

    fraction: float = 0.0


@attrs.frozen
class StepMove:
    """Record of StepMove."""

    move_id: str = ""
    fraction: float = 0.0


@attrs.frozen
class FinishMove:
    """Record of FinishMove."""

    move_id: str = ""


@attrs.frozen
class SetShares:
    """An empty share that is set to empty again is deleted."""

    shares: "tuple[Share, ...]" = ()


@attrs.frozen
class SetAllocator:
    """Record of SetAllocator."""

    allocator: "Allocator | None" = None


@attrs.frozen
class SetServiceVersion:
    """Sets the version in force of a service that has none yet."""

    service: str = ""
    version: str = ""


@attrs.frozen
class SetDivision:
    """Record of SetDivision."""

    division: "Division | None" = None


@attrs.frozen
class AcquireUsageHolder:
    """Usage reports, stored only by the control replicas."""

    vm: str = ""
    incarnation: str = ""


@attrs.frozen
class SettleUsage:
    """Fixes the counts of a window before they are sent for the first time."""

    window: "UsageWindow | None" = None
    token: int = 0


@attrs.frozen
class ConfirmUsage:
    """Records that the receiver has accepted the report of a window."""

    window: int = 0
    token: int = 0


@attrs.frozen
class Claim:
    """Changes by entry VMs, stored only by the control replicas."""

    account: str = ""
    idempotency_key: str = ""
    attempt: str = ""
    fingerprint: bytes = b""


@attrs.frozen
class CompleteClaim:
    """Record of CompleteClaim."""

    account: str = ""
    idempotency_key: str = ""
    attempt: str = ""
    outcome: "Outcome | None" = None


@attrs.frozen
class ReleaseClaim:
    """Record of ReleaseClaim."""

    account: str = ""
    idempotency_key: str = ""
    attempt: str = ""


@attrs.frozen
class Change:
    """Record of Change."""

    request_id: str = ""
    base_revision: int = 0
    author: str = ""
    next_revision: int = 0
    body: "PutAccount | DeleteAccount | IssueKey | RevokeKey | PutService | DeleteService | PutRoute | DeleteRoute | PutPreset | DeletePreset | ActivatePreset | StartMove | RollBackMove | PutClientBlocks | PutLink | PutConfiguration | StartEvacuation | EndEvacuation | SetVm | StepShift | StepMove | FinishMove | SetShares | SetAllocator | SetServiceVersion | SetDivision | AcquireUsageHolder | SettleUsage | ConfirmUsage | Claim | CompleteClaim | ReleaseClaim | None" = None


@attrs.frozen
class Applied:
    """Result of an accepted change."""

    revision: int = 0
    claim_status: ClaimStatus = ClaimStatus(0)
    outcome: "Outcome | None" = None


@attrs.frozen
class Commit:
    """An accepted change with its revision of the fleet state."""

    revision: int = 0
    time_s: float = 0.0
    change: "Change | None" = None


@attrs.frozen
class RequestRecord:
    """Record of RequestRecord."""

    request_id: str = ""
    time_s: float = 0.0
    applied: "Applied | None" = None
    failure: "Failure | None" = None
    change_sha256: bytes = b""


@attrs.frozen
class OrderRecord:
    """Last accepted order about a subject."""

    subject: str = ""
    revision: int = 0
    time_s: float = 0.0


@attrs.frozen
class StateSnapshot:
    """Record of StateSnapshot."""

    cluster: str = ""
    revision: int = 0
    operator_revision: int = 0
    accounts: "tuple[Account, ...]" = ()
    keys: "tuple[Key, ...]" = ()
    services: "tuple[Service, ...]" = ()
    routes: "tuple[Route, ...]" = ()
    presets: "tuple[Preset, ...]" = ()
    shift: "Shift | None" = None
    moves: "tuple[Move, ...]" = ()
    client_blocks: "tuple[ClientBlock, ...]" = ()
    links: "tuple[Link, ...]" = ()
    vms: "tuple[Vm, ...]" = ()
    shares: "tuple[Share, ...]" = ()
    allocators: "tuple[Allocator, ...]" = ()
    longest_stale_keys_s: float = 0.0
    blocks_revision: int = 0
    configuration_version: int = 0
    accepted: "tuple[AcceptedConfiguration, ...]" = ()
    limits: "CallerLimits | None" = None
    evacuations: "tuple[Evacuation, ...]" = ()
    ended_evacuations: "tuple[Evacuation, ...]" = ()
    divided_accounts: "tuple[str, ...]" = ()
    departed_vms: "tuple[str, ...]" = ()
    divisions: "tuple[Division, ...]" = ()
    requests: "tuple[RequestRecord, ...]" = ()
    claims: "tuple[ClaimRecord, ...]" = ()
    orders: "tuple[OrderRecord, ...]" = ()
    document: bytes = b""
    usage_holder: "UsageHolder | None" = None
    usage_windows: "tuple[UsageWindow, ...]" = ()
    usage_settled: int = 0
    usage_confirmed: int = 0
    time_s: float = 0.0


@attrs.frozen
class Replica:
    """Control replica of the quorum, with the incarnation of its disk."""

    name: str = ""
    address: str = ""
    incarnation: str = ""
    voter: bool = False
    data_centre: str = ""
    successor: bool = False


@attrs.frozen
class ReplicaSet:
    """Record of ReplicaSet."""

    replicas: "tuple[Replica, ...]" = ()


@attrs.frozen
class LogEntry:
    """Record of LogEntry."""

    index: int = 0
    term: int = 0
    time_s: float = 0.0
    kind: EntryKind = EntryKind(0)
    change: "Change | None" = None
    replicas: "ReplicaSet | None" = None


@attrs.frozen
class HardState:
    """Persistent term and vote of a replica."""

    term: int = 0
    voted_for: str = ""
    voted_incarnation: str = ""


@attrs.frozen
class Identity:
    """Record of Identity."""

    cluster: str = ""
    name: str = ""
    incarnation: str = ""
    first_start: bool = False


@attrs.frozen
class Ballot:
    """Number of a proposal of the first replica set, ordered by round, then by the address of the proposer."""

    round: int = 0
    address: str = ""


@attrs.frozen
class BootstrapVote:
    """Persistent vote on the first replica set."""

    promised: "Ballot | None" = None
    accepted: "Ballot | None" = None
    replicas: "ReplicaSet | None" = None


@attrs.frozen
class LogSnapshot:
    """Record of LogSnapshot."""

    index: int = 0
    term: int = 0
    replicas: "ReplicaSet | None" = None
    state: "StateSnapshot | None" = None


@attrs.frozen
class VoteRequest:
    """Record of VoteRequest."""

    cluster: str = ""
    candidate: str = ""
    candidate_incarnation: str = ""
    term: int = 0
    last_index: int = 0
    last_term: int = 0
    pre_vote: bool = False
    voter_incarnation: str = ""


@attrs.frozen
class VoteResponse:
    """Record of VoteResponse."""

    term: int = 0
    granted: bool = False
    incarnation: str = ""


@attrs.frozen
class AppendRequest:
    """Record of AppendRequest."""

    cluster: str = ""
    leader: str = ""
    leader_address: str = ""
    term: int = 0
    previous_index: int = 0
    previous_term: int = 0
    commit_index: int = 0
    entries: "tuple[bytes, ...]" = ()


@attrs.frozen
class AppendResponse:
    """Record of AppendResponse."""

    term: int = 0
    success: bool = False
    last_index: int = 0
    incarnation: str = ""


@attrs.frozen
class SnapshotRequest:
    """Record of SnapshotRequest."""

    cluster: str = ""
    leader: str = ""
    leader_address: str = ""
    term: int = 0
    offset: int = 0
    data: bytes = b""
    done: bool = False


@attrs.frozen
class SnapshotResponse:
    """Record of SnapshotResponse."""

    term: int = 0
    offset: int = 0
    incarnation: str = ""


@attrs.frozen
class BootstrapRequest:
    """Proposal of the first replica set: without a set, only the ballot is promised."""

    cluster: str = ""
    ballot: "Ballot | None" = None
    replicas: "ReplicaSet | None" = None


@attrs.frozen
class BootstrapResponse:
    """Record of BootstrapResponse."""

    granted: bool = False
    vote: "BootstrapVote | None" = None
    replica: "Replica | None" = None


@attrs.frozen
class ProposeRequest:
    """Record of ProposeRequest."""

    change: "Change | None" = None
    forwarded: bool = False


@attrs.frozen
class ProposeResponse:
    """Record of ProposeResponse."""

    applied: "Applied | None" = None
    failure: "Failure | None" = None


@attrs.frozen
class ReplicaStatus:
    """Record of ReplicaStatus."""

    name: str = ""
    incarnation: str = ""
    role: str = ""
    term: int = 0
    leader: str = ""
    commit_index: int = 0
    last_index: int = 0
    snapshot_index: int = 0
    revision: int = 0
    freshness_age_s: float = 0.0
    replicas: "ReplicaSet | None" = None
    cluster: str = ""
    may_bootstrap: bool = False


@attrs.frozen
class StatusRequest:
    """Record of StatusRequest."""

    confirmed: bool = False


@attrs.frozen
class SetReplicasRequest:
    """Record of SetReplicasRequest."""

    replica: "Replica | None" = None
    remove: bool = False
    forwarded: bool = False


@attrs.frozen
class VersionSample:
    """Request counts of one version on one route since the previous request."""

    service: str = ""
    version: str = ""
    route: str = ""
    region: str = ""
    requests: int = 0
    errors: int = 0
    slow: int = 0
    unanswered: int = 0


@attrs.frozen
class DemandSample:
    """Demand of an account in one data centre."""

    account: str = ""
    data_centre: str = ""
    rate_per_s: float = 0.0
    unmet_per_s: float = 0.0


@attrs.frozen
class WaitSample:
    """Requests at the servers of one region since the previous request."""

    caller_region: str = ""
    service: str = ""
    version: str = ""
    server_region: str = ""
    requests: int = 0
    wait_s: float = 0.0
    busy_s: float = 0.0


@attrs.frozen
class UsageSample:
    """Requests that servers began to run in one window, as one entry VM counted them."""

    vm: str = ""
    incarnation: str = ""
    window: int = 0
    counts: "tuple[UsageCount, ...]" = ()
    complete: bool = False


@attrs.frozen
class VmReport:
    """Status of a VM for the roster and the overdue report."""

    vm: "Vm | None" = None
    revision: int = 0
    freshness_age_s: float = 0.0
    share_epoch: int = 0
    report_age_s: float = 0.0
    wall_time_s: float = 0.0


@attrs.frozen
class SyncRequest:
    """Record of SyncRequest."""

    cluster: str = ""
    revision: int = 0
    reports: "tuple[VmReport, ...]" = ()
    versions: "tuple[VersionSample, ...]" = ()
    demands: "tuple[DemandSample, ...]" = ()
    sequence: int = 0
    immediate: bool = False
    usage: "tuple[UsageSample, ...]" = ()
    waits: "tuple[WaitSample, ...]" = ()


@attrs.frozen
class SyncResponse:
    """Record of SyncResponse."""

    cluster: str = ""
    sequence: int = 0
    freshness_age_s: float = 0.0
    snapshot: "StateSnapshot | None" = None
    commits: "tuple[Commit, ...]" = ()
    failure: "Failure | None" = None
    held_s: float = 0.0
    fleet_time_s: float = 0.0


@attrs.frozen
class BackendServer:
    """Record of BackendServer."""

    server_id: str = ""
    service: str = ""
    version: str = ""
    address: str = ""
    slots: int = 0
    connections: int = 0
    load_path: str = ""
    leaving: bool = False
    load: float = 0.0
    load_age_s: float = 0.0
    sequence: int = 0
    in_flight: int = 0
    lease_left_s: float = 0.0
    instance: str = ""
    wanted: bool = False
    data_centre: str = ""
    region: str = ""
    started_at_ms: int = 0
    cold_left_s: float = 0.0
    cold_senders: "tuple[str, ...]" = ()
    owner: str = ""


@attrs.frozen
class ExchangeUpdate:
    """Record of ExchangeUpdate."""

    vm: "Vm | None" = None
    sequence: int = 0
    servers: "tuple[BackendServer, ...]" = ()
    removed: "tuple[str, ...]" = ()
    released: "tuple[str, ...]" = ()
    overdue: "tuple[str, ...]" = ()
    relayed: "tuple[str, ...]" = ()
    relayed_ages_ms: "tuple[int, ...]" = ()
    followers: "tuple[Vm, ...]" = ()
    lost_followers: "tuple[str, ...]" = ()
    confirmed: int = 0
    wants_confirmation: bool = False


@attrs.frozen
class TokenRequest:
    """Record of TokenRequest."""

    account: str = ""
    tokens: float = 0.0
    vm: str = ""
    incarnation: str = ""
    epoch: int = 0
    batches: "tuple[BatchReport, ...]" = ()
    call_id: int = 0
    traceparent: str = ""
    immediate: bool = False


@attrs.frozen
class TokenRequests:
    """Batch of token requests of one VM to an allocator, for any accounts."""

    requests: "tuple[TokenRequest, ...]" = ()


@attrs.frozen
class BatchReport:
    """Settlement of an earlier batch of tokens."""

    batch_id: int = 0
    spent: float = 0.0
    closed: bool = False


@attrs.frozen
class TokenResponse:
    """Record of TokenResponse."""

    tokens: float = 0.0
    lease_s: float = 0.0
    wait_s: float = 0.0
    epoch: int = 0
    failure: "Failure | None" = None
    batch_id: int = 0
    settle_soon: bool = False
    call_id: int = 0
    is_starting: bool = False


@attrs.frozen
class TokenResponses:
    """Record of TokenResponses."""

    responses: "tuple[TokenResponse, ...]" = ()


@attrs.frozen
class CreditRequest:
    """Record of CreditRequest."""

    service: str = ""
    slots: int = 0
    vm: str = ""
    region: str = ""
    bytes_per_request: float = 0.0


@attrs.frozen
class CreditResponse:
    """Record of CreditResponse."""

    slots: int = 0
    lease_s: float = 0.0
    credit_id: str = ""
    failure: "Failure | None" = None
