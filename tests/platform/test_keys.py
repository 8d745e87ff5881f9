"""Node processes that ask for keys."""

from __future__ import annotations

import http.client
import signal
import unittest

from .installation import HOST, Installation, Instance
from .test_whole_path import wait_for

OLD, NEW = "key-withdrawn", "key-in-use"


def status_of(node: Instance, key: str) -> int:
    """Return the status of a call with a key through the node of an instance."""
    connection = http.client.HTTPConnection(node.host, node.calls, timeout=5)
    headers = {"Host": HOST, "Attempt-Id": f"a-{len(key)}", "Deadline-Ms": "2000"}
    headers |= {"Authorization": f"Token {key}"} if key else {}
    try:
        connection.request("GET", "/catalogue/x", headers=headers | {"Tenant": "forged"})
        return connection.getresponse().status
    except (OSError, http.client.HTTPException):
        return 0
    finally:
        connection.close()


class KeysTest(unittest.TestCase):
    """A key from its first use to the withdrawal, a restart and an outage of the store."""

    def test_withdrawn_key(self) -> None:
        """Guards against keys that count too early, too long, again, or show in logs."""
        parameters = 'revoke = "3s"\nrevoke_fail_closed = true\nconfig_apply = "2s"'
        with Installation(2, services=("catalogue",), parameters=parameters) as mesh:
            second = mesh.instances[1]
            mesh.tenants = {"acme": [OLD, NEW], "quill": ["key-of-quill"]}
            mesh.write_config()
            targets = [instance.target for instance in mesh.instances if instance.target]
            for node in mesh.instances:
                self.assertTrue(wait_for(lambda n=node: status_of(n, "") == 401))
            for target in targets:
                target.tenants.clear()  # Of calls before the workspaces.
            for node in mesh.instances:
                self.assertTrue(wait_for(lambda n=node: status_of(n, OLD) == 200))
                self.assertEqual(status_of(node, "key-unknown"), 401)
            copy = mesh.store.take_copy()
            mesh.tenants["acme"] = [NEW]
            mesh.write_config()
            for node in mesh.instances:
                self.assertTrue(wait_for(lambda n=node: status_of(n, OLD) == 401))
            mesh.store.return_from(copy)
            mesh.restart(second, signal.SIGKILL)
            answers = set()
            self.assertTrue(
                wait_for(
                    lambda: answers.add(status_of(second, OLD)) or status_of(second, NEW) == 200
                )
            )
            self.assertNotIn(200, answers | {status_of(second, OLD)})
            mesh.store.stop()
            for node in mesh.instances:
                self.assertTrue(wait_for(lambda n=node: status_of(n, NEW) == 503))
            self.assertEqual({name for t in targets for name in t.tenants}, {"acme"})
            self.assertEqual({key for t in targets for key in t.keys}, {""})
            for name, log in mesh.logs():
                self.assertNotIn("key-", log, name)
                self.assertIn("unknown key", log, name)
