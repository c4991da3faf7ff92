/**
 * Targets that answer a call a second time, late: when their connection serves
 * the next call. A caller must get the answer to its own call, whole, or none.
 */

import { Random } from "@dandelionbank/message-queue";
import { HEADERS } from "@dandelionbank/platform-adapter";
import { call, createConfiguration, waitFor } from "@dandelionbank/run-entry";
import {
  type RawCall,
  RawEngine,
  renderRawAnswer,
  renderRawBody,
} from "@dandelionbank/standin-site";
import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import {
  callRepeatedly,
  type NamedResult,
  nextId,
  type RawSite,
  sendRawCall,
  startRawEngines,
  startRawSite,
} from "./raw_site.ts";

const SEED = 44;
const CALLS_PER_CALLER = 12;
const CALLS = {
  callers: 8,
  callsPerCaller: CALLS_PER_CALLER,
  paths: ["/safe/", "/once/"],
};
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
      const results = await callRepeatedly(site, {
        ...CALLS,
        method: form.method ?? "POST",
      });
      t.diagnostic(stuttering.describe(results));
      // A connection isn't reused after a HEAD.
      if (form.method !== "HEAD") stuttering.checkReuse();
      for (const result of results) stuttering.check(result);
      assert.ok(site.entry.isRunning);
    });
  }
});

/** Ways in which the entry itself ends a target's answer. */
const ENDED_EARLY: Readonly<
  Record<string, { readonly path: string; readonly render: RenderPart }>
> = {
  "cancelled by its caller": {
    path: "/live/",
    render: (call) => `${renderHead(call, 1_000)}data: a\n\n`,
  },
  "cancelled by its caller while it is paused": {
    path: "/live/",
    render: (call) => renderHead(call, 1e9) + LONG_STREAM,
  },
  "cut for the size of its event": {
    path: "/live/",
    render: (call) => renderHead(call, 1e9) + "x".repeat(2_000_000),
  },
  "cut at the route's timeout": {
    path: "/once/",
    render: (call) => renderHead(call, 1_000),
  },
};

type RenderPart = (call: RawCall) => string;

const LONG_STREAM = `data: ${"x".repeat(1_000)}\n\n`.repeat(8_000);

function renderHead(call: RawCall, lengthBytes: number): string {
  return renderBodiless(call, 200).slice(0, -2) +
    `content-length: ${lengthBytes}\r\n\r\n`;
}

for (const [name, { path, render }] of Object.entries(ENDED_EARLY)) {
  test(`No answer follows on the connection of one that was ${name}`, async (t) => {
    const site = await startRawSite(t, { routeTimeoutMs: ROUTE_TIMEOUT_MS });
    const sockets = new Set<Socket>();
    await startRawEngines(t, site, (engineCall) => {
      const { socket } = engineCall;
      if (!engineCall.path.startsWith(path)) {
        socket.write(renderRawAnswer(engineCall));
        return;
      }
      sockets.add(socket);
      socket.write(render(engineCall));
      // Its second answer comes once the entry has ended the first one.
      socket.once("close", () => sockets.delete(socket));
      setTimeout(() => socket.write(renderRawAnswer(engineCall)), 50);
    });
    for (let index = 0; index < CALLS_PER_CALLER; index++) {
      const ended = sendRawCall(site, path + nextId("a"));
      await delay(20);
      if (name.startsWith("cancelled")) ended.destroy();
      const attemptId = nextId("a");
      const { status, body } = await call(site.entry, {
        path: `/safe/${attemptId}`,
        headers: { [ATTEMPT_ID]: attemptId },
      });
      if (status === 200) assert.equal(body, renderRawBody({ attemptId }));
    }
    await waitFor(() => sockets.size === 0);
    assert.ok(site.entry.isRunning);
  });
}

test("A target that answers before it has read a long body gets the rest of it", async (t) => {
  const site = await startRawSite(t, { routeTimeoutMs: ROUTE_TIMEOUT_MS });
  const heads: string[] = [];
  const server = createServer((socket) => {
    let bytes = "";
    let dueBytes = 0;
    socket.on("error", () => undefined);
    const read = (chunk: Buffer) => {
      bytes += chunk.toString("latin1");
      for (;;) {
        const skipped = Math.min(dueBytes, bytes.length);
        assert.equal(bytes.slice(0, skipped), "b".repeat(skipped));
        bytes = bytes.slice(skipped);
        dueBytes -= skipped;
        const headEnd = bytes.indexOf("\r\n\r\n");
        if (dueBytes > 0 || headEnd < 0) return;
        const head = bytes.slice(0, headEnd);
        heads.push(head);
        bytes = bytes.slice(headEnd + 4);
        dueBytes = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
        const attemptId = /attempt-id: (\S+)/i.exec(head)?.[1] ?? "";
        const answerHeaders = { [ATTEMPT_ID]: attemptId, [SEAL]: "seal" };
        socket.write(renderRawAnswer({ answerHeaders, attemptId }));
        // The rest of the body waits on the connection.
        socket.pause();
        setTimeout(() => socket.resume(), 20);
      }
    };
    socket.on("data", read);
  }).listen(0, "127.0.0.1");
  await once(server, "listening");
  t.after(() => server.close());
  const { port } = server.address() as AddressInfo;
  const engine = await RawEngine.create("early");
  t.after(() => engine.close());
  const spec = engine.createServerSpec({ service: "s" });
  const address = `127.0.0.1:${port}`;
  site.store.put("servers", engine.id, { ...spec, address });
  site.store.put(
    "config",
    "main",
    createConfiguration({ version: 2, maxBodyBytes: 16_000_000 }),
  );
  const body = "b".repeat(8_000_000);
  await waitFor(async () =>
    (await call(site.entry, { path: "/safe/first", body })).status === 200
  );
  for (let index = 0; index < 12; index++) {
    const path = index % 2 === 0 ? "/once/" : "/safe/";
    const attemptId = nextId("a");
    const answer = await call(site.entry, {
      path: path + attemptId,
      body,
      headers: { [ATTEMPT_ID]: attemptId },
    });
    if (answer.status === 200) {
      assert.equal(answer.body, renderRawBody({ attemptId }));
    }
  }
  for (const head of heads) {
    assert.match(head, /^POST \/(?:once|safe|open)\/\S+ HTTP\/1\.1/);
  }
  assert.ok(heads.length >= 12);
});

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

  check({ attemptId, path, answer }: NamedResult): void {
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

  describe(results: readonly NamedResult[]): string {
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
