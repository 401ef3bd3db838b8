"""Load an INI file and report all its faults at once."""

import configparser

from .constraints import check_constraints
from .fault import Fault
from .generated import SCHEMA
from .generated import Settings
from .values import parse_value

__all__ = ["SettingsError", "load_settings", "parse_settings"]


class SettingsError(Exception):
    """Report all faults of a settings file.

    Parameters
    ----------
    faults : list of Fault
        Faults in the order of the schema.
    """

    def __init__(self, faults):
        super().__init__("\n".join(str(fault) for fault in faults))
        self._faults = tuple(faults)

    @property
    def faults(self):
        """Tuple of Fault : all faults of the file."""
        return self._faults


def load_settings(path):
    """Load and validate a settings file.

    Parameters
    ----------
    path : str or pathlib.Path
        Path of the INI file.

    Returns
    -------
    Settings
        The settings, with defaults filled in.

    Raises
    ------
    SettingsError
        If the file cannot be read or is invalid; each fault gives the file,
        section, option, value and what is allowed.
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError([Fault(str(path), detail=str(error))]) from error
    return parse_settings(text, str(path))


def parse_settings(text, path="<text>"):
    """Parse and validate the text of a settings file.

    Parameters
    ----------
    text : str
        INI text.
    path : str
        Name of the file in messages.

    Returns
    -------
    Settings
        The settings, with defaults filled in.

    Raises
    ------
    SettingsError
        If the text is invalid.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, source=path)
    except configparser.Error as error:
        fault = Fault(path, detail=" ".join(str(error).split()))
        raise SettingsError([fault]) from error
    faults = _find_unknown_sections(parser, path)
    sections = {}
    for name, (cls, options) in SCHEMA.items():
        option_texts = dict(parser[name]) if parser.has_section(name) else {}
        values, invalid = _read_section(path, name, options, option_texts)
        faults += invalid
        if all(option.name in values for option in options if option.required):
            # Defaults replace invalid options, so that constraints between
            # the other options are checked in the same run.
            sections[name] = cls(**values)
    if len(sections) == len(SCHEMA):
        settings = Settings(**sections)
        faults += _check_constraints(settings, path, faults)
    if faults:
        raise SettingsError(faults)
    return settings


def _check_constraints(settings, path, faults):
    """Return faults between options, except those already reported."""
    reported = {(fault.section, fault.option) for fault in faults}
    return [
        fault
        for fault in check_constraints(settings, path)
        if (fault.section, fault.option) not in reported
    ]


def _find_unknown_sections(parser, path):
    return [
        Fault(path, name, detail=f"unknown; allowed: {', '.join(SCHEMA)}")
        for name in parser.sections()
        if name not in SCHEMA
    ]


def _read_section(path, section, options, option_texts):
    options_by_name = {option.name: option for option in options}
    faults = [
        Fault(
            path,
            section,
            name,
            text,
            f"unknown; allowed: {list(options_by_name)}",
        )
        for name, text in option_texts.items()
        if name not in options_by_name
    ]
    values = {}
    for name, option in options_by_name.items():
        if name not in option_texts:
            if option.required:
                faults.append(Fault(path, section, name, None, "required"))
            continue
        try:
            values[name] = parse_value(option, option_texts[name])
        except ValueError as error:
            fault = Fault(path, section, name, option_texts[name], str(error))
            faults.append(fault)
    return values, faults
