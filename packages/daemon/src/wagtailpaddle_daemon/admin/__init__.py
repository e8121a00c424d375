"""The HTTP administration API of the daemon."""

from wagtailpaddle_daemon.admin.app import Admin
from wagtailpaddle_daemon.admin.ports import (
    AdminPort,
    ChangeState,
    StateName,
    VmView,
    change_state,
)

__all__ = [
    "Admin",
    "AdminPort",
    "ChangeState",
    "StateName",
    "VmView",
    "change_state",
]
