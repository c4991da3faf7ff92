import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { expectedTokens } from "@dandelionbank/standin-engine";
import { type StandinGroup, startGroup } from "./mod.ts";

async function post(url: string, body: unknown): Promise<number> {
  const answer = await fetch(url, {
    method: "POST",
    body: JSON.stringify(body),
  });
  await answer.text();
  return answer.status;
}

async function startPair(context: TestContext) {
  const group = await startGroup({
    settings: { ranks: 2, stepTimeMs: 1, stageTimeMs: 0 },
  });
  context.after(() => group.close());
  const [first = "", second = ""] = group.listening;
  return { group, urls: [first, second] };
}

/** Stalls the group; returns the step that lies `steps` after the current one. */
function stallBefore(group: StandinGroup, steps: number): number {
  group.ranks[0]?.changeSettings({ stalled: true });
  return group.report().steps + steps;
}

async function waitForStep(url: string, step: number) {
  for (;;) {
    const report = await (await fetch(`${url}/step`)).json() as {
      step: number;
      mapVersion: number;
      stepTimeMs: number;
    };
    if (report.step >= step) return report;
  }
}

test("Ranks that switch at the same held step use the same map in every step", async (context) => {
  const { group, urls } = await startPair(context);
  const fromStep = stallBefore(group, 5);
  for (const url of urls) {
    assert.equal(await post(`${url}/hold`, { step: fromStep }), 200);
    assert.equal(
      await post(`${url}/map/stage`, { mapVersion: 2, map: {} }),
      200,
    );
  }
  group.ranks[0]?.changeSettings({ stalled: false });
  for (const url of urls) {
    const order = { mapVersion: 2, fromStep };
    assert.equal(await post(`${url}/map/switch`, order), 200);
    assert.ok(group.report().steps < fromStep);
    assert.equal(await post(`${url}/release`, { step: fromStep }), 200);
  }
  for (const url of urls) {
    assert.equal((await waitForStep(url, fromStep)).mapVersion, 2);
  }
  assert.deepEqual(group.report().violations, []);
});

test("A switch on only one rank is reported as a violation", async (context) => {
  const { group, urls: [url = ""] } = await startPair(context);
  const fromStep = stallBefore(group, 5);
  await post(`${url}/map/stage`, { mapVersion: 3, map: {} });
  await post(`${url}/map/switch`, { mapVersion: 3, fromStep });
  group.ranks[0]?.changeSettings({ stalled: false });
  await waitForStep(url, fromStep + 1);

  const { violations } = await (await fetch(`${url}/violations`)).json() as {
    violations: readonly unknown[];
  };
  assert.deepEqual(violations[0], { step: fromStep, mapVersions: [3, 0] });
});

const INVALID_ORDERS = [
  { path: "/map/switch", body: { mapVersion: 9, fromStep: 1e9 }, status: 409 },
  { path: "/map/switch", body: { mapVersion: 0, fromStep: 0 }, status: 409 },
  { path: "/hold", body: { step: 0 }, status: 409 },
  { path: "/map/stage", body: { mapVersion: 1 }, status: 400 },
  { path: "/map/switch", body: {}, status: 400 },
];

test("Orders that are incomplete, for a past step or for an unstaged map are refused", async (context) => {
  const { urls: [url = ""] } = await startPair(context);
  await waitForStep(url, 1);
  for (const { path, body, status } of INVALID_ORDERS) {
    assert.equal(await post(url + path, body), status, path);
  }
});

test("A step takes as long as its slowest rank, and a stalled rank stops the group", async (context) => {
  const { group, urls: [url = ""] } = await startPair(context);
  group.ranks[1]?.changeSettings({ slowFactor: 40 });
  const { step } = await waitForStep(url, group.report().steps + 2);
  const startMs = performance.now();
  await waitForStep(url, step + 3);
  assert.ok(performance.now() - startMs >= 2 * 40);

  group.ranks[1]?.changeSettings({ slowFactor: 1, stalled: true });
  const stoppedAtStep = group.report().steps;
  await new Promise((resolve) => setTimeout(resolve, 20));
  assert.equal(group.report().steps, stoppedAtStep);
});

test("A completion on a rank gets one token per step", async (context) => {
  const { group, urls: [url = ""] } = await startPair(context);
  const stepsBefore = group.report().steps;
  const answer = await fetch(`${url}/v1/completions`, {
    method: "POST",
    body: JSON.stringify({ model: "review", prompt: "p", "max_tokens": 20 }),
  });
  const { choices } = await answer.json() as { choices: [{ text: string }] };
  assert.equal(choices[0].text, expectedTokens("p", 20).join(""));
  assert.ok(group.report().steps - stepsBefore >= 20);
});
