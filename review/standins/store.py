"""Stand-in of the platform's store, read over HTTP."""

import asyncio
import base64
import contextlib
import json
import time
import urllib.parse

ANSWER_S = 0.004


class Store:
    """Serves ``kv-key``, ``kv-range`` and ``kv-watch``.

    Attributes:
        is_down: Whether calls get 503 and writes are refused.
        silent_for: Function that tells for one of its addresses whether calls
            there get no answer.
        on_call: Called with the address and the path of each call.
    """

    def __init__(self, expiry_s):
        self.revision = 1
        self.items = {}
        self.history = []
        self.is_down = False
        self.silent_for = lambda ip: False
        self.on_call = lambda ip, path: None
        self.calls = 0
        self._expiry_s = expiry_s
        self._written_s = {}
        self._changed = asyncio.Condition()
        self._servers = []
        self._oldest_revision = 0
        self._tasks = []

    async def start(self, addresses):
        """Listen and expire the entries of silent servers."""
        for ip, port in addresses:
            self._servers.append(
                await asyncio.start_server(self._serve, ip, port)
            )
        self._tasks.append(asyncio.create_task(self._expire()))

    async def put(self, key, value):
        """Write an item; return its revision, or None while down."""
        if self.is_down:
            return None
        data = value if isinstance(value, bytes) else json.dumps(value)
        data = data if isinstance(data, bytes) else data.encode()
        self.revision += 1
        created = self.items.get(key, {}).get('created', self.revision)
        item = {
            'key': key,
            'value': base64.b64encode(data).decode(),
            'revision': self.revision,
            'created': created,
            'lease': 0,
        }
        self.items[key] = item
        self._written_s[key] = time.monotonic()
        await self._add(item)
        return self.revision

    async def remove(self, key):
        """Remove an item, also while calls are refused."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        await self._add(
            {'key': key, 'revision': self.revision, 'removed': True}
        )

    def forget_history(self):
        """Discard the history before the current revision."""
        self._oldest_revision = self.revision
        self.history = []

    async def _add(self, event):
        self.history.append(event)
        async with self._changed:
            self._changed.notify_all()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            oldest_s = time.monotonic() - self._expiry_s
            for key in list(self.items):
                if (
                    key.startswith('servers/')
                    and self._written_s[key] < oldest_s
                ):
                    await self.remove(key)

    async def _serve(self, reader, writer):
        ip = writer.get_extra_info('sockname')[0]
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                target = head.split(b' ', 2)[1].decode()
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                self.calls += 1
                self.on_call(ip, url.path)
                await asyncio.sleep(ANSWER_S)
                if self.silent_for(ip):
                    await asyncio.sleep(60)
                status, body = await self._answer(url.path, query)
                data = json.dumps(body).encode()
                writer.write(
                    b'HTTP/1.1 %d x\r\nContent-Type: application/json\r\n'
                    b'Content-Length: %d\r\n\r\n' % (status, len(data)) + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, path, query):
        if self.is_down:
            return 503, {}
        if path == '/api/kv-range':
            prefix, after = query.get('prefix', ''), query.get('after', '')
            items = [
                self.items[key]
                for key in sorted(self.items)
                if key.startswith(prefix) and key > after
            ]
            return 200, {
                'items': items,
                'has_more': False,
                'current_rev': self.revision,
            }
        if path == '/api/kv-watch' and (
            int(query['after']) < self._oldest_revision
        ):
            return 410, {}
        if path == '/api/kv-watch':
            return await self._watch(
                query.get('prefix', ''),
                int(query['after']),
                min(int(query['wait_ms']), 30_000) / 1000,
            )
        item = self.items.get(query.get('key', ''))
        if item is None:
            return 404, {'current_rev': self.revision}
        return 200, {**item, 'current_rev': self.revision}

    async def _watch(self, prefix, after, wait_s):
        def events():
            return [
                event
                for event in self.history
                if event['revision'] > after
                and event['key'].startswith(prefix)
            ]

        if not events():
            async with self._changed:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(
                        self._changed.wait_for(events), wait_s
                    )
        if self.is_down:
            return 503, {}
        return 200, {'events': events(), 'current_rev': self.revision}
