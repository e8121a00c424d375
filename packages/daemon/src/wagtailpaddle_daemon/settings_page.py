"""The page docs/settings.md, written from the options."""

from wagtailpaddle_daemon.settings import OPTIONS

INTRODUCTION = """\
# Settings of `wagtailpaddled`

Every setting is a flag and an environment variable; the flag goes first.
`wagtailpaddled --check` checks all of them and exits. Wrong settings are named
all at once, each with its value and what is allowed, and the exit status is 2.
Secrets are never printed; pass them as variables, because flags show in the
list of processes. `python -m wagtailpaddle_daemon.settings_page` writes this
page.

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
