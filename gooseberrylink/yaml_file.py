"""Reads YAML into validated models and reports the line of each error."""

import pathlib
from typing import TypeVar

import pydantic
import yaml

from gooseberrylink.exceptions import ConfigError

_FieldPath = tuple[str | int, ...]


class StrictModel(pydantic.BaseModel):
    """A model that rejects unknown fields."""

    # With defer_build, models that a program does not use are never built.
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True, defer_build=True)

    def find_errors(self) -> list[tuple[_FieldPath, str]]:
        """Returns errors that concern several fields together, as (path, message)."""
        return []


_Model = TypeVar("_Model", bound=StrictModel)


def read_model(path: pathlib.Path, model: type[_Model]) -> _Model:
    """Reads a YAML file into a model.

    Raises:
        ConfigError: The file can't be read or is not valid.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError([f"{path}: can't be read: {error}"]) from None
    return parse_model(text, str(path), model)


def parse_model(text: str, file_name: str, model: type[_Model]) -> _Model:
    """Parses YAML text into a model; error messages begin with file_name.

    Raises:
        ConfigError: The text is not valid; holds one message for each error.
    """
    lines: dict[_FieldPath, int] = {}
    errors: list[str] = []
    try:
        root = yaml.compose(text, Loader=yaml.SafeLoader)
        data = yaml.safe_load(text)
        if root is not None:
            _index_lines_and_find_duplicates(root, (), lines, errors, file_name)
    except yaml.YAMLError as error:
        raise ConfigError([_format_yaml_error(file_name, error)]) from None
    except ValueError as error:
        # For example a date such as 2026-13-01.
        raise ConfigError([f"{file_name}:1: not valid YAML: {error}"]) from None
    except RecursionError:
        raise ConfigError(
            [f"{file_name}:1: a value contains itself or is nested too deeply"]
        ) from None
    try:
        result = model.model_validate(data if data is not None else {})
        for path, message in result.find_errors():
            errors.append(_format_error(file_name, lines, path, message))
    except pydantic.ValidationError as error:
        errors += [
            _format_model_error(file_name, lines, item) for item in error.errors()
        ]
    if errors:
        raise ConfigError(errors)
    return result


def _format_yaml_error(file_name: str, error: yaml.YAMLError) -> str:
    mark = getattr(error, "problem_mark", None)
    line = mark.line + 1 if mark else 1
    problem = getattr(error, "problem", None) or str(error)
    return f"{file_name}:{line}: not valid YAML: {problem}"


def _index_lines_and_find_duplicates(
    node: yaml.Node,
    path: _FieldPath,
    lines: dict[_FieldPath, int],
    errors: list[str],
    file_name: str,
) -> None:
    lines.setdefault(path, node.start_mark.line + 1)
    if isinstance(node, yaml.SequenceNode):
        for index, child in enumerate(node.value):
            _index_lines_and_find_duplicates(
                child, (*path, index), lines, errors, file_name
            )
    if not isinstance(node, yaml.MappingNode):
        return
    seen: set[str] = set()
    for key, value in node.value:
        line = key.start_mark.line + 1
        if key.value in seen:
            field = _format_path((*path, key.value))
            errors.append(f"{file_name}:{line}: {field}: duplicate field")
        seen.add(key.value)
        lines[(*path, key.value)] = line
        _index_lines_and_find_duplicates(
            value, (*path, key.value), lines, errors, file_name
        )


def _format_model_error(
    file_name: str, lines: dict[_FieldPath, int], error: dict
) -> str:
    message = error["msg"].removeprefix("Value error, ")
    if error["type"] == "extra_forbidden":
        message = "unknown field"
    elif error["type"] == "missing":
        message = "field is missing"
    else:
        message += f" (found {error['input']!r:.60})"
    return _format_error(file_name, lines, tuple(error["loc"]), message)


def _format_error(
    file_name: str, lines: dict[_FieldPath, int], path: _FieldPath, message: str
) -> str:
    nearest = path
    while nearest and nearest not in lines:
        nearest = nearest[:-1]
    line = lines.get(nearest, 1)
    return f"{file_name}:{line}: {_format_path(path) or '(file)'}: {message}"


def _format_path(path: _FieldPath) -> str:
    text = ""
    for part in path:
        text += f"[{part}]" if isinstance(part, int) else f".{part}"
    return text.removeprefix(".")
