/**
 * Answers whose framing contradicts itself, and answers whose callers read slowly.
 * A caller must get the target's whole body, or see that it has not.
 */

import { Random } from "@dandelionbank/message-queue";
import {
  type CallAnswer,
  CALLER_KEY,
  ROUTE_HOST,
} from "@dandelionbank/run-entry";
import { HEADERS } from "@dandelionbank/platform-adapter";
import { renderRawAnswer, renderRawBody } from "@dandelionbank/standin-site";
import assert from "node:assert/strict";
import { request } from "node:http";
import { test } from "node:test";
import {
  callNamed,
  nextId,
  type RawSite,
  startRawEngines,
  startRawSite,
} from "./raw_site.ts";

const SEED = 44;
const ROUTE_TIMEOUT_MS = 400;
const PATHS = ["/safe/", "/once/", "/live/", "/stream/"];

const CHUNKED = "transfer-encoding: chunked\r\n";
const LENGTH_LINE = /content-length: (\d+)\r\n/;

interface OddFraming {
  readonly name: string;
  /** Replaces the line with the length; `$1` is the right one. */
  readonly fields: string;
  readonly renderBody?: (text: string) => string;
}

function renderChunks(text: string, size = text.length.toString(16)): string {
  return `${size}\r\n${text}\r\n0\r\n\r\n`;
}

const ODD_FRAMINGS: readonly OddFraming[] = [
  {
    name: "a length and chunks",
    fields: `content-length: $1\r\n${CHUNKED}`,
    renderBody: (text) => renderChunks(text),
  },
  {
    name: "chunks and a shorter length",
    fields: `${CHUNKED}content-length: 3\r\n`,
    renderBody: (text) => renderChunks(text),
  },
  {
    name: "two lengths, the first shorter",
    fields: "content-length: 3\r\ncontent-length: $1\r\n",
  },
  {
    name: "two lengths, the second shorter",
    fields: "content-length: $1\r\ncontent-length: 3\r\n",
  },
  { name: "a list of lengths", fields: "content-length: 3, $1\r\n" },
  { name: "a length with a sign", fields: "content-length: +3\r\n" },
  { name: "a negative length", fields: "content-length: -1\r\n" },
  { name: "a hexadecimal length", fields: "content-length: 0x3\r\n" },
  { name: "an empty length", fields: "content-length:\r\n" },
  {
    name: "a length that is too large to count",
    fields: "content-length: 18446744073709551619\r\n",
  },
  { name: "a folded length", fields: "content-length: 3\r\n $1\r\n" },
  { name: "a folded field", fields: "x-a: b\r\n content-length: 3\r\n" },
  {
    name: "a length behind a bare line feed",
    fields: "x-a: b\ncontent-length: 3\r\n",
  },
  {
    name: "chunked twice",
    fields: "transfer-encoding: chunked, chunked\r\n",
    renderBody: (text) => renderChunks(text),
  },
  {
    name: "chunked and then identity",
    fields: "transfer-encoding: chunked, identity\r\n",
    renderBody: (text) => renderChunks(text),
  },
  {
    name: "an unknown coding",
    fields: "transfer-encoding: x-chunked\r\n",
    renderBody: (text) => renderChunks(text),
  },
  ...["+3", "-3", "0x3", " 3", "3 ", "3;a=b", "", "g", "10000000000000003"].map(
    (size) => ({
      name: `a chunk of size ${JSON.stringify(size)}`,
      fields: CHUNKED,
      renderBody: (text: string) => renderChunks(text, size),
    }),
  ),
  {
    name: "a last chunk with a field that is a status line",
    fields: CHUNKED,
    renderBody: (text) =>
      renderChunks(text).slice(0, -2) + "HTTP/1.1 200 OK\r\n\r\n",
  },
];

test("An answer with contradictory framing is whole, or isn't taken", async (t) => {
  const site = await startRawSite(t, { routeTimeoutMs: ROUTE_TIMEOUT_MS });
  for (const { name, fields, renderBody } of ODD_FRAMINGS) {
    await t.test(name, async (t) => {
      await startRawEngines(t, site, (engineCall) => {
        const { socket } = engineCall;
        const text = renderRawBody(engineCall);
        const [head = ""] = renderRawAnswer(engineCall).split("\r\n\r\n");
        const odd = `${head}\r\n`.replace(LENGTH_LINE, fields);
        socket.write(`${odd}\r\n${renderBody?.(text) ?? text}`);
        setTimeout(() => socket.end(), 20);
      });
      const answers = await Promise.all(
        PATHS.map((path) => callNamed(site, path)),
      );
      for (const { attemptId, answer } of answers) {
        const { status, body, isComplete } = answer;
        if (status !== 200 || !isComplete) continue;
        assert.equal(body, renderRawBody({ attemptId }));
      }
      t.diagnostic(answers.map(({ answer }) => answer.status).join(" "));
      assert.ok(site.entry.isRunning);
    });
  }
});

/** An answer that is read slowly, in pieces of `PIECE`. */
const PIECE = `data: ${"x".repeat(16_000)}\n\n`;
const PIECE_COUNT = 100;
const SLOW_CALLS = 60;

const SLOW_FRAMINGS = {
  length: `content-length: ${PIECE.length * PIECE_COUNT}\r\n`,
  "length, then close": `connection: close\r\ncontent-length: ${
    PIECE.length * PIECE_COUNT
  }\r\n`,
  chunks: CHUNKED,
  "chunks, then close": `connection: close\r\n${CHUNKED}`,
  connection: "",
};

type SlowEnd = "whole" | "closed" | "reset" | "second answer";

test("Answers that are read slowly while their connections end are whole or cut", async (t) => {
  const site = await startRawSite(t, { routeTimeoutMs: 4_000 });
  const random = Random.create(SEED);
  const plans = new Map<string, { fields: string; end: SlowEnd; at: number }>();
  await startRawEngines(t, site, (engineCall) => {
    const { socket, path } = engineCall;
    const plan = plans.get(path);
    if (plan === undefined) {
      socket.write(renderRawAnswer(engineCall));
      return;
    }
    const { fields, end, at } = plan;
    const [head = ""] = renderRawAnswer(engineCall).split("\r\n\r\n");
    socket.write(`${head}\r\n`.replace(LENGTH_LINE, fields) + "\r\n");
    const size = PIECE.length.toString(16);
    const isChunked = fields.includes(CHUNKED);
    const piece = isChunked ? `${size}\r\n${PIECE}\r\n` : PIECE;
    const isWhole = end === "whole" || end === "second answer";
    const isUnframed = fields === "";
    let count = 0;
    const timer = setInterval(() => {
      const batch = Math.min(2, (isWhole ? PIECE_COUNT : at) - count);
      socket.write(piece.repeat(batch));
      count += batch;
      if (batch > 0) return;
      clearInterval(timer);
      if (end === "reset") return void socket.resetAndDestroy();
      if (end === "closed") return void socket.end();
      if (isChunked) socket.write("0\r\n\r\n");
      if (isUnframed) socket.end();
      else if (end === "second answer") {
        socket.write(renderRawAnswer(engineCall));
      }
    }, 1);
    socket.once("close", () => clearInterval(timer));
  });
  const ends: readonly SlowEnd[] = [
    "whole",
    "closed",
    "reset",
    "second answer",
  ];
  const calls = Array.from({ length: SLOW_CALLS }, async () => {
    const path = random.pick(PATHS) + nextId("a");
    const framing = random.pick(Object.keys(SLOW_FRAMINGS));
    const fields = SLOW_FRAMINGS[framing as keyof typeof SLOW_FRAMINGS];
    const end = random.pick(ends);
    plans.set(path, { fields, end, at: random.int(1, PIECE_COUNT - 1) });
    const read = await readSlowly(site, path, random.int(1, 10));
    return { framing, end, ...read };
  });
  const counts = { whole: 0, cut: 0 };
  for (
    const { framing, end, status, body, isComplete } of await Promise.all(calls)
  ) {
    const shown = JSON.stringify({ framing, end, status, bytes: body.length });
    const isWhole = body === PIECE.repeat(PIECE_COUNT);
    // Only a close can end a whole answer and one that breaks off alike.
    const isAmbiguous = framing === "connection" && end === "closed";
    if (status === 200 && isComplete && !isAmbiguous) assert.ok(isWhole, shown);
    counts[isWhole ? "whole" : "cut"] += 1;
  }
  t.diagnostic(JSON.stringify(counts));
  assert.ok(site.entry.isRunning);
  assert.ok(counts.whole > 5 && counts.cut > 5);
});

/** Calls, and pauses for some milliseconds after each piece of the answer. */
function readSlowly(
  { entry }: RawSite,
  path: string,
  pauseMs: number,
): Promise<Pick<CallAnswer, "status" | "body" | "isComplete">> {
  const { host, port } = entry.settings.callers!;
  return new Promise((resolve) => {
    const outgoing = request({
      host,
      port,
      path,
      method: "POST",
      agent: false,
      headers: {
        host: ROUTE_HOST,
        [HEADERS.attemptId]: path.split("/").pop()!,
        [HEADERS.credential]: CALLER_KEY,
      },
    }, (response) => {
      let body = "";
      const settle = (isComplete: boolean) =>
        resolve({ status: response.statusCode ?? 0, body, isComplete });
      response.on("data", (chunk) => {
        body += String(chunk);
        response.pause();
        setTimeout(() => response.resume(), pauseMs);
      });
      response.on("end", () => settle(response.complete));
      response.on("error", () => settle(false));
    });
    outgoing.on(
      "error",
      () => resolve({ status: 0, body: "", isComplete: false }),
    );
    outgoing.end();
  });
}
