"""Check settings that depend on one another."""

from .fault import Fault

__all__ = ["check_relations"]


def check_relations(settings, path):
    """Return the faults between options.

    Parameters
    ----------
    settings : Settings
        Settings whose options are each allowed.
    path : str
        Name of the file in messages.

    Returns
    -------
    list of Fault
        Empty if the settings fit together.
    """
    faults = []
    if "control" in settings.vm.roles:
        if not settings.control.data_dir:
            faults.append(_needed(path, "control", "data_dir"))
        if not settings.admin.tokens_file:
            faults.append(_needed(path, "admin", "tokens_file"))
        if not settings.control.replicas:
            faults.append(_needed(path, "control", "replicas"))
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
    tls = settings.peer
    files = (
        tls.tls_certificate_file,
        tls.tls_key_file,
        tls.tls_authority_file,
    )
    if any(files) and not all(files):
        faults.append(
            Fault(
                path,
                "peer",
                "tls_certificate_file",
                tls.tls_certificate_file,
                "certificate, key and authority are needed together",
            )
        )
    if settings.telemetry.export == "file" and not (
        settings.telemetry.export_file
    ):
        faults.append(_needed(path, "telemetry", "export_file"))
    if settings.telemetry.export == "otlp" and not (
        settings.telemetry.otlp_endpoint
    ):
        faults.append(_needed(path, "telemetry", "otlp_endpoint"))
    return faults


def _needed(path, section, option):
    return Fault(path, section, option, "", "required by the other settings")
