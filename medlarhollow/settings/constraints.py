"""Constraints between several options."""

from .fault import Fault

__all__ = ["check_constraints"]


def check_constraints(settings, path):
    """Return the violated constraints between options.

    Parameters
    ----------
    settings : Settings
        Settings whose options are each valid on their own.
    path : str
        Name of the file in messages.

    Returns
    -------
    list of Fault
        Empty if the settings are consistent.
    """
    faults = []
    if "control" in settings.vm.roles:
        if not settings.control.data_dir:
            faults.append(_missing_option(path, "control", "data_dir"))
        if not settings.admin.tokens_file:
            faults.append(_missing_option(path, "admin", "tokens_file"))
        if not settings.control.replicas:
            faults.append(_missing_option(path, "control", "replicas"))
    if settings.control.heartbeat_s * 3 > settings.control.election_timeout_s:
        faults.append(
            Fault(
                path,
                "control",
                "election_timeout_s",
                str(settings.control.election_timeout_s),
                "must be at least three heartbeats",
            )
        )
    peer = settings.peer
    files = (
        peer.tls_certificate_file,
        peer.tls_key_file,
        peer.tls_authority_file,
    )
    if any(files) and not all(files):
        faults.append(
            Fault(
                path,
                "peer",
                "tls_certificate_file",
                peer.tls_certificate_file,
                "certificate, key and authority must be set together",
            )
        )
    if settings.telemetry.export == "file" and not (
        settings.telemetry.export_file
    ):
        faults.append(_missing_option(path, "telemetry", "export_file"))
    if settings.telemetry.export == "otlp" and not (
        settings.telemetry.otlp_endpoint
    ):
        faults.append(_missing_option(path, "telemetry", "otlp_endpoint"))
    return faults


def _missing_option(path, section, option):
    return Fault(path, section, option, "", "required by the other settings")
