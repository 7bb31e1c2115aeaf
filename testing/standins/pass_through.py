"""Baseline for added latency: a bare aiohttp pass-through without decisions.

``python -m testing.standins.pass_through PORT TARGET_PORT``
"""

from __future__ import annotations

import asyncio
import sys

import aiohttp
import uvloop
from aiohttp import web


async def serve(port: int, target_port: int) -> None:
    async with aiohttp.ClientSession(auto_decompress=False) as session:

        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            url = f"http://127.0.0.1:{target_port}{request.raw_path}"
            async with session.request(request.method, url) as upstream:
                body = await upstream.read()
                return web.Response(status=upstream.status, body=body)

        runner = web.ServerRunner(web.Server(handle, access_log=None))
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", port).start()
        await asyncio.Event().wait()


if __name__ == "__main__":
    uvloop.run(serve(int(sys.argv[1]), int(sys.argv[2])))
