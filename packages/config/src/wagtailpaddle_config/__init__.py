"""Configuration documents, the fold of the log, keys, snapshots."""

from wagtailpaddle_config.appends import (
    Append,
    AppendOutcome,
    AppendState,
    AppendTracker,
    TooManyAppendsError,
)
from wagtailpaddle_config.changes import check_change, check_documents, object_of
from wagtailpaddle_config.document import (
    DocumentError,
    Layer,
    Problem,
    Resolved,
    merge,
    resolve,
)
from wagtailpaddle_config.fold import ConfigFold
from wagtailpaddle_config.follower import LogFollower, Read
from wagtailpaddle_config.keys import IssuedKey, hash_secret, issue_key
from wagtailpaddle_config.layers import Layers
from wagtailpaddle_config.model import (
    ClientAccount,
    Configuration,
    Key,
    Route,
    Server,
    Service,
)
from wagtailpaddle_config.records import (
    DEDUPE_WINDOW,
    CancelAccount,
    Change,
    Document,
    IssueKey,
    PublishBase,
    PublishOverlay,
    PutAccount,
    PutRoute,
    Record,
    RemoveRoute,
    RestoreAccount,
    SnapshotChunk,
    SnapshotItem,
    WithdrawKey,
)
from wagtailpaddle_config.results import Applied, Result, Void, VoidCode
from wagtailpaddle_config.snapshots import (
    Snapshot,
    SnapshotCollector,
    SnapshotOffer,
    SnapshotWatch,
    cut_snapshot,
)
from wagtailpaddle_config.state import SnapshotError

__all__ = [
    "DEDUPE_WINDOW",
    "Append",
    "AppendOutcome",
    "AppendState",
    "AppendTracker",
    "Applied",
    "CancelAccount",
    "Change",
    "ClientAccount",
    "ConfigFold",
    "Configuration",
    "Document",
    "DocumentError",
    "IssueKey",
    "IssuedKey",
    "Key",
    "Layer",
    "Layers",
    "LogFollower",
    "Problem",
    "PublishBase",
    "PublishOverlay",
    "PutAccount",
    "PutRoute",
    "Read",
    "Record",
    "RemoveRoute",
    "Resolved",
    "RestoreAccount",
    "Result",
    "Route",
    "Server",
    "Service",
    "Snapshot",
    "SnapshotChunk",
    "SnapshotCollector",
    "SnapshotError",
    "SnapshotItem",
    "SnapshotOffer",
    "SnapshotWatch",
    "TooManyAppendsError",
    "Void",
    "VoidCode",
    "WithdrawKey",
    "check_change",
    "check_documents",
    "cut_snapshot",
    "hash_secret",
    "issue_key",
    "merge",
    "object_of",
    "resolve",
]
