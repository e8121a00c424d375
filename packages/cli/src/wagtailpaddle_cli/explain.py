"""The command that explains where a request would go."""

from argparse import Action, Namespace
from typing import Any
from urllib.parse import urlencode

from wagtailpaddle_cli.commands import arg, command, finite
from wagtailpaddle_cli.exitstatus import CommandError, ExitStatus
from wagtailpaddle_cli.monitoring import fetch_page
from wagtailpaddle_cli.session import Session
from wagtailpaddle_cli.tables import render_table

SERVER_COLUMNS = ("server", "zone", "choice", "free", "for", "against", "also")
EFFECTS = ("for", "against", "neutral")
UNITS = {"_per_s": "/s", "_s": " s"}
"""Units by the end of a fact's name."""


class FormatAction(Action):
    """Sets ``json``, which every command has, from ``--format``."""

    def __call__(
        self, parser: Any, namespace: Namespace, values: Any, option: Any = None
    ) -> None:
        """Store whether the format is JSON."""
        namespace.json = values == "json"


def _calls_daemon(args: Namespace) -> bool:
    return not args.monitoring


@command(
    "explain",
    "explain where a request would go now and why, without sending it",
    arg("method", help="HTTP method"),
    arg("host", help="host that the request names"),
    arg("path", help="path as a caller sends it"),
    arg("--account", help="client account; no key is asked for"),
    arg(
        "--timeout",
        dest="request_timeout",
        type=finite,
        metavar="SECONDS",
        help="time-out that the caller sets; the route's if not set",
    ),
    arg(
        "--format",
        action=FormatAction,
        choices=("text", "json"),
        help="output format [default: text]",
    ),
    arg(
        "--monitoring",
        metavar="HOST:PORT",
        help="monitoring address of a VM on the users' platform to ask instead of the"
        " administration API",
    ),
    is_remote=_calls_daemon,
)
async def explain(session: Session, args: Namespace) -> ExitStatus:
    """Print an explanation; one of a refusal is a success, too."""
    query = {"method": args.method, "host": args.host, "path": args.path}
    if args.account:
        query["account"] = args.account
    if args.request_timeout is not None:
        query["timeout_ms"] = _milliseconds(args.request_timeout)
    if args.monitoring:
        value = fetch_page(args.monitoring, "/explain?" + urlencode(query))
    else:
        value = await session.get("explain", **query)
    session.show(value, render_explanation(value))
    return ExitStatus.OK


def render_explanation(value: dict[str, Any]) -> str:
    """Return an explanation as text."""
    lines = [_result_line(value)]
    if value["next_refusal"]:
        lines.append(f"if it fails there: {_refusal(value['next_refusal'])}")
    if value["route"]:
        lines.append(_route_line(value))
    if value["account"]:
        lines.append(f"client account: {value['account']}{_rate(value['rate'])}")
    if value["n_queued"]:
        queue = f"{value['n_queued']} requests, about {value['wait_s']:.3g} s"
        lines.append(f"queue of the service: {queue}")
    if value["servers"]:
        rows = [_server_row(value, server) for server in value["servers"]]
        lines += ["", render_table(SERVER_COLUMNS, rows)]
    return "\n".join(lines)


def _result_line(value: dict[str, Any]) -> str:
    asked = value["request"]
    request = f"{asked['method']} {asked['host']}{asked['path']} at {value['vm']}"
    if value["refusal"]:
        return f"{request}: refused, {_refusal(value['refusal'])}"
    if value["queued"]:
        return f"{request}: waits in the queue"
    after = f", next {value['next']}" if value["next"] else ""
    return f"{request}: sent to {value['chosen']}{after}"


def _refusal(refusal: dict[str, Any]) -> str:
    text = f"{refusal['status']} {refusal['kind']} ({refusal['detail']})"
    if refusal["retry_after_s"] is not None:
        text += f", retry after {refusal['retry_after_s']:.3g} s"
    return text + (", or elsewhere at once" if refusal["retry_elsewhere"] else "")


def _route_line(value: dict[str, Any]) -> str:
    route = value["route"]
    kind = "idempotent" if route["idempotent"] else "non-idempotent"
    line = f"route: {route['id']}, path {route['path']}, {kind}"
    if value["service"]:
        line += f", service {value['service']}"
    if value["timeout_s"] is not None:
        line += f", time-out {value['timeout_s']:.3g} s"
    return line


def _rate(rate: dict[str, Any] | None) -> str:
    if rate is None or rate["rate"] is None:
        return ", no limit"
    text = f", {rate['rate']:g} requests/s, burst {rate['burst']:g}"
    text += f", {rate['tokens']:.3g} tokens here, {rate['decision']}"
    return text if rate["wait_s"] is None else f"{text} for {rate['wait_s']:.3g} s"


def _server_row(value: dict[str, Any], server: dict[str, Any]) -> list[Any]:
    name = server["server"]
    choices = {value["next"]: "next", value["chosen"]: "first"}
    facts: dict[str, list[str]] = {effect: [] for effect in EFFECTS}
    for fact in server["facts"]:
        facts[fact["effect"]].append(_fact(fact))
    columns = [", ".join(facts[effect]) for effect in EFFECTS]
    return [name, server["zone"], choices.get(name), server["available"], *columns]


def _fact(fact: dict[str, Any]) -> str:
    name, unit = fact["name"], ""
    for suffix, of_suffix in UNITS.items():
        if not unit and name.endswith(suffix):
            name, unit = name.removesuffix(suffix), of_suffix
    name = name.replace("_", " ")
    if fact["value"] is True:
        return name
    if fact["value"] is False:
        return f"not {name}"
    return f"{name} {fact['value']}{unit}"


def _milliseconds(seconds: float) -> str:
    if seconds <= 0.0:
        detail = f"--timeout is {seconds:g}; allowed: seconds above 0"
        raise CommandError(ExitStatus.USAGE, detail)
    return str(max(1, round(seconds * 1000)))
