/**
 * Objects that another writer left in the platform's store. No process may end by
 * one, and all go on following the store.
 */

import { callEntry, createContract, type Site } from "@dandelionbank/run-site";
import assert from "node:assert/strict";
import { randomUUID } from "node:crypto";
import { test } from "node:test";
import {
  assertCompletion,
  createCompletionCall,
  sleep,
  startSite,
  waitUntil,
} from "./mod.ts";

const TEST_OPTIONS = { timeout: 120_000 };
const REQUEST = { prompt: "Sheet 9 of the plan", maxTokens: 4, stream: false };
/** Longer than the interval at which entries call their peers. */
const PEER_CALLS_MS = 1_500;
/** Calls that make it all but certain that each target is picked. */
const CALL_COUNT = 40;
/** Time until the exit of a process that has failed is seen. */
const EXIT_MS = 500;
/** Look like URLs of peers, but no connection can be opened to them. */
const UNUSABLE_URLS = [
  "http://127.0.0.1:99999",
  "http://127.0.0.1:-1",
  "http://127.300.0.1:80",
  "http://[::1",
  "http://%",
  "http://\u0000:80",
  "http://127.0.0.1\\a",
];

/** Nested so deeply that a recursive function overflows the stack. */
const DEEP = `${"[".repeat(100_000)}${"]".repeat(100_000)}`;

// Guards against entries that end at each start, and no longer apply changes
// while they run, once an entry is registered with a URL that cannot be used.
test(
  "A registered entry with an unusable URL ends no entry",
  TEST_OPTIONS,
  async (context) => {
    const site = await startSite(context, { entries: 1, ranks: 1 });
    for (const [index, url] of UNUSABLE_URLS.entries()) {
      await putValue(site, { kind: "entry", name: `odd-${index}` }, {
        name: `odd-${index}`,
        incarnation: `incarnation-${index}`,
        callerUrl: url,
        peerUrl: url,
        dataCentre: "kochi-1",
      });
    }
    await assertFollowing(site);
  },
);

// Guards against entries that end when a request is sent to a target whose agent
// is registered with a URL that cannot be used.
test(
  "A registered agent with an unusable URL ends no entry",
  TEST_OPTIONS,
  async (context) => {
    const site = await startSite(context, { entries: 1, ranks: 1 });
    for (const [index, peerUrl] of UNUSABLE_URLS.entries()) {
      const name = `odd-${index}`;
      await putValue(site, { kind: "agent", name }, {
        target: {
          name,
          kind: "plain",
          pool: "parts",
          dataCentre: "kochi-1",
        },
        incarnation: `incarnation-${index}`,
        peerUrl,
      });
    }
    await assertFollowing(site);
  },
);

// Guards against agents that admit no attempt, as one of the closings that they
// read at their start is none.
test(
  "A malformed closing keeps no agent from admitting attempts",
  TEST_OPTIONS,
  async (context) => {
    const site = await startSite(context, { entries: 1, ranks: 1 });
    const values = [null, "text", [], {}, { incarnation: 7 }];
    for (const [index, value] of values.entries()) {
      await putValue(site, { kind: "closing", name: `odd-${index}` }, value);
    }
    await site.startPlainAgent("parts-1");
    await assertFollowing(site);
  },
);

// Guards against operators who can list no object of a kind, and processes that end
// or no longer follow the store, as a value is nested so deeply that functions which
// walk it overflow the stack.
test(
  "A value that is nested deeply ends no process and hides no other object",
  TEST_OPTIONS,
  async (context) => {
    const site = await startSite(context, { entries: 1, ranks: 1 });
    for (const kind of ["agent", "closing", "contract", "entry", "stop"]) {
      await putText(site, { kind, name: "odd-1" }, DEEP);
      const text = `{"name":"odd-2","keyDigests":[${DEEP}],"more":${DEEP}}`;
      await putText(site, { kind, name: "odd-2" }, text);
    }
    await site.startPlainAgent("parts-1");
    await assertFollowing(site);
    for (const command of [["list"], ["get", "odd-1"], ["get", "odd-2"]]) {
      const { exitCode, lines } = await site.runTool(["contract", ...command]);
      assert.equal(exitCode, 0, lines.join("\n"));
    }
  },
);

/**
 * Checks that the entries that run, and one that starts now, serve calls of a
 * contract that is written now.
 */
async function assertFollowing(site: Site): Promise<void> {
  await site.startEntry(`entry-${site.entries.size + 1}`);
  const organisation = `org-${randomUUID()}`;
  const key = `key-of-${organisation}`;
  const value = createContract(organisation, key);
  await putValue(site, { kind: "contract", name: organisation }, value);
  const call = createCompletionCall(key, REQUEST);
  await waitUntil("every entry serves a new contract", async () => {
    const replies = await callEach(site, call);
    return replies.every(({ status }) => status === 200);
  });
  const plainCall = {
    key,
    path: "/services/parts/reels/book",
    method: "GET",
  } as const;
  for (const waitMs of [0, PEER_CALLS_MS]) {
    await sleep(waitMs);
    for (let count = 0; count < CALL_COUNT; count++) {
      for (const { status, body } of await callEach(site, plainCall)) {
        assert.equal(status, 200, body);
      }
    }
  }
  for (const reply of await callEach(site, call)) {
    assertCompletion(reply, REQUEST);
  }
}

async function callEach(site: Site, call: Parameters<typeof callEntry>[1]) {
  const urls = [...site.entryUrls.values()];
  try {
    return await Promise.all(urls.map((url) => callEntry(url, call)));
  } catch (error) {
    await sleep(EXIT_MS);
    assertRunning(site);
    throw error;
  }
}

function assertRunning(site: Site): void {
  const programs = [...site.entries.values(), ...site.agents.values()];
  for (const { isRunning, lines } of programs) {
    assert.ok(isRunning, lines.slice(-12).join("\n"));
  }
}

interface ObjectId {
  readonly kind: string;
  readonly name: string;
}

function putValue(site: Site, id: ObjectId, value: unknown): Promise<void> {
  return putText(site, id, JSON.stringify(value));
}

/** Writes a value as another writer does, also one that nobody can use. */
async function putText(
  site: Site,
  { kind, name }: ObjectId,
  text: string,
): Promise<void> {
  const { status, body } = await callEntry(site.platformUrl, {
    key: "none",
    method: "PUT",
    path: `/v1/objects/${kind}/${name}`,
    headers: { "if-none-match": "*" },
    body: `{"changeId":"${randomUUID()}","value":${text}}`,
  });
  assert.equal(status, 200, body);
}
