/** The decoders that are fuzzed, by where their input comes from. */

import assert from "node:assert/strict";
import {
  encodeFrame,
  encodeMessage,
  parseFrame,
  parseMessage,
} from "@dandelionbank/attempt-codec";
import { parseStatus } from "@dandelionbank/exchange-status";
import {
  createRouteTable,
  findKeyHolder,
  matchRoute,
} from "@dandelionbank/match-route";
import { DEFAULT_CONFIG, parseValue } from "@dandelionbank/parse-objects";
import {
  decodeAnswerHead,
  decodeBootSettings,
  decodeCallerHead,
  decodeConfiguration,
  decodeReport,
  decodeTarget,
  HEADERS,
} from "@dandelionbank/platform-adapter";
import { HttpPool } from "@dandelionbank/open-http";
import { decodeCounts, decodeMap, encodeMap } from "@dandelionbank/rank-api";
import { EventSplitter } from "@dandelionbank/read-events";
import {
  createConfiguration,
  renderBootSettings,
  ROUTE_HOST,
} from "@dandelionbank/run-entry";
import fc from "fast-check";
import { validateHeaderValue } from "node:http";
import { createFuzzTarget, type FuzzTarget } from "./fuzz_target.ts";
import { createHeadersArbitrary, mutateJson, mutateText } from "./malformed.ts";

const SETTINGS = renderBootSettings({
  "node_name": "edge-1",
  ip: "10.0.0.1",
  "listen.frontend": "10.0.0.1:80",
  "port_range": "7000,7001",
  "platform.address": "10.0.0.2:81",
});
const TARGET = {
  service: "s",
  address: "10.0.0.3:80",
  zone: "a",
  version: "v1",
  slots: 8,
  state: "ready",
};
/** Text that looks like an address, within the ranges of its numbers or not. */
const ADDRESS = fc.oneof(
  mutateText(TARGET.address),
  fc.tuple(
    fc.array(fc.nat(400), { minLength: 4, maxLength: 4 }),
    fc.nat(99_999),
  ).map(([octets, port]) => `${octets.join(".")}:${port}`),
);
const REPORT = {
  group: { name: "g", epoch: 1, rank: 0, size: 4, state: "open" },
  step: 9,
  mapping: { version: 2 },
  preloaded: 3,
  enabled: 0,
  held: { step: 12 },
  pace: 1.5,
};
const REGISTRATION = {
  name: "entry-1",
  incarnation: "i1",
  callerUrl: "http://10.0.0.1:1",
  peerUrl: "http://10.0.0.1:2",
  dataCentre: "a",
};
const STATUS = {
  name: "edge-1",
  callersAddress: "10.0.0.1:80",
  peerAddress: "10.0.0.1:7000",
  dataCentre: "a",
  takesCallers: true,
  mayUseKeys: true,
  activeByService: { s: 3 },
  suspects: { losses: [], quarantined: ["f"] },
  targetLimits: [{ target: "t", perSecond: 2, ageMs: 10 }],
  leavingTargets: ["t"],
};
const MESSAGE = encodeMessage({
  kind: "relay",
  homeIncarnation: "e2",
  pool: "p",
  resumable: true,
  estimatedTokens: 100,
  supersedes: [1],
  head: {
    attemptId: "e1.1",
    requestId: "r",
    organisation: "acme",
    fingerprint: "0123456789abcdef",
    entry: "entry-1",
    entryIncarnation: "e1",
    idempotent: true,
    method: "POST",
    path: "/",
    contentType: "text/plain",
    priority: 0,
    timeLeftMs: 1_000,
    viewRevision: 1,
  },
});
const FRAME = encodeFrame({
  type: "refused",
  attemptId: "e1.1",
  code: "targetBusy",
  retryAfterMs: 250,
  load: { inFlight: 1, queued: 0, cachedTokens: 0 },
});
const MAP = encodeMap([[[0, 1], [2, 300]], [[4], [5, 6, 7]]]);
const HEADER_NAMES = [
  ...Object.values(HEADERS),
  "connection",
  "content-encoding",
  "content-length",
  "host",
];

export const FUZZ_TARGETS: readonly FuzzTarget[] = [
  createFuzzTarget({
    name: "settings",
    input: mutateText(SETTINGS),
    decode: decodeBootSettings,
    isReported: (error) =>
      error instanceof Error && error.message.startsWith("Invalid settings: "),
  }),
  createFuzzTarget({
    name: "configuration",
    input: fc.record({
      spec: mutateJson(createConfiguration()),
      target: fc.webPath(),
    }),
    decode: ({ spec, target }) => {
      const decoded = decodeConfiguration(spec);
      if (decoded.kind === "malformed") return undefined;
      const { configuration } = decoded;
      const table = createRouteTable(configuration);
      findKeyHolder(table, target);
      return [configuration, matchRoute(table, { host: ROUTE_HOST, target })];
    },
  }),
  createFuzzTarget({
    name: "target",
    input: fc.record({
      name: fc.oneof(fc.constant("t"), fc.string({ unit: "binary" })),
      spec: mutateJson(TARGET),
      address: fc.oneof(fc.constant(undefined), ADDRESS),
    }),
    decode: ({ name, spec, address }) => {
      const changed = address === undefined || typeof spec !== "object"
        ? spec
        : { ...spec, address };
      const decoded = decodeTarget({ name, revision: 1, spec: changed });
      if (decoded.kind === "malformed") return undefined;
      const { target } = decoded;
      // What is decoded has to be usable for a connection and as a header.
      void HttpPool.create({ origin: `http://${target.address}` }).close();
      validateHeaderValue("target", target.id);
      return target;
    },
  }),
  createFuzzTarget({
    name: "registration",
    input: fc.record({
      value: mutateJson(REGISTRATION),
      peerUrl: fc.oneof(
        fc.constant(undefined),
        mutateText(REGISTRATION.peerUrl),
        ADDRESS.map((address) => `http://${address}`),
      ),
    }),
    decode: ({ value, peerUrl }) => {
      const changed = peerUrl === undefined || typeof value !== "object"
        ? value
        : { ...value, peerUrl };
      const parsed = parseValue("entry", changed);
      if (parsed.kind === "invalid") return parsed;
      void HttpPool.create({ origin: parsed.value.peerUrl }).close();
      return parsed;
    },
  }),
  createFuzzTarget({
    name: "answer-head",
    input: fc.record({
      status: fc.integer({ min: 100, max: 999 }),
      fields: createHeadersArbitrary(HEADER_NAMES),
    }),
    decode: ({ status, fields }) => decodeAnswerHead(status, fields),
  }),
  createFuzzTarget({
    name: "caller-head",
    input: createHeadersArbitrary(HEADER_NAMES),
    decode: decodeCallerHead,
  }),
  createFuzzTarget({
    name: "report",
    input: mutateJson(REPORT),
    decode: (report) =>
      typeof report === "object" && report !== null && !Array.isArray(report)
        ? decodeReport(report as Record<string, unknown>)
        : undefined,
  }),
  createFuzzTarget({
    name: "status",
    input: mutateText(JSON.stringify(STATUS)),
    decode: parseStatus,
  }),
  createFuzzTarget({
    name: "message",
    input: mutateText(MESSAGE),
    decode: parseMessage,
  }),
  createFuzzTarget({
    name: "frame",
    input: mutateText(FRAME),
    decode: parseFrame,
  }),
  createFuzzTarget({
    name: "map",
    input: mutateText(MAP),
    decode: decodeMap,
    isReported: (error) => error instanceof RangeError,
  }),
  createFuzzTarget({
    name: "counts",
    input: fc.string({ unit: "binary" }),
    decode: decodeCounts,
  }),
  createFuzzTarget({
    name: "config-object",
    input: mutateJson(DEFAULT_CONFIG),
    decode: (value) => parseValue("config", value),
  }),
  createFuzzTarget({
    name: "events",
    input: fc.tuple(
      mutateText("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\n"),
      fc.array(fc.nat(50), { maxLength: 6 }),
    ),
    decode: ([text, cuts]) => {
      const whole = splitEvents([Buffer.from(text)]);
      const bounds = [0, ...cuts.toSorted((a, b) => a - b), Infinity];
      const chunks = bounds.slice(1).map((end, index) =>
        Buffer.from(text).subarray(bounds[index], end)
      );
      assert.deepEqual(splitEvents(chunks), whole);
    },
  }),
];

/** Returns the complete events and the number of bytes after them. */
function splitEvents(chunks: readonly Buffer[]) {
  const splitter = EventSplitter.create();
  const events = chunks.flatMap((chunk) => splitter.push(chunk) ?? []);
  return {
    text: Buffer.concat(events.map(({ bytes }) => bytes)).toString("latin1"),
    count: events.reduce((sum, { count }) => sum + count, 0),
    pendingBytes: splitter.pendingBytes,
  };
}
