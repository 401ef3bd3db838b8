"""Settings classes and their schema.

Generated from the schema by tools/generate.py; do not edit.
"""

import attrs

from .option import Option

__all__ = [
    "AdminSettings",
    "BackendsSettings",
    "ControlSettings",
    "EntrySettings",
    "LimitsSettings",
    "PeerSettings",
    "SCHEMA",
    "Settings",
    "SpillSettings",
    "TelemetrySettings",
    "UsageSettings",
    "VmSettings",
]


@attrs.frozen(kw_only=True)
class VmSettings:
    """Identity, location and roles of this VM."""

    name: str
    cluster: str
    region: str
    data_centre: str
    roles: tuple[str, ...] = ("entry",)


@attrs.frozen(kw_only=True)
class PeerSettings:
    """Traffic between the system's own processes (gRPC)."""

    listen: str
    advertise: str = ""
    data_centre_peers: tuple[str, ...] = ()
    remote_peers: tuple[str, ...] = ()
    secret_file: str
    tls_certificate_file: str = ""
    tls_key_file: str = ""
    tls_authority_file: str = ""
    connect_timeout_s: float = 1.0
    silence_timeout_s: float = 2.0


@attrs.frozen(kw_only=True)
class ControlSettings:
    """Control replicas."""

    replicas: tuple[str, ...]
    data_dir: str = ""
    bootstrap: bool = False
    join: bool = False
    removal_s: float = 0.0
    heartbeat_s: float = 0.15
    election_timeout_s: float = 1.0
    snapshot_entries: int = 2000
    snapshot_bytes: int = 8388608
    history_commits: int = 5000
    history_bytes: int = 8388608
    claim_retention_s: float = 604800.0
    claim_bytes: int = 33554432
    request_retention_s: float = 86400.0
    propose_timeout_s: float = 5.0
    vm_lease_s: float = 3.0


@attrs.frozen(kw_only=True)
class EntrySettings:
    """Listeners and request handling of an entry VM."""

    listen: str = "127.0.0.1:8080"
    advertise: str = ""
    announce_listen: str = "127.0.0.1:8081"
    lookup_ttl_s: float = 5.0
    lookup_count: int = 3
    drain_limit_s: float = 30.0
    drain_notice_s: float = 2.0
    queue_limit: int = 1024
    header_limit_bytes: int = 32768
    default_timeout_s: float = 10.0
    retry_budget: float = 0.1
    retry_burst: float = 50.0
    outcome_body_limit_bytes: int = 16384
    head_timeout_s: float = 10.0
    keep_alive_s: float = 15.0
    stall_timeout_s: float = 15.0
    body_keep_bytes: int = 65536
    claim_timeout_s: float = 3.0
    retry_after_s: float = 1.0
    silent_part: float = 0.5
    hedge_limit: float = 0.0
    slow_answer_s: float = 1.0


@attrs.frozen(kw_only=True)
class BackendsSettings:
    """Backend servers."""

    lease_s: float = 3.0
    connect_timeout_s: float = 0.5
    probe_interval_s: float = 1.0
    slow_start_s: float = 20.0
    ejection_s: float = 5.0
    scope: str = "data_centre"
    record_limit: int = 8192
    open_announcements: bool = False
    remote_weight: float = 0.1
    shift_per_s: float = 0.05
    queue_order: str = "deadline"
    division: str = "local"


@attrs.frozen(kw_only=True)
class LimitsSettings:
    """Keys, rate limits and shares."""

    key_freshness_limit_s: float = 4.0
    allocator_lease_s: float = 3.0
    batch_lease_s: float = 1.0
    wait_limit_s: float = 1.0
    refill_wait_s: float = 1.0


@attrs.frozen(kw_only=True)
class SpillSettings:
    """Requests sent to other data centres."""

    credit_lease_s: float = 2.0
    link_mbit_per_s: float = 4000.0


@attrs.frozen(kw_only=True)
class UsageSettings:
    """Reports of the requests of each client account to a receiver outside the fleet."""

    receiver: str = ""
    window_s: float = 5.0
    due_s: float = 10.0
    lease_s: float = 3.0
    rate_per_s: float = 50.0


@attrs.frozen(kw_only=True)
class AdminSettings:
    """Administration API of a control replica."""

    listen: str = "127.0.0.1:8090"
    tokens_file: str = ""


@attrs.frozen(kw_only=True)
class TelemetrySettings:
    """Logs, metrics and traces."""

    log_level: str = "info"
    log_file: str = ""
    request_lines_per_s: float = 50.0
    export: str = "none"
    export_file: str = ""
    otlp_endpoint: str = ""
    metrics_listen: str = ""
    trace_sample: float = 0.01
    export_interval_s: float = 10.0


@attrs.frozen(kw_only=True)
class Settings:
    """All settings of one process."""

    vm: VmSettings
    peer: PeerSettings
    control: ControlSettings
    entry: EntrySettings
    backends: BackendsSettings
    limits: LimitsSettings
    spill: SpillSettings
    usage: UsageSettings
    admin: AdminSettings
    telemetry: TelemetrySettings


SCHEMA = {
    "vm": (
        VmSettings,
        (
            Option(
                name="name",
                type="str",
                required=True,
                help="Name of this VM, unique in the fleet.",
            ),
            Option(
                name="cluster",
                type="str",
                required=True,
                help="Identity of the fleet; processes of other fleets are rejected.",
            ),
            Option(
                name="region",
                type="str",
                required=True,
                help="Region of this VM.",
            ),
            Option(
                name="data_centre",
                type="str",
                required=True,
                help="Data centre of this VM.",
            ),
            Option(
                name="roles",
                type="list",
                allowed=("entry", "control", "registry"),
                help="Roles of this process; a registry accepts announcements for the whole fleet and serves look-ups, but accepts no requests.",
            ),
        ),
    ),
    "peer": (
        PeerSettings,
        (
            Option(
                name="listen",
                type="address",
                required=True,
                help="Address to listen on.",
            ),
            Option(
                name="advertise",
                type="str",
                help="Address that other VMs use; empty for the listen address.",
            ),
            Option(
                name="data_centre_peers",
                type="addresses",
                help="Peer addresses of entry VMs of this data centre, used as seeds.",
            ),
            Option(
                name="remote_peers",
                type="addresses",
                help="Peer addresses of entry VMs of other data centres, used when no control replica responds.",
            ),
            Option(
                name="secret_file",
                type="path",
                required=True,
                help="File with the secret that authenticates processes of the fleet to each other.",
            ),
            Option(
                name="tls_certificate_file",
                type="path",
                help="Certificate for mutual TLS; empty for none.",
            ),
            Option(
                name="tls_key_file",
                type="path",
                help="Private key for mutual TLS.",
            ),
            Option(
                name="tls_authority_file",
                type="path",
                help="Certificate authority that signs the fleet's certificates.",
            ),
            Option(
                name="connect_timeout_s",
                type="float",
                lowest=0.05,
                highest=30.0,
                help="Time limit for establishing a connection.",
            ),
            Option(
                name="silence_timeout_s",
                type="float",
                lowest=0.2,
                highest=60.0,
                help="A stream on which nothing is received for longer is replaced.",
            ),
        ),
    ),
    "control": (
        ControlSettings,
        (
            Option(
                name="replicas",
                type="addresses",
                required=True,
                help="Peer addresses of the control replicas.",
            ),
            Option(
                name="data_dir",
                type="path",
                help="Data directory of a control replica; required with the role control.",
            ),
            Option(
                name="bootstrap",
                type="bool",
                help="Form a new cluster of the listed replicas when the data directory is empty: of all of them, or with join of a majority, which the others join later. Never set this on a replica that lost its disk.",
            ),
            Option(
                name="join",
                type="bool",
                help="Request membership from the leader when no leader contacts this replica, so that replicas can be replaced without an operator.",
            ),
            Option(
                name="removal_s",
                type="float",
                lowest=0.0,
                highest=86400.0,
                help="Time after which the leader removes an unresponsive replica; 0 to leave that to operators. A replica that was replaced by a new one in its data centre is removed after three election timeouts. A replica that returns joins again only with join.",
            ),
            Option(
                name="heartbeat_s",
                type="float",
                lowest=0.01,
                highest=10.0,
                help="Interval between heartbeats of the leader.",
            ),
            Option(
                name="election_timeout_s",
                type="float",
                lowest=0.05,
                highest=60.0,
                help="Minimum time without a leader before an election; the maximum is twice that.",
            ),
            Option(
                name="snapshot_entries",
                type="int",
                lowest=10,
                highest=1000000,
                help="Log entries after which a snapshot is written.",
            ),
            Option(
                name="snapshot_bytes",
                type="int",
                lowest=65536,
                highest=1073741824,
                help="Size of log entries after which a snapshot is written; half of it is retained for replicas that lag.",
            ),
            Option(
                name="history_commits",
                type="int",
                lowest=10,
                highest=1000000,
                help="Accepted changes retained for VMs that catch up.",
            ),
            Option(
                name="history_bytes",
                type="int",
                lowest=65536,
                highest=1073741824,
                help="Estimated memory of these changes; older ones are dropped.",
            ),
            Option(
                name="claim_retention_s",
                type="float",
                lowest=60.0,
                highest=31536000.0,
                help="Retention time of an idempotency key; older keys are rejected.",
            ),
            Option(
                name="claim_bytes",
                type="int",
                lowest=65536,
                highest=1073741824,
                help="Estimated memory of the claims on idempotency keys; beyond it the oldest claims of the account that has most are dropped, and its keys up to their age are rejected. The same on all replicas.",
            ),
            Option(
                name="request_retention_s",
                type="float",
                lowest=60.0,
                highest=31536000.0,
                help="Retention time of the response to an operator's change.",
            ),
            Option(
                name="propose_timeout_s",
                type="float",
                lowest=0.1,
                highest=60.0,
                help="Time limit for committing one change.",
            ),
            Option(
                name="vm_lease_s",
                type="float",
                lowest=0.5,
                highest=60.0,
                help="A VM that has not reported for longer counts as gone.",
            ),
        ),
    ),
    "entry": (
        EntrySettings,
        (
            Option(name="listen", type="address", help="Address for callers."),
            Option(
                name="advertise",
                type="str",
                help="Address returned in look-ups; empty for the listen address.",
            ),
            Option(
                name="announce_listen",
                type="address",
                help="Address for announcements of backend servers.",
            ),
            Option(
                name="lookup_ttl_s",
                type="float",
                lowest=0.5,
                highest=3600.0,
                help="Time to live of a look-up response.",
            ),
            Option(
                name="lookup_count",
                type="int",
                lowest=1,
                highest=32,
                help="Entry VMs returned in a look-up response.",
            ),
            Option(
                name="drain_limit_s",
                type="float",
                lowest=0.0,
                highest=3600.0,
                help="Time limit for requests in flight at a planned stop.",
            ),
            Option(
                name="drain_notice_s",
                type="float",
                lowest=0.0,
                highest=60.0,
                help="Time between withdrawal from look-ups and the rejection of new connections.",
            ),
            Option(
                name="queue_limit",
                type="int",
                lowest=1,
                highest=100000,
                help="Maximum number of queued requests.",
            ),
            Option(
                name="header_limit_bytes",
                type="int",
                lowest=1024,
                highest=1048576,
                help="Maximum size of a request head.",
            ),
            Option(
                name="default_timeout_s",
                type="float",
                lowest=0.05,
                highest=3600.0,
                help="Deadline of a request for which neither route nor header sets one.",
            ),
            Option(
                name="retry_budget",
                type="float",
                lowest=0.0,
                highest=1.0,
                help="Retries allowed as a fraction of requests.",
            ),
            Option(
                name="retry_burst",
                type="float",
                lowest=0.0,
                highest=1000.0,
                help="Burst of retries that all entry VMs together may make after an idle period.",
            ),
            Option(
                name="outcome_body_limit_bytes",
                type="int",
                lowest=0,
                highest=1048576,
                help="Maximum size of a response body stored for retries with the same idempotency key.",
            ),
            Option(
                name="head_timeout_s",
                type="float",
                lowest=0.1,
                highest=600.0,
                help="Time limit for receiving a request head.",
            ),
            Option(
                name="keep_alive_s",
                type="float",
                lowest=0.1,
                highest=600.0,
                help="Time after which an idle connection of a caller is closed.",
            ),
            Option(
                name="stall_timeout_s",
                type="float",
                lowest=0.1,
                highest=600.0,
                help="Maximum pause while a request or response body is received or sent, for callers and backend servers.",
            ),
            Option(
                name="body_keep_bytes",
                type="int",
                lowest=0,
                highest=16777216,
                help="Bytes of a request body that are buffered in memory, so that the request can be retried.",
            ),
            Option(
                name="claim_timeout_s",
                type="float",
                lowest=0.1,
                highest=60.0,
                help="Time limit for committing a claim; after it the request is rejected as not run.",
            ),
            Option(
                name="retry_after_s",
                type="float",
                lowest=0.0,
                highest=60.0,
                help="Retry-After time sent to rejected callers; fractions are for callers that accept them, beyond RFC 9110.",
            ),
            Option(
                name="silent_part",
                type="float",
                lowest=0.0,
                highest=1.0,
                help="Fraction of the remaining time that an unresponsive backend server may use before an idempotent request is sent to another one; 1 to wait for it.",
            ),
            Option(
                name="hedge_limit",
                type="float",
                lowest=0.0,
                highest=1.0,
                help="Part of the requests of a service that may get a second attempt while the first one still runs, on idempotent routes; 0 for none. Hedged attempts also spend the retry budget.",
            ),
            Option(
                name="slow_answer_s",
                type="float",
                lowest=0.001,
                highest=600.0,
                help="A response whose head takes longer counts as slow.",
            ),
        ),
    ),
    "backends": (
        BackendsSettings,
        (
            Option(
                name="lease_s",
                type="float",
                lowest=0.5,
                highest=60.0,
                help="Lease of an announcement.",
            ),
            Option(
                name="connect_timeout_s",
                type="float",
                lowest=0.01,
                highest=30.0,
                help="Time limit for establishing a connection to a backend server.",
            ),
            Option(
                name="probe_interval_s",
                type="float",
                lowest=0.1,
                highest=60.0,
                help="Polling interval of a load endpoint.",
            ),
            Option(
                name="slow_start_s",
                type="float",
                lowest=0.0,
                highest=3600.0,
                help="Slow start: time in which the share of a new backend server rises to its full value.",
            ),
            Option(
                name="ejection_s",
                type="float",
                lowest=0.1,
                highest=600.0,
                help="Initial ejection time of an outlier, during which it receives no requests.",
            ),
            Option(
                name="scope",
                type="choice",
                allowed=("data_centre", "fleet"),
                help="Backend servers that serve the callers of a VM: those of its data centre, with others on credit, or those of the whole fleet.",
            ),
            Option(
                name="record_limit",
                type="int",
                lowest=64,
                highest=1000000,
                help="Records of backend servers that are kept, those that left included; one service may have half of them, one sender of announcements an eighth.",
            ),
            Option(
                name="open_announcements",
                type="bool",
                help="Accept announcements without a credential, for networks in which only backend servers can send them.",
            ),
            Option(
                name="remote_weight",
                type="float",
                lowest=0.0,
                highest=1.0,
                help="Weight of a backend server of another region relative to one of this region, with scope = fleet, while no requests are queued.",
            ),
            Option(
                name="shift_per_s",
                type="float",
                lowest=0.0,
                highest=1.0,
                help="Fraction of a VM's requests that may shift to servers of another region per second, with scope = fleet; 0 for none.",
            ),
            Option(
                name="queue_order",
                type="choice",
                allowed=("deadline", "objective"),
                help="Order of queued requests of one rank and account: by arrival, or those first that can still be answered within the objective of their route.",
            ),
            Option(
                name="division",
                type="choice",
                allowed=("local", "fleet"),
                help="Who divides the objects over the servers of the regions, with scope = fleet: each VM by its own measurements, or the control leader for all VMs of a region.",
            ),
        ),
    ),
    "limits": (
        LimitsSettings,
        (
            Option(
                name="key_freshness_limit_s",
                type="float",
                lowest=0.5,
                highest=3600.0,
                help="Age of the proof of authority after which keyed requests are rejected.",
            ),
            Option(
                name="allocator_lease_s",
                type="float",
                lowest=0.5,
                highest=60.0,
                help="Lease of the VM that allocates a data centre's shares.",
            ),
            Option(
                name="batch_lease_s",
                type="float",
                lowest=0.1,
                highest=30.0,
                help="Lease of a batch of tokens.",
            ),
            Option(
                name="wait_limit_s",
                type="float",
                lowest=0.0,
                highest=30.0,
                help="Maximum wait for tokens before a request is rejected.",
            ),
            Option(
                name="refill_wait_s",
                type="float",
                lowest=0.0,
                highest=30.0,
                help="Maximum wait for a refill after the allocators report that the account has used up its tokens; 0 to reject the request at once.",
            ),
        ),
    ),
    "spill": (
        SpillSettings,
        (
            Option(
                name="credit_lease_s",
                type="float",
                lowest=0.2,
                highest=60.0,
                help="Lease of credit granted to another data centre.",
            ),
            Option(
                name="link_mbit_per_s",
                type="float",
                lowest=1.0,
                highest=10000000.0,
                help="Limit of the link between two regions for which the fleet state has none.",
            ),
        ),
    ),
    "usage": (
        UsageSettings,
        (
            Option(
                name="receiver",
                type="str",
                help="Address of the receiver; empty for no reports.",
            ),
            Option(
                name="window_s",
                type="float",
                lowest=0.1,
                highest=86400.0,
                help="Length of the windows; window k begins k times this after the start of 1970.",
            ),
            Option(
                name="due_s",
                type="float",
                lowest=0.5,
                highest=86400.0,
                help="Time after the end of a window at which its report is due.",
            ),
            Option(
                name="lease_s",
                type="float",
                lowest=0.0,
                highest=60.0,
                help="Time for which a new sender of reports waits, so that two senders never act by turns within it.",
            ),
            Option(
                name="rate_per_s",
                type="float",
                lowest=0.01,
                highest=100000.0,
                help="Calls that the receiver accepts from all VMs together.",
            ),
        ),
    ),
    "admin": (
        AdminSettings,
        (
            Option(
                name="listen", type="address", help="Address for operators."
            ),
            Option(
                name="tokens_file",
                type="path",
                help="File with one line 'operator SHA-256-of-token' for each operator; required with the role control.",
            ),
        ),
    ),
    "telemetry": (
        TelemetrySettings,
        (
            Option(
                name="log_level",
                type="choice",
                allowed=("debug", "info", "warning", "error"),
                help="Minimum severity that is logged.",
            ),
            Option(
                name="log_file",
                type="path",
                help="File for the JSON log; empty for standard output.",
            ),
            Option(
                name="request_lines_per_s",
                type="float",
                lowest=0.0,
                highest=100000.0,
                help="Log lines for served requests, and the same number for others; suppressed lines are counted.",
            ),
            Option(
                name="export",
                type="choice",
                allowed=("none", "file", "otlp"),
                help="Destination of metrics and traces.",
            ),
            Option(
                name="export_file",
                type="path",
                help="File for metrics and traces with export = file.",
            ),
            Option(
                name="otlp_endpoint",
                type="str",
                help="Collector address with export = otlp.",
            ),
            Option(
                name="metrics_listen",
                type="str",
                help="Address that serves metrics at /metrics in the text format of Prometheus; empty for none.",
            ),
            Option(
                name="trace_sample",
                type="float",
                lowest=0.0,
                highest=1.0,
                help="Fraction of requests that are traced.",
            ),
            Option(
                name="export_interval_s",
                type="float",
                lowest=0.1,
                highest=3600.0,
                help="Interval between exports of metrics.",
            ),
        ),
    ),
}
