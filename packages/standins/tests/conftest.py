import pytest
from wagtailpaddle_standins.system import System


@pytest.fixture(scope="session")
def system():
    with System() as running:
        running.publish(running.base_document())
        yield running


@pytest.fixture
def issue(system):
    def issue_key(account="account-0"):
        path = f"/v1/accounts/{account}/keys"
        return system.operator(0).send("POST", path, {}).json()

    return issue_key
