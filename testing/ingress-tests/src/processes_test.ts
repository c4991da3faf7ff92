import { SiteEngine, SiteStore } from "@dandelionbank/standin-site";
import assert from "node:assert/strict";
import { writeFile } from "node:fs/promises";
import { Agent } from "node:http";
import { test, type TestContext } from "node:test";
import {
  call,
  createConfiguration,
  EntryProgram,
  fetchReadinessStatus,
  queryDirectory,
  waitFor,
} from "@dandelionbank/run-entry";

/** Callers keep an answer of the directory for two seconds. */
const DIRECTORY_MS = 2_000;

test("SIGHUP cuts no request, with settings that are right or wrong", async (t) => {
  const { store, engine } = await startStore(t);
  const node = await EntryProgram.start(t, { store, number: 1 });
  const agent = new Agent({ keepAlive: true });
  t.after(() => agent.destroy());
  engine.script = ({ response, answerHeaders }) => {
    setTimeout(() => response.writeHead(200, answerHeaders).end("late"), 400);
  };
  for (const isWrong of [false, true]) {
    if (isWrong) await writeFile(node.settingsFile, "port_range=none");
    const before = engine.calls.length;
    const running = call(node, { path: "/safe/a", agent });
    await waitFor(() => engine.calls.length > before);
    node.signal("SIGHUP");
    assert.equal((await running).body, "late");
    assert.equal((await call(node, { path: "/safe/a", agent })).status, 200);
  }
  assert.ok(node.isRunning);
  assert.ok(node.hasLogged("settingsReloaded"));
});

test("Entries that were all killed serve and know each other again", async (t) => {
  const { store } = await startStore(t);
  const nodes = await Promise.all(
    [1, 2, 3].map((number) => EntryProgram.start(t, { store, number })),
  );
  for (const node of nodes) await waitForEntries(node, 3);
  await Promise.all(nodes.map((node) => node.stop("SIGKILL")));
  await Promise.all(nodes.map((node) => node.start()));
  for (const node of nodes) {
    await waitForEntries(node, 3);
    assert.equal((await call(node, { path: "/safe/a" })).status, 200);
  }
});

test("An entry that stops is named by no other, and serves what comes", async (t) => {
  const { store } = await startStore(t);
  const [leaving, staying] = await Promise.all(
    [1, 2].map((number) => EntryProgram.start(t, { store, number, graceS: 6 })),
  );
  await waitForEntries(staying!, 2);
  leaving!.signal("SIGTERM");
  const startedMs = performance.now();
  await waitForEntries(staying!, 1);
  assert.ok(performance.now() - startedMs < DIRECTORY_MS);
  assert.equal(await fetchReadinessStatus(leaving!), 503);
  const answer = await call(leaving!, { path: "/safe/a" });
  assert.equal(answer.status, 200);
  assert.equal(answer.headers.connection, "close");
});

test("An entry that is killed is named by no other within a moment", async (t) => {
  const { store } = await startStore(t);
  const [killed, staying] = await Promise.all(
    [1, 2].map((number) => EntryProgram.start(t, { store, number })),
  );
  await waitForEntries(staying!, 2);
  await killed!.stop("SIGKILL");
  const startedMs = performance.now();
  await waitForEntries(staying!, 1);
  assert.ok(performance.now() - startedMs < DIRECTORY_MS);
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

function waitForEntries(node: EntryProgram, count: number): Promise<void> {
  return waitFor(async () => {
    const { status, text } = await queryDirectory(node);
    if (status !== 200) return false;
    const { addresses } = JSON.parse(text) as {
      readonly addresses: readonly string[];
    };
    return addresses.length === count;
  });
}
