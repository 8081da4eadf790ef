"""Plots a replay's report as a PNG image."""

from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot as plt  # noqa: E402  (the backend must be chosen first)

from gapdrum.replays import Report  # noqa: E402

SIZE_INCHES = (9, 5)
MS_PER_S = 1000
OUTCOMES = ("complete", "failed", "refused", "error")


def plot_report(report: Report, path: Path) -> None:
    """Plot response over ideal time by time of submission, with one colour per outcome."""
    figure, axes = plt.subplots(figsize=SIZE_INCHES)
    for outcome in OUTCOMES:
        samples = [sample for sample in report.samples if sample.outcome == outcome]
        if samples:
            times = [sample.at_ms / MS_PER_S for sample in samples]
            ratios = [sample.ratio for sample in samples]
            axes.scatter(times, ratios, s=8, label=f"{outcome} ({len(samples)})")
    axes.set_yscale("log")
    axes.set_xlabel("submitted after, s")
    axes.set_ylabel("response over ideal")
    median, tail = report.response_over_ideal_p50, report.response_over_ideal_p99
    axes.set_title(f"{report.jobs} jobs, p50 {median}, p99 {tail}")
    axes.legend()
    figure.savefig(path)
    plt.close(figure)
