"""OpenAPI description."""

import json
import pathlib

from medlarhollow.admin.openapi import describe_api
from medlarhollow.admin.table import OPERATIONS

ROOT = pathlib.Path(__file__).resolve().parents[3]
METHODS = {"GET", "PUT", "POST", "DELETE"}


async def test_served_api_matches_the_description(api):
    """Guards against a path or method that is served but not described."""
    status, description = await api.send("GET", "/v1/openapi.json")
    assert status == 200
    assert description == json.loads(json.dumps(describe_api()))
    described_methods = {
        (method.upper(), path)
        for path, methods in description["paths"].items()
        for method in methods
    }
    served = {
        (method, route.path)
        for route in api.app.routes
        for method in route.methods - {"HEAD"}
    }
    assert described_methods == served
    for path in description["paths"]:
        concrete = path.replace("{", "").replace("}", "")
        for method in METHODS:
            status, _ = await api.send(method, concrete)
            assert (status == 405) == ((method, path) not in described_methods)


def test_committed_description_is_current():
    """Guards against a committed description that differs from the API."""
    path = ROOT / "docs" / "reference" / "openapi.json"
    assert json.loads(path.read_text()) == json.loads(
        json.dumps(describe_api())
    ), "run: python -m medlarhollow.admin > docs/reference/openapi.json"


def test_every_reference_has_a_schema():
    """Guards against dangling schema references."""
    description = describe_api()
    text = json.dumps(description)
    names = set(description["components"]["schemas"])
    used = {
        text_after.split('"')[0]
        for text_after in text.split("#/components/schemas/")[1:]
    }
    assert used == names


def test_operation_names_are_unique():
    """Guards against duplicates, which client generators would merge."""
    names = [operation.name for operation in OPERATIONS]
    assert len(names) == len(set(names))
