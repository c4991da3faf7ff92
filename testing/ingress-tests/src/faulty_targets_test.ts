/**
 * Random faults of targets, one after the other on connections that are kept:
 * answers that break off anywhere or come twice, refusals that are repeated, and
 * bytes that are no answer. Guards against faults that show only together.
 */

import { Random } from "@dandelionbank/message-queue";
import { HEADERS } from "@dandelionbank/platform-adapter";
import { createConfiguration, ROUTE, ROUTES } from "@dandelionbank/run-entry";
import type { RawCall } from "@dandelionbank/standin-site";
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import process from "node:process";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import {
  callRepeatedly,
  type NamedResult,
  nextId,
  startRawEngines,
  startRawSite,
} from "./raw_site.ts";

/** Another seed for runs by hand. */
const SEED = Number(process.env["DANDELIONBANK_TEST_SEED"] ?? 46);
const ROUTE_TIMEOUT_MS = 1_500;
const MAX_EVENTS = 12;
const MAX_BODY_BYTES = 3_000;
/** Longer than an answer that is kept until it is whole. */
const LONG_BODY_BYTES = 1_200_000;
const MAX_DELAY_MS = 20;
const CALLS = {
  callers: 12,
  callsPerCaller: 60,
  paths: ["/once/", "/safe/", "/live/", "/stream/"],
};
/** Status of an answer that follows one which broke off. */
const OTHER_STATUS = 500;
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const FRAMINGS = ["length", "chunked", "connection"] as const;
const FAULTS = ["cut", "cutHead", "garbage", "error", "refusal", "silence"];
const { attemptId: ATTEMPT_ID, answerSeal: SEAL, notRun: NOT_RUN } = HEADERS;

test(`Random faults of targets reach no caller as an answer (seed ${SEED})`, async (t) => {
  const site = await startRawSite(t, { routeTimeoutMs: ROUTE_TIMEOUT_MS });
  const targets = new FaultyTargets(Random.create(SEED));
  await startRawEngines(
    t,
    site,
    (engineCall) => void targets.answer(engineCall),
  );
  const routes = ROUTES.map((route) => ({
    ...route,
    "timeout_ms": ROUTE_TIMEOUT_MS,
    attempts: route.type === "non_idempotent" ? ROUTE.attempts : 3,
  }));
  site.store.put("config", "main", createConfiguration({ version: 2, routes }));
  const results = await callRepeatedly(site, CALLS);
  // A call that was refused must not run later either.
  await delay(MAX_DELAY_MS);
  t.diagnostic(targets.describe(results));
  for (const result of results) targets.check(result);
  assert.ok(site.entry.isRunning);
});

/** What a call is to be answered by any target that runs it to the end. */
function renderWhole(
  { attemptId, path }: Pick<NamedResult, "attemptId" | "path">,
) {
  const random = Random.create(Number(attemptId.slice(1)));
  if (path.startsWith("/live/") || path.startsWith("/stream/")) {
    return renderEvents(attemptId, 1, random.int(1, MAX_EVENTS));
  }
  const isLong = random.chance(0.03);
  const length = isLong ? LONG_BODY_BYTES : random.int(1, MAX_BODY_BYTES);
  let text = "";
  for (let line = 1; text.length < length; line++) {
    text += `${attemptId} ${line}\n`;
  }
  return text;
}

function renderEvents(attemptId: string, first: number, last: number): string {
  let text = "";
  for (let id = first; id <= last; id++) {
    text += `id: ${id}\ndata: ${attemptId} ${id}\n\n`;
  }
  return text;
}

class FaultyTargets {
  readonly #random: Random;
  readonly #runs = new Map<string, number>();
  readonly #statuses = new Map<string, number>();
  /** Bytes of earlier answers, which may be written again. */
  readonly #earlier = new WeakMap<Socket, string>();
  readonly #faults: Record<string, number> = {};

  constructor(random: Random) {
    this.#random = random;
  }

  check({ attemptId, path, answer }: NamedResult): void {
    const runs = this.#runs.get(attemptId) ?? 0;
    const whole = renderWhole({ attemptId, path });
    const shown = JSON.stringify({ attemptId, path, runs, answer, whole })
      .slice(0, 4_000);
    const isRepeatable = path.startsWith("/safe/") ||
      path.startsWith("/stream/");
    if (!isRepeatable) assert.ok(runs <= 1, shown);
    if (answer === undefined) return;
    const { status, body, isComplete, headers } = answer;
    if (NOT_RUN_STATUSES.has(status)) assert.equal(runs, 0, shown);
    const seal = headers[SEAL];
    if (status === 200) {
      assert.ok(whole.startsWith(body), shown);
      assert.ok(!isComplete || body === whole, shown);
      assert.equal(String(seal).split(" ")[0], attemptId, shown);
    } else if (seal !== undefined) {
      assert.equal(status, this.#statuses.get(String(seal)), shown);
    }
  }

  describe(results: readonly NamedResult[]): string {
    const statuses: Record<string, number> = {};
    for (const { answer } of results) {
      const status = `${answer?.status} ${answer?.isComplete ?? ""}`;
      statuses[status] = (statuses[status] ?? 0) + 1;
    }
    return JSON.stringify({ statuses, faults: this.#faults });
  }

  async answer(engineCall: RawCall): Promise<void> {
    const { path, socket, attemptId } = engineCall;
    const random = this.#random;
    await this.#writeEarlier(socket);
    const fault = random.chance(0.4) ? random.pick(FAULTS) : "none";
    this.#faults[fault] = (this.#faults[fault] ?? 0) + 1;
    if (fault === "refusal") {
      const status = random.pick([503, 429, 400]);
      const fields = { [ATTEMPT_ID]: attemptId, [NOT_RUN]: "1" };
      return this.#write(socket, renderAnswer({ status, fields, body: "" }));
    }
    this.#runs.set(attemptId, (this.#runs.get(attemptId) ?? 0) + 1);
    const seal = `${attemptId} ${nextId("seal")}`;
    const fields = { [ATTEMPT_ID]: attemptId, [SEAL]: seal };
    const status = fault === "error" ? random.pick([500, 504, 404, 302]) : 200;
    this.#statuses.set(seal, status);
    if (random.chance(0.5)) await delay(random.int(0, MAX_DELAY_MS));
    if (fault === "silence") return;
    if (fault === "garbage") return void socket.write("no answer\r\n\r\n");
    if (fault === "error") {
      const body = "internal error: out of memory\n\n";
      return this.#write(socket, renderAnswer({ status, fields, body }));
    }
    const from = Number(engineCall.headers["last-event-id"] ?? 0);
    const whole = renderWhole({ attemptId, path });
    const body = from > 0
      ? renderEvents(attemptId, from + 1, whole.split("\n\n").length - 1)
      : whole;
    const framing = random.pick(FRAMINGS);
    const text = renderAnswer({ status, fields, body, framing, path });
    if (fault === "none") {
      this.#write(socket, text);
      if (framing === "connection") socket.end();
      return;
    }
    const headEnd = text.indexOf("\r\n\r\n") + 4;
    const cutAt = fault === "cutHead"
      ? random.int(0, headEnd - 1)
      : random.int(headEnd, text.length - 1);
    socket.write(text.slice(0, cutAt));
    // The regular end of an answer without a length is its whole end.
    const isReset = framing === "connection" && fault === "cut";
    await delay(random.int(1, MAX_DELAY_MS));
    // Without a byte before it, the other answer is the target's own.
    if (cutAt === 0) this.#statuses.set(seal, OTHER_STATUS);
    const other = renderAnswer({
      status: OTHER_STATUS,
      fields,
      body: "error\n\n".repeat(MAX_BODY_BYTES),
    });
    // Fewer bytes of another answer can't be told from the answer's own.
    const isVisible = text.length - cutAt > other.indexOf("\r\n\r\n");
    if (isReset || random.chance(0.3)) socket.resetAndDestroy();
    else socket.end(isVisible && random.chance(0.5) ? other : "");
  }

  /** Writes an answer that may be written again, in part, before the next one. */
  #write(socket: Socket, text: string): void {
    socket.write(text);
    this.#earlier.set(socket, text);
  }

  async #writeEarlier(socket: Socket): Promise<void> {
    const earlier = this.#earlier.get(socket);
    this.#earlier.delete(socket);
    const random = this.#random;
    if (earlier === undefined || !random.chance(0.2)) return;
    this.#faults["earlier"] = (this.#faults["earlier"] ?? 0) + 1;
    const isCut = random.chance(0.5);
    socket.write(isCut ? earlier.slice(0, random.int(1, 400)) : earlier);
    await delay(random.int(0, MAX_DELAY_MS));
  }
}

function renderAnswer({ status, fields, body, framing = "length", path = "" }: {
  readonly status: number;
  readonly fields: Readonly<Record<string, string>>;
  readonly body: string;
  readonly framing?: typeof FRAMINGS[number];
  readonly path?: string;
}): string {
  const isStream = path.startsWith("/live/") || path.startsWith("/stream/");
  const all = {
    ...fields,
    "content-type": isStream ? "text/event-stream" : "text/plain",
    ...(framing === "length" ? { "content-length": `${body.length}` } : {}),
    ...(framing === "chunked" ? { "transfer-encoding": "chunked" } : {}),
  };
  const lines = Object.entries(all).map((line) => `${line.join(": ")}\r\n`);
  const head = `HTTP/1.1 ${status} Status\r\n${lines.join("")}\r\n`;
  if (framing !== "chunked") return head + body;
  const chunks = body.match(/[^]{1,700}/g) ?? [];
  const text = chunks.map((chunk) =>
    `${chunk.length.toString(16)}\r\n${chunk}\r\n`
  );
  return `${head}${text.join("")}0\r\n\r\n`;
}
