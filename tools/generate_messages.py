"""Generate protobuf modules, attrs records and grpclib services."""

import importlib.resources
import pathlib
import re
import tempfile

from google.protobuf import descriptor_pb2
from grpc_tools import protoc

MESSAGES = pathlib.Path("medlarhollow/messages")
Field = descriptor_pb2.FieldDescriptorProto

SCALARS = {
    Field.TYPE_STRING: ("str", '""'),
    Field.TYPE_BYTES: ("bytes", 'b""'),
    Field.TYPE_DOUBLE: ("float", "0.0"),
    Field.TYPE_BOOL: ("bool", "False"),
    Field.TYPE_UINT32: ("int", "0"),
    Field.TYPE_UINT64: ("int", "0"),
}


def generate(schema, target):
    """Write the Python modules of all ``.proto`` files of a folder.

    Parameters
    ----------
    schema : pathlib.Path
        Folder with the schema files.
    target : pathlib.Path
        Root of the tree to write to.

    Returns
    -------
    list of pathlib.Path
        The files written, relative to `target`.
    """
    output_folder = target / MESSAGES
    output_folder.mkdir(parents=True, exist_ok=True)
    files = _compile(schema, output_folder)
    written = [
        MESSAGES / f"{file.name.removesuffix('.proto')}_pb2.py"
        for file in files
    ]
    for path in written:
        _make_imports_relative(target / path)
    (output_folder / "records.py").write_text(_records(files))
    (output_folder / "services.py").write_text(_services(files))
    return [*written, MESSAGES / "records.py", MESSAGES / "services.py"]


def _compile(schema, output_folder):
    well_known = importlib.resources.files("grpc_tools") / "_proto"
    names = sorted(path.name for path in schema.glob("*.proto"))
    with tempfile.TemporaryDirectory() as folder:
        descriptor_set = pathlib.Path(folder) / "descriptors"
        status = protoc.main(
            [
                "protoc",
                f"-I{schema}",
                f"-I{well_known}",
                f"--python_out={output_folder}",
                f"--descriptor_set_out={descriptor_set}",
                "--include_imports",
                "--include_source_info",
                *names,
            ]
        )
        if status != 0:
            raise SystemExit("protoc failed")
        files = descriptor_pb2.FileDescriptorSet.FromString(
            descriptor_set.read_bytes()
        )
    return list(files.file)


def _make_imports_relative(path):
    text = path.read_text()
    path.write_text(
        re.sub(r"^import (\w+_pb2)", r"from . import \1", text, flags=re.M)
    )


def _unqualified(type_name):
    return type_name.rsplit(".", 1)[-1]


def _comments(file):
    """Return the leading comments of a file by the path of their element.

    A path alternates field numbers of the descriptor and indices; in a
    FileDescriptorProto, field 4 lists the messages and field 5 the enums.
    """
    return {
        tuple(location.path): " ".join(location.leading_comments.split())
        for location in file.source_code_info.location
        if location.leading_comments
    }


def _records(files):
    lines = [
        '"""Records of the messages and of the fleet state.',
        "",
        "Generated from the schema by tools/generate.py; do not edit.",
        '"""',
        "import enum",
        "import attrs",
    ]
    body = []
    names = []
    for file in files:
        comments = _comments(file)
        for number, item in enumerate(file.enum_type):
            names.append(item.name)
            body += _enum(item, comments.get((5, number), ""))
        for number, item in enumerate(file.message_type):
            names.append(item.name)
            body += _message(item, comments.get((4, number), ""))
    exports = [f'    "{name}",' for name in sorted(names)]
    return "\n".join([*lines, "__all__ = [", *exports, "]", *body]) + "\n"


def _enum(item, comment):
    prefix = re.sub(r"(?<!^)(?=[A-Z])", "_", item.name).upper() + "_"
    return [
        "",
        "",
        f"class {item.name}(enum.IntEnum):",
        f'    """{_docstring(comment or f"Values of {item.name}")}"""',
        "",
        *(
            f"    {value.name.removeprefix(prefix)} = {value.number}"
            for value in item.value
        ),
    ]


def _docstring(text):
    first_sentence = text.split(". ")[0].rstrip(".")
    return f"{first_sentence}."


def _message(item, comment):
    lines = [
        "",
        "",
        "@attrs.frozen",
        f"class {item.name}:",
        f'    """{_docstring(comment or f"Record of {item.name}")}"""',
        "",
    ]
    oneofs = set()
    for field in item.field:
        if field.HasField("oneof_index"):
            name = item.oneof_decl[field.oneof_index].name
            if name not in oneofs:
                oneofs.add(name)
                lines.append(f"    {name}: {_union(item, field)} = None")
        else:
            lines.append(f"    {field.name}: {_annotation(field)}")
    return lines


def _union(item, field):
    members = [
        _unqualified(other.type_name)
        for other in item.field
        if other.HasField("oneof_index")
        and other.oneof_index == field.oneof_index
    ]
    return '"' + " | ".join([*members, "None"]) + '"'


def _annotation(field):
    if field.type == Field.TYPE_MESSAGE:
        type_name, default = _unqualified(field.type_name), "None"
        annotation = f'"{type_name} | None"'
    elif field.type == Field.TYPE_ENUM:
        type_name = _unqualified(field.type_name)
        annotation, default = type_name, f"{type_name}(0)"
    else:
        type_name, default = SCALARS[field.type]
        annotation = type_name
    if field.label == Field.LABEL_REPEATED:
        return f'"tuple[{type_name}, ...]" = ()'
    return f"{annotation} = {default}"


def _services(files):
    lines = [
        '"""Services between the processes, over grpclib.',
        "",
        "Generated from the schema by tools/generate.py; do not edit.",
        '"""',
        "import abc",
        "import grpclib.client",
        "import grpclib.const",
        "import grpclib.server",
        "from . import records",
    ]
    names, body = [], []
    for file in files:
        for service in file.service:
            names += [f"{service.name}Base", f"{service.name}Stub"]
            body += _service_base(file, service) + _service_stub(file, service)
    exports = [f'    "{name}",' for name in sorted(names)]
    return "\n".join([*lines, "__all__ = [", *exports, "]", *body]) + "\n"


def _cardinality(method):
    request = "STREAM" if method.client_streaming else "UNARY"
    response = "STREAM" if method.server_streaming else "UNARY"
    return f"{request}_{response}"


def _service_base(file, service):
    lines = [
        "",
        "",
        f"class {service.name}Base(abc.ABC):",
        f'    """Server side of the service {service.name}."""',
    ]
    for method in service.method:
        lines += [
            "",
            "    @abc.abstractmethod",
            f"    async def {method.name}(self, stream):",
            f'        """Serve one call of {method.name}."""',
        ]
    lines += ["", "    def __mapping__(self):", "        return {"]
    for method in service.method:
        lines += [
            f'            "/{file.package}.{service.name}/{method.name}":',
            "            grpclib.const.Handler(",
            f"                self.{method.name},",
            "                grpclib.const.Cardinality."
            f"{_cardinality(method)},",
            f"                records.{_unqualified(method.input_type)},",
            f"                records.{_unqualified(method.output_type)},",
            "            ),",
        ]
    return [*lines, "        }"]


def _service_stub(file, service):
    lines = [
        "",
        "",
        f"class {service.name}Stub:",
        f'    """Client side of the service {service.name}."""',
        "",
        "    def __init__(self, channel):",
    ]
    for method in service.method:
        rpc_kind = _cardinality(method).title().replace("_", "")
        lines += [
            f"        self.{method.name} = grpclib.client.{rpc_kind}Method(",
            "            channel,",
            f'            "/{file.package}.{service.name}/{method.name}",',
            f"            records.{_unqualified(method.input_type)},",
            f"            records.{_unqualified(method.output_type)},",
            "        )",
        ]
    return lines
