import assert from "node:assert/strict";
import { createServer } from "node:http";
import { test } from "node:test";
import {
  changeFaults,
  connect,
  get,
  list,
  listVms,
  remove,
  write,
} from "./client_fixture.ts";

import { PlatformClient } from "./mod.ts";

test("A list older than an object does not confirm its deletion", async (context) => {
  const { platform, client } = await connect(context, {
    faults: { staleReads: true, dropAnswer: true },
    beforeRetry: changeFaults({ staleReads: false }),
  });
  const id = { kind: "stop", name: "engine-2" } as const;
  const { revision } = platform.seed(id, "new");
  const result = await client.delete(id, revision);
  assert.deepEqual(result, { kind: "deleted", revision: revision + 1 });
});

test("A write fails as unreachable while the platform is down", async (context) => {
  const { platform, client } = await connect(context);
  const peer = platform.listening;
  await platform.close();
  await assert.rejects(write(client), {
    code: "DANDELIONBANK_PLATFORM_UNREACHABLE",
    step: "write stop/engine/1",
    peer,
  });
});

for (const call of [write, remove, get, list, listVms]) {
  test(`An unresponsive connection is replaced (${call.name})`, async (context) => {
    const { client } = await connect(context, {
      faults: { freezeConnections: true },
    });
    await call(client);
    assert.equal(client.countCalls().lost, 1);
  });
}

test("The client and the platform count the same calls", async (context) => {
  const { platform, client } = await connect(context);
  await write(client);
  await listVms(client);
  const { reads, writes, vmLists } = client.countCalls();
  const counted = { reads, writes, vmLists };
  const { refused, watches, ...expected } = platform.counts;
  assert.deepEqual(counted, expected);
  assert.deepEqual({ refused, watches }, { refused: 0, watches: 0 });
});

test("The start and the end of an outage are logged once each", async (context) => {
  const { platform, client, logged } = await connect(context);
  platform.changeSettings({ outage: true });
  await assert.rejects(get(client));
  await assert.rejects(get(client));
  platform.changeSettings({ outage: false });
  await get(client);
  await get(client);
  assert.deepEqual(logged, ["platformUnreachable", "platformReachable"]);
});

test("The token and the URL's path are sent with each call", async (context) => {
  const seen: unknown[] = [];
  const server = createServer((request, response) => {
    seen.push([request.url, request.headers.authorization]);
    response.end(JSON.stringify({ items: [], revision: 0 }));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as { port: number };
  const client = PlatformClient.create({
    platformUrl: `http://127.0.0.1:${port}/base/`,
    token: "secret",
    timeoutMs: 1000,
    logger: { log: () => {} },
  });
  context.after(async () => {
    await client.close();
    server.close();
  });
  await client.list();
  await new Promise<void>((resolve) => {
    client.openWatch({ since: 4, onLine: () => {}, onEnd: () => resolve() });
  });
  assert.deepEqual(seen, [
    ["/base/v1/objects", "Bearer secret"],
    ["/base/v1/watch?since=4", "Bearer secret"],
  ]);
});
