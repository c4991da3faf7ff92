import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { COMMON_SETTINGS, parseSettings, StandinServer } from "./mod.ts";

async function start(context: TestContext, onCall = () => {}) {
  const server = await StandinServer.start({
    settings: COMMON_SETTINGS,
    handle: (_, reply) => {
      onCall();
      reply.sendJson(200, { text: "answer" });
    },
  });
  context.after(() => {
    server.cutConnections();
    return server.close();
  });
  return server;
}

async function setFaults(url: string, faults: unknown): Promise<Response> {
  const body = JSON.stringify(faults);
  return await fetch(`${url}/faults`, { method: "POST", body });
}

test("Flags set the settings; an unknown flag or a value of the wrong type is refused", () => {
  const args = ["--listen", "127.0.0.1:81", "--delay-ms", "5", "--outage=true"];
  const { listen, settings } = parseSettings(COMMON_SETTINGS, args);
  assert.equal(listen, "127.0.0.1:81");
  assert.deepEqual(settings, { ...COMMON_SETTINGS, delayMs: 5, outage: true });
  assert.throws(() => parseSettings(COMMON_SETTINGS, ["--delay-ms", "true"]));
  assert.throws(() => parseSettings(COMMON_SETTINGS, ["--delay", "5"]));
});

test("POST /faults answers with the current settings; invalid faults change nothing", async (context) => {
  const server = await start(context);
  const answer = await setFaults(server.url, { rateLimitPerSecond: 9 });
  const expected = { ...COMMON_SETTINGS, rateLimitPerSecond: 9 };
  assert.deepEqual(await answer.json(), expected);
  for (const invalid of [{ outtage: true }, { outage: 1 }, null]) {
    const refusal = await setFaults(server.url, invalid);
    assert.equal(refusal.status, 400);
    await refusal.text();
  }
  assert.deepEqual(server.settings, expected);
});

const EFFECTS = [
  { faults: { outage: true }, method: "GET", effect: "503" },
  { faults: { rateLimitPerSecond: 1 }, method: "GET", effect: "200 429" },
  { faults: { garbleAnswer: true }, method: "GET", effect: "garbled" },
  { faults: { dropAnswer: true }, method: "POST", effect: "cut" },
  { faults: { dropAnswer: true }, method: "GET", effect: "200" },
  { faults: { silent: true }, method: "GET", effect: "silent" },
];

for (const { faults, method, effect } of EFFECTS) {
  test(`${JSON.stringify(faults)} makes a ${method} call end as ${effect}`, async (context) => {
    const server = await start(context);
    await (await setFaults(server.url, faults)).text();
    const outcomes = [await tryCall(server.url, method)];
    if (effect.includes(" ")) outcomes.push(await tryCall(server.url, method));
    assert.equal(outcomes.join(" "), effect);
  });
}

test("Frozen connections stay silent while new ones work", async (context) => {
  const changes = [{ freezeConnections: true }, {}];
  const server = await start(context, () => {
    server.changeSettings(changes.shift() ?? {});
  });
  assert.equal(await tryCall(server.url, "GET"), "silent");
  assert.equal(server.settings.freezeConnections, false);
  assert.equal(await tryCall(server.url, "GET"), "200");
});

async function tryCall(url: string, method: string): Promise<string> {
  try {
    const signal = AbortSignal.timeout(200);
    const answer = await fetch(url, { method, signal });
    const text = await answer.text();
    return text.endsWith("}") ? String(answer.status) : "garbled";
  } catch (error) {
    return (error as Error).name === "TimeoutError" ? "silent" : "cut";
  }
}
