"""Tests of the command line against real processes, and of the shipped archive."""

from __future__ import annotations

import contextlib
import datetime
import io
import ipaddress
import json
import os
import signal
import ssl
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any, cast

import anyio
import httpx
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from pumicespur.commands.drain import drain_hall
from pumicespur.exceptions import PumicespurError
from pumicespur.schema.fleet_pb import Assignment, DrainReason, InstanceState
from pumicespur.schema.operators_pb import DrainRequest, DrainResponse, StatusResponse
from pumicespur.utils import replace_fields
from standins.launcher import Child, wait_until
from tests.base import ClusterCase, make_wave, one_pool

ROOT = Path(__file__).parent.parent
DECLARATION = "[pool issuance]\nsize = 2\nmin_available = 1\n"
DAY = datetime.timedelta(days=1)


async def run(*arguments: str, **environment: str) -> subprocess.CompletedProcess[str]:
    """Run a command of the program and return its output and exit code."""
    command = [sys.executable, "-m", "pumicespur", *arguments]
    result = await anyio.run_process(command, check=False, env=os.environ | environment)
    out, err = result.stdout.decode(), result.stderr.decode()
    return subprocess.CompletedProcess(command, result.returncode, out, err)


class FakeOperatorClient:
    """A manager whose pool may lose two instances."""

    def __init__(self, assignments: list[Assignment]) -> None:
        self.assignments = assignments
        self.drained: list[str] = []

    async def status(self) -> StatusResponse:
        """Return the assignments."""
        return StatusResponse(assignments=self.assignments)

    async def drain(self, request: DrainRequest) -> DrainResponse:
        """Drain an instance, or refuse it."""
        if len(self.drained) >= 2 and not request.resume:
            raise PumicespurError("its budget needs 2")
        self.drained.append(request.instance)
        return DrainResponse()


class TestDrainHall(unittest.IsolatedAsyncioTestCase):
    """The drain of all instances in a data hall."""

    def setUp(self) -> None:
        serving = [
            Assignment(instance=f"b{n}", data_hall="north", state=InstanceState.SERVING)
            for n in range(3)
        ]
        drained = Assignment(
            instance="b3",
            data_hall="north",
            state=InstanceState.DRAINING,
            reason=DrainReason.OPERATOR,
        )
        in_wave = replace_fields(drained, instance="b4", reason=DrainReason.WAVE)
        elsewhere = replace_fields(serving[0], instance="b5", data_hall="south")
        self.client = FakeOperatorClient([*serving, drained, in_wave, elsewhere])

    async def drain(self, hall: str, resume: bool = False) -> str:
        """Run the command; return its output and what it raised."""
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            try:
                await drain_hall(cast("Any", self.client), hall, resume=resume, as_json=False)
            except PumicespurError as failure:
                output.write(str(failure))
        return output.getvalue()

    async def test_refused_instances_are_reported(self) -> None:
        # A refusal must neither end the drain of the others nor look like a success.
        output = await self.drain("north")
        self.assertEqual(["b0", "b1"], self.client.drained)
        self.assertIn("b2 refused: its budget needs 2", output)
        self.assertIn("1 of 3 instances in north were refused", output)

    async def test_only_what_operators_drained_returns(self) -> None:
        # The return of an instance in a wave would end its maintenance.
        await self.drain("north", resume=True)
        self.assertEqual(["b3"], self.client.drained)

    async def test_unknown_hall_is_an_error(self) -> None:
        self.assertIn("no instance to drain in 'west'", await self.drain("west"))


class TestCommands(ClusterCase):
    """Commands print what happened and return the matching exit code."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        declaration = one_pool(2, 1, [make_wave("issuance")])
        await self.start_cluster(declaration, backends=2, entries=1)
        self.env = {"PUMICESPUR_MANAGER": self.managers[0].url, "PUMICESPUR_OPERATOR": "ann"}
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / "pools.ini"

    async def test_plan_apply_and_conflict(self) -> None:
        self.file.write_text(DECLARATION + "[pool draws]\nsize = 0\n")
        base = (await self.status()).revision
        planned = await run("plan", str(self.file), **self.env)
        self.assertIn("would change [pool draws]", planned.stdout)
        self.assertEqual((await self.status()).revision, base)
        applied = await run("apply", str(self.file), **self.env)
        self.assertEqual(applied.returncode, 0, applied.stderr)
        self.assertIn("changed [pool draws]", applied.stdout)
        repeated = await run("apply", str(self.file), **self.env)
        self.assertIn("nothing to change", repeated.stdout)
        self.file.write_text(DECLARATION + "[pool draws]\nsize = 1\n")
        conflicting = await run("apply", str(self.file), "--base", str(base), **self.env)
        self.assertEqual(conflicting.returncode, 3)
        self.assertRegex(conflicting.stderr, r"\[pool draws\] was changed by ann at revision \d+")
        self.assertNotIn("Traceback", conflicting.stderr)
        self.file.write_text(DECLARATION)
        pruned = await run("apply", str(self.file), "--prune", "--json", **self.env)
        changed = json.loads(pruned.stdout)["changed"]
        self.assertEqual(sorted(changed), ["pool draws", "wave wave"])

    async def test_invalid_files_are_reported_and_change_nothing(self) -> None:
        base = (await self.status()).revision
        self.file.write_text("[pool a]\nsize = x\n[pool b]\nmin_available = 3\n")
        done = await run("apply", str(self.file), **self.env)
        self.assertEqual(done.returncode, 2)
        self.assertEqual(done.stderr.count(str(self.file)), 2, done.stderr)
        self.assertEqual((await self.status()).revision, base)

    async def test_status_wave_drain_and_dump(self) -> None:
        started = await run("wave", "start", "wave", "--watch", **self.env)
        self.assertIn("wave wave: done, 2 done, 0 failed", started.stdout)
        await self.wait_full()
        status = await run("status", **self.env)
        self.assertRegex(status.stdout, r"issuance +2 +2 +2 +1 +1")
        drained = await run("drain", "b0", **self.env)
        self.assertIn("b0 drains", drained.stdout)
        refused = await run("drain", "b1", **self.env)
        self.assertEqual(refused.returncode, 1)
        self.assertIn("its budget needs 1", refused.stderr)
        hall = await run("drain", "--data-hall", "h0", "--resume", **self.env)
        self.assertEqual("b0 returns to service\n", hall.stdout, hall.stderr)
        dump = await run("dump", "entry-0", **self.env)
        self.assertEqual(json.loads(dump.stdout)["addresses"]["process"], "entry-0")

    async def test_unreachable_manager_prints_one_line_and_exits_with_4(self) -> None:
        done = await run("status", PUMICESPUR_MANAGER="http://127.0.0.1:1")
        self.assertEqual((done.returncode, done.stdout), (4, ""))
        self.assertEqual(len(done.stderr.splitlines()), 1)

    async def test_sigusr1_logs_a_state_dump_and_the_process_continues(self) -> None:
        self.entries[0].send_signal(signal.SIGUSR1)

        async def is_dumped() -> bool:
            return '"message": "state dump"' in self.launcher.errors()

        await wait_until(is_dumped, "the dump is in the log")
        response = await self.http.get(f"{self.entries[0].url}/issuance/x")
        self.assertEqual(response.status_code, 200)

    async def test_metrics_include_budgets_and_requests(self) -> None:
        pages = [
            (await self.http.get(f"{child.admin_url}/metrics")).text
            for child in (self.entries[0], self.managers[0])
        ]
        for name in ("requests_answered_total", "pool_minimum_issuance", "lease_held", "revision"):
            self.assertIn(f"pumicespur_{name}{{", "".join(pages))


class TestTls(ClusterCase):
    """Operators' calls over TLS need a client certificate of the configured authority."""

    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def write_certificate(self, name: str, issuer: str) -> None:
        """Write a certificate and its key, signed by an existing issuer or self-signed."""
        key = ec.generate_private_key(ec.SECP256R1())
        now = datetime.datetime.now(datetime.UTC)
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
        signer = key
        if issuer != name:
            content = (self.folder / f"{issuer}.key").read_bytes()
            loaded = serialization.load_pem_private_key(content, None)
            assert isinstance(loaded, ec.EllipticCurvePrivateKey)
            signer = loaded
        certificate = (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, issuer)]))
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - DAY)
            .not_valid_after(now + DAY)
            .add_extension(x509.BasicConstraints(issuer == name, None), critical=True)
            .add_extension(x509.SubjectAlternativeName([address]), critical=False)
            .sign(signer, hashes.SHA256())
        )
        encoding = serialization.Encoding.PEM
        (self.folder / f"{name}.pem").write_bytes(certificate.public_bytes(encoding))
        private = key.private_bytes(
            encoding, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
        )
        (self.folder / f"{name}.key").write_bytes(private)

    def path(self, name: str) -> str:
        return str(self.folder / name)

    async def test_only_certificates_of_the_authority_are_accepted(self) -> None:
        for name, issuer in (("ca", "ca"), ("server", "ca"), ("ann", "ca"), ("eve", "eve")):
            self.write_certificate(name, issuer)
        self.platform = self.launcher.start_platform()
        tls = {
            "tls_certificate": self.path("server.pem"),
            "tls_key": self.path("server.key"),
            "tls_client_authority": self.path("ca.pem"),
        }
        manager = self.start_role("manager", 0, {"manager": tls})
        manager.wait_ready()
        url = manager.url.replace("http:", "https:")
        env = {"PUMICESPUR_MANAGER": url, "PUMICESPUR_TLS_AUTHORITY": self.path("ca.pem")}
        for name, code in (("ann", 0), ("eve", 4), ("", 4)):
            files = {}
            if name:
                files = {
                    "PUMICESPUR_TLS_CERTIFICATE": self.path(f"{name}.pem"),
                    "PUMICESPUR_TLS_KEY": self.path(f"{name}.key"),
                }
            done = await run("status", **env, **files)
            self.assertEqual(done.returncode, code, (name, done.stderr))
        context = ssl.create_default_context(cafile=self.path("ca.pem"))
        async with httpx.AsyncClient(verify=context, trust_env=False) as client:
            with self.assertRaises(httpx.HTTPError):
                await client.get(url)


class TestShippedArchive(ClusterCase):
    """The shipped executable archive runs each role as one process."""

    async def test_each_role_runs_without_children(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        archive = Path(folder.name) / "pumicespur"
        command = [str(Path(sys.executable).parent / "shiv"), "--quiet", "--output-file"]
        command += [str(archive), "--entry-point", "pumicespur.__main__:main", str(ROOT)]
        done = await anyio.run_process(command, check=False)
        self.assertEqual(done.returncode, 0, done.stderr.decode()[-2000:])
        self.platform = self.launcher.start_platform()
        for role in ("entry", "manager"):
            with self.subTest(role=role):
                child = self.start_from_archive(archive, role, Path(folder.name) / "unpacked")
                children = Path(f"/proc/{child.process.pid}/task/{child.process.pid}/children")
                self.assertEqual(children.read_text(), "")
                health = await self.http.get(f"{child.admin_url}/health")
                self.assertIn(health.status_code, (200, 503))
                child.send_signal(signal.SIGTERM)
                self.assertEqual(child.process.wait(20), 0, self.launcher.errors())

    def start_from_archive(self, archive: Path, role: str, unpacked: Path) -> Child:
        """Start a role from the archive, with settings written by the launcher."""
        settings = self.launcher.write_settings(role, f"built-{role}", self.platform, None)
        process = subprocess.Popen(
            [sys.executable, str(archive), role, str(settings)],
            stdout=subprocess.PIPE,
            stderr=self.launcher.error_file,
            text=True,
            env=os.environ | {"SHIV_ROOT": str(unpacked)},
        )
        child = Child(role, process)
        self.launcher.children.append(child)
        child.wait_ready()
        return child
