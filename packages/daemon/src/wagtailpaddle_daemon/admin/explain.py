"""The command that explains where a request would go."""

from wagtailpaddle_daemon.admin.context import HANDLERS, Context
from wagtailpaddle_daemon.admin.ports import Command, Reply
from wagtailpaddle_daemon.dialect import DEFAULT_DIALECT
from wagtailpaddle_daemon.explain_page import explain_request


@HANDLERS.register("GET /v1/explain")
async def explain(context: Context, command: Command) -> Reply:
    """Explain where a request would go now, without sending it."""
    port = context.port
    return Reply(
        explain_request(
            port.node, context.now(), port.vm, command.query, DEFAULT_DIALECT
        )
    )
