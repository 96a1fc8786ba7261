"""Tests of settings and declarations in INI files."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from pumicespur.config import format_finding, load_declaration, load_settings
from pumicespur.exceptions import ConfigurationError
from pumicespur.schema.fleet_pb import FailureDomain, Urgency
from pumicespur.schema.peer_pb import Role

EXAMPLES = Path(__file__).parent.parent / "examples"

GOOD_SETTINGS = """
[process]
id = entry-1
data_hall = regina-a
peer_listen = 127.0.0.1:0
admin_listen = 127.0.0.1:0
[platform]
url = http://127.0.0.1:9000
[entry]
listen = 127.0.0.1:0
"""


class FileCase(unittest.TestCase):
    """Base class for tests that write a file."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "file.ini"

    def write(self, text: str) -> Path:
        self.path.write_text(text)
        return self.path

    def findings(self, error: ConfigurationError) -> list[str]:
        prefix = str(self.path)
        return [format_finding(f).replace(prefix, "FILE") for f in error.findings]


class TestSettings(FileCase):
    """Settings files are checked against the schema."""

    def test_defaults_come_from_the_schema(self) -> None:
        settings, warnings = load_settings(self.write(GOOD_SETTINGS), Role.ENTRY)
        self.assertEqual(settings.entry.backend_connections, 60)
        self.assertEqual(settings.process.heartbeat_s, 2.0)
        self.assertEqual(warnings, [])

    def test_every_error_is_reported_with_its_position(self) -> None:
        text = GOOD_SETTINGS.replace("listen = 127.0.0.1:0\n[plat", "listen = localhost:1\n[plat")
        text += "max_qeue = 5\nmax_body_bytes = many\nretry_share = 1.5\n[entri]\nx = 1\n"
        with self.assertRaises(ConfigurationError) as caught:
            load_settings(self.write(text), Role.ENTRY)
        found = self.findings(caught.exception)
        self.assertEqual(len(found), 5, found)
        self.assertIn(
            "FILE:11: [entry] max_qeue: error: is not a known key; did you mean 'max_queue'?",
            found,
        )
        self.assertIn(
            "FILE:12: [entry] max_body_bytes: error: takes a whole number, not 'many'", found
        )
        self.assertIn("FILE:13: [entry] retry_share: error: takes 0 to 1, not '1.5'", found)
        self.assertTrue(any("[process] admin_listen" in line for line in found), found)
        self.assertTrue(any("FILE:14: [entri]" in line for line in found), found)

    def test_missing_section_is_reported_by_its_required_keys(self) -> None:
        with self.assertRaises(ConfigurationError) as caught:
            load_settings(self.write("[process]\nid = a\n"), Role.ENTRY)
        found = self.findings(caught.exception)
        self.assertIn("FILE: [entry] listen: error: is required", found)
        self.assertIn("FILE: [platform] url: error: is required", found)

    def test_syntax_error_is_reported_with_its_line(self) -> None:
        cases = {
            "[process]\nid\n": "FILE:2",
            "id = 1\n": "FILE:1",
            "[a]\n[a]\n": "FILE:2",
            "[a]\nx = 1\nx = 2\n": "FILE:3",
        }
        for text, place in cases.items():
            with self.subTest(text=text):
                with self.assertRaises(ConfigurationError) as caught:
                    load_settings(self.write(text), Role.ENTRY)
                self.assertTrue(self.findings(caught.exception)[0].startswith(place))

    def test_missing_file_is_one_finding(self) -> None:
        with self.assertRaises(ConfigurationError) as caught:
            load_settings(self.path, Role.ENTRY)
        self.assertEqual(len(caught.exception.findings), 1)


class TestDeclarations(FileCase):
    """Declaration files are read into one declaration and checked."""

    def test_example_files_are_accepted(self) -> None:
        files = [EXAMPLES / "coulee.ini", EXAMPLES / "sofia.ini"]
        declaration, warnings = load_declaration(files)
        self.assertEqual(len(declaration.pools), 10)
        self.assertEqual(declaration.pools[0].headroom, FailureDomain.INSTANCE)
        self.assertEqual(declaration.jobs[0].urgency, Urgency.BATCH)
        self.assertEqual(warnings, [])

    def test_every_error_is_reported_with_its_position(self) -> None:
        text = (
            "[pool a]\nsize = 4\nmin_available = 5\n"
            "[pool spare]\nsize = 1\n"
            "[job x]\npool = b\ntasks = -1\nurgency = soon\n"
            "[wave w]\npools = a, c\nmax_parallel = 0\nattempts = 1\n"
            "[pol q]\n"
        )
        with self.assertRaises(ConfigurationError) as caught:
            load_declaration([self.write(text)])
        found = "\n".join(self.findings(caught.exception))
        for finding in (
            "FILE:3: [pool a] min_available: error: is above the size, 4",
            "FILE:4: [pool spare]: error: the name is kept",
            "FILE:7: [job x] pool: error: names no declared pool: 'b'",
            "FILE:8: [job x] tasks: error: takes 0 to 100000, not -1",
            "FILE:9: [job x] urgency: error: takes one of live, batch, not 'soon'",
            "FILE:11: [wave w] pools: error: names no declared pool: 'c'",
            "FILE:12: [wave w] max_parallel: error: takes 1 to 100000, not 0",
            "FILE:14: [pol q]: error: a section is",
        ):
            self.assertIn(finding, found)

    def test_budget_that_blocks_every_wave_is_a_warning(self) -> None:
        text = "[pool a]\nsize = 4\nmin_available_share = 0.99\n"
        _, warnings = load_declaration([self.write(text)])
        self.assertIn("no wave can ever start", warnings[0].message)
