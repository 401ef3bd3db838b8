"""Show answers to people."""

__all__ = ["show_table", "show_text"]


def show_table(rows):
    """Return records as a table.

    Parameters
    ----------
    rows : list of dict
        Records with the same fields.

    Returns
    -------
    str
        A line of names, then one line for each record.

    Examples
    --------
    >>> print(show_table([{"name": "crew", "burst": 20.0}]))
    name  burst
    crew  20
    """
    if not rows:
        return "none"
    names = list(rows[0])
    lines = [names] + [
        [_show_cell(row.get(name)) for name in names] for row in rows
    ]
    widths = [max(len(line[i]) for line in lines) for i in range(len(names))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def show_text(data):
    """Return an answer as text.

    Parameters
    ----------
    data : dict
        Lists of records become tables, other values one line each.

    Returns
    -------
    str
        Lines without a last line end.
    """
    lines = []
    for name, value in data.items():
        if isinstance(value, list) and value and isinstance(value[0], dict):
            lines += [f"{name}:", show_table(value)]
        else:
            lines.append(f"{name}: {_show_cell(value)}")
    return "\n".join(lines)


def _show_cell(value):
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        # Ages need no more than four digits; Unix times need them all.
        return f"{value:.4g}" if abs(value) < 1000 else f"{value:.12g}"
    if isinstance(value, list):
        return ", ".join(_show_cell(item) for item in value) or "-"
    if isinstance(value, dict):
        pairs = (f"{name}={_show_cell(v)}" for name, v in value.items())
        return " ".join(pairs)
    return str(value)
