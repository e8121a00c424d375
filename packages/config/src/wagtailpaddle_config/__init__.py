"""Configuration documents and log records, their fold, keys and snapshots."""

from typing import TYPE_CHECKING

from wagtailpaddle_core import lazy_attributes

if TYPE_CHECKING:
    from wagtailpaddle_config.appends import (
        Append,
        AppendOutcome,
        AppendState,
        AppendTracker,
        TooManyAppendsError,
    )
    from wagtailpaddle_config.changes import (
        changed_object,
        check_change,
        check_documents,
    )
    from wagtailpaddle_config.config_document import (
        CallerLimits,
        ConfigDocument,
        Evacuation,
        RegisteredServer,
        ServersByService,
        build_configuration,
        servers_by_service,
        with_servers,
    )
    from wagtailpaddle_config.document import (
        DocumentError,
        Layer,
        Problem,
        Resolved,
        merge,
        resolve,
    )
    from wagtailpaddle_config.fold import ConfigFold
    from wagtailpaddle_config.keys import IssuedKey, hash_secret, issue_key
    from wagtailpaddle_config.layers import Layers
    from wagtailpaddle_config.log_cursor import LogCursor, LogRead
    from wagtailpaddle_config.model import (
        ClientAccount,
        Configuration,
        Key,
        Route,
        Server,
        Service,
        SplitPart,
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
        SnapshotProvider,
        SnapshotScheduler,
        split_snapshot,
    )
    from wagtailpaddle_config.state import SnapshotError

__all__ = [
    "CallerLimits",
    "Evacuation",
    "RegisteredServer",
    "ServersByService",
    "SplitPart",
    "ConfigDocument",
    "servers_by_service",
    "build_configuration",
    "with_servers",
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
    "LogCursor",
    "Problem",
    "PublishBase",
    "PublishOverlay",
    "PutAccount",
    "PutRoute",
    "LogRead",
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
    "SnapshotProvider",
    "SnapshotScheduler",
    "TooManyAppendsError",
    "Void",
    "VoidCode",
    "WithdrawKey",
    "check_change",
    "check_documents",
    "split_snapshot",
    "hash_secret",
    "issue_key",
    "merge",
    "changed_object",
    "resolve",
]

if not TYPE_CHECKING:
    __getattr__ = lazy_attributes(
        __name__,
        __all__,
        [
            "model",
            "keys",
            "config_document",
            "document",
            "results",
            "records",
            "layers",
            "log_cursor",
            "state",
            "fold",
            "changes",
            "appends",
            "snapshots",
        ],
    )
