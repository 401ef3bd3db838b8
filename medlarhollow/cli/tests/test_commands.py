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

CHANGE_COMMANDS = [
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


@pytest.mark.parametrize(("line", "kind"), CHANGE_COMMANDS)
async def test_each_command_sends_its_change(run_tool, replica, line, kind):
    """Guards against a command that sends no change or a wrong one."""
    result = await run_tool(*line.split(), "--json")
    assert result.code == 0, result.errors
    assert json.loads(result.text)["revision"] == 1
    assert type(replica.changes[0].body).__name__ == kind


READ_COMMANDS = [
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


@pytest.mark.parametrize("line", READ_COMMANDS)
async def test_each_read_prints_text_and_json(run_tool, line):
    """Guards against output that scripts cannot parse."""
    result = await run_tool(*line.split(), "--json")
    assert result.code == 0, result.errors
    json.loads(result.text)
    result = await run_tool(*line.split())
    assert result.code == 0
    assert result.text.strip()


async def test_table_shows_records(run_tool, replica):
    """Guards against a table without values."""
    replica.state.accounts["crew"] = Account("crew", 10.0, 20.0)
    result = await run_tool("account", "list")
    assert result.text.splitlines()[1].split() == [
        "crew",
        "10",
        "20",
        "ordinary",
        "-",
    ]


async def test_only_the_hash_of_a_new_key_is_sent(run_tool, replica):
    """Guards against a secret that reaches the server."""
    result = await run_tool("key", "issue", "crew", "--json")
    text = json.loads(result.text)["key"]
    (change,) = replica.changes
    secret = text.split("_")[2]
    assert secret not in repr(change)
    key = change.body.key
    state = FleetState(keys={key.key_id: key})
    assert authenticate_key(state, text).ok_value == "crew"


async def test_existing_key_file_is_sent_as_the_same_request(
    run_tool, replica, tmp_path
):
    """Guards against a second key after a lost response."""
    path = tmp_path / "key"
    arguments = ("key", "issue", "crew", "--key-file", str(path), "--json")
    first = await run_tool(*arguments)
    again = await run_tool(*arguments)
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
async def test_failure_has_its_exit_code(run_tool, replica, kind, code):
    """Guards against a script that mistakes a failure for success."""
    replica.failure = fail(kind, "in <tags>", revision=7)
    result = await run_tool("account", "delete", "crew")
    assert result.code == code
    assert "in <tags> (revision in force: 7)" in result.errors
    result = await run_tool("account", "delete", "crew", "--json")
    assert json.loads(result.errors)["error"] == kind.name.lower()


def test_every_kind_of_error_has_an_exit_code():
    """Guards against a kind that crashes the tool or maps to success."""
    for kind in ErrorKind:
        code = exit_code_of(fail(kind, "").err_value)
        assert code not in (ExitCode.DONE, ExitCode.USAGE)


WRONG_USAGE = [
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


@pytest.mark.parametrize("line", WRONG_USAGE)
async def test_wrong_usage_sends_nothing(run_tool, replica, line):
    """Guards against an invalid command that is sent anyway."""
    result = await run_tool(*line.split())
    assert result.code == 1
    assert result.errors
    assert replica.changes == []


async def test_base_revision_is_sent(run_tool, replica):
    """Guards against a request that ignores another operator's change."""
    replica.state.revision = replica.state.operator_revision = 7
    result = await run_tool(
        "account", "delete", "crew", "--base-revision", "6"
    )
    assert result.code == 4
    assert "revision in force: 7" in result.errors


@pytest.mark.parametrize(
    ("state", "code"), [(MoveState.FINISHED, 0), (MoveState.ROLLED_BACK, 9)]
)
async def test_watch_ends_with_the_move(run_tool, replica, state, code):
    """Guards against a watch that never ends or hides a roll-back."""
    replica.state.moves["m1"] = Move("m1", "plots", state=state)
    result = await run_tool("move", "watch", "m1")
    assert result.code == code


async def test_configuration_round_trips(run_tool, replica, tmp_path):
    """Guards against printed documents that cannot be applied."""
    replica.state.accounts["crew"] = Account("crew", 10.0, 20.0)
    path = tmp_path / "configuration.json"
    path.write_text((await run_tool("configuration", "show")).text)
    result = await run_tool("configuration", "apply", str(path))
    assert result.code == 0
    assert "0 of 0 changes applied" in result.text
    path.write_text(path.read_text().replace("20.0", "30.0"))
    result = await run_tool("configuration", "apply", str(path), "--dry-run")
    assert "put_account" in result.text
    assert replica.changes == []


def test_settings_check_reports_all_faults(tmp_path):
    """Guards against a check that stops at the first fault."""
    path = tmp_path / "bad.ini"
    path.write_text("[vm]\nname =\n[other]\n")
    result = run("settings", "check", str(path))
    assert result.code == 2
    assert "[other]" in result.errors
    assert "[vm] cluster" in result.errors
    result = run("settings", "check", str(path), "--json")
    faults = json.loads(result.text)["faults"]
    assert {"other", "vm", "peer"} <= {fault["section"] for fault in faults}


def test_missing_token_is_a_usage_error(monkeypatch):
    """Guards against a request without a token that fails only later."""
    monkeypatch.delenv("MEDLARHOLLOW_TOKEN", raising=False)
    monkeypatch.delenv("MEDLARHOLLOW_TOKEN_FILE", raising=False)
    result = run("account", "list")
    assert result.code == 1
    assert "MEDLARHOLLOW_TOKEN_FILE" in result.errors


@pytest.mark.parametrize(
    ("within", "by", "deadline_s"),
    [
        ("90s", None, 1090.0),
        ("1.5h", None, 6400.0),
        (None, "1970-01-01T01:00:00+01:00", 0.0),
    ],
)
def test_deadline_is_parsed(within, by, deadline_s):
    """Guards against a deadline in the wrong unit or time zone."""
    assert read_deadline(within, by, 1000.0) == deadline_s


def test_deadline_without_offset_is_rejected():
    """Guards against a deadline in the operator's local time zone."""
    result = run("move", "start", "plots", "2", "--by", "2026-01-01T00:00:00")
    assert result.code == 1


async def test_move_deadline_is_absolute(run_tool, replica):
    """Guards against a deadline that shifts when the request is retried."""
    await run_tool("move", "start", "plots", "2", "--within", "10m")
    deadline_s = replica.changes[0].body.move.deadline_s
    assert 590 < deadline_s - time.time() <= 600


def test_every_operation_has_a_command():
    """Guards against an operation without a command."""
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
    result = run("completions", "bash")
    assert result.code == 0
    assert "complete" in result.text
