"""Generate settings classes, sample INI files and the reference page."""

import pathlib
import tomllib

CLASSES = pathlib.Path("medlarhollow/settings/generated.py")
REFERENCE = pathlib.Path("docs/reference/settings.md")
SAMPLES = {
    "entry": pathlib.Path("etc/entry.ini"),
    "control": pathlib.Path("etc/control.ini"),
}
# Sections that a role does not use are omitted from its sample.
UNUSED_SECTIONS = {
    "entry": {"admin"},
    "control": {"entry", "backends", "spill"},
}
EXAMPLE_VALUES = {
    "name": "vm-1",
    "cluster": "example-fleet",
    "region": "north",
    "data_centre": "north-a",
    "listen": "127.0.0.1:7001",
    "secret_file": "/etc/medlarhollow/peer.secret",
    "replicas": "127.0.0.1:7001",
}
PYTHON_TYPES = {
    "str": "str",
    "address": "str",
    "path": "str",
    "choice": "str",
    "int": "int",
    "float": "float",
    "bool": "bool",
    "list": "tuple[str, ...]",
    "addresses": "tuple[str, ...]",
}


def generate(schema, target):
    """Write the files generated from the settings schema.

    Parameters
    ----------
    schema : pathlib.Path
        TOML file with the settings schema.
    target : pathlib.Path
        Root of the tree to write to.

    Returns
    -------
    list of pathlib.Path
        The files written, relative to `target`.
    """
    sections = tomllib.loads(schema.read_text())
    contents = {
        CLASSES: _settings_module(sections),
        REFERENCE: _reference_page(sections),
    }
    for role, path in SAMPLES.items():
        contents[path] = _sample_file(sections, role)
    for path, text in contents.items():
        (target / path).parent.mkdir(parents=True, exist_ok=True)
        (target / path).write_text(text)
    return list(contents)


def _options(section):
    return {
        name: option for name, option in section.items() if name != "_help"
    }


def _class_name(section):
    return "".join(part.title() for part in section.split("_")) + "Settings"


def _python_literal(value):
    return repr(tuple(value)) if isinstance(value, list) else repr(value)


def _settings_module(sections):
    names = [*(_class_name(name) for name in sections), "Settings", "SCHEMA"]
    lines = [
        '"""Settings classes and their schema.',
        "",
        "Generated from the schema by tools/generate.py; do not edit.",
        '"""',
        "import attrs",
        "from .option import Option",
        "__all__ = [",
        *(f'    "{name}",' for name in sorted(names)),
        "]",
    ]
    for name, section in sections.items():
        lines += _section_class(name, section)
    lines += ["", "", "@attrs.frozen(kw_only=True)", "class Settings:"]
    lines += ['    """All settings of one process."""', ""]
    for name in sections:
        lines.append(f"    {name}: {_class_name(name)}")
    lines += ["", "", "SCHEMA = {"]
    for name, section in sections.items():
        lines.append(f'    "{name}": ({_class_name(name)}, (')
        for option_name, option in _options(section).items():
            lines.append(f"        {_option_call(option_name, option)},")
        lines.append("    )),")
    return "\n".join([*lines, "}"]) + "\n"


def _section_class(name, section):
    lines = [
        "",
        "",
        "@attrs.frozen(kw_only=True)",
        f"class {_class_name(name)}:",
        f'    """{section["_help"]}"""',
        "",
    ]
    for option_name, option in _options(section).items():
        default = ""
        if "default" in option:
            default = f" = {_python_literal(option['default'])}"
        lines.append(
            f"    {option_name}: {PYTHON_TYPES[option['type']]}{default}"
        )
    return lines


def _option_call(name, option):
    arguments = [f"name={name!r}", f"type={option['type']!r}"]
    if "default" not in option:
        arguments.append("required=True")
    if "range" in option:
        arguments.append(f"lowest={option['range'][0]!r}")
        arguments.append(f"highest={option['range'][1]!r}")
    if "allowed" in option:
        arguments.append(f"allowed={tuple(option['allowed'])!r}")
    arguments.append(f"help={option['help']!r}")
    return f"Option({', '.join(arguments)})"


def _ini_text(value):
    if isinstance(value, bool):
        return "yes" if value else "no"
    return ", ".join(value) if isinstance(value, list) else str(value)


def _limits(option):
    parts = []
    if "unit" in option:
        parts.append(f"unit {option['unit']}")
    if "range" in option:
        parts.append(f"{option['range'][0]} to {option['range'][1]}")
    if "allowed" in option:
        parts.append(f"one of {', '.join(option['allowed'])}")
    return "; ".join(parts)


def _sample_file(sections, role):
    lines = [
        f"# Sample settings of a process with the role {role}.",
        "# Generated from the schema by tools/generate.py; do not edit.",
    ]
    for name, section in sections.items():
        if name in UNUSED_SECTIONS[role]:
            continue
        lines += ["", f"# {section['_help']}", f"[{name}]"]
        for option_name, option in _options(section).items():
            limits = _limits(option)
            suffix = f" ({limits})" if limits else ""
            lines.append(f"# {option['help']}{suffix}")
            lines.append(_assignment(option_name, option, role))
    return "\n".join(lines) + "\n"


def _assignment(name, option, role):
    if name == "roles":
        return f"roles = {role}"
    if role == "control" and name in {"data_dir", "tokens_file"}:
        return f"{name} = /var/lib/medlarhollow/{name}"
    if "default" not in option:
        return f"{name} = {EXAMPLE_VALUES[name]}"
    default = _ini_text(option["default"])
    return f"#{name} = {default}".rstrip()


def _reference_page(sections):
    lines = [
        "# Settings",
        "",
        "Generated from the schema by tools/generate.py; do not edit.",
    ]
    for name, section in sections.items():
        lines += ["", f"## [{name}]", "", section["_help"], ""]
        lines += ["| option | type | default | allowed | meaning |"]
        lines += ["| --- | --- | --- | --- | --- |"]
        for option_name, option in _options(section).items():
            default = "required"
            if "default" in option:
                default = _ini_text(option["default"]) or "empty"
            lines.append(
                f"| `{option_name}` | {option['type']} | {default} "
                f"| {_limits(option)} | {option['help']} |"
            )
    return "\n".join(lines) + "\n"
