import {
  callEntry,
  type CallerRequest,
  createContract,
  fetchTicket,
} from "@dandelionbank/run-site";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  assertCompletion,
  createCompletionCall,
  readAgents,
  readError,
  startSite,
} from "./mod.ts";

const TEST_OPTIONS = { timeout: 60_000 };
const REQUEST = { prompt: "Sheet 9 of the plan", maxTokens: 4, stream: false };
/** Caller key of another organisation. */
const OTHER_KEY = "caller-key-of-harnessa";
const BOOK_PATH = "/services/parts/reels/book";

interface InvalidCallCase {
  readonly name: string;
  readonly call: Partial<CallerRequest>;
  readonly status: number;
  readonly code: string;
}

/** Creates the cases; the second ticket was issued to another organisation. */
function createCases(
  ownTicket: string,
  foreignTicket: string,
): readonly InvalidCallCase[] {
  const createKeyedCall = (
    key: string,
    body: string,
  ): Partial<CallerRequest> => ({
    path: BOOK_PATH,
    body,
    headers: { "idempotency-key": key },
  });
  const completion = (fields: object) => ({
    body: JSON.stringify({
      model: "plaque-7b",
      prompt: "A",
      max_tokens: 4,
      ...fields,
    }),
  });
  const rows: readonly [string, Partial<CallerRequest>, number, string][] = [
    [
      "no credential",
      { headers: { authorization: "" } },
      401,
      "CREDENTIAL_MISSING",
    ],
    ["unknown credential", { key: "nobody" }, 401, "CREDENTIAL_UNKNOWN"],
    ["malformed JSON", { body: '{"model":' }, 400, "BODY_NOT_JSON"],
    ["no prompt", completion({ prompt: undefined }), 400, "BODY_INVALID"],
    ["no tokens", completion({ max_tokens: -1 }), 400, "BODY_INVALID"],
    ["large body", { body: " ".repeat(1_048_577) }, 413, "BODY_TOO_LARGE"],
    ["unknown model", completion({ model: "none" }), 404, "MODEL_UNKNOWN"],
    ["unknown route", { path: "/v2/none" }, 404, "ROUTE_UNKNOWN"],
    ["unknown pool", { path: "/services/none/a" }, 404, "POOL_UNKNOWN"],
    ["pool of models", { path: "/services/review/a" }, 404, "POOL_UNKNOWN"],
    ["wrong method", { method: "PUT" }, 405, "METHOD_NOT_ALLOWED"],
    [
      "wrong method for addresses",
      { path: "/v1/addresses" },
      405,
      "METHOD_NOT_ALLOWED",
    ],
    [
      "key without a ticket",
      createKeyedCall("reel-7", "{}"),
      400,
      "KEY_INVALID",
    ],
    ["long key", createKeyedCall("k".repeat(600), "{}"), 400, "KEY_INVALID"],
    [
      "key of another organisation",
      createKeyedCall(`${foreignTicket}/a`, "{}"),
      400,
      "KEY_INVALID",
    ],
    [
      "forged ticket",
      createKeyedCall(`${ownTicket.slice(0, -2)}/a`, "{}"),
      400,
      "KEY_INVALID",
    ],
    [
      "key with another body",
      createKeyedCall(`${ownTicket}/used`, '{"gauge":8}'),
      409,
      "KEY_REUSED",
    ],
  ];
  return rows.map(([name, call, status, code]) => ({
    name,
    call,
    status,
    code: `DANDELIONBANK_${code}`,
  }));
}

test(
  "Invalid calls are refused as not run, and valid ones are not affected",
  TEST_OPTIONS,
  async (context) => {
    const site = await startSite(context, { entries: 2, ranks: 1 });
    const { callerKey: key } = site;
    const contract = createContract("harnessa", OTHER_KEY);
    const contractPath = site.writeFile("harnessa.json", contract);
    const setResult = await site.runTool([
      "contract",
      "set",
      "harnessa",
      contractPath,
    ]);
    assert.equal(setResult.exitCode, 0, setResult.lines.join("\n"));
    await site.waitUntilServing(OTHER_KEY);
    const [url, otherUrl] = [
      site.getEntryUrl("entry-1"),
      site.getEntryUrl("entry-2"),
    ];
    const { ticket: ownTicket } = await fetchTicket(url, key);
    const { ticket: foreignTicket } = await fetchTicket(url, OTHER_KEY);
    const used = await callEntry(url, {
      key,
      path: BOOK_PATH,
      body: '{"gauge":7}',
      headers: { "idempotency-key": `${ownTicket}/used` },
    });
    assert.equal(used.status, 200, used.body);
    const streamRequest = { prompt: "Reel 3", maxTokens: 200, stream: true };
    const streamReply = callEntry(
      url,
      createCompletionCall(key, streamRequest),
    );
    const results: InvalidCallCase[] = [];
    const cases = createCases(ownTicket, foreignTicket);
    for (const { name, call } of cases) {
      const reply = await callEntry(
        name === "key with another body" ? otherUrl : url,
        {
          ...createCompletionCall(key, REQUEST),
          ...call,
        },
      );
      const { code = "", outcome, message = "", hint = "" } =
        readError(reply) ?? {};
      assert.deepEqual([name, outcome], [name, "notRun"], reply.body);
      assert.ok(message !== "" && hint !== "", name);
      results.push({ name, call, status: reply.status, code });
    }
    assert.deepEqual(results, cases);
    assertCompletion(await streamReply, streamRequest);
    for (const entryUrl of [url, otherUrl]) {
      assertCompletion(
        await callEntry(entryUrl, createCompletionCall(key, REQUEST)),
        REQUEST,
      );
    }
  },
);

test(
  "Invalid objects and stale revisions are rejected without effect",
  TEST_OPTIONS,
  async (context) => {
    const site = await startSite(context, { entries: 1, ranks: 1 });
    const contract = createContract("malabar", site.callerKey);
    const invalidPath = site.writeFile("wrong.json", {
      ...contract,
      priority: "high",
    });
    const stalePath = site.writeFile("stale.json", {
      ...contract,
      priority: 3,
    });
    const currentPath = site.writeFile("fresh.json", {
      ...contract,
      priority: 4,
    });
    const setCommand = ["contract", "set", "malabar"];
    const before = await site.runTool(["contract", "get", "malabar", "--json"]);
    const { revision } = JSON.parse(before.lines.join("\n")) as {
      readonly revision: number;
    };
    const invalidResult = await site.runTool([...setCommand, invalidPath]);
    assert.equal(invalidResult.exitCode, 1, invalidResult.lines.join("\n"));
    assert.match(invalidResult.lines.join("\n"), /priority/);
    const unchanged = await site.runTool([
      "contract",
      "get",
      "malabar",
      "--json",
    ]);
    assert.deepEqual(unchanged.lines, before.lines);

    const currentResult = await site.runTool([...setCommand, currentPath]);
    assert.equal(currentResult.exitCode, 0, currentResult.lines.join("\n"));
    const staleResult = await site.runTool([
      ...setCommand,
      stalePath,
      `--revision=${revision}`,
    ]);
    assert.equal(staleResult.exitCode, 1);
    const text = staleResult.lines.join("\n");
    assert.match(text, /Yours[^]*"priority": 3[^]*Current[^]*"priority": 4/);
    const call = createCompletionCall(site.callerKey, REQUEST);
    assertCompletion(
      await callEntry(site.getEntryUrl("entry-1"), call),
      REQUEST,
    );
  },
);

test(
  "An agent accepts no call without the peer secret",
  TEST_OPTIONS,
  async (context) => {
    const site = await startSite(context, { entries: 1, ranks: 1 });
    const agents = await readAgents(site);
    assert.deepEqual([...agents.keys()].sort(), ["parts-0", "review-0"]);
    for (const { peerUrl } of agents.values()) {
      for (const path of ["/attempts", "/trpc/applyView", "/none"]) {
        for (const secret of ["", "wrong", site.callerKey, site.operatorKey]) {
          const call = { key: secret, path, body: "{}\n" };
          const reply = await callEntry(peerUrl, call);
          assert.equal(reply.status, 401, `${path} ${secret}`);
          assert.equal(reply.body, "");
        }
      }
      const body = "no message\n";
      const call = { key: site.peerSecret, path: "/attempts", body };
      assert.equal((await callEntry(peerUrl, call)).status, 400);
    }
    const call = createCompletionCall(site.callerKey, REQUEST);
    assertCompletion(
      await callEntry(site.getEntryUrl("entry-1"), call),
      REQUEST,
    );
  },
);
