"""Layers: lower packages import nothing from those above them."""

import ast
import pathlib
import unittest

import clementinewall

ROOT = pathlib.Path(clementinewall.__file__).resolve().parent
PACKAGE = ROOT.name

# What each layer may import, of those listed here and of all others that
# are packages.  Modules at the root that are not listed may be imported by
# each layer, as long as nothing above it is reached through them.
ALLOWED_BY_LAYER = {
    "http1": set(),
    "policy": set(),
    "domain": {"http1"},
    "platform": {"http1", "domain"},
    "origins": {"http1", "policy", "domain", "platform"},
}


def module_name(path):
    """Return the dotted name of the module at ``path``."""
    parts = path.relative_to(ROOT.parent).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def imported_names(tree, package):
    """Yield each name that a module of ``package`` imports, wherever."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            for alias in node.names:
                yield alias.name
        elif isinstance(node, ast.ImportFrom):
            parent = node.module or ""
            if node.level:
                kept = package.split(".")
                kept = kept[: len(kept) - node.level + 1]
                parent = ".".join([*kept, *filter(None, [node.module])])
            for alias in node.names:
                yield f"{parent}.{alias.name}"


def read_modules():
    """Return the modules of the project that each one imports, by name."""
    path_by_name = {module_name(path): path for path in ROOT.rglob("*.py")}
    imports_by_name = {}
    for name, path in path_by_name.items():
        is_package = path.stem == "__init__"
        package = name if is_package else name.rpartition(".")[0]
        names = imported_names(ast.parse(path.read_text()), package)
        imports_by_name[name] = {
            known
            for imported in names
            if (known := _longest_known(imported, path_by_name))
        }
    return imports_by_name


def _longest_known(imported, known):
    """Return the module that an imported name lies in, or ``None``."""
    while imported and imported not in known:
        imported = imported.rpartition(".")[0]
    return imported or None


def layer_of(name):
    """Return the package or root module that a module belongs to."""
    parts = name.split(".")
    return parts[1] if len(parts) > 1 else None


def reached(name, imports_by_name):
    """Return all modules that importing ``name`` leads to."""
    found = set()
    waiting = [name]
    while waiting:
        for imported in imports_by_name[waiting.pop()] - found:
            found.add(imported)
            waiting.append(imported)
    return found


def upward_imports(imports_by_name):
    """Return the pairs of a lower module and one above that it reaches."""
    packages = {
        layer_of(name) for name in imports_by_name if name.count(".") > 1
    }
    ruled = packages | set(ALLOWED_BY_LAYER)
    return [
        (name, other)
        for name in sorted(imports_by_name)
        if (layer := layer_of(name)) in ALLOWED_BY_LAYER
        for other in sorted(reached(name, imports_by_name))
        if layer_of(other) in ruled - ALLOWED_BY_LAYER[layer] - {layer}
    ]


class Layers(unittest.TestCase):
    """Nothing below the gateway depends on what is above it."""

    def test_lower_layers_import_nothing_above_them(self):
        """The lower packages reach no package that they may not import."""
        self.assertEqual([], upward_imports(read_modules()))

    def test_each_ruled_layer_exists(self):
        """A layer that was renamed does not drop out of the check."""
        layers = {layer_of(name) for name in read_modules()}
        self.assertEqual(set(), set(ALLOWED_BY_LAYER) - layers)

    def test_gateway_is_allowed_to_no_lower_layer(self):
        """Every way to import the gateway from below is refused."""
        package = f"{PACKAGE}.platform"
        module = f"{package}.records"
        ways = {
            f"import {PACKAGE}.gateway.types",
            f"from {PACKAGE}.gateway import types",
            f"from {PACKAGE} import gateway",
            "from ..gateway import types",
            f"def f():\n    from {PACKAGE}.gateway import types",
        }
        known = {f"{PACKAGE}.gateway", f"{PACKAGE}.gateway.types"}
        for way in sorted(ways):
            with self.subTest(way):
                names = imported_names(ast.parse(way), package)
                found = {_longest_known(name, known) for name in names}
                imports = {name: set() for name in known} | {module: found}
                self.assertNotEqual([], upward_imports(imports))


if __name__ == "__main__":
    unittest.main()
