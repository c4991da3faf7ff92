import { HEADERS } from "@dandelionbank/platform-adapter";
import {
  call,
  createConfiguration,
  EntryProgram,
  waitFor,
} from "@dandelionbank/run-entry";
import { SiteEngine, SiteStore } from "@dandelionbank/standin-site";
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";

const KIND = "quarantined-parts";
const PART = "bad0bad0";
const EXPIRED_PART = "01d0bad0";
const REMAINING_MS = 300_000;
/** Enough for the first repeats of a write that does not succeed. */
const WRITTEN_MS = 1_500;
/** Less than the timeout of a call to the store. */
const ADOPTION_MS = 1_000;
/** Time without a status after which an entry is lost, and a margin. */
const SILENCE_MS = 2_000;

test("An entry refuses the prompt parts that the store holds, and removes those that have expired", async (t) => {
  const { store } = await startStore(t);
  put(store, PART, REMAINING_MS);
  put(store, EXPIRED_PART, -1);
  store.put(KIND, "invalid", { endsAtMs: "soon" });
  const entry = await EntryProgram.start(t, { store, number: 1 });
  await waitFor(() => entry.hasLogged("promptPartQuarantineAdopted"));
  const refused = await callWithPart(entry, PART);
  assert.equal(refused.status, 503);
  const retryAfterS = Number(refused.headers["retry-after"]);
  assert.ok(retryAfterS > 0 && retryAfterS <= REMAINING_MS / 1_000);
  assert.equal((await callWithPart(entry, EXPIRED_PART)).status, 200);
  await waitFor(() => listParts(store).length === 1);
  assert.deepEqual(listParts(store), [PART]);
});

test("An entry writes its prompt parts again to a store that came back from an older copy", async (t) => {
  const { store } = await startStore(t);
  const snapshot = store.createSnapshot();
  put(store, PART, REMAINING_MS);
  const entry = await EntryProgram.start(t, { store, number: 1 });
  await waitFor(() => entry.hasLogged("promptPartQuarantineAdopted"));
  store.restore(snapshot);
  await waitFor(() => listParts(store).includes(PART));
  assert.equal((await callWithPart(entry, PART)).status, 503);
});

test("An entry stops writing a prompt part once the store holds it", async (t) => {
  const { store } = await startStore(t);
  put(store, PART, REMAINING_MS);
  const entry = await EntryProgram.start(t, { store, number: 1 });
  await waitFor(() => entry.hasLogged("promptPartQuarantineAdopted"));
  store.restore(store.createSnapshot());
  await waitFor(() => entry.hasLogged("storeRestored"));
  await delay(WRITTEN_MS);
  const before = store.countCalls(KIND);
  await delay(WRITTEN_MS);
  assert.equal(store.countCalls(KIND), before);
});

test("A removal that the store does not answer does not delay the quarantine", async (t) => {
  const { store } = await startStore(t);
  put(store, PART, REMAINING_MS);
  put(store, EXPIRED_PART, -1);
  store.answersRemovals = false;
  const entry = await EntryProgram.start(t, { store, number: 1 });
  await waitFor(() => entry.hasLogged("promptPartQuarantineAdopted"), {
    timeoutMs: ADOPTION_MS,
  });
});

// Guards against entries that end at each start, as the name of an object cannot be
// part of a path.
test("An expired object whose name cannot be part of a path ends no entry", async (t) => {
  const { store } = await startStore(t);
  put(store, "\ud800", -1);
  put(store, PART, REMAINING_MS);
  const entry = await EntryProgram.start(t, { store, number: 1 });
  await delay(ADOPTION_MS);
  assert.ok(entry.isRunning, entry.loggedLines.slice(-8).join("\n"));
});

// Guards against entries that lose each other, as a status that lists the name of
// such an object is too long for a datagram.
test("An object whose name is no prompt part is not adopted", async (t) => {
  const { store } = await startStore(t);
  const names = ["\ud800", "a".repeat(70_000), "", "Bad", "a,b", "__proto__"];
  for (const name of names) put(store, name, REMAINING_MS);
  put(store, PART, REMAINING_MS);
  const entries = await Promise.all(
    [1, 2].map((number) => EntryProgram.start(t, { store, number })),
  );
  for (const entry of entries) {
    await waitFor(() => entry.hasLogged("promptPartQuarantineAdopted"));
  }
  await delay(SILENCE_MS);
  for (const entry of entries) {
    assert.ok(entry.hasLogged("entryHeard"));
    assert.ok(!entry.hasLogged("entryLost"));
    assert.equal((await callWithPart(entry, PART)).status, 503);
    assert.equal((await callWithPart(entry, EXPIRED_PART)).status, 200);
  }
});

async function startStore(t: TestContext): Promise<{ store: SiteStore }> {
  const store = await SiteStore.create();
  const engine = await SiteEngine.create("e1");
  store.put("config", "main", createConfiguration());
  store.put("servers", engine.id, engine.createServerSpec({ service: "s" }));
  t.after(async () => {
    await engine.close();
    await store.close();
  });
  return { store };
}

function put(store: SiteStore, part: string, remainingMs: number): void {
  store.put(KIND, part, { endsAtMs: Date.now() + remainingMs });
}

function listParts(store: SiteStore): readonly string[] {
  return [...store.createSnapshot().objects.values()]
    .filter(({ kind, isDeleted }) => kind === KIND && !isDeleted)
    .map(({ name }) => name);
}

function callWithPart(entry: EntryProgram, part: string) {
  return call(entry, {
    path: "/safe/a",
    headers: { [HEADERS.promptPrefixHashes]: `f1:40,${part}:40,0a:40` },
  });
}
