"""What the measured slopes come to at the size to come: docs/CAPACITY.md."""

import dataclasses
import pathlib
import typing as t

from bench.report import FOLDER, load, table

PAGE = FOLDER.parent / "CAPACITY.md"
MARK = "<!-- {} {}: written by python -m bench scale -->"

# The size to come, from the users' letter.
NODES = 670
SERVERS = 7_400
REQUESTS = 80_000  # a second
TOKENS = 23_000_000  # a second
WORKSPACES = 1_000
MODELS = 13

# The budget of control on a node.
CORE_SHARE = 1.1  # percent of a core
MEMORY = 64.0  # MB
TRAFFIC = 29.0  # KB/s

LINKS_PER_SERVICE = 24
HEARTBEAT = 2.0  # seconds, as set at that size
LOAD_INTERVAL = 2.0  # seconds, as set at that size
TCP_OVERHEAD = 80  # bytes of headers of a packet and its acknowledgement
HANDLING = 8.0  # us, one side's half of a message (bench transport, 1 event)
CLAIM_RETENTION = 24 * 3600.0  # seconds
KEYED_SHARES = (0.0001, 0.001, 0.01)  # of all requests; the users gave none


@dataclasses.dataclass(frozen=True)
class Line:
    """One figure of a role at the size to come."""

    role: str
    quantity: str
    figure: str
    budget: str
    from_: str


def regenerate() -> None:
    """Write the tables into the page again."""
    text = PAGE.read_text()
    text = _replace(text, "slopes", table(load("scale")["slopes"]))
    text = _replace(text, "roles", table([_row(line) for line in lines()]))
    text = _replace(text, "planner", _planner())
    text = _replace(text, "catalogue", _catalogue())
    PAGE.write_text(text)


def plot(points: t.Mapping[str, t.Sequence], path: pathlib.Path) -> None:
    """Draw each series of points."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, len(points), figsize=(4 * len(points), 3.2))
    for axis, (name, series) in zip(axes, points.items()):
        axis.plot([x for x, _ in series], [y for _, y in series], marker="o")
        axis.set_title(name, fontsize=8)
        axis.set_xscale("log")
        axis.set_ylim(bottom=0)
    figure.tight_layout()
    figure.savefig(path, dpi=80)


def lines() -> t.Iterator[Line]:
    """Yield the figures of each role."""
    slopes = {row["name"]: row["value"] for row in load("scale")["slopes"]}
    parts = {row["part"]: row for row in load("relay")["results"]}
    yield from _entry(slopes, parts["entry"])
    yield from _agent(slopes, parts["agent"])
    yield from _links(slopes)
    yield from _store()


def _entry(slopes: t.Mapping[str, float], relay: t.Mapping) -> t.Iterator[Line]:
    events, requests = TOKENS / NODES, REQUESTS / NODES
    cores = (events * relay["per_event"] + requests * relay["per_request"]) / 1e6
    links = LINKS_PER_SERVICE * MODELS
    state = links * slopes["entry: state of a linked target"] / 1024
    catalogue = WORKSPACES * slopes["all: catalogue, a workspace"] / 1024
    memory = relay["memory"] + state + catalogue
    yield Line("entry", "data path", f"{cores:.2f} cores a node", "none", "relay")
    yield Line(
        "entry", "memory at rest", f"{memory:.1f} MB", f"{MEMORY:g} MB", "relay, scale"
    )
    decision = slopes["entry: routing decision, at most"] * requests / 1e6 * 100
    yield Line("entry", "routing", f"{decision:.2f}% of a core", "data path", "scale")


def _agent(slopes: t.Mapping[str, float], relay: t.Mapping) -> t.Iterator[Line]:
    events, requests = TOKENS / SERVERS, REQUESTS / SERVERS
    cores = (events * relay["per_event"] + requests * relay["per_request"]) / 1e6
    records = requests * 60 * slopes["agent: record of an attempt"] / 1024
    memory = relay["memory"] + records
    yield Line("agent", "data path", f"{cores:.2f} cores a server", "none", "relay")
    yield Line(
        "agent", "memory at rest", f"{memory:.1f} MB", f"{MEMORY:g} MB", "relay, scale"
    )


def _links(slopes: t.Mapping[str, float]) -> t.Iterator[Line]:
    links = LINKS_PER_SERVICE * MODELS
    of_agent = links * NODES / SERVERS
    beat = (slopes["link: a heartbeat"] + TCP_OVERHEAD) / HEARTBEAT
    report = (slopes["link: a load report"] + TCP_OVERHEAD) / LOAD_INTERVAL
    messages = 1 / HEARTBEAT + 1 / LOAD_INTERVAL
    for role, count in (("entry", links), ("agent", of_agent)):
        traffic = count * (beat + report) / 1000
        core = count * messages * HANDLING / 1e6 * 100
        yield Line(
            role,
            f"{count:.0f} links, heartbeats and loads",
            f"{traffic:.1f} KB/s, {core:.2f}% of a core",
            f"{TRAFFIC:g} KB/s, {CORE_SHARE:g}%",
            "scale, transport",
        )


def _store() -> t.Iterator[Line]:
    for share in KEYED_SHARES:
        writes = 2 * share * REQUESTS
        yield Line(
            "store",
            f"claims, if {share:.2%} of requests are keyed",
            f"{writes:.0f} writes/s",
            "several hundred writes/s",
            "two swaps a keyed request (claim.py)",
        )
    leases = NODES * (1 / 3600)
    yield Line(
        "store", "leases of claims", f"{leases:.2f} grants/s", "the same", "expiry.py"
    )


def _planner() -> str:
    """Return the planner's cost by size, and its share at the size to come."""
    costs = load("orders")["costs"]
    rows = [
        {
            "targets": cost["targets"],
            "a plan, ms": round(cost["steady"], 1),
            "memory of a plan, MB": round(cost["peak_memory"], 2),
            "% of a core, a plan each 10 s": round(cost["steady"] / 100, 2),
        }
        for cost in costs
    ]
    return table(rows)


def _catalogue() -> str:
    """Return what dissemination and membership cost at 8,070 members."""
    measured = load("catalogue")
    parts = (measured["in force everywhere"], measured["rates"], measured["store"])
    return "\n\n".join(table(rows) for rows in parts)


def _row(line: Line) -> dict[str, str]:
    row = dataclasses.asdict(line)
    row["from"] = row.pop("from_")
    return row


def _replace(text: str, name: str, body: str) -> str:
    begin, end = MARK.format("begin", name), MARK.format("end", name)
    before, _, rest = text.partition(begin)
    _, _, after = rest.partition(end)
    if not after:
        raise ValueError(f'{PAGE.name}: marks "{name}" are missing')
    return f"{before}{begin}\n\n{body}\n\n{end}{after}"
