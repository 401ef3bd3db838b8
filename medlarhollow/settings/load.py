"""Read an INI file and report all its faults at once."""

import configparser

from .fault import Fault
from .generated import SCHEMA
from .generated import Settings
from .relations import check_relations
from .values import parse_value

__all__ = ["SettingsError", "load_settings", "parse_settings"]


class SettingsError(Exception):
    """Tell all faults of a settings file.

    Parameters
    ----------
    faults : list of Fault
        What is wrong, in the order of the schema.
    """

    def __init__(self, faults):
        super().__init__("\n".join(str(fault) for fault in faults))
        self._faults = tuple(faults)

    @property
    def faults(self):
        """Tuple of Fault : what is wrong."""
        return self._faults


def load_settings(path):
    """Read and check a settings file.

    Parameters
    ----------
    path : str or pathlib.Path
        The INI file.

    Returns
    -------
    Settings
        The settings, with defaults filled in.

    Raises
    ------
    SettingsError
        If the file cannot be read or anything in it is wrong; it names
        every fault with file, section, option, value and what is allowed.
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError([Fault(str(path), detail=str(error))]) from error
    return parse_settings(text, str(path))


def parse_settings(text, path="<text>"):
    """Check the text of a settings file.

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
        If anything in the text is wrong.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, source=path)
    except configparser.Error as error:
        fault = Fault(path, detail=" ".join(str(error).split()))
        raise SettingsError([fault]) from error
    faults = _unknown_sections(parser, path)
    sections = {}
    for name, (cls, options) in SCHEMA.items():
        given = dict(parser[name]) if parser.has_section(name) else {}
        values, wrong = _read_section(path, name, options, given)
        faults += wrong
        if all(option.name in values for option in options if option.required):
            # Defaults stand in for wrong options, so that the relations
            # between the others are checked in the same run.
            sections[name] = cls(**values)
    if len(sections) == len(SCHEMA):
        settings = Settings(**sections)
        faults += _check_rest(settings, path, faults)
    if faults:
        raise SettingsError(faults)
    return settings


def _check_rest(settings, path, faults):
    """Return faults between options, but for options found wrong already."""
    known = {(fault.section, fault.option) for fault in faults}
    return [
        fault
        for fault in check_relations(settings, path)
        if (fault.section, fault.option) not in known
    ]


def _unknown_sections(parser, path):
    return [
        Fault(path, name, detail=f"unknown; allowed: {', '.join(SCHEMA)}")
        for name in parser.sections()
        if name not in SCHEMA
    ]


def _read_section(path, section, options, given):
    known = {option.name: option for option in options}
    faults = [
        Fault(path, section, name, text, f"unknown; allowed: {list(known)}")
        for name, text in given.items()
        if name not in known
    ]
    values = {}
    for name, option in known.items():
        if name not in given:
            if option.required:
                faults.append(Fault(path, section, name, None, "required"))
            continue
        try:
            values[name] = parse_value(option, given[name])
        except ValueError as error:
            fault = Fault(path, section, name, given[name], str(error))
            faults.append(fault)
    return values, faults
