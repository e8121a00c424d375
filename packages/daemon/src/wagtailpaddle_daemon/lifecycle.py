"""The life of a daemon, from start to stop, as a state machine."""

from automat import MethodicalMachine


class Lifecycle:
    """Starting, serving, leaving, draining, stopped.

    A step out of order raises ``automat.NoTransition``; a second request to
    leave changes nothing.

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
        """The daemon opens its ports and catches up."""

    @_machine.state()
    def _serving(self) -> None:
        """Requests are served."""

    @_machine.state()
    def _leaving(self) -> None:
        """Requests are still served, but callers are sent elsewhere."""

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
        """A graceful stop was asked for."""

    @_machine.input()
    def drain(self) -> None:
        """Callers had the time to go elsewhere."""

    @_machine.input()
    def stopped(self) -> None:
        """Everything is closed."""

    @_machine.output()
    def _note_serving(self) -> None:
        self.state = "serving"

    @_machine.output()
    def _note_leaving(self) -> None:
        self.state = "leaving"

    @_machine.output()
    def _note_draining(self) -> None:
        self.state = "draining"

    @_machine.output()
    def _note_stopped(self) -> None:
        self.state = "stopped"

    _starting.upon(started, enter=_serving, outputs=[_note_serving])
    _starting.upon(leave, enter=_leaving, outputs=[_note_leaving])
    _serving.upon(leave, enter=_leaving, outputs=[_note_leaving])
    _leaving.upon(leave, enter=_leaving, outputs=[])
    _leaving.upon(started, enter=_leaving, outputs=[])
    _leaving.upon(drain, enter=_draining, outputs=[_note_draining])
    _draining.upon(leave, enter=_draining, outputs=[])
    _draining.upon(stopped, enter=_stopped, outputs=[_note_stopped])
