"""Tests of the cluster that the tests of control processes start."""

import asyncio
import socket

from tests.control.cluster import Cluster, ClusterTest, wait_until


class PortTest(ClusterTest):
    """Guards against processes that get the same port, and against starts that only time out.

    The port of an instance has to stay free until its process listens, which takes seconds on a
    busy machine, while other tests ask the system for ports too.
    """

    async def test_no_port_is_handed_out_twice(self):
        other = Cluster()
        self.addAsyncCleanup(other.stop)
        await asyncio.gather(self.cluster.start(), other.start())
        ports = [
            port
            for _ in range(100)
            for cluster in (self.cluster, other)
            for port in cluster.reserve_ports(3)
        ]
        self.assertEqual(len(set(ports)), len(ports))

    async def test_server_listens_at_a_reserved_port(self):
        (port,) = self.cluster.reserve_ports(1)
        await self.cluster.start()
        with socket.create_server(("127.0.0.1", port)):
            pass

    async def test_start_at_a_port_in_use_is_not_only_a_timeout(self):
        await self.cluster.start()
        ports = self.cluster.reserve_ports(3)
        self.cluster.reserve_ports = lambda count: ports
        with socket.create_server(("127.0.0.1", ports[0])):
            self.cluster.add("a1")
            with self.assertRaisesRegex(RuntimeError, "ended with status UNAVAILABLE"):
                await wait_until(self.cluster.is_served)
        # The cluster stops only instances that have started.
        del self.cluster.instances["a1"]
