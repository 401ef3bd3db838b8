"""Format responses as human-readable text."""

__all__ = ["format_table", "format_text"]


def format_table(rows):
    """Return records as a table.

    Parameters
    ----------
    rows : list of dict
        Records with the same fields.

    Returns
    -------
    str
        A header line, then one line for each record.

    Examples
    --------
    >>> print(format_table([{"name": "crew", "burst": 20.0}]))
    name  burst
    crew  20
    """
    if not rows:
        return "none"
    names = list(rows[0])
    lines = [names] + [
        [_format_cell(row.get(name)) for name in names] for row in rows
    ]
    widths = [max(len(line[i]) for line in lines) for i in range(len(names))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def format_text(data):
    """Return a response as text.

    Parameters
    ----------
    data : dict
        Response. Lists of records become tables, other values lines.

    Returns
    -------
    str
        Lines without a trailing newline.
    """
    lines = []
    for name, value in data.items():
        if isinstance(value, list) and value and isinstance(value[0], dict):
            lines += [f"{name}:", format_table(value)]
        else:
            lines.append(f"{name}: {_format_cell(value)}")
    return "\n".join(lines)


def _format_cell(value):
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        # Four digits suffice for ages; Unix times need all of them.
        return f"{value:.4g}" if abs(value) < 1000 else f"{value:.12g}"
    if isinstance(value, list):
        return ", ".join(_format_cell(item) for item in value) or "-"
    if isinstance(value, dict):
        pairs = (f"{name}={_format_cell(v)}" for name, v in value.items())
        return " ".join(pairs)
    return str(value)
