import assert from "node:assert/strict";
import { request } from "node:http";
import { test, type TestContext } from "node:test";
import { type EngineSettings, expectedTokens, startEngine } from "./mod.ts";

const PROMPT = "Summarise the archive letter";

async function startFastEngine(
  context: TestContext,
  settings: Partial<EngineSettings> = {},
) {
  const fastSettings = { tokenIntervalMs: 0, firstTokenMs: 0, ...settings };
  const crashes: string[] = [];
  const engine = await startEngine({
    settings: fastSettings,
    onCrash: () => {
      crashes.push("crash");
      engine.cutConnections();
    },
  });
  context.after(() => {
    engine.cutConnections();
    return engine.close();
  });
  return { engine, crashes };
}

function complete(url: string, body: Record<string, unknown> = {}) {
  return fetch(`${url}/v1/completions`, {
    method: "POST",
    headers: { "idempotency-key": "key-1" },
    body: JSON.stringify({
      model: "review",
      prompt: PROMPT,
      "max_tokens": 50,
      stream: true,
      ...body,
    }),
  });
}

function readTokens(text: string): string[] {
  return text.split("\n\n")
    .filter((event) => event.startsWith("data: {"))
    .map((event) => JSON.parse(event.slice(6)).choices[0].text);
}

test("Streamed and unstreamed answers contain the expected tokens", async (context) => {
  const { engine } = await startFastEngine(context);
  const streamed = await (await complete(engine.listening)).text();
  const unstreamed = await (await complete(engine.listening, { stream: false }))
    .json() as { choices: [{ text: string }] };

  assert.deepEqual(readTokens(streamed), expectedTokens(PROMPT, 50));
  assert.match(streamed, /data: \[DONE\]\n\n$/);
  assert.equal(unstreamed.choices[0].text, expectedTokens(PROMPT, 50).join(""));
  assert.deepEqual(engine.executions.list(), [{ key: "key-1", count: 2 }]);
});

test("A queued completion waits for capacity, and is cancelled when its caller disconnects", async (context) => {
  const { engine } = await startFastEngine(context, {
    concurrency: 1,
    stallAfterTokens: 3,
  });
  const first = await complete(engine.listening);
  const second = complete(engine.listening, { prompt: "other" });
  while ((await readLoad(engine.listening)).queued !== 1);
  assert.equal((await readLoad(engine.listening)).inFlight, 1);

  await first.body?.cancel();
  const answer = await second;
  while ((await readLoad(engine.listening)).queued !== 0);
  await answer.body?.cancel();
  while ((await readLoad(engine.listening)).inFlight !== 0);
});

test("A cut answer ends after the configured number of tokens", async (context) => {
  const { engine } = await startFastEngine(context, { cutAfterTokens: 4 });
  const { text, error } = await readUntilCut(engine.listening);
  assert.equal(error.message, "aborted");
  assert.deepEqual(readTokens(text), expectedTokens(PROMPT, 4));
});

test("A prompt with the crash marker crashes the engine after its execution was counted", async (context) => {
  const { engine, crashes } = await startFastEngine(context, {
    crashMarker: "letter",
  });
  await assert.rejects(complete(engine.listening));
  assert.deepEqual(crashes, ["crash"]);
  assert.equal(engine.executions.list()[0]?.count, 1);
});

for (const checksFencing of [true, false]) {
  test(`Orders with a lower fencing number, with checksFencing ${checksFencing}`, async (context) => {
    const { engine } = await startFastEngine(context, { checksFencing });
    const statuses = [];
    for (const fencingNumber of [7, 7, 6]) {
      const body = JSON.stringify({ fencingNumber, order: "load review" });
      const url = `${engine.listening}/orders`;
      statuses.push((await fetch(url, { method: "POST", body })).status);
    }
    assert.deepEqual(statuses, [200, 200, checksFencing ? 409 : 200]);
    assert.equal(engine.orders.accepted.length, checksFencing ? 2 : 3);
  });
}

async function readLoad(url: string) {
  return await (await fetch(`${url}/load`)).json() as {
    inFlight: number;
    queued: number;
  };
}

function readUntilCut(url: string): Promise<{ text: string; error: Error }> {
  const body = JSON.stringify({
    model: "review",
    prompt: PROMPT,
    "max_tokens": 50,
    stream: true,
  });
  return new Promise((resolve) => {
    const call = request(`${url}/v1/completions`, { method: "POST" });
    call.on("response", (answer) => {
      let text = "";
      answer.on("data", (chunk) => text += chunk);
      answer.on("error", (error) => resolve({ text, error }));
    });
    call.end(body);
  });
}
