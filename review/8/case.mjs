/**
 * The operator takes the last tenant out of the configuration. The entry then runs
 * requests with any key, and those without one.
 */

import process from "node:process";
import { setTimeout as delay } from "node:timers/promises";
import { SiteEngine, SiteStore } from "../../testing/standin-site/dist/mod.js";
import { call } from "../lib-2/caller.mjs";
import { EntryProcess } from "../lib-2/program.mjs";
import { runCase } from "../lib-2/record.mjs";

const ROUTE_HOST = "notes.example";
const TENANT_KEY = "key-of-the-tenant";
const UNKNOWN_KEY = "key-that-never-was";
const KEYS = [TENANT_KEY, UNKNOWN_KEY, undefined];
/** `revoke_ms` of the settings. */
const REVOKE_MS = 5_000;
const BEFORE_MS = 3_000;
const AFTER_MS = 10_000;
const CALL_INTERVAL_MS = 100;

function createConfiguration(version, tenants) {
  return {
    version,
    routes: [{
      name: "note",
      host: ROUTE_HOST,
      "path_prefix": "/note/",
      type: "non_idempotent",
      "timeout_ms": 800,
      "latency_goal_ms": 194,
      priority: 2,
      service: "nomination",
      attempts: 1,
      public: false,
    }],
    services: [{
      name: "nomination",
      "health_path": "/healthz",
      "max_conns": 100,
      protocol: "h1",
      tls: false,
    }],
    limits: {
      "max_header_bytes": 16_384,
      "max_body_bytes": 4_194_304,
      "header_timeout_ms": 3_000,
      "idle_timeout_ms": 15_000,
    },
    tenants,
  };
}

/** With `TROUBLE=0` the same is done without the disruption. */
const HAS_TROUBLE = process.env.TROUBLE !== "0";

await runCase(import.meta.url, async ({ record, onClose }) => {
  const store = await SiteStore.create();
  onClose(() => store.close());
  const engine = await SiteEngine.create("i-1");
  onClose(() => engine.close());
  const spec = engine.createServerSpec({ service: "nomination" });
  store.put("servers", engine.id, spec);
  const tenant = { name: "tenant-1", "api_keys": [TENANT_KEY], priority: 1 };
  store.put("config", "main", createConfiguration(1, [tenant]));
  const entry = await EntryProcess.create({
    number: 1,
    storeAddress: store.address,
    settings: {
      contracts:
        "base,drain,config,cost,retry,recover,engine,stream,tenants,platform",
    },
  });
  onClose(() => entry.close());
  await entry.start();
  await delay(1_000);

  const calls = [];
  let isCalling = true;
  const keepCalling = async (key) => {
    while (isCalling) {
      const options = { path: "/note/1", routeHost: ROUTE_HOST };
      const { id, sentAtMs, answer } = call(entry, {
        ...options,
        ...(key === undefined ? {} : { key }),
      });
      const { status, failure } = await answer;
      calls.push({ id, sentAtMs, key, status });
      record.add(`${id}, ${key ?? "no key"}: ${status ?? failure}`);
      await delay(CALL_INTERVAL_MS);
    }
  };
  const callers = KEYS.map(keepCalling);
  await delay(BEFORE_MS);
  const changedAtMs = performance.now();
  if (HAS_TROUBLE) {
    store.put("config", "main", createConfiguration(2, []));
    record.report("version 2 acknowledged: the last tenant is taken out");
  }
  await delay(AFTER_MS);
  isCalling = false;
  await Promise.all(callers);

  const ran = new Set(
    engine.calls.map(({ headers }) => headers["x-dandelionbank-attempt-id"]),
  );
  const listRun = (key, fromMs) =>
    calls.filter((sent) =>
      sent.key === key && sent.sentAtMs > fromMs && ran.has(sent.id)
    );
  const unknown = listRun(UNKNOWN_KEY, 0);
  const revoked = HAS_TROUBLE
    ? listRun(TENANT_KEY, changedAtMs + REVOKE_MS)
    : [];
  const keyless = listRun(undefined, 0);
  const before = calls.filter(({ key, sentAtMs, status }) =>
    key === TENANT_KEY && sentAtMs < changedAtMs && status === 200
  );
  record.report(`${before.length} requests with the tenant's key ran before`);
  record.report(
    `${unknown.length} requests ran with a key that no configuration held`,
  );
  record.report(
    `${revoked.length} requests ran with the tenant's key that were sent over ${REVOKE_MS} ms after the acknowledgement`,
  );
  record.report(`${keyless.length} requests ran without a key`);
  if (before.length === 0) throw new Error("no request was served");
  return unknown.length > 0 || revoked.length > 0;
});
