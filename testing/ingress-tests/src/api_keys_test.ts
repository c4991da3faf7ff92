/**
 * Which requests may run without a valid API key: those of public routes, and all
 * where neither the settings nor the configuration say that keys are in use.
 */

import {
  call,
  CALLER_KEY,
  createConfiguration,
  ROUTES,
  type Site,
  startSite,
  waitFor,
} from "@dandelionbank/run-entry";
import type { SiteStore } from "@dandelionbank/standin-site";
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";

const PATHS = ["/safe/a", "/once/a", "/stream/a", "/live/a"] as const;
const KEYS = [CALLER_KEY, "unknown-key", ""] as const;
const CONTRACT = { contracts: "base,config,tenants,platform" } as const;
const NO_CONTRACT = { contracts: "base,config,platform" } as const;
const REPLACEMENTS: readonly [string, (store: SiteStore) => void][] = [
  ["removed", (store) => store.remove("config", "main")],
  ["replaced by no object", (store) => store.put("config", "main", null)],
  [
    "replaced by one whose routes cannot be read",
    (store) =>
      store.put("config", "main", {
        ...createConfiguration({ version: 2, keys: [] }),
        routes: {},
      }),
  ],
];
const { tenants: _, ...WITHOUT_KEYS } = createConfiguration();

// Guards against entries that require no key once the last one was taken out of the
// configuration.
for (const settingLines of [CONTRACT, NO_CONTRACT, {}]) {
  const settings = JSON.stringify(settingLines);
  test(`No request runs after the last organisation was removed (${settings})`, async (t) => {
    const site = await startSite(t, { settingLines });
    assert.equal((await call(site, { path: "/safe/a" })).status, 200);
    await publish(site, {
      ...createConfiguration({ version: 2 }),
      tenants: [],
    });
    await assertNoneRuns(site, 401);
    assert.equal((await call(site, { path: "/open/a" })).status, 200);

    await publish(site, createConfiguration({ version: 3 }));
    assert.equal((await call(site, { path: "/safe/a" })).status, 200);
  });
}

test("No request runs while the first configuration has no organisation", async (t) => {
  const configuration = { ...createConfiguration(), tenants: [] };
  const site = await startSite(t, { configuration, settingLines: CONTRACT });
  await assertNoneRuns(site, 401);
});

// The operator may have keys that the configuration lacks, so that 401 could be
// wrong: clients do not return after it.
test("No request runs while the configuration lacks the keys that the settings require", async (t) => {
  const site = await startWithoutKeys(t, CONTRACT);
  await assertNoneRuns(site, 503);
  assert.equal((await call(site, { path: "/open/a" })).status, 200);
});

// A list that cannot be read may hold any key, so that a denial could be wrong.
test("No request runs while the keys of the configuration cannot be read", async (t) => {
  const site = await startSite(t, { settingLines: NO_CONTRACT });
  const unreadable = [null, {}, "org-1", [7], [{ name: "org-1" }], [{
    name: "org-1",
    "api_keys": [""],
  }]];
  for (const [index, tenants] of unreadable.entries()) {
    const version = index + 2;
    await publish(site, { ...createConfiguration({ version }), tenants });
    await assertNoneRuns(site, 503);
  }
  const incomplete = site.lines.filter(({ name }) =>
    name === "configurationIncomplete"
  );
  assert.equal(incomplete.length, unreadable.length);
});

// Guards against entries that take each answer of the store for a proof that their
// keys are valid, although the configuration in it was removed or cannot be read.
for (const [what, replace] of REPLACEMENTS) {
  test(`Keys stop within their bound once the configuration was ${what}`, async (t) => {
    const site = await startSite(t, { settingLines: CONTRACT });
    assert.equal((await call(site, { path: "/safe/a" })).status, 200);
    replace(site.store);
    await delay(site.settings.bounds.revocationMs);
    await assertNoneRuns(site, 503);
    assert.equal((await call(site, { path: "/open/a" })).status, 200);

    await publish(site, createConfiguration({ version: 3 }));
    await waitFor(async () =>
      (await call(site, { path: "/safe/a" })).status === 200
    );
  });
}

// Guards against routes that are dropped as they cannot be read: their requests fell
// to a shorter prefix, here that of a public route.
test("No request of a route that cannot be read runs on another route", async (t) => {
  const site = await startSite(t, { settingLines: CONTRACT });
  const [route] = ROUTES;
  const routes = [
    { ...route, name: "all", "path_prefix": "/", public: true },
    { ...route, "timeout_ms": "2000" },
  ];
  await publish(site, createConfiguration({ version: 2, routes }));
  for (const key of KEYS) {
    assert.equal((await call(site, { path: "/safe/a", key })).status, 503);
    assert.equal((await call(site, { path: "/other/a", key })).status, 200);
  }
});

test("Requests run without a key where neither settings nor configuration use keys", async (t) => {
  for (const settingLines of [NO_CONTRACT, {}]) {
    const site = await startWithoutKeys(t, settingLines);
    for (const key of KEYS) {
      assert.equal((await call(site, { path: "/safe/a", key })).status, 200);
    }
  }
});

function startWithoutKeys(
  t: TestContext,
  settingLines: Readonly<Record<string, string>>,
): Promise<Site> {
  return startSite(t, { configuration: WITHOUT_KEYS, settingLines });
}

async function publish(
  { store, lines }: Site,
  configuration: Readonly<Record<string, unknown>>,
): Promise<void> {
  store.put("config", "main", configuration);
  await waitFor(() =>
    lines.some(({ name, fields }) =>
      name === "configurationApplied" &&
      fields["version"] === configuration["version"]
    )
  );
}

/** Calls each kind of route with a known, an unknown and an empty key. */
async function assertNoneRuns(site: Site, status: number): Promise<void> {
  const countRuns = () =>
    site.engines.reduce((sum, { calls }) => sum + calls.length, 0);
  const before = countRuns();
  for (const path of PATHS) {
    for (const key of KEYS) {
      assert.equal((await call(site, { path, key })).status, status, path);
    }
  }
  assert.equal(countRuns(), before);
}
