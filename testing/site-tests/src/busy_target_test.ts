import { callEntry, type Site } from "@dandelionbank/run-site";
import assert from "node:assert/strict";
import { test } from "node:test";
import { countAllExecutions, startSite, waitUntil } from "./mod.ts";

const STATUS_BUSY = 429;

test("A target that names a time to return gets no call before it", async (t) => {
  const site = await startSite(t, { entries: 1, ranks: 1 });
  await waitUntil(
    "the plain service answers",
    async () => (await callPart(site)).status === 200,
  );
  await site.setFaults(site.plainUrl, { rateLimitPerSecond: 0.001 });
  await waitUntil("the target refuses a call and names 1 s", async () => {
    const { status, headers } = await callPart(site);
    return status === STATUS_BUSY &&
      headers["dandelionbank-target"] !== undefined;
  });
  const refusedAtMs = performance.now();
  await site.setFaults(site.plainUrl, { rateLimitPerSecond: 0 });
  const before = await countAllExecutions(site.plainUrl);
  while (performance.now() < refusedAtMs + 800) {
    const { status, headers } = await callPart(site);
    assert.notEqual(status, 200);
    assert.ok(Number(headers["retry-after"]) >= 1);
  }
  assert.equal(await countAllExecutions(site.plainUrl), before);
  await waitUntil(
    "the target gets work again",
    async () => (await callPart(site)).status === 200,
  );
  assert.ok(performance.now() < refusedAtMs + 3_000);
});

function callPart(site: Site): ReturnType<typeof callEntry> {
  return callEntry(site.getEntryUrl("entry-1"), {
    key: site.callerKey,
    path: "/services/parts/part/7",
  });
}
