"""Generates docs/cli.md from the registered commands and the exit statuses."""

import argparse

from wagtailpaddle_cli.commands import COMMANDS, Command
from wagtailpaddle_cli.exitstatus import EXIT_STATUS_MEANINGS

INTRODUCTION = """\
# The command line `wagtailpaddle`

It calls the administration API of any daemon. `--admin-address`
(`WAGTAILPADDLE_ADMIN_ADDRESSES` or `WAGTAILPADDLE_ADMIN_ADDRESS`) is a
comma-separated list of addresses, each `host:port`. They are tried in turn.
`WAGTAILPADDLE_TOKEN` or `--token` is the operator's token; flags are visible in
the process list. `--timeout` is the longest wait for one response in seconds
(default 10). `--json` prints JSON, also for errors.

Each change has a record id. If the response is lost, the command looks up the
record at every address. It sends the change again, once and with the same id,
only if a daemon that has read the log to its end does not have the record. If
the outcome stays unknown, the exit status is 4 and the message contains the
record id.

`--expected REVISION` makes a change conditional: if the object has another
revision, nothing changes, the message names the operator who changed it, and
the exit status is 5. `--wait SECONDS` waits until the change is in force.

`explain` shows where a request would go now and why. It sends nothing and changes
nothing. With `--monitoring` it asks a VM on the users' platform and needs no token;
otherwise it asks a daemon's administration API. Its `--timeout` is that of the
request. The exit status is 0 for every explanation, also for that of a refusal.

`python -m wagtailpaddle_cli.page` prints this page.

## Exit statuses

| status | meaning |
| --- | --- |
"""


def render_page() -> str:
    """Return the page as Markdown."""
    rows = [
        f"| {int(status)} | {text} |\n" for status, text in EXIT_STATUS_MEANINGS.items()
    ]
    entries = [_entry(COMMANDS[name]) for name in COMMANDS.names()]
    return INTRODUCTION + "".join(rows) + "\n## Commands\n" + "".join(entries)


def _entry(entry: Command) -> str:
    parser = argparse.ArgumentParser(prog=entry.name, add_help=False)
    actions = [
        parser.add_argument(*item.flags, **item.options) for item in entry.arguments
    ]
    lines = [f"\n### `{entry.name}`\n\n{entry.help[:1].upper()}{entry.help[1:]}.\n"]
    if actions:
        lines.append("\n")
    for action in actions:
        name = action.option_strings[0] if action.option_strings else action.dest
        lines.append(f"- `{name}`: {action.help}\n")
    return "".join(lines)


if __name__ == "__main__":
    from wagtailpaddle_cli import parser  # noqa: F401

    print(render_page(), end="")
