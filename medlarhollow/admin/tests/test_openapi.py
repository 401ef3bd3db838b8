"""Description of the API."""

import json
import pathlib

from medlarhollow.admin.openapi import describe_api
from medlarhollow.admin.table import OPERATIONS

ROOT = pathlib.Path(__file__).resolve().parents[3]
METHODS = {"GET", "PUT", "POST", "DELETE"}


async def test_running_api_is_exactly_what_is_described(api):
    """Guards against a path or method that is served but not described."""
    status, described = await api.send("GET", "/v1/openapi.json")
    assert status == 200
    assert described == json.loads(json.dumps(describe_api()))
    told = {
        (method.upper(), path)
        for path, methods in described["paths"].items()
        for method in methods
    }
    served = {
        (method, route.path)
        for route in api.app.routes
        for method in route.methods - {"HEAD"}
    }
    assert told == served
    for path in described["paths"]:
        concrete = path.replace("{", "").replace("}", "")
        for method in METHODS:
            status, _ = await api.send(method, concrete)
            assert (status == 405) == ((method, path) not in told)


def test_committed_description_is_current():
    """Guards against a reference page that differs from the API."""
    path = ROOT / "docs" / "reference" / "openapi.json"
    assert json.loads(path.read_text()) == json.loads(
        json.dumps(describe_api())
    ), "run: python -m medlarhollow.admin > docs/reference/openapi.json"


def test_every_reference_leads_to_a_schema():
    """Guards against a description that tools cannot read."""
    described = describe_api()
    text = json.dumps(described)
    names = set(described["components"]["schemas"])
    used = {
        part.split('"')[0] for part in text.split("#/components/schemas/")[1:]
    }
    assert used == names


def test_operations_have_their_own_names():
    """Guards against two operations that client generators merge."""
    names = [operation.name for operation in OPERATIONS]
    assert len(names) == len(set(names))
