"""Plain-text tables."""

from collections.abc import Sequence
from typing import Any

COLUMN_GAP = "  "


def render_table(columns: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    """Return a table with a header line; columns of numbers are aligned right.

    >>> print(render_table(["name", "rate"], [["x", 5.0]]))
    name  rate
    x        5
    """
    cell_rows = [[render_cell(value) for value in row] for row in rows]
    widths = [
        max([len(name), *(len(row[index]) for row in cell_rows)])
        for index, name in enumerate(columns)
    ]
    align_right = [_is_numeric_column(rows, index) for index in range(len(columns))]
    return "\n".join(
        _render_line(cells, widths, align_right) for cells in ([*columns], *cell_rows)
    )


def render_cell(value: Any) -> str:
    """Return the text of one cell."""
    match value:
        case None:
            return "-"
        case bool():
            return "yes" if value else "no"
        case float():
            return f"{value:g}"
        case list() | tuple():
            return " ".join(str(item) for item in value) or "-"
        case "":
            return "-"
        case _:
            return str(value)


def render_ms(seconds: float) -> str:
    """Return seconds as milliseconds with three significant digits."""
    return f"{seconds * 1000:.3g}"


def _is_numeric_column(rows: Sequence[Sequence[Any]], index: int) -> bool:
    return bool(rows) and all(
        isinstance(row[index], int | float) and not isinstance(row[index], bool)
        for row in rows
    )


def _render_line(
    cells: Sequence[str], widths: list[int], align_right: list[bool]
) -> str:
    padded = [
        cell.rjust(width) if is_right else cell.ljust(width)
        for cell, width, is_right in zip(cells, widths, align_right, strict=True)
    ]
    return COLUMN_GAP.join(padded).rstrip()
