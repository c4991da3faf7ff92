import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { expectedByte, startWeights, type WeightsSettings } from "./mod.ts";

async function startSmallStore(
  context: TestContext,
  settings: Partial<WeightsSettings> = {},
) {
  const weights = await startWeights({
    settings: { sizeBytes: 30_000, bytesPerSecond: 1_000_000, ...settings },
  });
  context.after(() => weights.close());
  const read = () => fetch(`${weights.listening}/v1/weights/expert-3`);
  return { weights, read };
}

test("Weights come whole and no faster than the rate", async (context) => {
  const { read } = await startSmallStore(context);
  const startMs = performance.now();
  const bytes = Buffer.from(await (await read()).arrayBuffer());
  assert.ok(performance.now() - startMs >= 20);
  assert.deepEqual(bytes, Buffer.alloc(30_000, expectedByte("expert-3")));
});

test("A reader beyond the limit is refused with a time to come back", async (context) => {
  const { read } = await startSmallStore(context, {
    maxReaders: 1,
    bytesPerSecond: 100,
  });
  const first = await read();
  const second = await read();
  assert.equal(second.status, 429);
  assert.equal(second.headers.get("retry-after"), "1");
  await second.text();
  await first.body?.cancel();
});

const SPOILT = [
  { fault: { cutAfterBytes: 10_000 }, what: "cut" },
  { fault: { outage: true }, what: "out" },
];
for (const { fault, what } of SPOILT) {
  test(`A store that is ${what} never gives a whole file`, async (context) => {
    const { read } = await startSmallStore(context, fault);
    const answer = await read();
    if (answer.ok) await assert.rejects(answer.arrayBuffer());
    else assert.equal(answer.status, 503);
    await answer.text().catch(() => {});
  });
}
