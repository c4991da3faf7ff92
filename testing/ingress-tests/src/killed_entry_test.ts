/**
 * Entry processes that end while answers are on their way. What a caller has got
 * by then must not look like a complete answer, unless it is one.
 */

import { Random } from "@dandelionbank/message-queue";
import { HEADERS } from "@dandelionbank/platform-adapter";
import {
  CALLER_KEY,
  type EntryProgram,
  ROUTE_HOST,
} from "@dandelionbank/run-entry";
import { type RawCall, renderRawAnswer } from "@dandelionbank/standin-site";
import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import {
  nextId,
  type RawSite,
  startRawEngines,
  startRawSite,
} from "./raw_site.ts";

const SEED = 44;
/** An answer is written in pieces, for longer than the entry lives. */
const PIECE_COUNT = 60;
const PIECE_INTERVAL_MS = 40;
const ROUTE_TIMEOUT_MS = 4_000;
const MAX_LIFE_MS = 800;
/** Cut answers without which the rounds would show nothing. */
const MIN_CUT = 10;
/** On a slow machine few answers begin before the entry of a round ends. */
const MAX_ROUNDS = 8;

const EVENT = `data: ${"x".repeat(90)}\n\n`;
/** Plain answers are buffered up to a mebibyte, so some are longer. */
const PIECES = { short: EVENT, long: EVENT.repeat(250) };
const FRAMINGS = ["length", "chunked", "connection"] as const;
const VERSIONS = ["HTTP/1.1", "HTTP/1.0"] as const;
const PATHS = ["/live/", "/stream/", "/safe/", "/once/"];
const CONNECTIONS = ["keep-alive", "close"];

interface CallForm {
  readonly version: typeof VERSIONS[number];
  readonly connection: string;
  readonly path: string;
  readonly framing: typeof FRAMINGS[number];
  readonly size: keyof typeof PIECES;
  readonly isSlow: boolean;
}

interface RawResult {
  readonly form: CallForm;
  readonly bytes: string;
  readonly end: "closed" | "reset";
}

for (const signal of ["SIGKILL", "SIGABRT", "SIGTERM"] as const) {
  test(`No answer that is cut when its entry ends by ${signal} looks complete`, async (t) => {
    const random = Random.create(SEED);
    const site = await startRawSite(t, {
      routeTimeoutMs: ROUTE_TIMEOUT_MS,
      graceS: 1,
    });
    const counts = { none: 0, cut: 0, whole: 0 };
    const deceptive: CallForm[] = [];
    for (let round = 0; round < MAX_ROUNDS; round++) {
      if (counts.cut >= MIN_CUT) break;
      if (!site.entry.isRunning) await site.entry.start();
      const results = await runRound(t, site, { signal, random });
      for (const { result, state } of results) {
        counts[state] += 1;
        const { form, bytes } = result;
        if (state === "whole" && readBody(bytes) !== wholeBody(form)) {
          deceptive.push(form);
        }
      }
    }
    t.diagnostic(JSON.stringify(counts));
    assert.deepEqual(deceptive, []);
    assert.ok(counts.cut >= MIN_CUT);
  });
}

/** Ends the entry while answers are on their way, and returns what callers got. */
async function runRound(
  t: TestContext,
  site: RawSite,
  { signal, random }: {
    readonly signal: NodeJS.Signals;
    readonly random: Random;
  },
) {
  const { entry } = site;
  const engines = await startRawEngines(t, site, answerInPieces);
  const calls = createForms(random).map(async (form) => {
    await delay(random.int(0, MAX_LIFE_MS));
    return await callRaw(entry, { form, attemptId: nextId("a") });
  });
  await delay(MAX_LIFE_MS);
  await entry.stop(signal);
  const results = await Promise.all(calls);
  for (const { id } of engines) site.store.remove("servers", id);
  return results.map((result) => ({ result, state: readState(result) }));
}

function createForms(random: Random): readonly CallForm[] {
  const forms = VERSIONS.flatMap((version) =>
    PATHS.flatMap((path) =>
      FRAMINGS.flatMap((framing) =>
        CONNECTIONS.map((connection): CallForm => ({
          version,
          path,
          framing,
          connection,
          size: random.pick(["short", "long"]),
          isSlow: random.chance(0.3),
        }))
      )
    )
  );
  return [...forms, ...forms];
}

function wholeBody({ size }: Pick<CallForm, "size">): string {
  return PIECES[size].repeat(PIECE_COUNT);
}

const HEAD_END = "\r\n\r\n";

/** What a caller takes the bytes for that it got on its connection. */
function readState({ bytes, end }: RawResult): "none" | "cut" | "whole" {
  const headEnd = bytes.indexOf(HEAD_END);
  if (headEnd < 0) return "none";
  const head = bytes.slice(0, headEnd).toLowerCase();
  const status = Number(head.split(" ")[1]);
  // These say themselves that the answer is not the target's.
  if (status >= 500) return "none";
  const body = bytes.slice(headEnd + HEAD_END.length);
  const length = /\r\ncontent-length: (\d+)/.exec(head)?.[1];
  if (head.includes("transfer-encoding: chunked")) {
    return body.endsWith("\r\n0\r\n\r\n") ? "whole" : "cut";
  }
  if (length !== undefined) {
    return body.length < Number(length) ? "cut" : "whole";
  }
  return end === "closed" ? "whole" : "cut";
}

function readBody(bytes: string): string {
  const headEnd = bytes.indexOf(HEAD_END);
  const body = bytes.slice(headEnd + HEAD_END.length);
  if (!/transfer-encoding: chunked/i.test(bytes.slice(0, headEnd))) return body;
  let text = "";
  for (let at = 0; at < body.length;) {
    const sizeEnd = body.indexOf("\r\n", at);
    const size = Number.parseInt(body.slice(at, sizeEnd), 16);
    text += body.slice(sizeEnd + 2, sizeEnd + 2 + size);
    at = sizeEnd + 2 + size + 2;
  }
  return text;
}

function callRaw(
  { settings }: EntryProgram,
  { form, attemptId }: { readonly form: CallForm; readonly attemptId: string },
): Promise<RawResult> {
  const { version, connection, path, framing, size, isSlow } = form;
  const { host, port } = settings.callers!;
  const socket = connect(port, host);
  const lines = [
    `POST ${path}${framing}/${size}/${attemptId} ${version}`,
    `host: ${ROUTE_HOST}`,
    `${HEADERS.attemptId}: ${attemptId}`,
    `${HEADERS.credential}: ${CALLER_KEY}`,
    `connection: ${connection}`,
    "content-length: 0",
  ];
  socket.write(lines.join("\r\n") + HEAD_END);
  return readToEnd(socket, isSlow).then((read) => ({ form, ...read }));
}

function readToEnd(
  socket: Socket,
  isSlow: boolean,
): Promise<Pick<RawResult, "bytes" | "end">> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    const settle = (end: RawResult["end"]) =>
      resolve({ bytes: Buffer.concat(chunks).toString("latin1"), end });
    socket.on("data", (chunk: Buffer) => {
      chunks.push(chunk);
      if (!isSlow) return;
      socket.pause();
      setTimeout(() => socket.resume(), 20);
    });
    socket.on("error", () => settle("reset"));
    socket.on("end", () => settle("closed"));
  });
}

/** Answers a call piece by piece, with the framing and size of its path. */
function answerInPieces(call: RawCall): void {
  const { socket, path } = call;
  const [framing = "length", size = "short"] = path.split("/").slice(2) as [
    CallForm["framing"]?,
    CallForm["size"]?,
  ];
  const piece = PIECES[size];
  const head = renderRawAnswer(call, { body: "" }).replace(
    "content-length: 0\r\n",
    {
      length: `content-length: ${piece.length * PIECE_COUNT}\r\n`,
      chunked: "transfer-encoding: chunked\r\n",
      connection: "connection: close\r\n",
    }[framing],
  );
  socket.write(head);
  let count = 0;
  const timer = setInterval(() => {
    count += 1;
    const chunk = `${piece.length.toString(16)}\r\n${piece}\r\n`;
    socket.write(framing === "chunked" ? chunk : piece);
    if (count < PIECE_COUNT) return;
    clearInterval(timer);
    if (framing === "chunked") socket.write("0\r\n\r\n");
    if (framing === "connection") socket.end();
  }, PIECE_INTERVAL_MS);
  socket.on("close", () => clearInterval(timer));
}
