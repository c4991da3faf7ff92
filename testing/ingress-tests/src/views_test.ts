import { KINDS } from "@dandelionbank/platform-adapter";
import { refuseAsNotRun, SiteEngine } from "@dandelionbank/standin-site";
import assert from "node:assert/strict";
import { Agent } from "node:http";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import {
  call,
  createConfiguration,
  fetchReadinessStatus,
  queryDirectory,
  ROUTES,
  type Site,
  startSite,
  waitFor,
} from "@dandelionbank/run-entry";

const UNUSABLE_ADDRESSES = [
  "127.300.0.7:8000",
  "127.0.0.08:8000",
  "127.0.0.1:08000",
  "127.0.0.1:80000",
  "999.999.999.999:1",
  "127.0.0.1:8000/x",
];

test("An unknown route or key is denied while the configuration is current", async (t) => {
  const site = await startSite(t, { engines: 1 });
  assert.equal((await call(site, { path: "/none/a" })).status, 404);
  const unknown = await call(site, { path: "/safe/a", key: "guessed" });
  assert.equal(unknown.status, 401);
  assert.equal((await call(site, { path: "/open/a", key: "" })).status, 200);
  assert.equal(site.engines[0]!.calls.length, 1);
});

test("While the store does not answer, a route that may have been added gets 503 instead of 404", async (t) => {
  const site = await startSite(t, { engines: 1 });
  site.store.availability = "unresponsive";
  await delay(1_700);
  const answer = await call(site, { path: "/none/a" });
  assert.equal(answer.status, 503);
  assert.ok(answer.headers["retry-after"] !== undefined);
});

test("A key that may have been revoked is refused once the store has been unreachable too long", async (t) => {
  const site = await startSite(t, { engines: 1 });
  site.store.availability = "unresponsive";
  await delay(2_100);
  assert.equal((await call(site, { path: "/safe/a" })).status, 503);
  assert.equal((await call(site, { path: "/open/a" })).status, 200);
  site.store.availability = "available";
  await waitFor(async () =>
    (await call(site, { path: "/safe/a" })).status === 200
  );
});

test("A revoked key is refused on open connections too", async (t) => {
  const site = await startSite(t, { engines: 1 });
  const agent = new Agent({ keepAlive: true });
  assert.equal((await call(site, { path: "/safe/a", agent })).status, 200);
  site.store.put(
    "config",
    "main",
    createConfiguration({ version: 2, keys: [] }),
  );
  await waitForVersion(site, 2);
  assert.equal((await call(site, { path: "/safe/a", agent })).status, 401);
  agent.destroy();
});

test("A configuration with a lower version is not applied", async (t) => {
  const site = await startSite(t, { engines: 1 });
  const routes = ROUTES.filter(({ name }) => name !== "safe");
  site.store.put("config", "main", createConfiguration({ version: 5, routes }));
  await waitForVersion(site, 5);
  site.store.put("config", "main", createConfiguration({ version: 4 }));
  await delay(200);
  assert.equal((await call(site, { path: "/safe/a" })).status, 404);
});

// Guards against an entry process that ends when a request picks a registration
// that another writer made, whose address or id cannot be used.
test("A registration that names no usable target ends no request", async (t) => {
  const site = await startSite(t, { engines: 1 });
  const sound = site.engines[0]!.createServerSpec({ service: "s" });
  for (const address of UNUSABLE_ADDRESSES) {
    site.store.put("servers", `at-${address}`, { ...sound, address });
  }
  const address = "127.0.0.1:9";
  for (const id of ["a\nb", "\u{1f600}", "a b"]) {
    site.store.put("servers", id, { ...sound, address });
  }
  const last = { ...sound, address: "127.0.0.1:10", state: "draining" };
  site.store.put("servers", "last", last);
  await waitFor(() =>
    site.lines.some(({ fields }) => fields["change"] === "last is draining")
  );
  for (let count = 0; count < 40; count++) {
    assert.equal((await call(site, { path: "/once/a" })).status, 200);
  }
});

// Guards against a sound target that is out of use until it is written again, as
// another writer registers its address.
test("A registration with the address of a target takes it out of use for no caller", async (t) => {
  const site = await startSite(t, { engines: 1 });
  const [engine] = site.engines;
  const odd = engine!.createServerSpec({ service: "s" });
  site.store.put("servers", "same-service", odd);
  site.store.put("servers", "no-service", { ...odd, service: "none" });
  await waitFor(() =>
    site.lines.some(({ fields }) => fields["change"] === "no-service is open")
  );
  for (let count = 0; count < 10; count++) {
    assert.equal((await call(site, { path: "/safe/a" })).status, 200);
  }
  site.store.compactHistory();
  await delay(700);
  assert.equal((await call(site, { path: "/once/a" })).status, 200);
});

function hasLogged(site: Site, event: string): boolean {
  return site.lines.some(({ name }) => name === event);
}

test("Changes are applied after the store has dropped its history", async (t) => {
  const site = await startSite(t, { engines: 1 });
  site.store.put("config", "main", createConfiguration({ version: 2 }));
  site.store.compactHistory();
  await waitForVersion(site, 2);
});

test("A store that comes back from an older copy reverts no configuration, and later ones apply", async (t) => {
  const site = await startSite(t, { engines: 1 });
  const snapshot = site.store.createSnapshot();
  const routes = ROUTES.filter(({ name }) => name !== "safe");
  for (let version = 2; version <= 5; version++) {
    site.store.put("config", "main", createConfiguration({ version, routes }));
  }
  await waitForVersion(site, 5);
  site.store.restore(snapshot);
  await waitFor(() => hasLogged(site, "storeRestored"));
  assert.equal((await call(site, { path: "/safe/a" })).status, 404);
  // The store gives out revisions again that the entry has seen.
  site.store.put("config", "main", createConfiguration({ version: 6 }));
  await waitForVersion(site, 6);
  assert.equal((await call(site, { path: "/safe/a" })).status, 200);
});

test("A watch does not go on unnoticed where a restored store has the same revision", async (t) => {
  const site = await startSite(t, { engines: 1 });
  const snapshot = site.store.createSnapshot();
  site.store.put("config", "main", createConfiguration({ version: 2 }));
  await waitForVersion(site, 2);
  const seenRevision = site.store.revision;
  site.store.restore(snapshot);
  site.store.put("config", "main", createConfiguration({ version: 7 }));
  while (site.store.revision < seenRevision + 2) {
    site.store.put("other", "object", site.store.revision);
  }
  await waitForVersion(site, 7);
});

test("Keys are refused while a restored store holds an older configuration", async (t) => {
  const site = await startSite(t, { engines: 1 });
  const snapshot = site.store.createSnapshot();
  site.store.put("config", "main", createConfiguration({ version: 2 }));
  await waitForVersion(site, 2);
  site.store.restore(snapshot);
  await waitFor(async () =>
    (await call(site, { path: "/safe/a" })).status === 503
  );
  site.store.put("config", "main", createConfiguration({ version: 2 }));
  await waitFor(async () =>
    (await call(site, { path: "/safe/a" })).status === 200
  );
});

test("After the store came back from an older copy, the entry is registered again", async (t) => {
  const site = await startSite(t, { engines: 1 });
  const { name } = site.settings;
  await waitFor(() => site.store.read("entries", name) !== undefined);
  const snapshot = site.store.createSnapshot();
  site.store.restore({
    ...snapshot,
    objects: new Map(
      [...snapshot.objects].filter(([key]) => key !== `entries/${name}`),
    ),
  });
  await waitFor(() => site.store.read("entries", name) !== undefined);
});

test("A draining or removed target gets no new calls", async (t) => {
  const site = await startSite(t);
  const [first, second] = site.engines;
  const draining = first!.createServerSpec({ service: "s", state: "draining" });
  site.store.put("servers", first!.id, draining);
  await waitForTargets(site, { open: 1, closed: 1 });
  for (let index = 0; index < 6; index++) await call(site, { path: "/safe/a" });
  assert.equal(first!.calls.length, 0);
  assert.equal(second!.calls.length, 6);
  site.store.remove("servers", first!.id);
  await waitForTargets(site, { open: 1, closed: 0 });
  assert.equal((await call(site, { path: "/safe/a" })).status, 200);
});

test("A malformed registration adds no target and affects no other", async (t) => {
  const site = await startSite(t, { engines: 1 });
  const [engine] = site.engines;
  const valid = engine!.createServerSpec({ service: "s" });
  const registrations: readonly unknown[] = [
    "text",
    null,
    { ...valid, address: 5 },
    { ...valid, address: "nowhere" },
    { ...valid, state: "sleeping" },
    { ...valid, service: undefined },
    { ...valid, slots: "8" },
  ];
  registrations.forEach((registration, index) => {
    site.store.put("servers", `bad-${index}`, registration);
  });
  await delay(200);
  for (let index = 0; index < 8; index++) {
    assert.equal((await call(site, { path: "/safe/a" })).status, 200);
  }
  assert.equal(engine!.calls.length, 8);
});

test("A call is not run by another target that reuses the address", async (t) => {
  const site = await startSite(t, { engines: 1 });
  const otherEngine = await SiteEngine.create("other");
  t.after(() => otherEngine.close());
  const [engine] = site.engines;
  const reused = {
    ...engine!.createServerSpec({ service: "s" }),
    address: otherEngine.address,
  };
  site.store.put("servers", engine!.id, reused);
  await delay(200);
  assert.equal((await call(site, { path: "/once/a" })).status, 503);
  assert.equal(otherEngine.calls.length, 0);
});

test("Retries stay within the retry budget while every target refuses", async (t) => {
  const site = await startSite(t, { engines: 2 });
  for (const engine of site.engines) engine.script = refuseAsNotRun;
  const count = 300;
  for (let index = 0; index < count; index++) {
    await call(site, { path: "/safe/a" });
  }
  const attemptCount = site.engines.flatMap(({ calls }) => calls).length;
  assert.ok(attemptCount - count <= 90 + 0.2 * count, String(attemptCount));
});

test("The directory lists the entry while it accepts callers", async (t) => {
  const site = await startSite(t, { engines: 1 });
  const { host, port } = site.settings.callers!;
  const { status, text } = await queryDirectory(site);
  assert.equal(status, 200);
  const { addresses, ttl_s: ttlS } = JSON.parse(text) as Record<
    string,
    unknown
  >;
  assert.deepEqual(addresses, [`${host}:${port}`]);
  assert.equal(ttlS, 2);
});

test("A stopping entry interrupts no request and leaves the directory at once", async (t) => {
  const site = await startSite(t, { engines: 1, graceS: 3 });
  const [engine] = site.engines;
  engine!.script = ({ response, answerHeaders }) => {
    setTimeout(() => response.writeHead(200, answerHeaders).end("late"), 900);
  };
  const running = call(site, { path: "/safe/a" });
  await waitFor(() => engine!.calls.length === 1);
  const stopped = site.entry.stop();
  assert.equal(await fetchReadinessStatus(site), 503);
  assert.equal((await queryDirectory(site)).status, 503);
  const next = await call(site, { path: "/safe/a" });
  assert.equal(next.status, 200);
  assert.equal(next.headers.connection, "close");
  assert.equal((await running).body, "late");
  await stopped;
});

test("An entry registers the address at which other entries reach it", async (t) => {
  const site = await startSite(t, { engines: 1 });
  await waitFor(() =>
    site.lines.some(({ name }) => name === "entryRegistered")
  );
  const { ip, peerPort, name } = site.settings;
  assert.deepEqual(site.store.read(KINDS.entries, name), {
    peerAddress: `${ip}:${peerPort}`,
  });
});

function waitForVersion(site: Site, version: number): Promise<void> {
  return waitFor(() =>
    site.lines.some(({ name, fields }) =>
      name === "configurationApplied" && fields["version"] === version
    )
  );
}

function waitForTargets(
  site: Site,
  expected: { readonly open: number; readonly closed: number },
): Promise<void> {
  return waitFor(() => {
    const last = site.lines.findLast(({ name }) => name === "targetsChanged");
    return last?.fields["open"] === expected.open &&
      last.fields["closed"] === expected.closed;
  });
}

test("Targets that register in quick succession cause few calls to the store", async (t) => {
  const site = await startSite(t, { engines: 1 });
  const { store, engines } = site;
  const before = store.callCount;
  const startedMs = performance.now();
  for (let index = 0; index < 50; index++) {
    const spec = engines[0]!.createServerSpec({ service: "t" });
    store.put("servers", `t${index}`, {
      ...spec,
      address: `10.0.0.1:${index + 1}`,
    });
    await delay(10);
  }
  await waitFor(() =>
    site.lines.some(({ name, fields }) =>
      name === "targetsChanged" && fields["service"] === "t" &&
      fields["open"] === 50
    )
  );
  const elapsedMs = performance.now() - startedMs;
  // Two kinds are watched, with at most one call for each every 250 ms.
  const maxCalls = 2 * (Math.ceil(elapsedMs / 250) + 1);
  const storeCalls = store.callCount - before;
  assert.ok(storeCalls <= maxCalls, `${storeCalls} calls in ${elapsedMs} ms`);
});
