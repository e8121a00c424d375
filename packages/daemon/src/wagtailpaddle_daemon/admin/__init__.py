"""The HTTP administration API of the daemon."""

from wagtailpaddle_daemon.admin.app import Admin
from wagtailpaddle_daemon.admin.ports import (
    AdminPort,
    ChangeStage,
    ChangeState,
    VmView,
    change_state,
)

__all__ = [
    "Admin",
    "AdminPort",
    "ChangeState",
    "ChangeStage",
    "VmView",
    "change_state",
]
