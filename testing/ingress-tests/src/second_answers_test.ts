/**
 * Targets that answer a call a second time, late: when their connection serves
 * the next call. A caller must get the answer to its own call, whole, or none.
 */

import { Random } from "@dandelionbank/message-queue";
import { HEADERS } from "@dandelionbank/platform-adapter";
import { call, type CallAnswer } from "@dandelionbank/run-entry";
import {
  type RawCall,
  type RawEngine,
  renderRawAnswer,
  renderRawBody,
} from "@dandelionbank/standin-site";
import assert from "node:assert/strict";
import { Agent } from "node:http";
import type { Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import {
  nextId,
  type RawSite,
  startRawEngines,
  startRawSite,
} from "./raw_site.ts";

const SEED = 44;
const CALLER_COUNT = 8;
const CALLS_PER_CALLER = 12;
const ROUTE_TIMEOUT_MS = 400;
/** Second answers in each test, without which it would show nothing. */
const MIN_LATE = 20;
/** Time from the second answer to the next call's own answer. */
const MAX_GAP_MS = 4;

interface SecondAnswer {
  readonly name: string;
  readonly method?: string;
  /** The first answer, if it isn't a whole one with status 200. */
  readonly renderFirst?: (call: RawCall) => string;
  /** The late bytes, written when the next call has arrived. */
  readonly renderSecond: (call: RawCall, random: Random) => string;
}

const NO_BODY = { body: "" };
const { attemptId: ATTEMPT_ID, answerSeal: SEAL, notRun: NOT_RUN } = HEADERS;

function withoutId(call: RawCall): Readonly<Record<string, string>> {
  return { [SEAL]: call.answerHeaders[SEAL]! };
}

function cutAnywhere(text: string, random: Random): string {
  return text.slice(0, random.int(1, text.length - 1));
}

function renderBodiless(call: RawCall, status: number): string {
  const lines = Object.entries(call.answerHeaders).map((line) =>
    `${line.join(": ")}\r\n`
  );
  return `HTTP/1.1 ${status} Status\r\n${lines.join("")}\r\n`;
}

function renderChunked(call: RawCall, fields = ""): string {
  const text = renderRawBody(call);
  const head = renderBodiless(call, 200).slice(0, -2);
  const size = text.length.toString(16);
  return `${head}transfer-encoding: chunked\r\n${fields}\r\n${size}\r\n${text}\r\n0\r\n\r\n`;
}

const SECOND_ANSWERS: readonly SecondAnswer[] = [
  {
    name: "whole, behind an answer with status 204",
    renderFirst: (call) => renderBodiless(call, 204),
    renderSecond: (call) => renderRawAnswer(call),
  },
  {
    name: "with status 204, behind another one",
    renderFirst: (call) => renderBodiless(call, 204),
    renderSecond: (call) => renderBodiless(call, 204),
  },
  {
    name: "the body that an answer with status 204 may not have",
    renderFirst: (call) => renderBodiless(call, 204),
    renderSecond: (call) => renderRawBody(call),
  },
  {
    name: "whole, behind an answer with status 304",
    renderFirst: (call) => renderBodiless(call, 304),
    renderSecond: (call) => renderRawAnswer(call),
  },
  {
    name: "whole, behind the answer to a HEAD",
    method: "HEAD",
    renderFirst: (call) =>
      renderRawAnswer(call).slice(0, -renderRawBody(call).length),
    renderSecond: (call) => renderRawAnswer(call),
  },
  {
    name: "the body that the answer to a HEAD may not have",
    method: "HEAD",
    renderSecond: (call) => renderRawAnswer(call),
  },
  {
    name: "without an attempt id",
    renderSecond: (call) => renderRawAnswer(call, { headers: withoutId(call) }),
  },
  {
    name: "without an attempt id, an error",
    renderSecond: (call) =>
      renderRawAnswer(call, { status: 500, headers: withoutId(call) }),
  },
  {
    name: "without an attempt id, a refusal",
    renderSecond: (call) =>
      renderRawAnswer(call, {
        status: 503,
        headers: { [NOT_RUN]: "1" },
        ...NO_BODY,
      }),
  },
  {
    name: "a refusal",
    renderSecond: (call) =>
      renderRawAnswer(call, {
        status: 503,
        headers: { [ATTEMPT_ID]: call.attemptId, [NOT_RUN]: "1" },
        ...NO_BODY,
      }),
  },
  {
    name: "an interim head and a whole one",
    renderSecond: (call) =>
      `HTTP/1.1 103 Early\r\nlink: </a>\r\n\r\n${renderRawAnswer(call)}`,
  },
  {
    name: "an interim head with the attempt id alone",
    renderSecond: (call) => renderBodiless(call, 103),
  },
  {
    name: "status 101",
    renderSecond: () =>
      "HTTP/1.1 101 Switching\r\nupgrade: a\r\nconnection: upgrade\r\n\r\n",
  },
  {
    name: "cut anywhere",
    renderSecond: (call, random) => cutAnywhere(renderRawAnswer(call), random),
  },
  {
    name: "cut anywhere in the first line",
    renderSecond: (call, random) =>
      cutAnywhere(renderRawAnswer(call).split("\r\n")[0]!, random),
  },
  {
    name: "cut anywhere, without an attempt id",
    renderSecond: (call, random) =>
      cutAnywhere(renderRawAnswer(call, { headers: withoutId(call) }), random),
  },
  {
    name: "cut anywhere, with other fields first",
    renderSecond: (_, random) =>
      cutAnywhere(
        `HTTP/1.1 200 OK\r\ndate: ${
          new Date(0).toUTCString()
        }\r\nserver: a\r\n`,
        random,
      ),
  },
  {
    name: "chunked, cut anywhere",
    renderSecond: (call, random) => cutAnywhere(renderChunked(call), random),
  },
];

test("A late second answer reaches no caller", async (t) => {
  const site = await startRawSite(t, {
    routeTimeoutMs: ROUTE_TIMEOUT_MS,
  });
  for (const form of SECOND_ANSWERS) {
    await t.test(form.name, async (t) => {
      const random = Random.create(SEED);
      const stuttering = await Stuttering.start(t, { site, form, random });
      const results = await callRepeatedly(site, form);
      t.diagnostic(stuttering.describe(results));
      // A connection isn't reused after a HEAD.
      if (form.method !== "HEAD") stuttering.checkReuse();
      for (const result of results) stuttering.check(result);
      assert.ok(site.entry.isRunning);
    });
  }
});

interface Result {
  readonly attemptId: string;
  readonly path: string;
  readonly answer: CallAnswer | undefined;
}

/** Engines that answer each call a second time, as their connection is reused. */
class Stuttering {
  readonly #engines: readonly RawEngine[];
  readonly #statuses = new Map<string, number>();
  readonly #late = new WeakMap<Socket, string>();
  #lateCount = 0;

  private constructor(engines: readonly RawEngine[]) {
    this.#engines = engines;
  }

  static async start(
    t: TestContext,
    { site, form, random }: {
      readonly site: RawSite;
      readonly form: SecondAnswer;
      readonly random: Random;
    },
  ): Promise<Stuttering> {
    const engines: RawEngine[] = [];
    const stuttering = new Stuttering(engines);
    engines.push(
      ...await startRawEngines(
        t,
        site,
        (call) => void stuttering.#answer(call, { form, random }),
      ),
    );
    return stuttering;
  }

  checkReuse(): void {
    assert.ok(this.#lateCount >= MIN_LATE, `${this.#lateCount} late`);
  }

  check({ attemptId, path, answer }: Result): void {
    if (answer === undefined) return;
    const { status, headers, body, isComplete } = answer;
    const shown = JSON.stringify({ path, status, headers, body, isComplete });
    const runs = this.#listRuns(attemptId);
    const runSeals = runs.map(({ answerHeaders }) => answerHeaders[SEAL]);
    const seal = headers[SEAL];
    if (seal !== undefined) {
      assert.ok(runSeals.includes(String(seal)), shown);
      assert.equal(status, this.#statuses.get(String(seal)), shown);
    } else {
      assert.ok(status >= 500, shown);
    }
    if (status === 200 && isComplete) {
      assert.ok(["", renderRawBody({ attemptId })].includes(body), shown);
    }
    if (status === 503) assert.equal(runs.length, 0, shown);
    if (path.startsWith("/once/")) assert.ok(runs.length <= 1, shown);
  }

  describe(results: readonly Result[]): string {
    const counts = new Map<string, number>();
    for (const { answer } of results) {
      const status = String(answer?.status);
      counts.set(status, (counts.get(status) ?? 0) + 1);
    }
    return `${this.#lateCount} late, ${JSON.stringify([...counts])}`;
  }

  #listRuns(attemptId: string): readonly RawCall[] {
    return this.#engines.flatMap(({ calls }) => calls)
      .filter((engineCall) => engineCall.attemptId === attemptId);
  }

  async #answer(
    engineCall: RawCall,
    { form, random }: {
      readonly form: SecondAnswer;
      readonly random: Random;
    },
  ): Promise<void> {
    const { socket, answerHeaders } = engineCall;
    const late = this.#late.get(socket);
    this.#late.set(socket, form.renderSecond(engineCall, random));
    if (late !== undefined) {
      this.#lateCount += 1;
      socket.write(late);
      await delay(random.int(0, MAX_GAP_MS));
    }
    const first = form.renderFirst?.(engineCall) ??
      renderRawAnswer(engineCall, { status: random.chance(0.3) ? 500 : 200 });
    this.#statuses.set(answerHeaders[SEAL]!, Number(first.split(" ")[1]));
    socket.write(first);
  }
}

async function callRepeatedly(
  { entry }: RawSite,
  { method = "POST" }: SecondAnswer,
): Promise<readonly Result[]> {
  const callers = Array.from({ length: CALLER_COUNT }, async () => {
    const agent = new Agent({ keepAlive: true });
    const results: Result[] = [];
    for (let index = 0; index < CALLS_PER_CALLER; index++) {
      const attemptId = nextId("a");
      // Calls that are alike may be quarantined for crashing their targets.
      const path = `${index % 2 === 0 ? "/safe/" : "/once/"}${attemptId}`;
      const headers = { [ATTEMPT_ID]: attemptId };
      const body = method === "HEAD" ? "" : "x";
      const answer = await call(entry, { path, method, body, headers, agent })
        .catch(() => undefined);
      results.push({ attemptId, path, answer });
    }
    agent.destroy();
    return results;
  });
  return (await Promise.all(callers)).flat();
}
