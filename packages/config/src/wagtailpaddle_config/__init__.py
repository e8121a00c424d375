"""Configuration documents, the fold of the log, keys."""

from wagtailpaddle_config.fold import Applied, ConfigFold, Void
from wagtailpaddle_config.keys import IssuedKey, hash_secret, issue_key
from wagtailpaddle_config.model import (
    ClientAccount,
    Configuration,
    Key,
    Route,
    Server,
    Service,
)
from wagtailpaddle_config.records import (
    CancelAccount,
    Change,
    IssueKey,
    PublishBase,
    PublishOverlay,
    PutAccount,
    PutRoute,
    Record,
    RemoveRoute,
    RestoreAccount,
    WithdrawKey,
)

__all__ = [
    "Applied",
    "CancelAccount",
    "Change",
    "ClientAccount",
    "ConfigFold",
    "Configuration",
    "IssueKey",
    "IssuedKey",
    "Key",
    "PublishBase",
    "PublishOverlay",
    "PutAccount",
    "PutRoute",
    "Record",
    "RemoveRoute",
    "RestoreAccount",
    "Route",
    "Server",
    "Service",
    "Void",
    "WithdrawKey",
    "hash_secret",
    "issue_key",
]
