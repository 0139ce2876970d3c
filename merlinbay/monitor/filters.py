"""A small language over the attributes of jobs: ``jobState == "RUNNING" and accountingId in ("a", "b")``.

No I/O. A filter is compiled once and then costs each job one pass over its terms; nothing in it loops, so
its cost is bounded by its length. A comparison with an attribute that is not set is false, ``!=`` included;
``is set`` and ``is unset`` ask for that.
"""

from __future__ import annotations

import operator
import re
from collections.abc import Callable, Mapping
from datetime import datetime
from functools import lru_cache
from typing import Any

from lark import Lark, Token, Transformer, v_args
from lark.exceptions import UnexpectedInput, VisitError

LENGTH, DEPTH, TERMS, NOTS = 2000, 16, 64, 16
GRAMMAR = r"""
    start: either
    either: both ("or" both)*
    both: term ("and" term)*
    ?term: "not" term -> negated
         | "(" either ")"
         | NAME COMPARE value -> compared
         | NAME "in" "(" value ("," value)* ")" -> among
         | NAME "not" "in" "(" value ("," value)* ")" -> not_among
         | NAME "is" "set" -> given
         | NAME "is" "unset" -> not_given
    value: STRING | NUMBER
    COMPARE: "==" | "!=" | "<=" | ">=" | "<" | ">"
    NAME: /[a-zA-Z][a-zA-Z0-9]*/
    STRING: /"([^"\\\n]|\\["\\])*"/
    NUMBER: /-?[0-9]+(\.[0-9]+)?/
    %ignore /[ \t\r\n]+/
"""
NESTING = re.compile(r'"(?:[^"\\\n]|\\.)*"|[()]|\bnot\b')  # strings are passed over whole
COMPARES: dict[str, Callable[[Any, Any], bool]] = {
    "==": operator.eq,
    "!=": operator.ne,
    "<": operator.lt,
    "<=": operator.le,
    ">": operator.gt,
    ">=": operator.ge,
}
Getter = Callable[[str], Any]
Test = Callable[[Getter], bool]


class FilterError(Exception):
    """A filter that cannot be meant; the text names the column, from 1 on."""


def text_of(token: Token) -> str:
    """Return what a quoted string stands for."""
    return token[1:-1].replace('\\"', '"').replace("\\\\", "\\")


def column(token: Token) -> int:
    """Return where a token stands, from 1 on."""
    return (token.start_pos or 0) + 1


class _Compiler(Transformer[Token, Test]):
    """Makes tests of what the grammar finds."""

    def __init__(self, kinds: Mapping[str, type]) -> None:
        super().__init__()
        self.kinds, self.terms = kinds, 0

    def _kind(self, name: Token) -> type:
        self.terms += 1
        if self.terms > TERMS:
            raise FilterError(f"column {column(name)}: more than {TERMS} terms")
        if name not in self.kinds:
            raise FilterError(f"column {column(name)}: no attribute {str(name)!r}")
        return self.kinds[name]

    def _value(self, token: Token, kind: type) -> Any:
        """Return a value of the attribute's type."""
        if kind in (str, list) and token.type == "STRING":
            return text_of(token)
        if kind is float and token.type == "NUMBER":
            return float(token)
        if kind is datetime and token.type == "STRING":
            try:
                moment = datetime.fromisoformat(text_of(token))
            except ValueError:
                moment = datetime.min
            if moment.tzinfo is None:
                raise FilterError(f"column {column(token)}: a time is RFC 3339 with its zone")
            return moment
        wants = {str: "a string", list: "a string", float: "a number", datetime: "a time in quotes"}[kind]
        raise FilterError(f"column {column(token)}: {wants} is wanted")

    def start(self, children: list[Test]) -> Test:
        """Return the whole."""
        return children[0]

    def either(self, tests: list[Test]) -> Test:
        """Return a test that one of several passes."""
        return tests[0] if len(tests) == 1 else lambda get: any(test(get) for test in tests)

    def both(self, tests: list[Test]) -> Test:
        """Return a test that all of several pass."""
        return tests[0] if len(tests) == 1 else lambda get: all(test(get) for test in tests)

    def negated(self, tests: list[Test]) -> Test:
        """Return a test's contrary."""
        test = tests[0]
        return lambda get: not test(get)

    def value(self, tokens: list[Token]) -> Token:
        """Return the value's token: its type depends on the attribute."""
        return tokens[0]

    @v_args(inline=True)
    def compared(self, name: Token, sign: Token, value: Token) -> Test:
        """Return a comparison; one of a list holds if it holds for one of its members."""
        kind, compare, key = self._kind(name), COMPARES[sign], str(name)
        if kind is list and sign not in ("==", "!="):
            raise FilterError(f"column {column(sign)}: {key} is a list: == or != is wanted")
        wanted = self._value(value, kind)
        if kind is list:
            return lambda get: ((wanted in (get(key) or ())) is (sign == "==")) and bool(get(key))
        return lambda get: (found := get(key)) is not None and compare(found, wanted)

    def among(self, children: list[Token]) -> Test:
        """Return whether an attribute is one of several values."""
        name, kind = str(children[0]), self._kind(children[0])
        wanted = {self._value(token, kind) for token in children[1:]}
        if kind is list:
            return lambda get: any(found in wanted for found in get(name) or ())
        return lambda get: get(name) in wanted

    def not_among(self, children: list[Token]) -> Test:
        """Return whether an attribute is set, and none of several values."""
        name, inside = str(children[0]), self.among(children)
        return lambda get: get(name) not in (None, []) and not inside(get)

    @v_args(inline=True)
    def given(self, name: Token) -> Test:
        """Return whether an attribute is set."""
        self._kind(name)
        return lambda get: get(str(name)) not in (None, [], "")

    @v_args(inline=True)
    def not_given(self, name: Token) -> Test:
        """Return whether an attribute is not set."""
        given = self.given(name)
        return lambda get: not given(get)


@lru_cache(maxsize=1)
def _parser() -> Lark:
    return Lark(GRAMMAR, parser="lalr", maybe_placeholders=False)


def compiled(text: str, kinds: Mapping[str, type]) -> Test:
    """Compile a filter over attributes of the given types. Raises ``FilterError``.

    Types: ``str``, ``float``, ``datetime``, and ``list`` (of strings). The test calls its argument with an
    attribute's name and gets its value, or None.
    """
    if len(text) > LENGTH:
        raise FilterError(f"column {LENGTH + 1}: more than {LENGTH} characters")
    depth = nots = 0
    try:
        # Guards against nesting that would exhaust the stack: it is counted before anything is built of it.
        for found in NESTING.finditer(text):
            depth += (found[0] == "(") - (found[0] == ")")
            nots += found[0] == "not"
            if depth > DEPTH or nots > NOTS:
                raise FilterError(f"column {found.start() + 1}: nested too deeply")
        return _Compiler(kinds).transform(_parser().parse(text))
    except VisitError as error:
        if isinstance(error.orig_exc, FilterError):
            raise error.orig_exc from None
        raise
    except UnexpectedInput as error:
        token = getattr(error, "token", None)
        at = len(text) if token is not None and token.type == "$END" else error.pos_in_stream or 0
        raise FilterError(f"column {at + 1}: it makes no sense there") from None
