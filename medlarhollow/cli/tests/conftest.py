"""Fixtures that run the operator tool against a served API."""

import asyncio

import attrs
from cleo.io.inputs.argv_input import ArgvInput
from cleo.io.outputs.buffered_output import BufferedOutput
import pytest

from medlarhollow.admin.tests.fakes import FakeReplica
from medlarhollow.admin.tests.fakes import make_admin
from medlarhollow.admin.tests.fakes import serve_api
from medlarhollow.cli.main import make_application


@attrs.frozen
class RunResult:
    """Exit code and output of one run."""

    code: int
    text: str
    errors: str


def run(*arguments):
    """Run the tool in the current thread."""
    output = BufferedOutput()
    errors = BufferedOutput()
    code = make_application().run(
        ArgvInput(["medlarhollow", *arguments]), output, errors
    )
    return RunResult(code, output.fetch(), errors.fetch())


@pytest.fixture
def replica():
    return FakeReplica()


@pytest.fixture
async def api(replica, tmp_path):
    async with serve_api(make_admin(replica), tmp_path) as served:
        yield served


@pytest.fixture
def run_tool(api, tmp_path, monkeypatch):
    """Return a function that runs the tool as ana in another thread."""
    token_file = tmp_path / "token"
    token_file.write_text("token-of-ana\n")
    monkeypatch.setenv("MEDLARHOLLOW_ADDRESSES", api.address)
    monkeypatch.setenv("MEDLARHOLLOW_TOKEN_FILE", str(token_file))

    async def call(*arguments):
        return await asyncio.to_thread(run, *arguments)

    return call
