import assert from "node:assert/strict";
import { test } from "node:test";
import { startPlatform } from "./mod.ts";

const STOP = { kind: "stop", name: "engine-1" } as const;

function write(
  url: string,
  { headers, value }: { headers: Record<string, string>; value: unknown },
) {
  const body = JSON.stringify({ changeId: "change", value });
  const path = `${url}/v1/objects/stop/engine-1`;
  return fetch(path, { method: "PUT", headers, body });
}

test("Writes succeed only if their condition holds and their value is valid", async (context) => {
  const platform = await startPlatform();
  context.after(() => platform.close());
  const { listening: url } = platform;
  const statuses = [];
  for (
    const [headers, value] of [
      [{}, 1],
      [{ "if-match": "1" }, 1],
      [{ "if-none-match": "*" }, 1],
      [{ "if-none-match": "*" }, 2],
      [{ "if-match": "1" }, 3],
      [{ "if-match": "2" }, undefined],
      [{ "if-match": "2" }, "x".repeat(1_000_000)],
    ] as const
  ) {
    const answer = await write(url, { headers, value });
    await answer.text();
    statuses.push(answer.status);
  }
  assert.deepEqual(statuses, [412, 412, 200, 412, 200, 400, 413]);
  assert.equal(platform.objects.get(STOP)?.value, 3);
});

test("A recreated object has a new uid, and a watch outside the history answers 410", async (context) => {
  const platform = await startPlatform({ settings: { historyLimit: 2 } });
  context.after(() => platform.close());
  const first = platform.seed(STOP, 1);
  const path = `${platform.listening}/v1/objects/stop/engine-1`;
  const headers = { "if-match": String(first.revision) };
  const deletion = await fetch(path, { method: "DELETE", headers });
  assert.deepEqual(await deletion.json(), { revision: 2 });
  assert.notEqual(platform.seed(STOP, 2).uid, first.uid);

  for (const [since, status] of [[0, 410], [1, 200], [3, 200], [4, 410]]) {
    const url = `${platform.listening}/v1/watch?since=${since}`;
    const answer = await fetch(url);
    assert.equal(answer.status, status);
    await answer.body?.cancel();
  }
});

test("The list of VMs shows a change only after its lag", async (context) => {
  const platform = await startPlatform({ settings: { lagMs: 60_000 } });
  context.after(() => platform.close());
  const vm = {
    name: "vm-1",
    address: "127.0.0.1",
    dataCentre: "a",
    state: "live",
  } as const;
  platform.setVms([vm]);
  const list = async () =>
    (await (await fetch(`${platform.listening}/v1/vms`)).json()) as unknown;
  assert.deepEqual(await list(), { vms: [] });
  platform.changeSettings({ lagMs: 0 });
  assert.deepEqual(await list(), { vms: [vm] });
  assert.equal(platform.counts.vmLists, 2);
});
