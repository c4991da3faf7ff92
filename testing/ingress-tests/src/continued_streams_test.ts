/**
 * Resumable streams whose first target breaks off, and whose next one continues
 * them or fails to. The caller gets events in their order, and a stream that
 * isn't whole doesn't look complete.
 */

import { HEADERS } from "@dandelionbank/platform-adapter";
import type { CallAnswer } from "@dandelionbank/run-entry";
import { type RawCall, renderRawAnswer } from "@dandelionbank/standin-site";
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import {
  callNamed,
  renderEvents,
  startRawEngines,
  startRawSite,
  waitForEngines,
} from "./raw_site.ts";

const ROUTE_TIMEOUT_MS = 2_000;
const { attemptId: ATTEMPT_ID, notRun: NOT_RUN } = HEADERS;

const EVENT_COUNT = 8;
const ALL_EVENTS = renderEvents(1, EVENT_COUNT);
/** The part of a stream that its first target sends. */
const BEGUN = renderEvents(1, 3);
const HALF_EVENT = "id: 4\ndata: t";
const ERROR_TEXT = "internal error: out of memory";
const ERROR_HEAD = "HTTP/1.1 500 Error\r\nx-a: b\r\n\r\n";

type Fields = Readonly<Record<string, string>>;
type Send = (call: RawCall) => void;

const CHUNKED: Fields = { "transfer-encoding": "chunked" };
const CLOSING: Fields = { connection: "close" };

/** Ways in which a target breaks off a stream after its third event. */
const BREAKS: Readonly<Record<string, Send>> = {
  "is closed short of its length": (call) => {
    const length = { "content-length": String(ALL_EVENTS.length) };
    call.socket.end(renderStreamHead(call, length) + BEGUN);
  },
  "is closed inside an event, without a length": (call) =>
    call.socket.end(renderStreamHead(call, CLOSING) + BEGUN + HALF_EVENT),
  "is closed without its last chunk": (call) =>
    call.socket.end(renderStreamHead(call, CHUNKED) + renderChunk(BEGUN)),
  "is closed inside a chunk": (call) => {
    const chunk = renderChunk(BEGUN + HALF_EVENT);
    call.socket.end(renderStreamHead(call, CHUNKED) + chunk.slice(0, -8));
  },
  "ends by a last chunk inside an event": (call) =>
    call.socket.write(
      renderStreamHead(call, CHUNKED) + renderChunk(BEGUN + HALF_EVENT) +
        renderChunk(""),
    ),
  "is reset": (call) => {
    call.socket.write(renderStreamHead(call, CLOSING) + BEGUN);
    setTimeout(() => call.socket.resetAndDestroy(), 10);
  },
  "has an error's head in place of a chunk": (call) =>
    call.socket.write(
      renderStreamHead(call, CHUNKED) + renderChunk(BEGUN) + ERROR_HEAD,
    ),
  "has an error's head in place of an event": (call) =>
    call.socket.end(
      renderStreamHead(call, CLOSING) + BEGUN + ERROR_HEAD + ERROR_TEXT,
    ),
  "has an error in place of an event": (call) =>
    call.socket.end(
      renderStreamHead(call, CLOSING) + BEGUN + `${ERROR_TEXT}\n\n`,
    ),
  "has an event for an error": (call) =>
    call.socket.write(
      renderStreamHead(call, CHUNKED) +
        renderChunk(`${BEGUN}event: error\ndata: ${ERROR_TEXT}\n\n`) +
        renderChunk(""),
    ),
};

/** Answers of the next target, none of which continues the stream. */
const ERRORS: Readonly<Record<string, Send>> = {
  "fails": (call) => sendError(call, 500),
  "fails, with blank lines": (call) => sendError(call, 500, { isBlocks: true }),
  "fails without a seal": (call) =>
    sendError(call, 500, { fields: { [ATTEMPT_ID]: call.attemptId } }),
  "fails without a length": (call) =>
    call.socket.end(renderStreamHead(call, CLOSING, 500) + ERROR_TEXT),
  "fails in chunks": (call) =>
    call.socket.write(
      renderStreamHead(call, CHUNKED, 500) +
        renderChunk(`${ERROR_TEXT}\n\n`) + renderChunk(""),
    ),
  "fails behind an interim head": (call) => {
    call.socket.write("HTTP/1.1 103 Early\r\n\r\n");
    sendError(call, 500);
  },
  "refuses": (call) =>
    sendError(call, 503, {
      fields: { [ATTEMPT_ID]: call.attemptId, [NOT_RUN]: "1" },
    }),
  "refuses, with a seal": (call) =>
    sendError(call, 503, { fields: { ...call.answerHeaders, [NOT_RUN]: "1" } }),
  "is another one": (call) => sendError(call, 421),
  "redirects": (call) => sendError(call, 302),
  "finds nothing": (call) => sendError(call, 404),
  "has no content": (call) =>
    call.socket.write(renderStreamHead(call, {}, 204)),
  "has a partial success": (call) => sendEvents(call, { status: 206 }),
  "succeeds with text": (call) => sendError(call, 200),
  "succeeds with text and blank lines": (call) =>
    sendError(call, 200, { isBlocks: true }),
  "succeeds with JSON": (call) =>
    sendError(call, 200, {
      isBlocks: true,
      fields: { ...call.answerHeaders, "content-type": "application/json" },
    }),
  "succeeds with nothing": (call) =>
    call.socket.write(renderRawAnswer(call, { body: "" })),
  "has no event, with a length": (call) =>
    call.socket.write(renderStreamHead(call, { "content-length": "0" })),
  "has no event, in chunks": (call) =>
    call.socket.write(renderStreamHead(call, CHUNKED) + renderChunk("")),
  "has no event, without a length": (call) =>
    call.socket.end(renderStreamHead(call, CLOSING)),
  "has a comment alone": (call) => sendEvents(call, { text: ": error\n\n" }),
  "has an event for an error": (call) =>
    sendEvents(call, { text: `event: error\ndata: ${ERROR_TEXT}\n\n` }),
  "has an error's head for an event": (call) =>
    call.socket.end(renderStreamHead(call, CLOSING) + ERROR_HEAD + ERROR_TEXT),
  "has an error's head and text for events": (call) =>
    sendEvents(call, { text: `${ERROR_HEAD}${ERROR_TEXT}\n\n` }),
  "begins anew": (call) => sendEvents(call, { text: ALL_EVENTS }),
  "repeats the last event": (call) =>
    sendEvents(call, { text: renderEvents(3, EVENT_COUNT) }),
  "closes": (call) => call.socket.end(),
  "breaks off in its head": (call) => call.socket.end("HTTP/1.1 200 O"),
  "sends no answer": (call) => call.socket.end(`${ERROR_TEXT}\r\n\r\n`),
};

const { "is closed inside an event, without a length": anyBreak } = BREAKS;
const { "succeeds with text and blank lines": anyError } = ERRORS;

// Guards against the text of an error in the middle of a stream, and against a
// stream without its last events that looks complete.
for (const [name, sendNext] of Object.entries(ERRORS)) {
  test(`A stream that broke off ends there if the next target ${name}`, async (t) => {
    await checkStream(t, { sendFirst: anyBreak!, sendNext });
  });
}

for (const [name, sendFirst] of Object.entries(BREAKS)) {
  test(`A stream that ${name} ends there if the next target fails`, async (t) => {
    await checkStream(t, { sendFirst, sendNext: anyError! });
  });

  test(`A stream that ${name} is continued by the next target`, async (t) => {
    const sendNext = (call: RawCall) =>
      sendEvents(call, { text: renderEvents(4, EVENT_COUNT) });
    const answer = await checkStream(t, { sendFirst, sendNext });
    assert.equal(answer.body, ALL_EVENTS);
    assert.ok(answer.isComplete);
  });

  test(`A stream that ${name} looks incomplete if it isn't resumable`, async (t) => {
    const { answer, calls } = await callBroken(t, {
      path: "/live/",
      sendFirst,
    });
    assert.equal(calls, 1);
    assert.ok(BEGUN.startsWith(answer.body), answer.body);
    assert.ok(!answer.isComplete);
  });
}

// No event tells yet that the stream's events have ids.
for (
  const name of [
    "succeeds with text and blank lines",
    "succeeds with JSON",
    "has a partial success",
  ]
) {
  test(`A stream that broke off before its first event ends there if the next target ${name}`, async (t) => {
    const { answer, calls } = await callBroken(t, {
      path: "/stream/",
      sendFirst: (call) => call.socket.end(renderStreamHead(call, CHUNKED)),
      sendNext: ERRORS[name]!,
    });
    assert.equal(calls, 2);
    assert.equal(answer.body, "");
    assert.ok(!answer.isComplete);
  });
}

test("A stream without ids isn't continued", async (t) => {
  const event = "data: t\n\n";
  const { answer, calls } = await callBroken(t, {
    path: "/stream/",
    sendFirst: (call) =>
      call.socket.end(
        renderStreamHead(call, CHUNKED) + renderChunk(event.repeat(3)),
      ),
    sendNext: (call) => sendEvents(call, { text: event.repeat(EVENT_COUNT) }),
  });
  assert.equal(calls, 1);
  assert.equal(answer.body, event.repeat(3));
  assert.ok(!answer.isComplete);
});

interface BrokenStream {
  readonly sendFirst: Send;
  readonly sendNext?: Send;
}

/** Checks that a resumable stream is whole, or looks incomplete. */
async function checkStream(
  t: TestContext,
  stream: BrokenStream,
): Promise<CallAnswer> {
  const { answer, calls } = await callBroken(t, {
    path: "/stream/",
    ...stream,
  });
  assert.equal(calls, 2);
  const { status, isComplete } = answer;
  // A comment is no part of what the caller reads.
  const body = answer.body.replaceAll(/^: .*\n\n/gm, "");
  const shown = JSON.stringify({ status, body, isComplete });
  assert.ok(ALL_EVENTS.startsWith(body), shown);
  assert.ok(!isComplete || body === ALL_EVENTS, shown);
  return answer;
}

interface BrokenCall {
  readonly answer: CallAnswer;
  /** Number of targets that were called. */
  readonly calls: number;
}

/** Calls targets of which the first breaks off. */
async function callBroken(
  t: TestContext,
  { path, sendFirst, sendNext }: BrokenStream & { readonly path: string },
): Promise<BrokenCall> {
  const site = await startRawSite(t, { routeTimeoutMs: ROUTE_TIMEOUT_MS });
  let count = 0;
  const engines = await startRawEngines(t, site, (engineCall) => {
    if (!engineCall.path.startsWith(path)) {
      return void engineCall.socket.write(renderRawAnswer(engineCall));
    }
    count += 1;
    if (count === 1) return sendFirst(engineCall);
    sendNext?.(engineCall);
  });
  await waitForEngines(site, engines);
  const { answer } = await callNamed(site, path);
  assert.equal(answer.status, 200);
  return { answer, calls: count };
}

function renderChunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

function renderHead(status: number, fields: Fields): string {
  const lines = Object.entries(fields).map((line) => `${line.join(": ")}\r\n`);
  return `HTTP/1.1 ${status} Status\r\n${lines.join("")}\r\n`;
}

function renderStreamHead(
  { answerHeaders }: RawCall,
  fields: Fields,
  status = 200,
): string {
  const type = { "content-type": "text/event-stream" };
  return renderHead(status, { ...answerHeaders, ...type, ...fields });
}

function sendEvents(
  call: RawCall,
  { text = ALL_EVENTS, status = 200 }: {
    readonly text?: string;
    readonly status?: number;
  },
): void {
  call.socket.write(
    renderStreamHead(call, CHUNKED, status) + renderChunk(text) +
      renderChunk(""),
  );
}

function sendError(
  call: RawCall,
  status: number,
  { fields = call.answerHeaders, isBlocks = false }: {
    readonly fields?: Fields;
    /** Whether the text ends as an event does. */
    readonly isBlocks?: boolean;
  } = {},
): void {
  const body = isBlocks ? `${ERROR_TEXT}\n\n` : ERROR_TEXT;
  const head = renderHead(status, {
    "content-type": "text/plain",
    "content-length": String(body.length),
    ...fields,
  });
  call.socket.write(head + body);
}
