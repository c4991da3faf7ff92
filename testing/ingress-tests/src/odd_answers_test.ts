/**
 * Answers whose framing contradicts itself, and answers whose callers read slowly.
 * A caller must get the target's whole body, or see that it has not.
 */

import { call, type CallAnswer } from "@dandelionbank/run-entry";
import { HEADERS } from "@dandelionbank/platform-adapter";
import { renderRawAnswer, renderRawBody } from "@dandelionbank/standin-site";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  nextId,
  type RawSite,
  startRawEngines,
  startRawSite,
} from "./raw_site.ts";

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

async function callNamed(
  { entry }: RawSite,
  path: string,
): Promise<{ readonly attemptId: string; readonly answer: CallAnswer }> {
  const attemptId = nextId("a");
  const headers = { [HEADERS.attemptId]: attemptId };
  const answer = await call(entry, { path: `${path}${attemptId}`, headers });
  return { attemptId, answer };
}
