"""Node processes and a store that returns from a copy."""

from __future__ import annotations

import unittest

from .installation import Installation
from .test_whole_path import call, wait_for


class RestoredStoreTest(unittest.TestCase):
    """Changes of the configuration around the return of the store."""

    def test_change_at_an_offset_that_was_given_out_before(self) -> None:
        """Guards against a confirmed change that no node takes.

        The store has lost the second and third version. The operator writes the third again, so the
        fourth has the offset that the third had before.
        """
        with Installation(size=3, services=("catalogue",)) as mesh:
            copy = mesh.store.take_copy()
            mesh.write_config(second="catalogue")
            mesh.write_config(second="catalogue", third="catalogue")
            for node in mesh.instances:
                self.assertTrue(wait_for(lambda n=node: call(n, "/third/x", "a")[0] == 200))
            mesh.store.return_from(copy)
            mesh.version -= 1
            mesh.write_config(second="catalogue", third="catalogue")
            mesh.write_config(second="catalogue", third="catalogue", fourth="catalogue")
            for node in mesh.instances:
                served = wait_for(lambda n=node: call(n, "/fourth/x", "b")[0] == 200, 5.0)
                self.assertTrue(served, f"{node.name} does not serve the route")
                self.assertEqual(call(node, "/third/x", "c")[0], 200)
