/**
 * Targets in trouble send bytes that are no answer, without end, and in pieces
 * that each cost far more than their bytes. An entry process that keeps them is
 * killed at its memory limit, and the requests of all its callers end with it.
 */

import {
  CALLER_KEY,
  createConfiguration,
  EntryProgram,
  ROUTE,
  ROUTE_HOST,
  ROUTES,
  waitFor,
} from "@dandelionbank/run-entry";
import { HEADERS } from "@dandelionbank/platform-adapter";
import { ChildProgram } from "@dandelionbank/run-site";
import {
  ENDLESS_FORMS,
  type EndlessFormName,
  SiteEngine,
  SiteStore,
} from "@dandelionbank/standin-site";
import assert from "node:assert/strict";
import { once } from "node:events";
import { request } from "node:http";
import { test, type TestContext } from "node:test";

const ENGINES_SCRIPT = "testing/standin-site/dist/run_endless_engines.js";
const ENDLESS_SERVICE = "endless";
/** The memory of an entry's VM, and the heap limit of the deploy file. */
const MEMORY_LIMIT_MB = 350;
const NODE_ARGS = ["--max-old-space-size=160"];
const CALL_COUNT = 48;
const BYTES_PER_MB = 1_000_000;

for (const form of Object.keys(ENDLESS_FORMS) as EndlessFormName[]) {
  test(`An entry stays within its memory while targets send ${form} without end`, async (t) => {
    const { entry, paths } = await startEntry(t, form);
    const faulty = Array.from(
      { length: CALL_COUNT },
      (_, index) => callAndDiscard(entry, paths[index % paths.length]!),
    );
    const hasEnded = Promise.allSettled(faulty).then(() => true);
    while (!await Promise.race([hasEnded, callCalm(entry)]));
    assert.ok(entry.isRunning, describeLastLines(entry));
    const peakMb = entry.readPeakResidentBytes() / BYTES_PER_MB;
    t.diagnostic(`peak of ${Math.round(peakMb)} MB`);
    assert.ok(peakMb < MEMORY_LIMIT_MB, `peak of ${Math.round(peakMb)} MB`);
  });
}

async function callCalm(entry: EntryProgram): Promise<false> {
  const status = await callAndDiscard(entry, "/calm/a").catch(String);
  assert.equal(status, 200, describeLastLines(entry));
  return false;
}

function describeLastLines({ loggedLines }: EntryProgram): string {
  return `the entry's last lines: ${loggedLines.slice(-20).join("\n")}`;
}

/** Calls the entry, and returns the status of its answer after the last byte. */
async function callAndDiscard(
  { settings }: EntryProgram,
  path: string,
): Promise<number> {
  const { host, port } = settings.callers!;
  const outgoing = request({
    host,
    port,
    path,
    method: "POST",
    agent: false,
    headers: {
      host: ROUTE_HOST,
      [HEADERS.attemptId]: crypto.randomUUID(),
      [HEADERS.credential]: CALLER_KEY,
    },
  }).end("x");
  const [response] = await once(outgoing, "response");
  response.resume();
  // An answer that is cut short ends in an error as well.
  await new Promise((resolve) =>
    response.on("error", resolve).on("end", resolve)
  );
  return response.statusCode;
}

/** Starts an entry with a calm service, and one whose targets send without end. */
async function startEntry(t: TestContext, form: EndlessFormName) {
  const store = await SiteStore.create();
  t.after(() => store.close());
  const calmRoute = {
    ...ROUTE,
    name: "calm",
    "path_prefix": "/calm/",
    type: "idempotent",
  };
  const endlessRoutes = ROUTES.map((route) => ({
    ...route,
    service: ENDLESS_SERVICE,
  }));
  const configuration = createConfiguration({
    routes: [calmRoute, ...endlessRoutes],
  });
  const [service] = configuration.services;
  const services = [service, { ...service, name: ENDLESS_SERVICE }];
  store.put("config", "main", { ...configuration, services });
  const calm = await SiteEngine.create("calm");
  t.after(() => calm.close());
  store.put("servers", "calm", calm.createServerSpec(ROUTE));
  const program = ChildProgram.start("endless engines", {
    script: ENGINES_SCRIPT,
    args: [ENDLESS_SERVICE, form],
  });
  t.after(() => program.stop("SIGKILL"));
  const { engines } = await program.waitForLine((line) => "engines" in line);
  for (
    const { id, spec } of engines as readonly {
      readonly id: string;
      readonly spec: unknown;
    }[]
  ) {
    store.put("servers", id, spec);
  }
  const entry = await EntryProgram.start(t, {
    store,
    number: 1,
    nodeArgs: NODE_ARGS,
  });
  await waitFor(async () => await callAndDiscard(entry, "/calm/a") === 200);
  return {
    entry,
    paths: endlessRoutes.map((route) => `${route["path_prefix"]}a`),
  };
}
