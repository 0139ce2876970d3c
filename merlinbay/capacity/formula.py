"""Formulas of the capacity files: arithmetic over named values; the text shown is what was worked out."""

from __future__ import annotations

import ast
import math
import operator
from collections.abc import Callable, Mapping

BINARY: dict[type[ast.operator], Callable[[float, float], float]] = {
    ast.Add: operator.add,
    ast.Sub: operator.sub,
    ast.Mult: operator.mul,
    ast.Div: operator.truediv,
    ast.Pow: operator.pow,
}
FUNCTIONS: dict[str, Callable[..., float]] = {"max": max, "min": min, "log": math.log, "ceil": math.ceil}


class FormulaError(ValueError):
    """A formula that is not arithmetic over names, or names a value that there is none of."""


def names(text: str) -> frozenset[str]:
    """Return the values that a formula uses."""
    return frozenset(
        node.id for node in ast.walk(_parse(text)) if isinstance(node, ast.Name) and node.id not in FUNCTIONS
    )


def evaluate(text: str, values: Mapping[str, float]) -> float:
    """Return what a formula comes to."""
    return _value(_parse(text).body, values, text)


def _parse(text: str) -> ast.Expression:
    try:
        return ast.parse(text, mode="eval")
    except SyntaxError as error:
        raise FormulaError(f"{text!r}: {error.msg}") from error


def _value(node: ast.expr, values: Mapping[str, float], text: str) -> float:
    match node:
        case ast.Constant(value=int() | float() as number):
            return float(number)
        case ast.Name(id=name) if name in values:
            return values[name]
        case ast.Name(id=name):
            raise FormulaError(f"{text!r}: there is no value {name!r}")
        case ast.BinOp(left=left, op=sign, right=right) if type(sign) in BINARY:
            return BINARY[type(sign)](_value(left, values, text), _value(right, values, text))
        case ast.Call(func=ast.Name(id=function), args=arguments, keywords=[]) if function in FUNCTIONS:
            return float(FUNCTIONS[function](*(_value(argument, values, text) for argument in arguments)))
        case _:
            raise FormulaError(f"{text!r}: {ast.unparse(node)!r} is not arithmetic")
