"""Commands of the operator tool to a real control replica."""

import hashlib
import json
import subprocess
import sys

import pytest

from medlarhollow import clock
from medlarhollow.localfleet import LocalFleet

LIMIT_S = 20.0


class Tool:
    """Run the operator tool in separate processes."""

    def __init__(self, fleet, folder):
        self._folder = folder
        token = folder / "token"
        token.write_text(fleet.operator_token)
        self._options = ["--token-file", str(token)]
        for name, addresses in fleet.addresses.items():
            if name.startswith("control"):
                self._options += ["--address", addresses.admin]

    def run(self, line, code=0):
        result = subprocess.run(
            [
                *(sys.executable, "-m", "medlarhollow.cli"),
                *line.format(folder=self._folder).split(),
                *(*self._options, "--json"),
            ],
            capture_output=True,
            text=True,
            check=False,
        )
        assert result.returncode == code, (line, result.stdout, result.stderr)
        return json.loads(
            result.stderr if code in range(3, 9) else result.stdout
        )

    def wait_for_leader(self):
        deadline = clock.monotonic() + LIMIT_S
        while True:
            try:
                assert self.run("status")["is_leader"]
            except AssertionError:
                if clock.monotonic() > deadline:
                    raise
            else:
                return


@pytest.fixture
def tool(tmp_path):
    fleet = LocalFleet(tmp_path, 1, (("north", "north-a", 0),))
    fleet.start()
    tool = Tool(fleet, tmp_path)
    try:
        tool.wait_for_leader()
        yield tool
    finally:
        fleet.kill()


def test_commands_take_effect_on_a_real_replica(tool, tmp_path):
    """Guards against commands that the test fakes accept but a replica
    refuses, and against running a resent command twice."""
    credential = hashlib.sha256(b"credential").hexdigest()
    revision = tool.run("account put crew --rate-per-s 10 --burst 20")
    base = revision["revision"]
    tool.run(
        f"service put plots --service-version 1 --announce-sha256 {credential}"
    )
    conflict = tool.run(f"account delete crew --base-revision {base}", code=4)
    assert conflict["revision"] > base
    tool.run("route put /plots --service plots --idempotent")

    first = tool.run("key issue crew --key-file {folder}/key")
    assert tool.run("key issue crew --key-file {folder}/key") == first
    (key,) = tool.run("key list")["keys"]
    assert key["key_id"] in first["key"]
    assert tool.run(f"key revoke {key['key_id']} --request-id r1") == (
        tool.run(f"key revoke {key['key_id']} --request-id r1")
    )
    tool.run(f"key revoke {key['key_id']}", code=3)
    tool.run("account put other --rate-per-s 1 --request-id r1", code=5)

    tool.run("preset put day --shift-cap 0.5 --shift-step-s 1")
    tool.run("preset put peak --weight a:b:1 --shift-cap 0.5 --shift-step-s 1")
    tool.run("preset activate peak")
    assert tool.run("preset active")["preset"] == "peak"
    tool.run("preset delete peak", code=4)
    tool.run("preset delete day")

    tool.run("move start plots 2 --within 1s", code=5)
    tool.run("move start plots 2 --within 1h --move-id m1")
    tool.run("move start plots 3 --within 1h", code=4)
    tool.run("move roll-back m1 --reason test")
    move = tool.run("move watch m1", code=9)
    assert (move["state"], move["reason"]) == ("rolled_back", "test")

    tool.run("block put 10.0.0.0/8=north 2001:db8::/32=south")
    tool.run("link put north south 4000")
    tool.run("replica remove control-1", code=4)
    tool.run("replica remove nobody", code=3)

    shown = tool.run("configuration show --client-blocks")["configuration"]
    assert len(shown["client_blocks"]) == 2
    path = tmp_path / "c.json"
    path.write_text(json.dumps(shown))
    assert tool.run("configuration apply {folder}/c.json")["changes"] == []
    shown["accounts"][0]["burst"] = 30.0
    shown["client_blocks"].pop()
    path.write_text(json.dumps(shown))
    planned = tool.run("configuration apply {folder}/c.json --dry-run")
    assert planned["applied"] == 0
    kinds = [change["change"] for change in planned["changes"]]
    assert kinds == ["put_account", "put_client_blocks"]
    assert tool.run("configuration apply {folder}/c.json")["applied"] == 2
    assert tool.run("account list")["accounts"][0]["burst"] == 30.0
    assert len(tool.run("block list")["client_blocks"]) == 1
