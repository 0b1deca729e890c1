"""Loads and validates the schema files."""

import dataclasses
import json
import pathlib
import re

SCALARS = {
    "bool": "bool",
    "u8": "std::uint8_t",
    "u16": "std::uint16_t",
    "u32": "std::uint32_t",
    "u64": "std::uint64_t",
    "i32": "std::int32_t",
    "i64": "std::int64_t",
    "f64": "double",
    "string": "std::string",
    "bytes": "std::string",
    "duration_ms": "std::chrono::milliseconds",
}
CONTAINER = re.compile(r"^(list|optional)<(\w+)>$")
# Maximum length, in binary messages, of strings, byte strings and lists without a "max" in
# the schema.
DEFAULT_MAX_LENGTH = 4096


class SchemaError(Exception):
    """An invalid schema file; the message names the file, type, field or duplicate at fault."""


@dataclasses.dataclass(frozen=True)
class Field:
    name: str
    container: str  # "", "list" or "optional"
    element: str
    doc: str
    required: bool
    default: object
    minimum: object
    maximum: object
    secret: bool  # problems of the JSON parser do not show the value

    @property
    def json_key(self):
        return self.name + "_ms" if self.element == "duration_ms" else self.name

    @property
    def member(self):
        return "m_" + self.name

    @property
    def bound(self):
        return self.maximum if self.maximum is not None else DEFAULT_MAX_LENGTH


@dataclasses.dataclass(frozen=True)
class Type:
    kind: str  # "id", "enum" or "struct"
    name: str
    doc: str
    values: tuple = ()
    fields: tuple = ()
    wire: bool = False
    json: bool = False
    frame: object = None
    max_bytes: int = 0


@dataclasses.dataclass(frozen=True)
class SchemaFile:
    name: str
    doc: str
    imports: tuple
    types: tuple


def _parse_field(raw, where):
    for key in raw:
        if key not in ("name", "type", "doc", "required", "default", "min", "max",
                       "secret"):
            raise SchemaError(f"{where}: unknown key '{key}'")
    match = CONTAINER.match(raw["type"])
    container, element = match.groups() if match else ("", raw["type"])
    if "doc" not in raw:
        raise SchemaError(f"{where}.{raw['name']}: key 'doc' is missing")
    return Field(raw["name"], container, element, raw["doc"], raw.get("required", False),
                 raw.get("default"), raw.get("min"), raw.get("max"),
                 raw.get("secret", False))


def _parse_type(raw, file_name):
    for kind in ("id", "enum", "struct"):
        if kind in raw:
            break
    else:
        raise SchemaError(f"{file_name}: a type needs one of the keys 'id', 'enum' or 'struct'")
    name = raw[kind]
    where = f"{file_name}.{name}"
    fields = tuple(_parse_field(field, where) for field in raw.get("fields", []))
    values = tuple((value["name"], value["doc"]) for value in raw.get("values", []))
    return Type(kind, name, raw["doc"], values, fields, raw.get("wire", False),
                raw.get("json", False), raw.get("frame"), raw.get("max_bytes", 65536))


def load_file(path):
    raw = json.loads(path.read_text())
    types = tuple(_parse_type(entry, path.stem) for entry in raw["types"])
    return SchemaFile(path.stem, raw["doc"], tuple(raw.get("imports", [])), types)


def load_all(folder):
    files = [load_file(path) for path in sorted(pathlib.Path(folder).glob("*.json"))]
    types_by_name = {t.name: t for f in files for t in f.types}
    frames = {}
    for schema_file in files:
        for t in schema_file.types:
            _check_type(t, types_by_name, frames)
    return files, types_by_name


def _check_type(t, types_by_name, frames):
    if t.frame is not None:
        if t.frame in frames:
            raise SchemaError(f"{t.name}: frame type {t.frame} is already used by "
                              f"{frames[t.frame]}")
        frames[t.frame] = t.name
    for field in t.fields:
        if field.element not in SCALARS and field.element not in types_by_name:
            raise SchemaError(f"{t.name}.{field.name}: unknown type '{field.element}'")


def load_catalogue(folder, key, unique_keys):
    """Merges the entries of all files of a folder, sorted by the first of unique_keys.

    Raises SchemaError if two entries have the same value under one of unique_keys.
    """
    entries = []
    for path in sorted(pathlib.Path(folder).glob("*.json")):
        entries += json.loads(path.read_text())[key]
    seen = set()
    for entry in entries:
        for unique_key in unique_keys:
            if (unique_key, entry[unique_key]) in seen:
                raise SchemaError(f"{folder}: duplicate {unique_key} {entry[unique_key]}")
            seen.add((unique_key, entry[unique_key]))
    return sorted(entries, key=lambda entry: entry[unique_keys[0]])


