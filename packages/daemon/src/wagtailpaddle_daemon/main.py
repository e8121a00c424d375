"""Command-line entry point of ``wagtailpaddled``."""

import signal
from collections.abc import Callable, Sequence
from typing import Any

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from wagtailpaddle_daemon import gc_policy
from wagtailpaddle_daemon.header_cache import bound_header_cache
from wagtailpaddle_daemon.logs import get_logger, setup_logs
from wagtailpaddle_daemon.loop import install
from wagtailpaddle_daemon.settings import Settings, parse


def main(argv: Sequence[str] | None = None) -> int:
    """Run the daemon; return its exit status."""
    cfg, check_only = parse(argv)
    if check_only:
        print("wagtailpaddled: the settings are valid")
        return 0
    setup_logs(format=cfg.log_format, level=cfg.log_level)
    return run(cfg)


def run(cfg: Settings) -> int:
    """Run a daemon of a fleet with its own log."""

    def make_daemon(reactor: Any) -> Any:
        from wagtailpaddle_daemon.service import Daemon

        return Daemon(reactor, cfg)

    return run_daemon(make_daemon)


def run_daemon(
    make_daemon: Callable[[Any], Any], *, on_reload: Callable[[], None] | None = None
) -> int:
    """Run a daemon until SIGTERM or SIGINT; a SIGINT after either exits at once.

    A further SIGTERM has no effect: a supervisor may repeat it, and the requests in
    flight must not be cut by that.

    ``make_daemon`` is called with the reactor and returns an object with the coroutines
    ``start`` and ``stop``. SIGHUP calls ``on_reload``; without it the signal has no
    effect.
    """
    gc_policy.disable_collection()
    reactor: Any = install()
    bound_header_cache()
    log = get_logger("daemon")
    daemon = make_daemon(reactor)
    is_stopping = False
    exit_status = 0

    def fail(failure: Failure) -> None:
        nonlocal exit_status
        exit_status = 1
        log.error("Failed.", error=failure.getErrorMessage())
        reactor.stop()

    def on_signal(number: int, _: Any) -> None:
        nonlocal is_stopping
        if is_stopping and number == signal.SIGINT:
            reactor.callFromThread(reactor.stop)
        elif not is_stopping:
            is_stopping = True
            reactor.callFromThread(begin_stop)

    def begin_stop() -> None:
        stopping = Deferred.fromCoroutine(daemon.stop())
        stopping.addCallbacks(lambda _: reactor.stop(), fail)

    async def start() -> None:
        await daemon.start()
        gc_policy.enable_collection()

    def begin() -> None:
        Deferred.fromCoroutine(start()).addErrback(fail)

    reactor.callWhenRunning(begin)

    def on_hangup(*_: Any) -> None:
        if on_reload is not None:
            reactor.callFromThread(on_reload)

    signal.signal(signal.SIGHUP, on_hangup)
    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    reactor.run(installSignalHandlers=False)
    return exit_status


if __name__ == "__main__":
    raise SystemExit(main())
