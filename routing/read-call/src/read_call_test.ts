import type { Config } from "@dandelionbank/types";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type Call, type CallInput, readCall } from "./mod.ts";

test("Valid calls are assigned to their pool; invalid ones get an error code", () => {
  const cases:
    readonly (readonly [Partial<CallInput>, string | Partial<Call>])[] = [
      [{ path: "/v1/other" }, "routeUnknown"],
      [{ method: "GET" }, "methodNotAllowed"],
      [{ body: "{" }, "bodyNotJson"],
      [{ body: "" }, "bodyNotJson"],
      [{ body: "[]" }, "bodyInvalid"],
      [{ body: completion({ max_tokens: 0 }) }, "bodyInvalid"],
      [{ body: completion({ prompt: 7 }) }, "bodyInvalid"],
      [{ body: completion({ model: "other" }) }, "modelUnknown"],
      [
        { body: completion({ stream: true, max_tokens: 10 }) },
        {
          pool: "review",
          isStream: true,
          idempotent: true,
          estimatedTokens: 12,
        },
      ],
      [{ mayRepeat: false }, { pool: "review", idempotent: false }],
      [{ path: "/services/none/x" }, "poolUnknown"],
      [{ path: "/services/review/x" }, "poolUnknown"],
      [
        { path: "/services/parts/reels/7?a=1" },
        { pool: "parts", path: "/reels/7?a=1", idempotent: false },
      ],
      [{ path: "/services/parts" }, { path: "/", idempotent: false }],
      [{ method: "GET", path: "/services/parts/x" }, { idempotent: true }],
      [
        { method: "PUT", path: "/services/parts/sheets/3" },
        { path: "/sheets/3", idempotent: true },
      ],
      [{ method: "GET", path: "/services/parts/book" }, { idempotent: false }],
    ];
  for (const [input, expected] of cases) {
    const result = readCall(createInput(input), createConfig());
    if (typeof expected === "string") {
      assert.deepEqual(result, { kind: "invalid", code: expected });
      continue;
    }
    assert.ok(result.kind === "ok", JSON.stringify(input));
    assert.deepEqual({ ...result.call, ...expected }, result.call);
  }
});

function createInput(input: Partial<CallInput>): CallInput {
  return {
    method: "POST",
    path: "/v1/completions",
    body: completion({}),
    mayRepeat: true,
    ...input,
  };
}

function completion(fields: Readonly<Record<string, unknown>>): string {
  return JSON.stringify({ model: "plaque-7b", prompt: "12345678", ...fields });
}

function createConfig(): Config {
  return {
    pools: [
      { name: "review", kind: "rank", models: ["plaque-7b"], routes: [] },
      {
        name: "parts",
        kind: "plain",
        models: [],
        routes: [
          { method: "PUT", pathPrefix: "/sheets/", idempotent: true },
          { method: "GET", pathPrefix: "/book", idempotent: false },
        ],
      },
    ],
    drainTimeoutMs: 1,
    requestTimeoutMs: 1,
    progressTimeoutMs: 1,
    hedgeAfterMs: 0,
    bodyLimitBytes: 1,
    ticketValidityMs: 1,
    placement: "powerOfTwo",
  };
}
