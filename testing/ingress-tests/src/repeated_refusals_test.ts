/**
 * Targets that write an earlier refusal once more, when their connection serves
 * the next call. "Not run" must be true, and a call that may run must not run at
 * a second target.
 */

import { Random } from "@dandelionbank/message-queue";
import { HEADERS } from "@dandelionbank/platform-adapter";
import {
  type RawCall,
  renderRawAnswer,
  renderRawBody,
} from "@dandelionbank/standin-site";
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import {
  callRepeatedly,
  type NamedResult,
  type RawSite,
  startRawEngines,
  startRawSite,
} from "./raw_site.ts";

const SEED = 46;
const ROUTE_TIMEOUT_MS = 400;
const CALLS = {
  callers: 8,
  callsPerCaller: 24,
  paths: ["/once/", "/safe/", "/live/", "/stream/"],
};
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Repeated refusals in each test, without which it would show nothing. */
const MIN_REPEATED = 20;
/** Time from the repeated refusal to the call's own answer. */
const MAX_GAP_MS = 30;
const { attemptId: ATTEMPT_ID, notRun: NOT_RUN } = HEADERS;
const EVENT = "id: 1\ndata: t\n\n";

interface Form {
  /** Renders the earlier refusal, in place of the same bytes. */
  readonly repeat?: (refusal: string, random: Random) => string;
  readonly status?: number;
  /** Whether the target answers the call itself after that. */
  readonly isAnswered?: boolean;
}

const FORMS: Readonly<Record<string, Form>> = {
  "with status 503": {},
  "with status 429": { status: 429 },
  // A target that answers 421 at first gets no further calls.
  "with status 421": { repeat: (refusal) => refusal.replace("503", "421") },
  "with status 400": { status: 400 },
  "in place of the call's own answer": { isAnswered: false },
  "twice": { repeat: (refusal) => refusal + refusal },
  "without an attempt id": {
    repeat: (refusal) => refusal.replace(/x-[a-z-]*attempt-id: .*\r\n/i, ""),
  },
  "without a length": {
    repeat: (refusal) => refusal.replace(/content-length: .*\r\n/i, ""),
  },
  "behind an interim head": {
    repeat: (refusal) => `HTTP/1.1 103 Early\r\n\r\n${refusal}`,
  },
  "behind blank lines": { repeat: (refusal) => `\r\n\r\n${refusal}` },
  "cut anywhere": {
    repeat: (refusal, random) =>
      refusal.slice(0, random.int(1, refusal.length)),
  },
  "cut behind a line": {
    repeat: (refusal, random) => {
      const lines = refusal.split("\r\n").slice(0, -2);
      return lines.slice(0, random.int(1, lines.length)).join("\r\n") + "\r\n";
    },
  },
};

for (const [name, form] of Object.entries(FORMS)) {
  test(`A refusal that is repeated ${name} is no answer to the next call`, async (t) => {
    const site = await startRawSite(t, { routeTimeoutMs: ROUTE_TIMEOUT_MS });
    const engines = await RefusingEngines.start(t, { site, form });
    const results = await callRepeatedly(site, CALLS);
    // A call that was refused must not run later either.
    await delay(MAX_GAP_MS);
    t.diagnostic(engines.describe(results));
    for (const result of results) engines.check(result);
    engines.checkRepeated();
    assert.ok(site.entry.isRunning);
  });
}

/** Engines that refuse some calls, and write each refusal once more. */
class RefusingEngines {
  readonly #form: Form;
  readonly #random = Random.create(SEED);
  readonly #refusals = new WeakMap<Socket, string>();
  /** Number of runs by attempt id. */
  readonly #runs = new Map<string, number>();
  #repeatedCount = 0;

  private constructor(form: Form) {
    this.#form = form;
  }

  static async start(
    t: TestContext,
    { site, form }: { readonly site: RawSite; readonly form: Form },
  ): Promise<RefusingEngines> {
    const refusing = new RefusingEngines(form);
    await startRawEngines(
      t,
      site,
      (engineCall) => void refusing.#answer(engineCall),
    );
    return refusing;
  }

  check({ attemptId, path, answer }: NamedResult): void {
    const runs = this.#runs.get(attemptId) ?? 0;
    const shown = JSON.stringify({ path, runs, answer });
    const isRepeatable = path.startsWith("/safe/") ||
      path.startsWith("/stream/");
    if (!isRepeatable) assert.ok(runs <= 1, shown);
    if (answer === undefined) return;
    const { status, body, isComplete } = answer;
    if (NOT_RUN_STATUSES.has(status)) assert.equal(runs, 0, shown);
    if (status !== 200 || !isComplete) return;
    assert.ok([EVENT, renderRawBody({ attemptId })].includes(body), shown);
  }

  checkRepeated(): void {
    assert.ok(this.#repeatedCount >= MIN_REPEATED, `${this.#repeatedCount}`);
  }

  describe(results: readonly NamedResult[]): string {
    const statuses: Record<string, number> = {};
    for (const { answer } of results) {
      const status = String(answer?.status);
      statuses[status] = (statuses[status] ?? 0) + 1;
    }
    return `${this.#repeatedCount} repeated, ${JSON.stringify(statuses)}`;
  }

  async #answer(engineCall: RawCall): Promise<void> {
    const { attemptId, path, socket } = engineCall;
    const { repeat, status = 503, isAnswered = true } = this.#form;
    const refusal = this.#refusals.get(socket);
    if (refusal === undefined && this.#random.chance(0.5)) {
      const headers = { [ATTEMPT_ID]: attemptId, [NOT_RUN]: "1" };
      const text = renderRawAnswer(engineCall, { status, headers, body: "" });
      this.#refusals.set(socket, text);
      socket.write(text);
      return;
    }
    this.#runs.set(attemptId, (this.#runs.get(attemptId) ?? 0) + 1);
    if (refusal !== undefined) {
      this.#refusals.delete(socket);
      this.#repeatedCount += 1;
      socket.write(repeat?.(refusal, this.#random) ?? refusal);
      if (!isAnswered) return;
      await delay(this.#random.int(0, MAX_GAP_MS));
    }
    const isStream = path.startsWith("/live/") || path.startsWith("/stream/");
    socket.write(renderRawAnswer(engineCall, isStream ? { body: EVENT } : {}));
  }
}
