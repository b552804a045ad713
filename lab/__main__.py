"""The command line: python -m lab run | list | compare | sweep | soak | plot | gates | way."""

from __future__ import annotations

import sys
import time
from pathlib import Path
from typing import NoReturn

import click
import msgspec

from lab import event_log, hold_reasons, plan, reports, run, scenario, soak
from lab.errors import LabError, ScenarioError
from lab.event_log import EventKind
from lab.metrics import Metrics
from lab.plan import Plan
from lab.result import EXIT_BROKEN, EXIT_INVALID, EXIT_OK, Result

ROOT = Path(__file__).resolve().parent.parent
SCENARIOS = Path(__file__).resolve().parent / "scenarios"
MAX_RUNS = 1000
MAX_NODES = 1000

FOLDER = click.Path(exists=True, file_okay=False, path_type=Path)
FILE = click.Path(exists=True, dir_okay=False, path_type=Path)


def fail(text: str) -> NoReturn:
    """Exit with the status for bad input or a failure of the lab itself."""
    click.echo(f"lab: {text}", err=True)
    sys.exit(EXIT_INVALID)


def print_progress(text: str) -> None:
    """Print a line about a run's progress to the error stream."""
    click.echo(text, err=True)


def load_plan(path: Path, nodes: int | None, seed: int | None) -> Plan:
    """Read a scenario and draw its plan. Exits with an error message if the scenario is invalid."""
    try:
        return plan.make(scenario.load(path, nodes, seed))
    except ScenarioError as error:
        fail(str(error))


def run_plan(drawn: Plan, out: Path, program: Path, parts: Path | None, asks_hold_reasons: bool = False) -> Result:
    """Run a plan. Exits with an error message if the lab fails."""
    try:
        extensions = None if parts is None else parts.read_text()
        return run.run_blocking(drawn, out, program, extensions, print_progress, asks_hold_reasons)
    except (LabError, OSError) as error:
        fail(str(error))


@click.group()
def cli() -> None:
    """Run a fleet of forwarders on this machine and inject faults."""


@cli.command("run")
@click.argument("path", type=FILE)
@click.option("--nodes", type=click.IntRange(1, MAX_NODES), help="Number of forwarders; replaces the scenario's.")
@click.option("--seed", type=int, help="Random seed; replaces the scenario's.")
@click.option("--parts", type=FILE, help="Parts file for all forwarders.")
@click.option("--program", type=FOLDER, default=ROOT, help="Checkout whose forwarders are started.")
@click.option("--out", type=click.Path(path_type=Path), help="Folder for the result and the logs.")
@click.option(
    "--gates", "asks_hold_reasons", is_flag=True, help="Ask every forwarder for its hold reasons once a second."
)
def run_command(
    path: Path,
    nodes: int | None,
    seed: int | None,
    parts: Path | None,
    program: Path,
    out: Path | None,
    asks_hold_reasons: bool,
) -> None:
    """Run a scenario, check it against the rules, and print the time to full service."""
    drawn = load_plan(path, nodes, seed)
    name = f"{drawn.scenario.name}-{len(drawn.nodes)}-{drawn.scenario.seed}-{time.strftime('%H%M%S')}"
    out = out or Path("lab-out") / name
    result = run_plan(drawn, out, program.resolve(), parts, asks_hold_reasons)
    for line in reports.format_result(result):
        click.echo(line)
    click.echo(f"written to {out}")
    sys.exit(result.exit_status())


@cli.command("list")
def list_command() -> None:
    """List the scenarios that come with the lab."""
    for path in sorted(SCENARIOS.glob("*.toml")):
        click.echo(f"{path.relative_to(ROOT)}: {load_plan(path, None, None).scenario.about}")


@cli.command("compare")
@click.argument("side_a", metavar="A", type=click.Path(exists=True, path_type=Path))
@click.argument("side_b", metavar="B", type=click.Path(exists=True, path_type=Path))
@click.option("--scenario", "path", type=FILE, required=True)
@click.option("--pairs", type=click.IntRange(1, 50), default=5)
@click.option("--nodes", type=click.IntRange(1, MAX_NODES))
@click.option("--seed", type=int, default=1, help="Seed of the first pair; each further pair uses the next seed.")
@click.option("--out", type=click.Path(path_type=Path), default=Path("lab-out/compare"))
def compare_command(
    side_a: Path, side_b: Path, path: Path, pairs: int, nodes: int | None, seed: int, out: Path
) -> None:
    """Compare two checkouts (folders) or two parts files in interleaved pairs: median and range of each metric."""
    sides = {"A": side_a, "B": side_b}
    metrics: dict[str, list[Metrics]] = {"A": [], "B": []}
    invalid = 0
    for pair in range(pairs):
        for side in ("AB", "BA")[pair % 2]:
            compared = sides[side]
            drawn = load_plan(path, nodes, seed + pair)
            program, parts = (compared.resolve(), None) if compared.is_dir() else (ROOT, compared)
            click.echo(f"pair {pair + 1} of {pairs}, {side}: {compared}", err=True)
            result = run_plan(drawn, out / f"{side}{pair + 1}", program, parts)
            invalid += not result.is_valid
            metrics[side].append(_compared_metrics(result))
    click.echo(f"{path.name}, {pairs} pairs; {invalid} of {2 * pairs} runs do not count (event loop lag of the lab)")
    for line in reports.format_comparison(metrics["A"], metrics["B"]):
        click.echo(line)


def _compared_metrics(result: Result) -> Metrics:
    return {
        **result.metrics,
        "findings": len(result.findings),
        "late_ms": result.lateness_ms["most"],
        **{f"cost_{name}": value for name, value in result.costs.items()},
    }


@cli.command("sweep")
@click.argument("path", type=FILE)
@click.option("--seeds", type=click.IntRange(1, MAX_RUNS), default=20, help="Number of seeds, from --first on.")
@click.option("--first", type=int, default=1)
@click.option("--nodes", type=click.IntRange(1, MAX_NODES))
@click.option("--parts", type=FILE, help="Parts file for all forwarders.")
@click.option("--out", type=click.Path(path_type=Path), default=Path("lab-out/sweep"))
def sweep_command(path: Path, seeds: int, first: int, nodes: int | None, parts: Path | None, out: Path) -> None:
    """Run one scenario with many seeds: each seed's findings, and the range of each metric."""
    results = []
    for seed in range(first, first + seeds):
        click.echo(f"seed {seed}", err=True)
        result = run_plan(load_plan(path, nodes, seed), out / f"{path.stem}-{seed}", ROOT, parts)
        results.append(result)
        for line in result.broken_limits:
            click.echo(f"seed {seed}: {line}")
        for finding in result.findings:
            click.echo(f"seed {seed}: {finding.rule} of {finding.id}: {finding.text}")
    for line in reports.format_sweep(results):
        click.echo(line)
    sys.exit(max(result.exit_status() for result in results))


@cli.command("soak")
@click.option("--seeds", type=click.IntRange(1, MAX_RUNS), default=20, help="Number of seeds, from --first on.")
@click.option("--first", type=int, default=1)
@click.option("--nodes", type=click.IntRange(2, 40), default=12)
@click.option("--program", type=FOLDER, default=ROOT, help="Checkout whose forwarders are started.")
@click.option("--out", type=click.Path(path_type=Path), default=Path("lab-out/soak"))
@click.option("--short", is_flag=True, help="Use schedules of 8 s, as in the check before every merge.")
def soak_command(seeds: int, first: int, nodes: int, program: Path, out: Path, short: bool) -> None:
    """Run a random schedule of overlapping faults for each seed.

    Exits with 1 if a seed fails, and with 2 if the event loop lag of the lab was too high.
    """
    shape = soak.SHORT if short else soak.LONG
    verdicts = []
    for seed in range(first, first + seeds):
        folder = out / str(seed)
        drawn = soak.draw_scenario(seed, nodes, shape)
        result = run_plan(plan.make(drawn), folder, program.resolve(), None)
        verdict = soak.SeedVerdict(result, soak.find_log_violations(folder), drawn.fleet.memory_mb)
        verdicts.append(verdict)
        outcome = ("passed" if verdict.passed else "FAILED") + ("" if result.is_valid else ", does not count (lag)")
        click.echo(
            f"seed {seed}: {outcome}; {result.metrics['delivered']} of {result.metrics['asked']} delivered, "
            f"{result.costs['starts']} starts, {drawn.fleet.sockets} descriptors, "
            f"memory at most {result.costs['own_memory_mb_most']:.1f} MB of {drawn.fleet.memory_mb}, "
            f"event loop lag of the lab at most {result.lateness_ms['most']:.0f} ms"
        )
        for line in verdict.lines():
            click.echo(f"  {line}")
    passed = sum(verdict.passed for verdict in verdicts)
    invalid = sum(not verdict.result.is_valid for verdict in verdicts)
    click.echo(f"{passed} of {len(verdicts)} seeds passed, {invalid} do not count")
    if passed < len(verdicts):
        sys.exit(EXIT_BROKEN)
    sys.exit(EXIT_INVALID if invalid else EXIT_OK)


@cli.command("plot")
@click.argument("folder", type=FOLDER)
def plot_command(folder: Path) -> None:
    """Draw a page of plots of a run, with the faults marked."""
    from lab import plots  # matplotlib is slow to import, and only the plots need it

    click.echo(f"written to {plots.draw_page(folder)}")


@cli.command("gates")
@click.argument("folder", type=FOLDER)
@click.option("--step", "step_s", type=click.FloatRange(1.0, 60.0), default=5.0, help="Seconds per column.")
def hold_reasons_command(folder: Path, step_s: float) -> None:
    """Show the hold reasons of a run with --gates as a table and as gates.png; `*` marks a column with a fault."""
    try:
        rows = hold_reasons.hold_rows(hold_reasons.load(folder))
    except OSError as error:
        fail(f"{error}: was the scenario run with --gates?")
    events = event_log.read(folder / run.EVENTS_FILE)
    fault_times_s = [event.at_s for event in events if event.kind == EventKind.FAULT_INJECTED]
    for line in hold_reasons.format_table(rows, step_s, fault_times_s):
        click.echo(line)
    if rows:
        from lab import plots  # slow to import

        plots.draw_hold_reasons(rows, events, folder / plots.HOLD_REASONS_FILE)


@cli.command("way")
@click.argument("folder", type=FOLDER)
@click.argument("message_id", metavar="IDENT")
def history_command(folder: Path, message_id: str) -> None:
    """Print all events that the lab recorded for one message, in order of time."""
    history = event_log.message_history(event_log.read(folder / run.EVENTS_FILE), message_id)
    if not history:
        fail(f"no message {message_id} in {folder}")
    for event in history:
        fields = msgspec.to_builtins(event)
        at_s, kind = fields.pop("at_s"), fields.pop("kind")
        click.echo(f"{at_s:9.3f} s  {kind:<10} " + " ".join(f"{name}={value}" for name, value in fields.items()))


if __name__ == "__main__":
    cli()
