"""Stand-ins for the state service, the cloud, the workers and the users, by their protocols."""

from tests.fakes.cloud import FakeCloud
from tests.fakes.rules import RuleChecker
from tests.fakes.state import FakeState
from tests.fakes.worker import FakeWorker
from tests.fakes.world import World

__all__ = ["FakeCloud", "FakeState", "FakeWorker", "RuleChecker", "World"]
