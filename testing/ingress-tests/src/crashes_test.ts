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

const CRASHING = "crashes its engine";
const CRASHES = 3;

test("A request that crashes its engines reaches three, and then none", async (t) => {
  const site = await startCrashingSite(t);
  const answers: CallAnswer[] = [];
  for (let index = 0; index < 8; index++) {
    answers.push(await call(site, { path: "/once/a", body: CRASHING }));
    await waitUntilSeen(site);
  }
  assert.ok(countCrashed(site) <= CRASHES, `${countCrashed(site)} crashed`);
  const last = answers.at(-1)!;
  assert.equal(last.status, 503);
  assert.ok(Number(last.headers["retry-after"]) > 0);
  const refused = site.lines.filter(({ name }) =>
    name === "requestRefusedCrashing"
  );
  assert.ok(refused.length >= answers.length - CRASHES);
});

test("What ran beside a request that crashes its engines is served", async (t) => {
  const site = await startCrashingSite(t);
  for (let index = 0; index < 6; index++) {
    await Promise.all([
      call(site, { path: "/safe/a", body: CRASHING }),
      call(site, { path: "/safe/b", body: "beside" }),
    ]);
    await waitUntilSeen(site);
  }
  const answer = await call(site, { path: "/safe/b", body: "beside" });
  assert.equal(answer.status, 200);
  assert.ok(countCrashed(site) <= CRASHES + 1);
});

test("An engine that loses answers and stays up has not crashed", async (t) => {
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
    engine.script = (each) => {
      if (each.body === CRASHING) void crash(site, engine);
      else sendCompleteAnswer(each);
    };
  }
  return site;
}

async function crash({ store }: Site, engine: SiteEngine): Promise<void> {
  await engine.close();
  store.remove("servers", engine.id);
}

function countCrashed({ engines }: Site): number {
  return engines.filter(({ isUp }) => !isUp).length;
}

/** Until the entry knows which engines are gone. */
async function waitUntilSeen(site: Site): Promise<void> {
  const open = site.engines.length - countCrashed(site);
  await waitFor(() => {
    const change = site.lines.findLast(({ name }) => name === "targetsChanged");
    return change?.fields["open"] === open;
  });
}
