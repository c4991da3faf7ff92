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
  const read = (signal?: AbortSignal) =>
    fetch(`${weights.listening}/v1/weights/expert-3`, signal && { signal });
  return { weights, read };
}

test("A weight file is sent completely and no faster than the rate", async (context) => {
  const { read } = await startSmallStore(context);
  const startMs = performance.now();
  const bytes = Buffer.from(await (await read()).arrayBuffer());
  assert.ok(performance.now() - startMs >= 20);
  assert.deepEqual(bytes, Buffer.alloc(30_000, expectedByte("expert-3")));
});

test("A reader above the limit is refused with Retry-After", async (context) => {
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

const FAULT_OUTCOMES = [
  { fault: { cutAfterBytes: 10_000 }, outcome: "cut" },
  { fault: { bytesPerSecond: 100 }, outcome: "late" },
  { fault: { outage: true }, outcome: "503" },
  { fault: { silent: true }, outcome: "late" },
  { fault: { rateLimitPerSecond: 0.5 }, outcome: "429" },
];

for (const { fault, outcome } of FAULT_OUTCOMES) {
  test(`${JSON.stringify(fault)} ends a read as ${outcome}`, async (context) => {
    const { read } = await startSmallStore(context, fault);
    const readOutcome = await read(AbortSignal.timeout(300)).then(
      async (answer) => {
        await answer.arrayBuffer();
        return String(answer.status);
      },
    ).catch(({ name }: Error) => name === "TimeoutError" ? "late" : "cut");
    assert.equal(readOutcome, outcome);
  });
}
