"""Faults in settings files."""

import pytest

from medlarhollow.settings import load_settings
from medlarhollow.settings import SettingsError
from medlarhollow.settings.generated import SCHEMA
from medlarhollow.settings.load import parse_settings

GOOD = {
    "vm": {
        "name": "vm-1",
        "cluster": "test",
        "region": "north",
        "data_centre": "north-a",
    },
    "peer": {"listen": "127.0.0.1:7001", "secret_file": "/run/secret"},
    "control": {"replicas": "127.0.0.1:7001, 127.0.0.1:7002"},
}


def format_ini(changes=()):
    """Return valid settings as INI text, with some options changed."""
    sections = {name: dict(options) for name, options in GOOD.items()}
    for section, option, text in changes:
        options = sections.setdefault(section, {})
        options.pop(option, None)
        if text is not None:
            options[option] = text
    return "".join(
        f"[{name}]\n" + "".join(f"{o} = {t}\n" for o, t in options.items())
        for name, options in sections.items()
    )


def parse_faults(text):
    with pytest.raises(SettingsError) as caught:
        parse_settings(text, "vm.ini")
    return caught.value.faults


def test_valid_settings_have_no_fault():
    """Guards against base settings whose own fault would let every test of
    an invalid option pass."""
    settings = parse_settings(format_ini())
    assert settings.control.replicas == ("127.0.0.1:7001", "127.0.0.1:7002")
    assert settings.vm.roles == ("entry",)


INVALID_OPTIONS = [
    ("vm", "name", None, "required"),
    ("vm", "name", "", "must not be empty"),
    ("vm", "roles", "entry, cook", "allowed: one or more of"),
    ("vm", "roles", ",", "allowed: one or more of"),
    ("vm", "colour", "red", "unknown; allowed: "),
    ("peer", "listen", "127.0.0.1", "is not an address like 192.0.2.1:80"),
    (
        "peer",
        "listen",
        "127.0.0.1:70000",
        "port 70000 is not between 1 and 65535",
    ),
    ("peer", "listen", "127.0.0.1:x", "is not an address like 192.0.2.1:80"),
    (
        "control",
        "replicas",
        "127.0.0.1:7001, nowhere",
        "is not an address like 192.0.2.1:80",
    ),
    ("peer", "connect_timeout_s", "0", "a number from 0.05 to 30.0"),
    ("peer", "connect_timeout_s", "30.5", "a number from 0.05 to 30.0"),
    ("peer", "connect_timeout_s", "nan", "a number from 0.05 to 30.0"),
    ("peer", "connect_timeout_s", "inf", "a number from 0.05 to 30.0"),
    ("peer", "connect_timeout_s", "1s", "a number from 0.05 to 30.0"),
    ("entry", "queue_limit", "1.5", "a whole number from 1 to 100000"),
    ("entry", "queue_limit", "0", "a whole number from 1 to 100000"),
    ("entry", "queue_limit", "", "a whole number from 1 to 100000"),
    ("control", "bootstrap", "maybe", "allowed: yes, no"),
    ("telemetry", "export", "email", "allowed: none, file, otlp"),
    ("telemetry", "trace_sample", "1.01", "a number from 0.0 to 1.0"),
]


@pytest.mark.parametrize(
    ("section", "option", "text", "expected"), INVALID_OPTIONS
)
def test_fault_gives_its_location_and_allowed_values(
    section, option, text, expected
):
    """Guards against a fault that is accepted, or reported without its
    location or the allowed values."""
    (fault,) = parse_faults(format_ini([(section, option, text)]))
    assert (fault.path, fault.section, fault.option) == (
        "vm.ini",
        section,
        option,
    )
    assert fault.value == text
    assert expected in fault.detail
    message = str(fault)
    assert "vm.ini" in message
    assert f"[{section}] {option}" in message


CONSTRAINTS = [
    ([("vm", "roles", "control")], {"data_dir", "tokens_file"}),
    (
        [
            ("vm", "roles", "control"),
            ("control", "data_dir", "/var/lib/m"),
            ("admin", "tokens_file", "/etc/t"),
            ("control", "replicas", ""),
        ],
        {"replicas"},
    ),
    ([("control", "heartbeat_s", "0.4")], {"election_timeout_s"}),
    ([("peer", "tls_key_file", "/k")], {"tls_certificate_file"}),
    ([("telemetry", "export", "file")], {"export_file"}),
    ([("telemetry", "export", "otlp")], {"otlp_endpoint"}),
]


@pytest.mark.parametrize(("changes", "options"), CONSTRAINTS)
def test_inconsistent_options_are_reported(changes, options):
    """Guards against inconsistent settings that fail only after startup."""
    faults = parse_faults(format_ini(changes))
    assert options <= {fault.option for fault in faults}


def test_all_faults_are_reported_at_once():
    """Guards against a check that reports one fault per run."""
    changes = [
        case[:3]
        for case in INVALID_OPTIONS[:1]
        + INVALID_OPTIONS[4:5]
        + INVALID_OPTIONS[13:16]
    ]
    text = format_ini([*changes, ("kitchen", "stove", "hot")])
    faults = parse_faults(text)
    reported = {(fault.section, fault.option) for fault in faults}
    assert reported == {
        ("vm", "name"),
        ("vm", "colour"),
        ("peer", "connect_timeout_s"),
        ("entry", "queue_limit"),
        ("kitchen", None),
    }


def test_constraints_are_checked_beside_other_faults():
    """Guards against faults that appear only after others are fixed, and
    against a fault reported for the default of an invalid option."""
    text = format_ini(
        [
            ("vm", "roles", "control"),
            ("entry", "queue_limit", "none"),
            ("control", "election_timeout_s", "soon"),
            ("control", "heartbeat_s", "0.5"),
        ]
    )
    faults = parse_faults(text)
    reported = sorted((fault.section, fault.option) for fault in faults)
    assert reported == [
        ("admin", "tokens_file"),
        ("control", "data_dir"),
        ("control", "election_timeout_s"),
        ("entry", "queue_limit"),
    ]


UNREADABLE = [
    "name = vm-1\n",
    "[vm]\nname\n",
    "[vm]\nname = a\nname = b\n",
    "[vm]\n[vm]\n",
    "",
]


@pytest.mark.parametrize("text", UNREADABLE, ids=range(len(UNREADABLE)))
def test_malformed_ini_is_a_fault(text):
    """Guards against an uncaught parser error."""
    assert all(fault.path == "vm.ini" for fault in parse_faults(text))


def test_unreadable_file_is_a_fault(tmp_path):
    """Guards against an uncaught error for a wrong path or encoding."""
    path = tmp_path / "vm.ini"
    for prepare in (lambda: None, lambda: path.write_bytes(b"\xff\xfe")):
        prepare()
        with pytest.raises(SettingsError) as caught:
            load_settings(path)
        assert str(path) in str(caught.value)


def test_percent_signs_are_literal():
    """Guards against interpolation, which rejects a % in a path."""
    settings = parse_settings(format_ini([("peer", "secret_file", "/a%b%%c")]))
    assert settings.peer.secret_file == "/a%b%%c"


@pytest.mark.parametrize(
    ("text", "value"),
    [
        ("yes", True),
        ("ON", True),
        ("1", True),
        ("no", False),
        ("False", False),
        ("0", False),
    ],
)
def test_booleans_are_parsed(text, value):
    """Guards against a false value parsed as true."""
    settings = parse_settings(format_ini([("control", "bootstrap", text)]))
    assert settings.control.bootstrap is value


@pytest.mark.parametrize("section", sorted(SCHEMA))
def test_limits_are_inclusive(section):
    """Guards against a range that excludes its end points."""
    cls, options = SCHEMA[section]
    for option in options:
        for limit in (option.lowest, option.highest):
            if limit is None:
                continue
            text = str(int(limit) if option.type == "int" else limit)
            try:
                parse_settings(format_ini([(section, option.name, text)]))
            except SettingsError as error:
                faults = [f for f in error.faults if f.value == text]
                assert all("heartbeats" in f.detail for f in faults), faults
