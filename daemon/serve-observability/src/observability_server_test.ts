import { Gauge, Registry } from "@dandelionbank/metrics";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ObservabilityServer, type Readiness } from "./mod.ts";

interface ServerUnderTest {
  readonly server: ObservabilityServer;
  readonly url: string;
}

async function withServer(
  readReadiness: () => Readiness,
  use: (served: ServerUnderTest) => Promise<void>,
): Promise<void> {
  const registry = new Registry();
  const registers = [registry];
  new Gauge({ name: "answers", help: "Answers", registers }).set(42);
  const options = { host: "127.0.0.1", port: 0, registry, readReadiness };
  const server = await ObservabilityServer.create(options);
  try {
    await use({ server, url: `http://127.0.0.1:${server.port}` });
  } finally {
    await server.close();
  }
}

const READY: Readiness = { isReady: true, reasons: [] };

const CASES: readonly (readonly [string, RequestInit, number, RegExp])[] = [
  ["/metrics", {}, 200, /^answers 42$/m],
  ["/metrics?x=1", {}, 200, /^answers 42$/m],
  ["/healthz", {}, 200, /^\{"status":"ok"\}\n$/],
  ["/readyz", {}, 200, /^\{"ready":true,"reasons":\[\]\}\n$/],
  ["/readyz", { method: "HEAD" }, 200, /^$/],
  ["/readyz", { method: "POST" }, 405, /DANDELIONBANK_WRONG_METHOD/],
  ["/other", {}, 404, /"outcome":"notRun"/],
];

for (const [path, init, status, body] of CASES) {
  test(`${init.method ?? "GET"} ${path} answers ${status}`, async () => {
    await withServer(() => READY, async ({ url }) => {
      const response = await fetch(`${url}${path}`, init);
      assert.equal(response.status, status);
      assert.match(await response.text(), body);
    });
  });
}

test("A process that does not accept work reports the reasons", async () => {
  const reasons = ["the view is not known to be fresh"];
  await withServer(() => ({ isReady: false, reasons }), async ({ url }) => {
    const response = await fetch(`${url}/readyz`);
    assert.equal(response.status, 503);
    assert.deepEqual(await response.json(), { ready: false, reasons });
  });
});

test("A failing check answers 500, and the server keeps running", async () => {
  const fail = () => {
    throw new Error("No view");
  };
  await withServer(fail, async ({ url }) => {
    assert.equal((await fetch(`${url}/readyz`)).status, 500);
    assert.equal((await fetch(`${url}/healthz`)).status, 200);
  });
});

test("A port in use is reported as an error with the address", async () => {
  await withServer(() => READY, async ({ server }) => {
    const second = ObservabilityServer.create({
      host: "127.0.0.1",
      port: server.port,
      registry: new Registry(),
      readReadiness: () => READY,
    });
    await assert.rejects(second, {
      code: "DANDELIONBANK_LISTEN_FAILED",
      peer: `127.0.0.1:${server.port}`,
    });
  });
});
