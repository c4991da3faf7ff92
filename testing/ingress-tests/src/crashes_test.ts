import {
  sendCompleteAnswer,
  type SiteEngine,
} from "@dandelionbank/standin-site";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  call,
  type CallAnswer,
  type Site,
  startSite,
  waitFor,
} from "@dandelionbank/run-entry";

const CRASHING_BODY = "crashes its engine";
const MAX_CRASHES = 3;

test("A request that crashes its engines is refused after three crashes", async (t) => {
  const site = await startCrashingSite(t);
  const answers: CallAnswer[] = [];
  for (let index = 0; index < 8; index++) {
    answers.push(await call(site, { path: "/once/a", body: CRASHING_BODY }));
    await waitForTargetCount(site);
  }
  assert.ok(countStopped(site) <= MAX_CRASHES, `${countStopped(site)} crashed`);
  const last = answers.at(-1)!;
  assert.equal(last.status, 503);
  assert.ok(Number(last.headers["retry-after"]) > 0);
  const refused = site.lines.filter(({ name }) =>
    name === "requestRefusedCrashing"
  );
  assert.ok(refused.length >= answers.length - MAX_CRASHES);
});

test("A request that ran beside one that crashes its engines is still served", async (t) => {
  const site = await startCrashingSite(t);
  for (let index = 0; index < 6; index++) {
    await Promise.all([
      call(site, { path: "/safe/a", body: CRASHING_BODY }),
      call(site, { path: "/safe/b", body: "beside" }),
    ]);
    await waitForTargetCount(site);
  }
  const answer = await call(site, { path: "/safe/b", body: "beside" });
  assert.equal(answer.status, 200);
  assert.ok(countStopped(site) <= MAX_CRASHES + 1);
});

test("An engine that loses answers but stays up does not count as crashed", async (t) => {
  const site = await startSite(t, { engines: 3 });
  for (const engine of site.engines) {
    engine.script = ({ response }) => response.socket?.resetAndDestroy();
  }
  for (let index = 0; index < 8; index++) {
    const { status } = await call(site, { path: "/once/a" });
    assert.equal(status, 502);
  }
});

async function startCrashingSite(
  t: Parameters<typeof startSite>[0],
): Promise<Site> {
  const site = await startSite(t, { engines: 8 });
  for (const engine of site.engines) {
    engine.script = (engineCall) => {
      if (engineCall.body === CRASHING_BODY) void stopEngine(site, engine);
      else sendCompleteAnswer(engineCall);
    };
  }
  return site;
}

async function stopEngine({ store }: Site, engine: SiteEngine): Promise<void> {
  await engine.close();
  store.remove("servers", engine.id);
}

function countStopped({ engines }: Site): number {
  return engines.filter(({ isUp }) => !isUp).length;
}

/** Waits until the entry has removed the stopped engines from its targets. */
async function waitForTargetCount(site: Site): Promise<void> {
  const open = site.engines.length - countStopped(site);
  await waitFor(() => {
    const change = site.lines.findLast(({ name }) => name === "targetsChanged");
    return change?.fields["open"] === open;
  });
}
