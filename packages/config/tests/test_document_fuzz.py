"""Fuzz test: the check of arbitrary documents returns problems, never raises."""

from hypothesis import given, settings
from hypothesis import strategies as st
from wagtailpaddle_config import Layer, check_documents, resolve

BOUNDED = settings(derandomize=True, deadline=None, max_examples=150)
NAMES = st.sampled_from(
    ["x", "rate", "burst", "path", "service", "servers", "methods", "floor", "accounts"]
)
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(NAMES, inner, max_size=4)
    ),
    max_leaves=10,
)
DOCUMENTS = st.dictionaries(
    st.sampled_from(["accounts", "routes", "services", "unknown"]),
    VALUES | st.dictionaries(NAMES, st.dictionaries(NAMES, VALUES), max_size=3),
    max_size=3,
)


@BOUNDED
@given(base=DOCUMENTS, overlay=DOCUMENTS)
def test_check_of_arbitrary_documents_does_not_raise(base, overlay):
    problems = check_documents(base, {"namur": overlay})
    assert all(problem.path and problem.rule for problem in problems)
    if not problems:
        resolved = resolve([Layer("base", base), Layer("namur", overlay)])
        assert set(resolved.origins.values()) <= {"base", "namur"}
