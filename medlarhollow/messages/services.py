"""Services between the processes, over grpclib.

Generated from the schema by tools/generate.py; do not edit.
"""

import abc

import grpclib.client
import grpclib.const
import grpclib.server

from . import records

__all__ = [
    "ControlBase",
    "ControlStub",
    "FleetBase",
    "FleetStub",
    "RaftBase",
    "RaftStub",
]


class RaftBase(abc.ABC):
    """Server side of the service Raft."""

    @abc.abstractmethod
    async def Bootstrap(self, stream):
        """Serve one call of Bootstrap."""

    @abc.abstractmethod
    async def Vote(self, stream):
        """Serve one call of Vote."""

    @abc.abstractmethod
    async def Append(self, stream):
        """Serve one call of Append."""

    @abc.abstractmethod
    async def InstallSnapshot(self, stream):
        """Serve one call of InstallSnapshot."""

    def __mapping__(self):
        return {
            "/medlarhollow.peer.Raft/Bootstrap": grpclib.const.Handler(
                self.Bootstrap,
                grpclib.const.Cardinality.UNARY_UNARY,
                records.BootstrapRequest,
                records.BootstrapResponse,
            ),
            "/medlarhollow.peer.Raft/Vote": grpclib.const.Handler(
                self.Vote,
                grpclib.const.Cardinality.UNARY_UNARY,
                records.VoteRequest,
                records.VoteResponse,
            ),
            "/medlarhollow.peer.Raft/Append": grpclib.const.Handler(
                self.Append,
                grpclib.const.Cardinality.UNARY_UNARY,
                records.AppendRequest,
                records.AppendResponse,
            ),
            "/medlarhollow.peer.Raft/InstallSnapshot": grpclib.const.Handler(
                self.InstallSnapshot,
                grpclib.const.Cardinality.UNARY_UNARY,
                records.SnapshotRequest,
                records.SnapshotResponse,
            ),
        }


class RaftStub:
    """Client side of the service Raft."""

    def __init__(self, channel):
        self.Bootstrap = grpclib.client.UnaryUnaryMethod(
            channel,
            "/medlarhollow.peer.Raft/Bootstrap",
            records.BootstrapRequest,
            records.BootstrapResponse,
        )
        self.Vote = grpclib.client.UnaryUnaryMethod(
            channel,
            "/medlarhollow.peer.Raft/Vote",
            records.VoteRequest,
            records.VoteResponse,
        )
        self.Append = grpclib.client.UnaryUnaryMethod(
            channel,
            "/medlarhollow.peer.Raft/Append",
            records.AppendRequest,
            records.AppendResponse,
        )
        self.InstallSnapshot = grpclib.client.UnaryUnaryMethod(
            channel,
            "/medlarhollow.peer.Raft/InstallSnapshot",
            records.SnapshotRequest,
            records.SnapshotResponse,
        )


class ControlBase(abc.ABC):
    """Server side of the service Control."""

    @abc.abstractmethod
    async def Propose(self, stream):
        """Serve one call of Propose."""

    @abc.abstractmethod
    async def Status(self, stream):
        """Serve one call of Status."""

    @abc.abstractmethod
    async def SetReplicas(self, stream):
        """Serve one call of SetReplicas."""

    def __mapping__(self):
        return {
            "/medlarhollow.peer.Control/Propose": grpclib.const.Handler(
                self.Propose,
                grpclib.const.Cardinality.UNARY_UNARY,
                records.ProposeRequest,
                records.ProposeResponse,
            ),
            "/medlarhollow.peer.Control/Status": grpclib.const.Handler(
                self.Status,
                grpclib.const.Cardinality.UNARY_UNARY,
                records.StatusRequest,
                records.ReplicaStatus,
            ),
            "/medlarhollow.peer.Control/SetReplicas": grpclib.const.Handler(
                self.SetReplicas,
                grpclib.const.Cardinality.UNARY_UNARY,
                records.SetReplicasRequest,
                records.ProposeResponse,
            ),
        }


class ControlStub:
    """Client side of the service Control."""

    def __init__(self, channel):
        self.Propose = grpclib.client.UnaryUnaryMethod(
            channel,
            "/medlarhollow.peer.Control/Propose",
            records.ProposeRequest,
            records.ProposeResponse,
        )
        self.Status = grpclib.client.UnaryUnaryMethod(
            channel,
            "/medlarhollow.peer.Control/Status",
            records.StatusRequest,
            records.ReplicaStatus,
        )
        self.SetReplicas = grpclib.client.UnaryUnaryMethod(
            channel,
            "/medlarhollow.peer.Control/SetReplicas",
            records.SetReplicasRequest,
            records.ProposeResponse,
        )


class FleetBase(abc.ABC):
    """Server side of the service Fleet."""

    @abc.abstractmethod
    async def Sync(self, stream):
        """Serve one call of Sync."""

    @abc.abstractmethod
    async def Exchange(self, stream):
        """Serve one call of Exchange."""

    @abc.abstractmethod
    async def AcquireTokens(self, stream):
        """Serve one call of AcquireTokens."""

    @abc.abstractmethod
    async def AcquireCredit(self, stream):
        """Serve one call of AcquireCredit."""

    def __mapping__(self):
        return {
            "/medlarhollow.peer.Fleet/Sync": grpclib.const.Handler(
                self.Sync,
                grpclib.const.Cardinality.STREAM_STREAM,
                records.SyncRequest,
                records.SyncResponse,
            ),
            "/medlarhollow.peer.Fleet/Exchange": grpclib.const.Handler(
                self.Exchange,
                grpclib.const.Cardinality.STREAM_STREAM,
                records.ExchangeUpdate,
                records.ExchangeUpdate,
            ),
            "/medlarhollow.peer.Fleet/AcquireTokens": grpclib.const.Handler(
                self.AcquireTokens,
                grpclib.const.Cardinality.STREAM_STREAM,
                records.TokenRequests,
                records.TokenResponses,
            ),
            "/medlarhollow.peer.Fleet/AcquireCredit": grpclib.const.Handler(
                self.AcquireCredit,
                grpclib.const.Cardinality.UNARY_UNARY,
                records.CreditRequest,
                records.CreditResponse,
            ),
        }


class FleetStub:
    """Client side of the service Fleet."""

    def __init__(self, channel):
        self.Sync = grpclib.client.StreamStreamMethod(
            channel,
            "/medlarhollow.peer.Fleet/Sync",
            records.SyncRequest,
            records.SyncResponse,
        )
        self.Exchange = grpclib.client.StreamStreamMethod(
            channel,
            "/medlarhollow.peer.Fleet/Exchange",
            records.ExchangeUpdate,
            records.ExchangeUpdate,
        )
        self.AcquireTokens = grpclib.client.StreamStreamMethod(
            channel,
            "/medlarhollow.peer.Fleet/AcquireTokens",
            records.TokenRequests,
            records.TokenResponses,
        )
        self.AcquireCredit = grpclib.client.UnaryUnaryMethod(
            channel,
            "/medlarhollow.peer.Fleet/AcquireCredit",
            records.CreditRequest,
            records.CreditResponse,
        )
