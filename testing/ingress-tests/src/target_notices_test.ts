import {
  type EngineScript,
  refuseFor,
  sendCompleteAnswer,
  SiteEngine,
  SiteStore,
  streamEvents,
} from "@dandelionbank/standin-site";
import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import {
  call,
  createConfiguration,
  EntryProgram,
  type Site,
  startSite,
  waitFor,
} from "@dandelionbank/run-entry";

const LEAVING = { "server-leaving": "1" };

/** Answers as `script` does, with a header that says that the target leaves. */
function announceLeaving(script: EngineScript): EngineScript {
  return (engineCall) =>
    script({
      ...engineCall,
      answerHeaders: { ...engineCall.answerHeaders, ...LEAVING },
    });
}

async function callTimes(
  site: Pick<Site, "settings">,
  { path, count }: { readonly path: string; readonly count: number },
): Promise<readonly number[]> {
  const answers = await Promise.all(
    Array.from({ length: count }, () => call(site, { path })),
  );
  return answers.map(({ status }) => status);
}

for (const path of ["/safe/a", "/live/a"]) {
  test(`A target that says that it leaves gets no more work at ${path}`, async (t) => {
    const site = await startSite(t);
    const [leaving, other] = site.engines;
    leaving!.script = announceLeaving(streamEvents({ last: 2 }));
    other!.script = streamEvents({ last: 2 });
    while (leaving!.calls.length === 0) await call(site, { path });
    const before = leaving!.calls.length;
    const statuses = await callTimes(site, { path, count: 20 });
    assert.ok(statuses.every((status) => status === 200));
    assert.equal(leaving!.calls.length, before);
  });
}

test("A target that leaves gets no work while the store is away and lists it as ready", async (t) => {
  const site = await startSite(t);
  const [leaving] = site.engines;
  leaving!.script = announceLeaving(sendCompleteAnswer);
  while (leaving!.calls.length === 0) await call(site, { path: "/safe/a" });
  await site.store.close();
  await delay(300);
  const before = leaving!.calls.length;
  await callTimes(site, { path: "/safe/a", count: 20 });
  assert.equal(leaving!.calls.length, before);
});

test("What a leaving target runs goes on to its end", async (t) => {
  const site = await startSite(t, { engines: 1 });
  const [engine] = site.engines;
  engine!.script = ({ response, answerHeaders }) => {
    response.writeHead(200, answerHeaders);
    response.write("id: 1\ndata: a\n\n");
    setTimeout(() => response.end("id: 2\ndata: b\n\n"), 300);
  };
  const running = call(site, { path: "/live/a" });
  await waitFor(() => engine!.calls.length === 1);
  engine!.script = announceLeaving(sendCompleteAnswer);
  await call(site, { path: "/safe/a" });
  const answer = await running;
  assert.ok(answer.isComplete);
  assert.equal(answer.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
});

for (const path of ["/safe/a", "/live/a"]) {
  test(`When the last target leaves, calls to ${path} are refused at once with a time to return`, async (t) => {
    const site = await startSite(t, { engines: 1 });
    site.engines[0]!.script = announceLeaving(streamEvents({ last: 2 }));
    await call(site, { path });
    const answer = await call(site, { path });
    assert.equal(answer.status, 503);
    assert.ok(answer.elapsedMs < 150, `${answer.elapsedMs} ms`);
    assert.ok(Number(answer.headers["retry-after"]) >= 0.5);
    assert.equal(site.engines[0]!.calls.length, 1);
  });
}

test("Entries tell each other which targets leave", async (t) => {
  const store = await SiteStore.create();
  store.put("config", "main", createConfiguration());
  t.after(() => store.close());
  const engines = await Promise.all(
    ["e0", "e1"].map((id) => SiteEngine.create(id)),
  );
  for (const engine of engines) {
    t.after(() => engine.close());
    store.put("servers", engine.id, engine.createServerSpec({ service: "s" }));
  }
  const [first, second] = await Promise.all(
    [1, 2].map((number) => EntryProgram.start(t, { store, number })),
  );
  const [leaving] = engines;
  leaving!.script = announceLeaving(sendCompleteAnswer);
  while (leaving!.calls.length === 0) await call(first!, { path: "/safe/a" });
  await waitFor(() => second!.hasLogged("targetLeaving"));
  const before = leaving!.calls.length;
  await callTimes(second!, { path: "/safe/a", count: 20 });
  assert.equal(leaving!.calls.length, before);
});

test("A target that wants nothing for a time gets nothing, and then work again", async (t) => {
  const site = await startSite(t);
  const [busy] = site.engines;
  busy!.script = refuseFor(1);
  while (busy!.calls.length === 0) await call(site, { path: "/safe/a" });
  const refusedAtMs = performance.now();
  const before = busy!.calls.length;
  busy!.script = sendCompleteAnswer;
  while (performance.now() < refusedAtMs + 950) {
    assert.equal((await call(site, { path: "/safe/a" })).status, 200);
    assert.equal(busy!.calls.length, before);
  }
  await waitFor(async () => {
    await call(site, { path: "/safe/a" });
    return busy!.calls.length > before + 5;
  }, { timeoutMs: 2_000 });
});

test("A shorter time does not shorten a longer one", async (t) => {
  const site = await startSite(t, { engines: 1 });
  const [busy] = site.engines;
  let refusals = 0;
  busy!.script = (engineCall) => {
    refusals += 1;
    // The first answer arrives last.
    if (refusals === 1) setTimeout(() => refuseFor(0.1)(engineCall), 200);
    else refuseFor(2)(engineCall);
  };
  await callTimes(site, { path: "/safe/a", count: 2 });
  assert.equal(refusals, 2);
  await delay(300);
  await callTimes(site, { path: "/safe/a", count: 5 });
  assert.equal(refusals, 2);
});

test("While the only target wants nothing, calls are refused at once with the time until it returns", async (t) => {
  const site = await startSite(t, { engines: 1 });
  const [busy] = site.engines;
  busy!.script = refuseFor(3);
  const first = await call(site, { path: "/safe/a" });
  const others = await Promise.all(
    Array.from({ length: 10 }, () => call(site, { path: "/safe/a" })),
  );
  const answers = [first, ...others];
  const retryAfterS = answers.map(({ headers }) =>
    Number(headers["retry-after"])
  );
  assert.ok(answers.every(({ status }) => status === 503));
  assert.ok(answers.every(({ elapsedMs }) => elapsedMs < 300));
  assert.ok(retryAfterS.every((seconds) => seconds > 2.5 && seconds < 4));
  // Each caller's time to return was assigned between the call and its answer.
  const returns: { readonly earliestMs: number; readonly latestMs: number }[] =
    [];
  for (let count = 0; count < 10; count++) {
    const sentAtMs = performance.now();
    const { headers } = await call(site, { path: "/safe/a" });
    const retryMs = Number(headers["retry-after"]) * 1_000;
    returns.push({
      earliestMs: sentAtMs + retryMs,
      latestMs: performance.now() + retryMs,
    });
  }
  const spreadMs = Math.max(...returns.map(({ earliestMs }) => earliestMs)) -
    Math.min(...returns.map(({ latestMs }) => latestMs));
  assert.ok(spreadMs > 50, `callers return within ${spreadMs} ms`);
  assert.equal(busy!.calls.length, 1);
});

test("A stream is refused at once if its group returns after its caller's patience", async (t) => {
  const site = await startSite(t, { engines: 1 });
  const [busy] = site.engines;
  busy!.script = refuseFor(30);
  await call(site, { path: "/live/a" });
  const answer = await call(site, { path: "/live/a" });
  assert.equal(answer.status, 503);
  assert.ok(answer.elapsedMs < 150, `${answer.elapsedMs} ms`);
  assert.ok(Number(answer.headers["retry-after"]) > 20);
  assert.equal(busy!.calls.length, 1);
});

for (const value of ["-5", "soon", "Wed, 21 Oct 2099 07:28:00 GMT", "1e9"]) {
  test(`A target that announces ${value} as its time to return is not lost for long`, async (t) => {
    const site = await startSite(t, { engines: 1 });
    const [busy] = site.engines;
    busy!.script = refuseFor(value);
    await call(site, { path: "/safe/a" });
    busy!.script = sendCompleteAnswer;
    const answer = await call(site, { path: "/safe/a" });
    assert.ok(
      answer.status === 200 || Number(answer.headers["retry-after"]) <= 601,
      String(answer.headers["retry-after"]),
    );
    assert.ok(site.lines.some(({ name }) => name === "targetNoticeRejected"));
  });
}

/** Of two targets, each gets about half of the calls. */
const MIN_SHARE = 0.3;
const ANNOUNCEMENTS: readonly {
  readonly name: string;
  readonly script: EngineScript;
}[] = [
  {
    name: "that it leaves",
    script: announceLeaving(streamEvents({ last: 2 })),
  },
  { name: "a time to return", script: refuseFor(60) },
  {
    name: "a limit",
    script: ({ response, answerHeaders }) =>
      response.writeHead(200, { ...answerHeaders, "server-limit": "0.1" })
        .end("limited"),
  },
];

for (const { name, script } of ANNOUNCEMENTS) {
  test(`A target that starts again under its id is not bound by the announcement of ${name}`, async (t) => {
    const site = await startSite(t);
    const [first, other] = site.engines;
    const startedAtMs = Date.now() - 60_000;
    register(site, first!, startedAtMs);
    first!.script = script;
    while (first!.calls.length === 0) await call(site, { path: "/safe/a" });
    await first!.close();
    const again = await SiteEngine.create(first!.id);
    t.after(() => again.close());
    register(site, again, startedAtMs + 50_000);
    const run = `${again.id}@${startedAtMs + 50_000}`;
    await waitFor(() =>
      site.lines.some(({ name, fields }) =>
        name === "targetStartedAnew" && fields["run"] === run
      )
    );
    const otherBefore = other!.calls.length;
    const statuses = await callTimes(site, { path: "/safe/a", count: 60 });
    assert.ok(statuses.every((status) => status === 200));
    const counts = [again.calls.length, other!.calls.length - otherBefore];
    assert.ok(counts[0]! >= MIN_SHARE * statuses.length, counts.join(" and "));
  });
}

function register(
  { store }: Site,
  engine: SiteEngine,
  startedAtMs: number,
): void {
  store.put("servers", engine.id, {
    ...engine.createServerSpec({ service: "s" }),
    born: startedAtMs,
  });
}
