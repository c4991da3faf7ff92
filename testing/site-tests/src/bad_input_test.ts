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
  completionCall,
  readAgents,
  readError,
  startSite,
} from "./mod.ts";

const LIMITS = { timeout: 60_000 };
const WISH = { prompt: "Sheet 9 of the plan", maxTokens: 4, stream: false };
const OTHER_KEY = "caller-key-of-harnessa";
const BOOK = "/services/parts/reels/book";

interface BadCase {
  readonly what: string;
  readonly call: Partial<CallerRequest>;
  readonly status: number;
  readonly code: string;
}

/** Keys come under the caller's own ticket and under another organisation's. */
function createCases(own: string, foreign: string): readonly BadCase[] {
  const keyed = (key: string, body: string): Partial<CallerRequest> => ({
    path: BOOK,
    body,
    headers: { "idempotency-key": key },
  });
  const wish = (fields: object) => ({
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
    ["wrong JSON", { body: '{"model":' }, 400, "BODY_NOT_JSON"],
    ["no prompt", wish({ prompt: undefined }), 400, "BODY_INVALID"],
    ["no tokens", wish({ max_tokens: -1 }), 400, "BODY_INVALID"],
    ["large body", { body: " ".repeat(1_048_577) }, 413, "BODY_TOO_LARGE"],
    ["unknown model", wish({ model: "none" }), 404, "MODEL_UNKNOWN"],
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
    ["key without a ticket", keyed("reel-7", "{}"), 400, "KEY_INVALID"],
    ["long key", keyed("k".repeat(600), "{}"), 400, "KEY_INVALID"],
    [
      "key of another organisation",
      keyed(`${foreign}/a`, "{}"),
      400,
      "KEY_INVALID",
    ],
    ["forged ticket", keyed(`${own.slice(0, -2)}/a`, "{}"), 400, "KEY_INVALID"],
    [
      "key with another body",
      keyed(`${own}/used`, '{"gauge":8}'),
      409,
      "KEY_REUSED",
    ],
  ];
  return rows.map(([what, call, status, code]) => ({
    what,
    call,
    status,
    code: `DANDELIONBANK_${code}`,
  }));
}

test(
  "Bad calls are refused as not run, and good ones go on",
  LIMITS,
  async (context) => {
    const site = await startSite(context, { entries: 2, ranks: 1 });
    const { callerKey: key } = site;
    const contract = createContract("harnessa", OTHER_KEY);
    const path = site.writeFile("harnessa.json", contract);
    const set = await site.runTool(["contract", "set", "harnessa", path]);
    assert.equal(set.exitCode, 0, set.lines.join("\n"));
    await site.waitUntilServing(OTHER_KEY);
    const [url, otherUrl] = [
      site.getEntryUrl("entry-1"),
      site.getEntryUrl("entry-2"),
    ];
    const { ticket: own } = await fetchTicket(url, key);
    const { ticket: foreign } = await fetchTicket(url, OTHER_KEY);
    const used = await callEntry(url, {
      key,
      path: BOOK,
      body: '{"gauge":7}',
      headers: { "idempotency-key": `${own}/used` },
    });
    assert.equal(used.status, 200, used.body);
    const longWish = { prompt: "Reel 3", maxTokens: 200, stream: true };
    const long = callEntry(url, completionCall(key, longWish));
    const seen: BadCase[] = [];
    const cases = createCases(own, foreign);
    for (const { what, call } of cases) {
      const reply = await callEntry(
        what === "key with another body" ? otherUrl : url,
        {
          ...completionCall(key, WISH),
          ...call,
        },
      );
      const { code = "", outcome, message = "", hint = "" } =
        readError(reply) ?? {};
      assert.deepEqual([what, outcome], [what, "notRun"], reply.body);
      assert.ok(message !== "" && hint !== "", what);
      seen.push({ what, call, status: reply.status, code });
    }
    assert.deepEqual(seen, cases);
    assertCompletion(await long, longWish);
    for (const each of [url, otherUrl]) {
      assertCompletion(await callEntry(each, completionCall(key, WISH)), WISH);
    }
  },
);

test(
  "Bad objects and stale revisions change nothing",
  LIMITS,
  async (context) => {
    const site = await startSite(context, { entries: 1, ranks: 1 });
    const contract = createContract("malabar", site.callerKey);
    const wrong = site.writeFile("wrong.json", {
      ...contract,
      priority: "high",
    });
    const stale = site.writeFile("stale.json", { ...contract, priority: 3 });
    const fresh = site.writeFile("fresh.json", { ...contract, priority: 4 });
    const set = ["contract", "set", "malabar"];
    const before = await site.runTool(["contract", "get", "malabar", "--json"]);
    const { revision } = JSON.parse(before.lines.join("\n")) as {
      readonly revision: number;
    };
    const unparsed = await site.runTool([...set, wrong]);
    assert.equal(unparsed.exitCode, 1, unparsed.lines.join("\n"));
    assert.match(unparsed.lines.join("\n"), /priority/);
    const unchanged = await site.runTool([
      "contract",
      "get",
      "malabar",
      "--json",
    ]);
    assert.deepEqual(unchanged.lines, before.lines);

    const changed = await site.runTool([...set, fresh]);
    assert.equal(changed.exitCode, 0, changed.lines.join("\n"));
    const late = await site.runTool([...set, stale, `--revision=${revision}`]);
    assert.equal(late.exitCode, 1);
    const text = late.lines.join("\n");
    assert.match(text, /Yours[^]*"priority": 3[^]*Current[^]*"priority": 4/);
    const wish = completionCall(site.callerKey, WISH);
    assertCompletion(await callEntry(site.getEntryUrl("entry-1"), wish), WISH);
  },
);

test(
  "An agent takes no attempt from who does not prove the secret",
  LIMITS,
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
    const wish = completionCall(site.callerKey, WISH);
    assertCompletion(await callEntry(site.getEntryUrl("entry-1"), wish), WISH);
  },
);
