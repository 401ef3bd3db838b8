"""Commands of the operator tool."""

import json
import time

import pytest

from medlarhollow.admin.table import OPERATIONS
from medlarhollow.cli.codes import exit_code_of
from medlarhollow.cli.codes import ExitCode
from medlarhollow.cli.main import make_application
from medlarhollow.cli.moves import read_deadline
from medlarhollow.configuration import authenticate_key
from medlarhollow.configuration import FleetState
from medlarhollow.errors import fail
from medlarhollow.messages.records import Account
from medlarhollow.messages.records import ErrorKind
from medlarhollow.messages.records import Move
from medlarhollow.messages.records import MoveState

from .conftest import run

HASH = "ab" * 32

ORDERS = [
    ("account put crew --rate-per-s 10 --burst 20", "PutAccount"),
    ("account delete crew", "DeleteAccount"),
    ("key issue crew", "IssueKey"),
    ("key revoke k1", "RevokeKey"),
    (
        f"service put plots --service-version 1 --announce-sha256 {HASH}",
        "PutService",
    ),
    ("service delete plots", "DeleteService"),
    ("route put /plots --service plots --open --priority urgent", "PutRoute"),
    ("route delete /plots", "DeleteRoute"),
    ("preset put peak --weight a:b:0.5 --shift-cap 0.1", "PutPreset"),
    ("preset activate peak", "ActivatePreset"),
    ("preset delete peak", "DeletePreset"),
    ("block put 10.0.0.0/8=north 2001:db8::/32=south", "PutClientBlocks"),
    ("link put a b 4000", "PutLink"),
    ("move start plots 2 --within 10m", "StartMove"),
    ("move roll-back m1 --reason slow", "RollBackMove"),
]


@pytest.mark.parametrize(("line", "kind"), ORDERS)
async def test_each_command_sends_its_order(tool, replica, line, kind):
    """Guards against a command that sends nothing or something else."""
    ran = await tool(*line.split(), "--json")
    assert ran.code == 0, ran.errors
    assert json.loads(ran.text)["revision"] == 1
    assert type(replica.changes[0].body).__name__ == kind


READS = [
    "account list",
    "key list",
    "service list",
    "route list",
    "preset list",
    "preset active",
    "block list",
    "link list",
    "move list",
    "status",
    "configuration show",
]


@pytest.mark.parametrize("line", READS)
async def test_each_read_is_text_and_json(tool, line):
    """Guards against output that scripts cannot parse."""
    ran = await tool(*line.split(), "--json")
    assert ran.code == 0, ran.errors
    json.loads(ran.text)
    ran = await tool(*line.split())
    assert ran.code == 0
    assert ran.text.strip()


async def test_table_shows_records(tool, replica):
    """Guards against a table without the values."""
    replica.state.accounts["crew"] = Account("crew", 10.0, 20.0)
    ran = await tool("account", "list")
    assert ran.text.splitlines()[1].split() == [
        "crew",
        "10",
        "20",
        "ordinary",
        "-",
    ]


async def test_key_is_made_here_and_only_its_hash_is_sent(tool, replica):
    """Guards against a secret that reaches the server."""
    ran = await tool("key", "issue", "crew", "--json")
    text = json.loads(ran.text)["key"]
    (change,) = replica.changes
    secret = text.split("_")[2]
    assert secret not in repr(change)
    key = change.body.key
    state = FleetState(keys={key.key_id: key})
    assert authenticate_key(state, text).ok_value == "crew"


async def test_key_file_is_sent_again_as_the_same_order(
    tool, replica, tmp_path
):
    """Guards against a second key after a lost answer."""
    path = tmp_path / "key"
    arguments = ("key", "issue", "crew", "--key-file", str(path), "--json")
    first = await tool(*arguments)
    again = await tool(*arguments)
    assert json.loads(first.text) == json.loads(again.text)
    assert len(replica.changes) == 1
    assert path.stat().st_mode & 0o077 == 0


FAILURES = [
    (ErrorKind.BAD_REQUEST, 5),
    (ErrorKind.NOT_FOUND, 3),
    (ErrorKind.CONFLICT, 4),
    (ErrorKind.FORBIDDEN, 6),
]


@pytest.mark.parametrize(("kind", "code"), FAILURES)
async def test_failure_has_its_exit_code(tool, replica, kind, code):
    """Guards against a script that takes a failure for success."""
    replica.failure = fail(kind, "as <told>", revision=7)
    ran = await tool("account", "delete", "crew")
    assert ran.code == code
    assert "as <told> (revision in force: 7)" in ran.errors
    ran = await tool("account", "delete", "crew", "--json")
    assert json.loads(ran.errors)["error"] == kind.name.lower()


def test_every_kind_of_error_has_an_exit_code():
    """Guards against a kind that breaks the tool or means success."""
    for kind in ErrorKind:
        code = exit_code_of(fail(kind, "").err_value)
        assert code not in (ExitCode.DONE, ExitCode.USAGE)


WRONG = [
    "account put crew --burst many",
    "account put crew --no-such-option 1",
    "account put",
    "preset put peak --weight a:b",
    "preset put peak --weight a:b:c",
    "block put 10.0.0.0/8",
    "link put a b fast",
    "move start plots 2",
    "move start plots 2 --within soon",
    "move start plots 2 --within 1m --by 2026-01-01T00:00:00+00:00",
    "account list --timeout long",
    "account delete crew --base-revision x",
    "configuration apply /nonexistent",
    "account list --token-file /nonexistent",
    "no-such-command",
]


@pytest.mark.parametrize("line", WRONG)
async def test_wrong_usage_sends_nothing(tool, replica, line):
    """Guards against a wrong order that is sent all the same."""
    ran = await tool(*line.split())
    assert ran.code == 1
    assert ran.errors
    assert replica.changes == []


async def test_base_revision_is_sent(tool, replica):
    """Guards against an order that ignores another operator's change."""
    replica.state.revision = replica.state.operator_revision = 7
    ran = await tool("account", "delete", "crew", "--base-revision", "6")
    assert ran.code == 4
    assert "revision in force: 7" in ran.errors


@pytest.mark.parametrize(
    ("state", "code"), [(MoveState.FINISHED, 0), (MoveState.ROLLED_BACK, 9)]
)
async def test_watch_ends_with_the_move(tool, replica, state, code):
    """Guards against a watch that never ends or hides a roll-back."""
    replica.state.moves["m1"] = Move("m1", "plots", state=state)
    ran = await tool("move", "watch", "m1")
    assert ran.code == code


async def test_configuration_round_trips(tool, replica, tmp_path):
    """Guards against a shown document that cannot be applied."""
    replica.state.accounts["crew"] = Account("crew", 10.0, 20.0)
    path = tmp_path / "configuration.json"
    path.write_text((await tool("configuration", "show")).text)
    ran = await tool("configuration", "apply", str(path))
    assert ran.code == 0
    assert "0 of 0 changes applied" in ran.text
    path.write_text(path.read_text().replace("20.0", "30.0"))
    ran = await tool("configuration", "apply", str(path), "--dry-run")
    assert "put_account" in ran.text
    assert replica.changes == []


def test_settings_check_names_all_faults(tmp_path):
    """Guards against a check that stops at the first fault."""
    path = tmp_path / "bad.ini"
    path.write_text("[vm]\nname =\n[other]\n")
    ran = run("settings", "check", str(path))
    assert ran.code == 2
    assert "[other]" in ran.errors
    assert "[vm] cluster" in ran.errors
    ran = run("settings", "check", str(path), "--json")
    faults = json.loads(ran.text)["faults"]
    assert {"other", "vm", "peer"} <= {fault["section"] for fault in faults}


def test_token_is_needed(monkeypatch):
    """Guards against an order without a token, refused only later."""
    monkeypatch.delenv("MEDLARHOLLOW_TOKEN", raising=False)
    monkeypatch.delenv("MEDLARHOLLOW_TOKEN_FILE", raising=False)
    ran = run("account", "list")
    assert ran.code == 1
    assert "MEDLARHOLLOW_TOKEN_FILE" in ran.errors


@pytest.mark.parametrize(
    ("within", "by", "deadline_s"),
    [
        ("90s", None, 1090.0),
        ("1.5h", None, 6400.0),
        (None, "1970-01-01T01:00:00+01:00", 0.0),
    ],
)
def test_deadline_is_read(within, by, deadline_s):
    """Guards against a deadline in the wrong unit or time zone."""
    assert read_deadline(within, by, 1000.0) == deadline_s


def test_deadline_without_offset_is_refused():
    """Guards against a deadline in the operator's own time zone."""
    ran = run("move", "start", "plots", "2", "--by", "2026-01-01T00:00:00")
    assert ran.code == 1


async def test_move_deadline_is_absolute(tool, replica):
    """Guards against a deadline that moves when the order is resent."""
    await tool("move", "start", "plots", "2", "--within", "10m")
    deadline_s = replica.changes[0].body.move.deadline_s
    assert 590 < deadline_s - time.time() <= 600


def test_every_operation_has_a_command():
    """Guards against an operation that the tool cannot reach."""
    names = {
        "add_replica": "replica add",
        "apply_configuration": "configuration apply",
        "issue_key": "key issue",
        "list_client_blocks": "block list",
        "put_client_blocks": "block put",
        "read_active_preset": "preset active",
        "read_configuration": "configuration show",
        "read_move": "move show",
        "read_status": "status",
        "remove_replica": "replica remove",
        "roll_back_move": "move roll-back",
    }
    commands = make_application().all()
    for operation in OPERATIONS:
        verb, _, noun = operation.name.partition("_")
        usual = f"{noun.rstrip('s')} {verb}"
        assert names.get(operation.name, usual) in commands


def test_completions_are_printed():
    """Guards against a shell completion that fails."""
    ran = run("completions", "bash")
    assert ran.code == 0
    assert "complete" in ran.text
