import pytest
from wagtailpaddle_core import lazy_attributes


@pytest.fixture
def get():
    return lazy_attributes("json", ["JSONDecoder", "missing"], ["decoder"])


def test_name_is_found_in_the_modules(get):
    assert get("JSONDecoder").__module__ == "json.decoder"


@pytest.mark.parametrize("name", ["scanstring", "missing"])
def test_name_that_is_not_exported_or_defined_is_an_attribute_error(get, name):
    with pytest.raises(AttributeError, match=name):
        get(name)
