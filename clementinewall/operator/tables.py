"""Rendering of answers as text tables."""

MAX_CELL_CHARS = 60


def render(answer):
    """Return the answer in aligned columns; a string is returned as it is."""
    if isinstance(answer, str):
        return answer
    if isinstance(answer, list):
        return _table(answer) if answer else "nothing"
    blocks = []
    for name, value in answer.items():
        if isinstance(value, dict):
            rows = [
                {name: key, **_columns(item)} for key, item in value.items()
            ]
            blocks.append(_table(rows) if rows else f"{name}: none")
        elif isinstance(value, list):
            blocks.append(f"{name}: {', '.join(map(str, value)) or 'none'}")
        else:
            blocks.append(f"{name}: {value}")
    return "\n\n".join(blocks)


def _columns(item):
    return item if isinstance(item, dict) else {"value": item}


def _table(rows):
    names = list(dict.fromkeys(name for row in rows for name in row))
    lines = [names]
    for row in rows:
        lines.append([_cell(row.get(name, "")) for name in names])
    widths = [max(len(line[i]) for line in lines) for i in range(len(names))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths))
        for line in lines
    )


def _cell(value):
    text = str(value)
    if len(text) > MAX_CELL_CHARS:
        return text[: MAX_CELL_CHARS - 3] + "..."
    return text
