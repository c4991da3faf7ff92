/**
 * Answers that an entry keeps until they are whole, or until their callers have
 * read them. A bound on each answer doesn't bound all of them together; an entry
 * that exceeds its memory is killed, and the requests of all callers end with it.
 */

import {
  CALLER_KEY,
  createConfiguration,
  EntryProgram,
  ROUTE,
  ROUTE_HOST,
  waitFor,
} from "@dandelionbank/run-entry";
import { HEADERS } from "@dandelionbank/platform-adapter";
import {
  type EngineCall,
  type EngineScript,
  renderAnswerHead,
  SiteEngine,
  SiteStore,
} from "@dandelionbank/standin-site";
import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";

const MEMORY_LIMIT_MB = 350;
const NODE_ARGS = ["--max-old-space-size=160"];
const BYTES_PER_MB = 1_000_000;
const ENGINE_COUNT = 10;
const CALL_COUNT = 400;
/** Just short of what an entry keeps of one answer. */
const ANSWER_BYTES = 1_040_000;
const HOLD_MS = 3_000;
const ROUTES = [
  {
    ...ROUTE,
    name: "safe",
    "path_prefix": "/safe/",
    type: "idempotent",
    "timeout_ms": 8_000,
  },
  {
    ...ROUTE,
    name: "live",
    "path_prefix": "/live/",
    type: "streaming",
    "timeout_ms": 8_000,
    "target_gap_ms": 120,
  },
];

interface KeptCase {
  readonly name: string;
  readonly path: string;
  readonly protocol: "1.0" | "1.1";
  readonly script: EngineScript;
}

const CASES: readonly KeptCase[] = [
  {
    name: "answers that stay incomplete",
    path: "/safe/a",
    protocol: "1.1",
    script: sendIncompleteAnswer,
  },
  {
    name: "answers without a length for callers that can't read chunks",
    path: "/live/a",
    protocol: "1.0",
    script: sendEvents,
  },
  {
    name: "events of a few bytes for callers that read nothing",
    path: "/live/a",
    protocol: "1.1",
    script: sendTinyEvents,
  },
];

for (const { name, path, protocol, script } of CASES) {
  test(`An entry stays within its memory while it keeps ${name}`, async (t) => {
    const entry = await startEntry(t, script);
    const sockets = Array.from(
      { length: CALL_COUNT },
      () => callUnread(t, { entry, path, protocol }),
    );
    await delay(HOLD_MS);
    assert.ok(entry.isRunning, entry.loggedLines.slice(-20).join("\n"));
    const peakMb = entry.readPeakResidentBytes() / BYTES_PER_MB;
    t.diagnostic(`peak of ${Math.round(peakMb)} MB`);
    assert.ok(peakMb < MEMORY_LIMIT_MB, `peak of ${Math.round(peakMb)} MB`);
    for (const socket of sockets) socket.destroy();
  });
}

function sendIncompleteAnswer({ response, answerHeaders }: EngineCall): void {
  response.writeHead(200, {
    ...answerHeaders,
    "content-length": ANSWER_BYTES + 1,
  });
  response.write(Buffer.alloc(ANSWER_BYTES, "x"));
}

function sendEvents({ response, answerHeaders }: EngineCall): void {
  response.writeHead(200, answerHeaders);
  const event = `data: ${"x".repeat(1_000)}\n\n`;
  response.write(event.repeat(ANSWER_BYTES / event.length));
}

function sendTinyEvents(call: EngineCall): void {
  const socket = call.response.socket!;
  const chunks = Buffer.from("3\r\n:\n\n\r\n".repeat(8_192));
  const send = () => {
    while (!socket.destroyed && socket.write(chunks));
  };
  socket.on("error", () => undefined);
  socket.on("drain", send);
  const fields = { "transfer-encoding": "chunked" };
  socket.write(renderAnswerHead(call, { fields }));
  send();
}

/** Calls the entry without reading the answer. */
function callUnread(
  t: TestContext,
  { entry, path, protocol }: {
    readonly entry: EntryProgram;
    readonly path: string;
    readonly protocol: string;
  },
): Socket {
  const { host, port } = entry.settings.callers!;
  const socket = connect({ host, port });
  socket.on("error", () => undefined);
  t.after(() => socket.destroy());
  socket.write([
    `POST ${path} HTTP/${protocol}`,
    `host: ${ROUTE_HOST}`,
    `${HEADERS.attemptId}: ${crypto.randomUUID()}`,
    `${HEADERS.credential}: ${CALLER_KEY}`,
    "content-length: 1",
    "",
    "x",
  ].join("\r\n"));
  return socket.pause();
}

async function startEntry(
  t: TestContext,
  script: EngineScript,
): Promise<EntryProgram> {
  const store = await SiteStore.create();
  t.after(() => store.close());
  store.put("config", "main", createConfiguration({ routes: ROUTES }));
  for (let index = 0; index < ENGINE_COUNT; index++) {
    const engine = await SiteEngine.create(`e${index}`);
    t.after(() => engine.close());
    engine.script = script;
    store.put("servers", engine.id, engine.createServerSpec(ROUTE));
  }
  const entry = await EntryProgram.start(t, {
    store,
    number: 1,
    nodeArgs: NODE_ARGS,
  });
  await waitFor(() => entry.hasLogged("targetsChanged"));
  return entry;
}
