/** What callers see of a planned stop of an entry, without other disruptions. */

import { HEADERS } from "@dandelionbank/platform-adapter";
import {
  CALLER_KEY,
  createConfiguration,
  EntryProgram,
  ROUTE,
  ROUTE_HOST,
  waitFor,
} from "@dandelionbank/run-entry";
import {
  type EngineScript,
  SiteEngine,
  SiteStore,
} from "@dandelionbank/standin-site";
import assert from "node:assert/strict";
import { once } from "node:events";
import { Agent, type ClientRequest, request } from "node:http";
import { connect } from "node:net";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";

/**
 * With this grace period, a stopping entry accepts requests for 2 s, and cuts
 * what still runs after 3.5 s.
 */
const GRACE_S = 4;
const ACCEPT_MS = 2_000;
/** Longer than the grace period. */
const TIMEOUT_MS = 6_000;
/** A full, balanced group takes 10 ms a token. */
const PROFILE = { slots: 8, "step_ms": 2, "per_seq_ms": 1 };
const STREAM_TOKENS = 90;
const LONG_ANSWER_BYTES = 1_000_000;
/** The longest that a stream is expected to run. */
const LONGEST_STREAM_MS = 1_800;

// Guards against a stop that counts the time for a stream from its head, and so
// accepts and then cuts one whose body ends late.
test("A stopping entry cuts no stream that was uploaded slowly", async (t) => {
  const { entry, engine } = await startEntry(t);
  engine.script = answerAfter(LONGEST_STREAM_MS);
  entry.signal("SIGTERM");
  const uploadTimesMs = [0, 600, 1_700, ACCEPT_MS - 50, ACCEPT_MS + 100];
  const answers = await Promise.all(
    uploadTimesMs.map((uploadMs) => send(entry, { path: "/live/a", uploadMs })),
  );
  assert.deepEqual(answers.map(describe), [200, 200, 503, 503, 503]);
  assert.equal(engine.calls.length, 2);
});

// Guards against a stop that lets a stream begin at a target when there is no
// longer enough time for it, since there was when it arrived.
test("A stopping entry cuts no stream that waited for admission", async (t) => {
  const { entry, engine } = await startEntry(t, { slots: 1 });
  engine.script = answerAfter(LONGEST_STREAM_MS);
  entry.signal("SIGTERM");
  await delay(400);
  const running = send(entry, { path: "/live/a" });
  await delay(600);
  const waiting = [1, 2, 3].map(() => send(entry, { path: "/live/a" }));
  assert.equal(describe(await running), 200);
  const answers = await Promise.all(waiting);
  assert.deepEqual(answers.map(describe), [503, 503, 503]);
  assert.equal(engine.calls.length, 1);
});

test("A stopping entry cuts no stream that is sent again while its group re-forms", async (t) => {
  const { entry, engines } = await startEntry(t, { engines: 2 });
  let refusedCount = 0;
  for (const engine of engines) {
    engine.script = (call) => {
      if (refusedCount > 0) return answerAfter(LONGEST_STREAM_MS)(call);
      refusedCount += 1;
      const headers = {
        ...call.answerHeaders,
        [HEADERS.notRun]: "1",
        [HEADERS.targetAtFault]: "another",
      };
      setTimeout(() => call.response.writeHead(503, headers).end(), 600);
    };
  }
  entry.signal("SIGTERM");
  await delay(1_200);
  assert.equal(describe(await send(entry, { path: "/live/a" })), 503);
  assert.equal(refusedCount, 1);
  assert.equal(engines.flatMap(({ calls }) => calls).length, 1);
});

// Guards against requests that end with their connection because a target is slower
// than any target was expected to be.
test("A stopping entry answers what its targets have not answered by its end", async (t) => {
  const { entry, engine } = await startEntry(t);
  engine.script = answerAfter(2 * LONGEST_STREAM_MS);
  entry.signal("SIGTERM");
  await delay(200);
  const paths = ["/live/a", "/safe/a", "/once/a"];
  const answers = await Promise.all(paths.map((path) => send(entry, { path })));
  assert.deepEqual(answers.map(describe), [504, 504, 504]);
  assert.equal(engine.calls.length, paths.length);
});

// Guards against streams that are cut because the group was already slower than any
// group was expected to be.
test("A stopping entry takes no stream that a slow group cannot end in time", async (t) => {
  const { entry, engine } = await startEntry(t);
  const runMs = 1.5 * LONGEST_STREAM_MS;
  engine.script = answerAfter(runMs);
  assert.equal(describe(await send(entry, { path: "/live/a" })), 200);
  entry.signal("SIGTERM");
  await delay(1_200);
  assert.equal(describe(await send(entry, { path: "/live/a" })), 503);
  assert.equal(engine.calls.length, 1);
});

// Guards against a stop that takes answers for sent when they were given to the
// socket. They are pipelined, since one alone fits into the socket's buffers.
test("A stopping entry sends the rest of answers that are read slowly", async (t) => {
  const { entry, engine } = await startEntry(t);
  engine.script = ({ response, answerHeaders }) =>
    response.writeHead(200, answerHeaders).end(Buffer.alloc(LONG_ANSWER_BYTES));
  const socket = connect(entry.settings.callers!);
  t.after(() => socket.destroy());
  const count = 8;
  for (let index = 0; index < count; index++) {
    socket.write(renderRequest("/once/a"));
  }
  const isAnswer = (line: string) => line.includes(`"name":"requestAnswered"`);
  await waitFor(() => entry.loggedLines.filter(isAnswer).length === count);
  entry.signal("SIGTERM");
  await delay(ACCEPT_MS + 600);
  let receivedBytes = 0;
  socket.on("data", (chunk) => {
    receivedBytes += chunk.length;
  });
  await once(socket, "close");
  assert.ok(
    receivedBytes >= count * LONG_ANSWER_BYTES,
    `${receivedBytes} bytes received`,
  );
});

// Guards against answers that close their connection before the answers to the
// requests behind theirs, which targets were given.
test("A stopping entry answers all requests that a caller has pipelined", async (t) => {
  const { entry, engine } = await startEntry(t);
  engine.script = answerAfter(500);
  const socket = connect(entry.settings.callers!);
  t.after(() => socket.destroy());
  for (let index = 0; index < 3; index++) {
    socket.write(renderRequest("/once/a"));
  }
  await waitFor(() => engine.calls.length === 3);
  entry.signal("SIGTERM");
  let text = "";
  socket.on("data", (chunk) => {
    text += String(chunk);
  });
  await once(socket, "close");
  assert.deepEqual(
    [...text.matchAll(/^HTTP\/1.1 (\d+)|^connection: (\S+)/gim)]
      .map(([, status, connection]) => status ?? connection),
    ["200", "keep-alive", "200", "keep-alive", "200", "close"],
  );
});

test("A stopping entry passes on no request behind an answer that closes the connection", async (t) => {
  const { entry, engine } = await startEntry(t);
  engine.script = ({ response, answerHeaders }) => {
    response.writeHead(200, answerHeaders).write("id: 1\ndata: first\n\n");
    setTimeout(() => response.end("id: 2\ndata: last\n\n"), 500);
  };
  entry.signal("SIGTERM");
  await delay(100);
  const socket = connect(entry.settings.callers!);
  t.after(() => socket.destroy());
  socket.write(renderRequest("/live/a"));
  const [head] = await once(socket, "data");
  assert.match(String(head), /connection: close/i);
  socket.write(renderRequest("/once/a"));
  await once(socket, "close");
  assert.equal(engine.calls.length, 1);
});

// Guards against a time for closing that takes much of a short grace period from the
// requests that run.
test("A stopping entry lets requests run into the last sixth of a short grace period", async (t) => {
  const graceMs = 2_000;
  const { entry, engine } = await startEntry(t, { graceS: graceMs / 1_000 });
  engine.script = () => undefined;
  const answer = send(entry, { path: "/once/a" });
  await waitFor(() => engine.calls.length === 1);
  const stoppedAtMs = performance.now();
  entry.signal("SIGTERM");
  assert.equal(describe(await answer), 504);
  const ranMs = performance.now() - stoppedAtMs;
  assert.ok(ranMs >= graceMs * 5 / 6 && ranMs < graceMs, `${ranMs} ms`);
  await waitFor(() => !entry.isRunning);
  assert.ok(performance.now() - stoppedAtMs < graceMs);
});

for (const graceS of [1, 2, 4]) {
  test(`Every request that ran is answered by an entry that stops within ${graceS} s`, async (t) => {
    const { entry, engine, store } = await startEntry(t, { graceS });
    engine.script = (call) => answerAfter(100 * Math.random())(call);
    const agent = new Agent({ keepAlive: true });
    t.after(() => agent.destroy());
    const answers: Received[] = [];
    const callRepeatedly = async (path: string) => {
      while (entry.isRunning) {
        answers.push(await send(entry, { path, agent, tokens: 5 }));
        await delay(2);
      }
    };
    const paths = Array.from({ length: 8 }, () => ["/live/a", "/once/a"]);
    const callers = paths.flat().map(callRepeatedly);
    await delay(200);
    entry.signal("SIGTERM");
    await delay(graceS * 100);
    entry.signal("SIGHUP");
    entry.signal("SIGTERM");
    const longer = createRoutes({ timeoutMs: 60_000 });
    store.put("config", "main", createConfigurationOf(longer, { version: 2 }));
    await Promise.all(callers);
    const served = answers.filter((answer) => describe(answer) === 200);
    assert.ok(served.length > 0);
    assert.equal(engine.calls.length, served.length);
  });
}

interface SentRequest {
  readonly path: string;
  /** Time between the request's head and the end of its body. */
  readonly uploadMs?: number;
  readonly agent?: Agent;
  /** Largest number of answer tokens. */
  readonly tokens?: number;
}

interface Received {
  /** Undefined if the connection ended before the answer's head. */
  readonly status: number | undefined;
  readonly isComplete: boolean;
}

function describe({ status, isComplete }: Received): number | "cut" {
  return isComplete && status !== undefined ? status : "cut";
}

/** Sends a request; resolves also if its connection ends without an answer. */
function send(
  { settings }: EntryProgram,
  { path, uploadMs = 0, agent, tokens }: SentRequest,
): Promise<Received> {
  return new Promise((resolve) => {
    const outgoing: ClientRequest = request({
      ...settings.callers,
      path,
      method: "POST",
      agent: agent ?? false,
      headers: createHeaders(tokens),
    }, (response) => {
      response.resume();
      const settle = () =>
        resolve({
          status: response.statusCode,
          isComplete: response.complete,
        });
      response.on("end", settle);
      response.on("error", settle);
    });
    outgoing.on(
      "error",
      () => resolve({ status: undefined, isComplete: false }),
    );
    outgoing.write("a");
    setTimeout(() => outgoing.end("b"), uploadMs);
  });
}

/** Renders a request without a body. */
function renderRequest(path: string): string {
  const lines = Object.entries(createHeaders())
    .map((field) => field.join(": "));
  return [`GET ${path} HTTP/1.1`, ...lines, "", ""].join("\r\n");
}

function createHeaders(
  tokens = STREAM_TOKENS,
): Readonly<Record<string, string>> {
  return {
    host: ROUTE_HOST,
    [HEADERS.attemptId]: `attempt-${Math.random()}`,
    [HEADERS.credential]: CALLER_KEY,
    [HEADERS.tokenCounts]: `0,${tokens}`,
  };
}

/** Sends the whole answer at once, some time after the request. */
function answerAfter(delayMs: number): EngineScript {
  return ({ response, answerHeaders }) => {
    const timer = setTimeout(
      () => response.writeHead(200, answerHeaders).end("id: 1\ndata: last\n\n"),
      delayMs,
    );
    response.on("close", () => clearTimeout(timer));
  };
}

async function startEntry(
  t: TestContext,
  { engines: count = 1, slots = 8, graceS = GRACE_S }: {
    readonly engines?: number;
    readonly graceS?: number;
    readonly slots?: number;
  } = {},
) {
  const store = await SiteStore.create();
  const engines = await Promise.all(
    Array.from({ length: count }, (_, index) => SiteEngine.create(`e${index}`)),
  );
  const routes = createRoutes({ timeoutMs: TIMEOUT_MS });
  store.put("config", "main", createConfigurationOf(routes));
  for (const engine of engines) {
    const spec = engine.createServerSpec({ service: "s" });
    store.put("servers", engine.id, { ...spec, slots });
  }
  t.after(async () => {
    for (const engine of engines) await engine.close();
    await store.close();
  });
  const options = { store, number: 1, graceS };
  const entry = await EntryProgram.start(t, options);
  await waitFor(() => entry.hasLogged("targetsChanged"));
  return { store, engine: engines[0]!, engines, entry };
}

function createRoutes({ timeoutMs }: { readonly timeoutMs: number }) {
  const route = { ...ROUTE, "timeout_ms": timeoutMs };
  return [
    {
      ...route,
      name: "live",
      "path_prefix": "/live/",
      type: "streaming",
      "target_gap_ms": 120,
    },
    { ...route, name: "safe", "path_prefix": "/safe/", type: "idempotent" },
    { ...route, name: "once", "path_prefix": "/once/", type: "non_idempotent" },
  ];
}

function createConfigurationOf(
  routes: readonly unknown[],
  { version = 1 }: { readonly version?: number } = {},
) {
  const service = { name: "s", "health_path": "/healthz", "max_conns": 40 };
  return {
    ...createConfiguration({ routes, version }),
    services: [{ ...service, "engine_profile": PROFILE }],
  };
}
