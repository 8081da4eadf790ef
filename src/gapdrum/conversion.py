"""Converts JSON data into attrs classes and back; reports all errors with their locations."""

from typing import Any, TypeVar, get_origin

import attrs
import cattrs
from cattrs.cols import list_structure_factory
from cattrs.errors import ClassValidationError, IterableValidationError
from cattrs.gen import make_dict_structure_fn

from gapdrum.exceptions import Finding, InvalidInputError

T = TypeVar("T")
MAX_FINDINGS = 50


def structure(data: Any, target: type[T], root: str = "$") -> T:
    """Return ``data`` as a ``target``; raises InvalidInputError with all findings."""
    try:
        return _converter.structure(data, target)
    except (ClassValidationError, IterableValidationError) as error:
        raise InvalidInputError(
            "the input has findings", findings=_list_findings(error, root)
        ) from error
    except (TypeError, ValueError) as error:
        finding = Finding(root, str(error))
        raise InvalidInputError("the input has findings", findings=(finding,)) from error


def unstructure(instance: Any) -> Any:
    """Return an attrs instance as plain JSON data."""
    return _converter.unstructure(instance)


def _list_findings(error: Exception, root: str) -> tuple[Finding, ...]:
    lines = cattrs.transform_error(error, path=root, format_exception=_describe)
    findings = []
    for line in lines[:MAX_FINDINGS]:
        message, _, place = line.rpartition(" @ ")
        findings.append(Finding(place, message))
    return tuple(findings)


def _describe(error: BaseException, _type: type | None) -> str:
    if isinstance(error, KeyError):
        return f"the field {error.args[0]} is missing"
    if isinstance(error, cattrs.errors.ForbiddenExtraKeysError):
        return f"unknown fields: {', '.join(sorted(error.extra_fields))}"
    if isinstance(error, TypeError | ValueError) and error.args:
        return str(error.args[0])
    return f"not accepted ({type(error).__name__})"


def _build_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True, detailed_validation=True)
    for primitive in (int, float, bool, str):
        converter.register_structure_hook(primitive, _build_strict_hook(primitive))
    for union in (int | str, int | str | None):
        converter.register_structure_hook(union, _structure_setting_value)
    converter.register_structure_hook_factory(_is_list, _build_list_hook)
    converter.register_structure_hook_factory(attrs.has, _build_object_hook)
    return converter


def _is_list(target: Any) -> bool:
    return get_origin(target) is list


def _build_list_hook(target: Any, converter: cattrs.Converter):
    inner = list_structure_factory(target, converter)
    return _require(list, "a list", inner)


def _build_object_hook(target: type, converter: cattrs.Converter):
    inner = make_dict_structure_fn(target, converter, _cattrs_forbid_extra_keys=True)
    return _require(dict, "an object", inner)


def _require(plain: type, name: str, inner):
    """Return a hook that accepts only ``plain``: strings and objects are iterable as well."""

    def hook(value: Any, target: Any) -> Any:
        if not isinstance(value, plain):
            raise TypeError(f"expected {name}, got {type(value).__name__}")
        return inner(value, target)

    return hook


def _structure_setting_value(value: Any, _type: type) -> int | str | None:
    if value is not None and type(value) not in (int, str):
        raise TypeError(f"expected int or str, got {type(value).__name__}")
    return value


def _build_strict_hook(primitive: type):
    accepted = (int, float) if primitive is float else (primitive,)

    def hook(value: Any, _type: type) -> Any:
        if type(value) not in accepted:
            raise TypeError(f"expected {primitive.__name__}, got {type(value).__name__}")
        return value

    return hook


_converter = _build_converter()
