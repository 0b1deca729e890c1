#!/usr/bin/env python3
"""Generates src/gen and docs/reference from schema/.

Usage: tools/generate.py [--check]
Deletes other files in these two folders. With --check, changes nothing and exits with
code 1 if a file is out of date or has to be deleted. Exit code 2: invalid schema.
"""

import pathlib
import subprocess
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
sys.dont_write_bytecode = True

from codegen import catalogues, cpp_json, cpp_types, cpp_wire, model  # noqa: E402

ROOT = pathlib.Path(__file__).resolve().parent.parent


def _format(path, text):
    if path.suffix not in (".h", ".cc"):
        return text
    result = subprocess.run(["clang-format", f"--assume-filename={path}"], input=text, text=True,
                          capture_output=True, check=True, cwd=ROOT)
    return result.stdout


def _outputs():
    files, types_by_name = model.load_all(ROOT / "schema")
    gen, reference = ROOT / "src/gen", ROOT / "docs/reference"
    for f in files:
        yield gen / f"{f.name}.h", cpp_types.header(f, types_by_name)
        yield gen / f"{f.name}.cc", cpp_types.source(f)
        if any(t.json for t in f.types) or any(t.kind != "struct" for t in f.types):
            yield gen / f"{f.name}_json.h", cpp_json.header(f)
            yield gen / f"{f.name}_json.cc", cpp_json.source(f)
        if any(t.wire for t in f.types) or any(t.kind != "struct" for t in f.types):
            yield gen / f"{f.name}_wire.h", cpp_wire.header(f)
            yield gen / f"{f.name}_wire.cc", cpp_wire.source(f)
            yield gen / f"{f.name}_serialize.h", cpp_wire.serializers(f, types_by_name)
        yield reference / f"{f.name}.md", catalogues.types_page(f)
    yield gen / "frames.h", cpp_wire.frames_header(files)
    events = model.load_catalogue(ROOT / "schema/events", "events", ("number", "name"))
    yield gen / "log_events.h", catalogues.log_events_header(events)
    yield gen / "log_events.cc", catalogues.log_events_source(events)
    yield reference / "log-events.md", catalogues.log_events_page(events)
    metrics = model.load_catalogue(ROOT / "schema/metrics", "metrics", ("name", "id"))
    yield gen / "metrics.h", catalogues.metrics_header(metrics)
    yield reference / "metrics.md", catalogues.metrics_page(metrics)


def main():
    check = "--check" in sys.argv[1:]
    stale, expected = [], set()
    for path, text in _outputs():
        expected.add(path)
        text = _format(path, text)
        if path.exists() and path.read_text() == text:
            continue
        stale.append(path.relative_to(ROOT))
        if not check:
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_text(text)
    for path in list((ROOT / "src/gen").iterdir()) + list((ROOT / "docs/reference").iterdir()):
        if path not in expected:
            stale.append(path.relative_to(ROOT))
            if not check:
                path.unlink()
    for path in stale:
        print(("stale: " if check else "wrote ") + str(path))
    return 1 if check and stale else 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except model.SchemaError as error:
        print(f"schema: {error}", file=sys.stderr)
        sys.exit(2)
