"""Describe the administration API as OpenAPI 3.1.

The description is generated from the operation table and record classes.
``python -m medlarhollow.admin`` prints it.
"""

import enum
import re
import types
import typing

import attrs

from ..errors import response_of
from ..messages.records import ErrorKind
from .documents import ErrorAnswer
from .table import OPERATIONS

__all__ = ["PATH", "describe_api"]

PATH = "/v1/openapi.json"
_SCALAR_SCHEMAS = {
    str: {"type": "string"},
    int: {"type": "integer", "minimum": 0},
    float: {"type": "number"},
    bool: {"type": "boolean"},
    dict: {"type": "object"},
    bytes: {"type": "string", "pattern": "^([0-9a-fA-F]{2})*$"},
}
_ERRORS = (
    ErrorKind.BAD_REQUEST,
    ErrorKind.UNAUTHENTICATED,
    ErrorKind.NOT_FOUND,
    ErrorKind.CONFLICT,
    ErrorKind.TOO_LARGE,
    ErrorKind.NO_QUORUM,
)
_CHANGE_HEADERS = (
    ("X-Request-Id", "string", "Request identifier; a retry repeats it."),
    (
        "X-Base-Revision",
        "integer",
        "Operator revision the change is based on.",
    ),
)


def describe_api(operations=OPERATIONS):
    """Return the OpenAPI description.

    Parameters
    ----------
    operations : tuple of Operation
        Operation table of the API.

    Returns
    -------
    dict
        OpenAPI document as JSON data.
    """
    schemas = {}
    paths = {}
    for operation in operations:
        methods = paths.setdefault(operation.path, {})
        methods[operation.method.lower()] = _describe_operation(
            operation, schemas
        )
    paths[PATH] = {
        "get": {
            "operationId": "read_openapi",
            "summary": "Return this description.",
            "security": [],
            "responses": {
                "200": _response("The description.", {"type": "object"})
            },
        }
    }
    return {
        "openapi": "3.1.0",
        "info": {
            "title": "medlarhollow administration API",
            "version": "1",
        },
        "security": [{"operator": []}],
        "paths": paths,
        "components": {
            "schemas": dict(sorted(schemas.items())),
            "securitySchemes": {
                "operator": {"type": "http", "scheme": "bearer"}
            },
        },
    }


def _describe_operation(operation, schemas):
    described = {
        "operationId": operation.name,
        "summary": operation.summary,
        "parameters": _parameters(operation),
        "responses": {
            "200": _response("Done.", _response_schema(operation, schemas))
        },
    }
    error = _schema(ErrorAnswer, schemas)
    for kind in _ERRORS:
        name = kind.name.lower().replace("_", " ")
        status = str(response_of(kind).status)
        described["responses"][status] = _response(f"Failed: {name}.", error)
    if operation.body is not None:
        body = {"schema": _schema(operation.body, schemas)}
        described["requestBody"] = {
            "required": True,
            "content": {"application/json": body},
        }
    return described


def _parameters(operation):
    parameters = [
        _parameter(name, "path", "string", required=True)
        for name in re.findall(r"{(\w+)}", operation.path)
    ]
    parameters += [
        _parameter(name, "query", "string") for name in operation.query
    ]
    if operation.is_change:
        parameters += [
            {**_parameter(name, "header", kind), "description": text}
            for name, kind, text in _CHANGE_HEADERS
        ]
    return parameters


def _parameter(name, location, kind, required=False):
    return {
        "name": name,
        "in": location,
        "required": required,
        "schema": {"type": kind},
    }


def _response(text, schema):
    return {
        "description": text,
        "content": {"application/json": {"schema": schema}},
    }


def _response_schema(operation, schemas):
    if operation.items is None:
        return _schema(operation.response, schemas)
    name, cls = operation.items
    schema = _schema(cls, schemas)
    if operation.name.startswith("list_"):
        schema = {"type": "array", "items": schema}
    integer_schema = _SCALAR_SCHEMAS[int]
    return {
        "type": "object",
        "properties": {
            name: schema,
            "revision": integer_schema,
            "operator_revision": integer_schema,
        },
    }


def _schema(cls, schemas):
    if cls in _SCALAR_SCHEMAS:
        return dict(_SCALAR_SCHEMAS[cls])
    if isinstance(cls, types.UnionType):
        (inner,) = set(typing.get_args(cls)) - {type(None)}
        return {"anyOf": [_schema(inner, schemas), {"type": "null"}]}
    if typing.get_origin(cls) is tuple:
        return {
            "type": "array",
            "items": _schema(typing.get_args(cls)[0], schemas),
        }
    if issubclass(cls, enum.Enum):
        names = [member.name.lower() for member in cls]
        return {"type": "string", "enum": names}
    if cls.__name__ not in schemas:
        schemas[cls.__name__] = None
        schemas[cls.__name__] = _record_schema(cls, schemas)
    return {"$ref": f"#/components/schemas/{cls.__name__}"}


def _record_schema(cls, schemas):
    attrs.resolve_types(cls)
    fields = attrs.fields(cls)
    schema = {
        "type": "object",
        "description": (cls.__doc__ or "").split("\n\n")[0].strip(),
        "properties": {
            field.name: _schema(field.type, schemas) for field in fields
        },
        "additionalProperties": False,
    }
    required_names = [f.name for f in fields if f.default is attrs.NOTHING]
    if required_names:
        schema["required"] = required_names
    return schema
