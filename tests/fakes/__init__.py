"""Fakes of the key-value store, the cloud, the workers and the users. They speak the protocols."""

from tests.fakes.cloud import FakeCloud
from tests.fakes.deployment import Deployment
from tests.fakes.rule_checker import RuleChecker
from tests.fakes.store import FakeKeyValueStore
from tests.fakes.worker import FakeWorker

__all__ = ["Deployment", "FakeCloud", "FakeKeyValueStore", "FakeWorker", "RuleChecker"]
