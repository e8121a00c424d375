"""Minimal forwarders to one backend server, baselines for the benchmark."""

import argparse
from collections.abc import Callable
from typing import Any

import treq
from klein import Klein
from twisted.internet import reactor
from twisted.web.client import Agent, HTTPConnectionPool, readBody
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site
from wagtailpaddle_core import Registry

FORWARDERS: Registry[Callable[[str], Resource]] = Registry("forwarder")


@FORWARDERS.register("klein")
def klein_forwarder(target: str) -> Resource:
    """Return a Klein application that forwards through treq."""
    app = Klein()
    pool = HTTPConnectionPool(reactor)
    client = treq.client.HTTPClient(Agent(reactor, pool=pool))

    @app.route("/", branch=True)
    async def forward(request: Any) -> bytes:
        response = await client.get(target + request.uri.decode())
        request.setResponseCode(response.code)
        return await response.content()

    return app.resource()


@FORWARDERS.register("web")
def web_forwarder(target: str) -> Resource:
    """Return a twisted.web resource that forwards through a pooled agent."""
    agent = Agent(reactor, pool=HTTPConnectionPool(reactor))

    class Forward(Resource):
        isLeaf = True  # noqa: N815

        def render_GET(self, request: Any) -> Any:  # noqa: N802
            pending = agent.request(b"GET", target.encode() + request.uri)
            pending.addCallback(readBody)
            pending.addCallback(lambda body: (request.write(body), request.finish()))
            return NOT_DONE_YET

    return Forward()


def main() -> None:
    """Serve until the process is terminated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--kind", choices=FORWARDERS.names(), required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--target", required=True, help="base URL")
    args = parser.parse_args()
    loop: Any = reactor
    site = Site(FORWARDERS[args.kind](args.target))
    loop.listenTCP(args.port, site, interface="127.0.0.1")
    loop.run()


if __name__ == "__main__":
    main()
