import { SiteEngine, SiteStore } from "@dandelionbank/standin-site";
import assert from "node:assert/strict";
import { writeFile } from "node:fs/promises";
import { Agent } from "node:http";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import {
  call,
  createConfiguration,
  EntryProgram,
  fetchReadinessStatus,
  queryDirectory,
  waitFor,
} from "@dandelionbank/run-entry";

/** Callers cache an answer of the directory for two seconds. */
const DIRECTORY_TTL_MS = 2_000;
/** Shorter than the timeout of the route. */
const STREAM_MS = 1_800;

test("SIGHUP interrupts no request, whether the new settings are valid or not", async (t) => {
  const { store, engine } = await startStore(t);
  const entry = await EntryProgram.start(t, { store, number: 1 });
  const agent = new Agent({ keepAlive: true });
  t.after(() => agent.destroy());
  engine.script = ({ response, answerHeaders }) => {
    setTimeout(() => response.writeHead(200, answerHeaders).end("late"), 400);
  };
  for (const hasInvalidSettings of [false, true]) {
    if (hasInvalidSettings) {
      await writeFile(entry.settingsFile, "port_range=none");
    }
    const before = engine.calls.length;
    const running = call(entry, { path: "/safe/a", agent });
    await waitFor(() => engine.calls.length > before);
    entry.signal("SIGHUP");
    assert.equal((await running).body, "late");
    assert.equal((await call(entry, { path: "/safe/a", agent })).status, 200);
  }
  assert.ok(entry.isRunning);
  assert.ok(entry.hasLogged("settingsReloaded"));
});

test("Entries serve and list each other again after all were killed and restarted", async (t) => {
  const { store } = await startStore(t);
  const entries = await Promise.all(
    [1, 2, 3].map((number) => EntryProgram.start(t, { store, number })),
  );
  for (const entry of entries) await waitForEntries(entry, 3);
  await Promise.all(entries.map((entry) => entry.stop("SIGKILL")));
  await Promise.all(entries.map((entry) => entry.start()));
  for (const entry of entries) {
    await waitForEntries(entry, 3);
    assert.equal((await call(entry, { path: "/safe/a" })).status, 200);
  }
});

test("A stopping entry leaves the directory of the others and still serves calls", async (t) => {
  const { store } = await startStore(t);
  const [stopping, remaining] = await Promise.all(
    [1, 2].map((number) => EntryProgram.start(t, { store, number, graceS: 6 })),
  );
  await waitForEntries(remaining!, 2);
  stopping!.signal("SIGTERM");
  const startedMs = performance.now();
  await waitForEntries(remaining!, 1);
  assert.ok(performance.now() - startedMs < DIRECTORY_TTL_MS);
  assert.equal(await fetchReadinessStatus(stopping!), 503);
  const answer = await call(stopping!, { path: "/safe/a" });
  assert.equal(answer.status, 200);
  assert.equal(answer.headers.connection, "close");
});

// Guards against a planned stop that cuts streams which the entry accepted when
// there was no longer enough time for them.
test("A stopping entry cuts no stream that it accepts", async (t) => {
  const { store, engine } = await startStore(t);
  const entry = await EntryProgram.start(t, { store, number: 1, graceS: 4 });
  engine.script = ({ response, answerHeaders }) => {
    response.writeHead(200, {
      ...answerHeaders,
      "content-type": "text/event-stream",
    });
    response.write("id: 1\ndata: first\n\n");
    const timer = setTimeout(
      () => response.end("id: 2\ndata: last\n\n"),
      STREAM_MS,
    );
    response.on("close", () => clearTimeout(timer));
  };
  entry.signal("SIGTERM");
  const answers = [];
  while (entry.isRunning) {
    const answer = call(entry, { path: "/live/a" }).catch(() => undefined);
    answers.push(answer);
    await delay(40);
  }
  const received = (await Promise.all(answers)).flatMap((answer) =>
    answer ?? []
  );
  const cut = received.filter(({ isComplete }) => !isComplete);
  assert.equal(cut.length, 0, `${cut.length} of ${received.length} were cut`);
  const accepted = received.filter(({ status }) => status === 200);
  const refused = received.filter(({ status }) => status === 503);
  assert.ok(accepted.length > 0 && refused.length > 0);
  assert.equal(accepted.length + refused.length, received.length);
  assert.equal(engine.calls.length, accepted.length);
});

test("A killed entry leaves the directory of the others within its TTL", async (t) => {
  const { store } = await startStore(t);
  const [killed, remaining] = await Promise.all(
    [1, 2].map((number) => EntryProgram.start(t, { store, number })),
  );
  await waitForEntries(remaining!, 2);
  await killed!.stop("SIGKILL");
  const startedMs = performance.now();
  await waitForEntries(remaining!, 1);
  assert.ok(performance.now() - startedMs < DIRECTORY_TTL_MS);
});

async function startStore(t: TestContext) {
  const [store, engine] = await Promise.all([
    SiteStore.create(),
    SiteEngine.create("e0"),
  ]);
  store.put("config", "main", createConfiguration());
  store.put("servers", engine.id, engine.createServerSpec({ service: "s" }));
  t.after(async () => {
    await engine.close();
    await store.close();
  });
  return { store, engine };
}

function waitForEntries(entry: EntryProgram, count: number): Promise<void> {
  return waitFor(async () => {
    const { status, text } = await queryDirectory(entry);
    if (status !== 200) return false;
    const { addresses } = JSON.parse(text) as {
      readonly addresses: readonly string[];
    };
    return addresses.length === count;
  });
}
