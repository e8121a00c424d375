"""The state machine of a daemon, from start to stop."""

from automat import MethodicalMachine


class Lifecycle:
    """The states starting, serving, leaving, draining and stopped, in this order.

    A transition out of order raises ``automat.NoTransition``; a repeated request
    to leave has no effect.

    >>> life = Lifecycle()
    >>> life.started()
    >>> life.leave()
    >>> life.state
    'leaving'
    """

    _machine = MethodicalMachine()

    def __init__(self) -> None:
        self.state = "starting"

    @_machine.state(initial=True)
    def _starting(self) -> None:
        """The daemon opens its ports and reads its state."""

    @_machine.state()
    def _serving(self) -> None:
        """Requests are served."""

    @_machine.state()
    def _leaving(self) -> None:
        """Requests are still served, but callers are directed to other VMs."""

    @_machine.state()
    def _draining(self) -> None:
        """New requests are refused; those in flight finish."""

    @_machine.state()
    def _stopped(self) -> None:
        """Everything is closed."""

    @_machine.input()
    def started(self) -> None:
        """The ports are open."""

    @_machine.input()
    def leave(self) -> None:
        """A graceful stop was requested."""

    @_machine.input()
    def drain(self) -> None:
        """Callers had enough time to switch to other VMs."""

    @_machine.input()
    def stopped(self) -> None:
        """Everything is closed."""

    @_machine.output()
    def _set_serving(self) -> None:
        self.state = "serving"

    @_machine.output()
    def _set_leaving(self) -> None:
        self.state = "leaving"

    @_machine.output()
    def _set_draining(self) -> None:
        self.state = "draining"

    @_machine.output()
    def _set_stopped(self) -> None:
        self.state = "stopped"

    _starting.upon(started, enter=_serving, outputs=[_set_serving])
    _starting.upon(leave, enter=_leaving, outputs=[_set_leaving])
    _serving.upon(leave, enter=_leaving, outputs=[_set_leaving])
    _leaving.upon(leave, enter=_leaving, outputs=[])
    _leaving.upon(started, enter=_leaving, outputs=[])
    _leaving.upon(drain, enter=_draining, outputs=[_set_draining])
    _draining.upon(leave, enter=_draining, outputs=[])
    _draining.upon(stopped, enter=_stopped, outputs=[_set_stopped])
