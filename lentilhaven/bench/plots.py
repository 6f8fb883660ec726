"""Plots of scenarios; they need Matplotlib, which is optional."""

from collections.abc import Mapping, Sequence


def plot_lines(
    file: str,
    lines: Mapping[str, tuple[Sequence[float], Sequence[float]]],
    x_label: str,
    y_label: str,
) -> None:
    """
    Write a line plot; do nothing without a file name.

    Parameters
    ----------
    file : str
        File name that ends in ``.svg`` or ``.png``; empty for no plot.
    lines : mapping
        Values of x and y, by label.
    x_label, y_label : str
        Labels of the axes, with units.
    """
    if not file:
        return
    import matplotlib

    matplotlib.use("Agg")
    # With a fixed salt and no date, equal figures produce equal files.
    matplotlib.rcParams["svg.hashsalt"] = "lentilhaven"
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 4.5))
    for label, (x_values, y_values) in lines.items():
        axes.plot(x_values, y_values, label=label)
    axes.set_xlabel(x_label)
    axes.set_ylabel(y_label)
    axes.legend()
    figure.tight_layout()
    metadata = {"Date": None} if file.endswith(".svg") else None
    figure.savefig(file, metadata=metadata)
    pyplot.close(figure)
