import type {
  AttemptHead,
  AttemptMessage,
  AttemptQuery,
  PeerFrame,
} from "@dandelionbank/types";
import assert from "node:assert/strict";
import { test } from "node:test";
import * as fc from "fast-check";
import {
  encodeFrame,
  encodeMessage,
  LineSplitter,
  parseFrame,
  parseMessage,
} from "./mod.ts";

const LOAD = { inFlight: 1, queued: 0, cachedTokens: 7 };
const FRAMES: readonly PeerFrame[] = [
  { type: "admitted", attemptId: "a", answeredBy: "b" },
  {
    type: "refused",
    attemptId: "a",
    code: "FULL",
    retryAfterMs: 5,
    load: LOAD,
  },
  {
    type: "head",
    attemptId: "a",
    status: 200,
    contentType: "text/event-stream",
    encoding: "utf8",
  },
  { type: "data", attemptId: "a", sequence: 0, data: "മലയാളം\n" },
  { type: "heartbeat", attemptId: "a" },
  { type: "end", attemptId: "a", lengthBytes: 3, digest: "00", load: LOAD },
  { type: "failed", attemptId: "a", code: "X", mayHaveRun: true, load: LOAD },
  {
    type: "outcome",
    attemptId: "a",
    outcome: { kind: "unknown", code: "attemptLost" },
  },
];

test("Frames are parsed wherever the stream is split into chunks", () => {
  const text = FRAMES.map(encodeFrame).join("");
  fc.assert(
    fc.property(
      fc.array(fc.integer({ min: 0, max: text.length }), { maxLength: 20 }),
      (offsets) => {
        const boundaries = [0, ...offsets.sort((a, b) => a - b), text.length];
        const splitter = new LineSplitter();
        const lines = boundaries.slice(1).flatMap((end, index) =>
          splitter.push(text.slice(boundaries[index], end))
        );
        const frames = lines.map(parseFrame).map((result) =>
          result.kind === "ok" ? result.frame : result
        );
        assert.deepEqual(frames, FRAMES);
      },
    ),
    { seed: 1, numRuns: 200 },
  );
});

test("A line that is not a valid frame is rejected with its problem", () => {
  const cases: readonly (readonly [string, RegExp])[] = [
    ["", /frame/],
    ["{", /frame/],
    ["null", /frame/],
    [`{"type":"data","attemptId":"a","sequence":0.5,"data":""}`, /type/],
    [`{"type":"end","attemptId":"a","lengthBytes":-1}`, /lengthBytes/],
    [`{"type":"head","attemptId":"a","status":99}`, /status/],
  ];
  for (const [line, problem] of cases) {
    const result = parseFrame(line);
    assert.equal(result.kind, "invalid", line);
    assert.match(result.kind === "invalid" ? result.problem : "", problem);
  }
});

test("A message is parsed back, and an invalid one is rejected by field", () => {
  const message: AttemptMessage = {
    kind: "attempt",
    agentIncarnation: "g1",
    suspect: false,
    head: createHead(),
  };
  const query: AttemptQuery = {
    kind: "question",
    agentIncarnation: "g1",
    attemptId: "e1.1",
    organisation: "acme",
    fingerprint: "f",
  };
  for (const sent of [message, query]) {
    const line = encodeMessage(sent).trimEnd();
    assert.deepEqual(parseMessage(line), { kind: "ok", message: sent });
  }
  const head = { ...createHead(), path: "no-slash" };
  const rejected = parseMessage(encodeMessage({ ...message, head }));
  assert.equal(rejected.kind, "invalid");
  assert.match(
    rejected.kind === "invalid" ? rejected.problem : "",
    /^head\.path: /,
  );
});

function createHead(): AttemptHead {
  return {
    attemptId: "e1.1",
    requestId: "r1",
    organisation: "acme",
    fingerprint: "f",
    entry: "e1",
    entryIncarnation: "i1",
    idempotent: true,
    method: "POST",
    path: "/v1/completions",
    contentType: "application/json",
    priority: 5,
    timeLeftMs: 1000,
    viewRevision: 3,
  };
}
