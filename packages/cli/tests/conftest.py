import io
import json
from dataclasses import dataclass, field

import pytest
from wagtailpaddle_cli.main import run_local
from wagtailpaddle_cli.parser import build_parser
from wagtailpaddle_cli.session import Response, Session


@dataclass
class FakeClient:
    """Serves reads from ``pages`` and records changes."""

    pages: dict = field(default_factory=dict)
    changes: list = field(default_factory=list)
    states: list = field(default_factory=lambda: ["in-force"])
    failure: Exception | None = None

    async def get(self, path):
        page = self.pages[path]
        return Response(200, page.pop(0) if isinstance(page, list) else page)

    async def change(self, method, path, body, *, record_id, headers):
        if self.failure is not None:
            raise self.failure
        self.changes.append((method, path, body, headers))
        result = {
            "record": record_id,
            "revision": 7,
            "state": self.states[0],
            "n_confirmed": 2,
            "n_needed": 2,
        }
        self.pages[f"/v1/records/{record_id}"] = [
            {**result, "state": state} for state in self.states[1:]
        ]
        return Response(200, result)


@dataclass(frozen=True)
class CommandResult:
    status: int
    text: str

    def json(self):
        return json.loads(self.text)


@pytest.fixture
def client():
    return FakeClient()


@pytest.fixture
def run(client):
    def run_command(*argv):
        args = build_parser().parse_args(argv)
        out = io.StringIO()
        session = Session(out, as_json=args.json, client=client)
        status = run_local(args.command.run(session, args))
        return CommandResult(status, out.getvalue())

    return run_command
