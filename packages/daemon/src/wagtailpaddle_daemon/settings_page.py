"""Generator of the page docs/settings.md."""

from wagtailpaddle_daemon.settings import OPTIONS

INTRODUCTION = """\
# Settings of `wagtailpaddled`

Every setting has a flag and an environment variable; the flag takes precedence.
`wagtailpaddled --check` checks all settings and exits. Invalid settings are all
reported together, each with its value and the allowed values, and the exit
status is 2. Secrets are never printed; pass them as variables, because flags
are visible in the process list. `python -m wagtailpaddle_daemon.settings_page`
writes this page.

| flag | variable | default | meaning |
| --- | --- | --- | --- |
"""


def render_settings_page() -> str:
    """Return the page as Markdown."""
    rows = []
    for item in OPTIONS:
        secret = " (secret)" if item.secret else ""
        cells = (
            f"`{item.flag}`",
            f"`{item.variable}`",
            item.shown_default,
            item.help + secret,
        )
        rows.append("| " + " | ".join(cells) + " |\n")
    return INTRODUCTION + "".join(rows)


if __name__ == "__main__":
    print(render_settings_page(), end="")
