/**
 * Registrations that another writer left among those of the targets. No process
 * may end by one, and all go on following the store.
 */

import {
  call,
  createConfiguration,
  EntryProgram,
  findFreePort,
  readPeakResidentBytes,
  renderBootSettings,
  waitFor,
} from "@dandelionbank/run-entry";
import { ChildProgram } from "@dandelionbank/run-site";
import { SiteEngine, SiteGroup, SiteStore } from "@dandelionbank/standin-site";
import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";

const SCRIPT = "daemon/platform-node/dist/main.js";
/** The memory of the VMs, and the heap limits of the deploy file. */
const ENTRY_LIMIT_MB = 350;
const ENTRY_NODE_ARGS = ["--max-old-space-size=160"];
const AGENT_LIMIT_MB = 218;
const AGENT_NODE_ARGS = ["--max-old-space-size=96"];
const BYTES_PER_MB = 1_000_000;
/** About the longest value that the store admits, which is 1 MiB. */
const VALUE_LENGTH = 1_040_000;
/** Longer than the interval between two calls to the store. */
const APPLIED_MS = 700;
const CALL_COUNT = 12;
/**
 * Agents serve metrics on the same port, so the addresses of their group include
 * the process id: other test processes run at the same time.
 */
const GROUP_SHAPE = {
  ranks: 3,
  sets: 2,
  expertsPerSet: 6,
  firstHost: 64 + process.pid % 58 * 3,
};

const NESTED = "[".repeat(VALUE_LENGTH / 2) + "]".repeat(VALUE_LENGTH / 2);
const FIELDS = {
  service: '"s"',
  address: '"127.0.0.1:9"',
  zone: '"a"',
  slots: "8",
  state: '"ready"',
};

/** Values, as JSON or not, that name no target. */
const ODD_SPECS: readonly string[] = [
  "null",
  "7",
  '"text"',
  "[]",
  "{}",
  // No JSON.
  "NaN",
  "{,}",
  '"\u0001"',
  NESTED,
  renderSpec({ more: NESTED }),
  renderSpec({ address: NESTED }),
  `[${"{},".repeat(VALUE_LENGTH / 3)}0]`,
  renderSpec({ zone: `"${"z".repeat(VALUE_LENGTH)}"` }),
  ...["1e400", "-1e400", "1e308", "9007199254740993", "0", "-1", "0.5", '"8"']
    .map((slots) => renderSpec({ slots })),
  ...["127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:-1", "127.0.0.1:1e3"]
    .map((address) => renderSpec({ address: `"${address}"` })),
  ...["127.0.0.1:080", "127.0.0.256:80", "[::1]:80", "127.0.0.1: 80"]
    .map((address) => renderSpec({ address: `"${address}"` })),
  ...['"sleeping"', "null", "{}"].map((state) => renderSpec({ state })),
];
const ODD_NAMES: readonly string[] = [
  "\ud800",
  "\u0000",
  "a\r\nb",
  "a b",
  "\u00e9",
  "n".repeat(10_000),
];

// Guards against entries that end, or follow the store no more, by a registration
// that is nested deeply, holds a number that is too large or is no JSON.
test("An entry follows the store past registrations that name no target", async (t) => {
  const { store, engines } = await startStore(t);
  putOddEntries(store, "early");
  const entry = await EntryProgram.start(t, {
    store,
    number: 1,
    nodeArgs: ENTRY_NODE_ARGS,
  });
  await waitFor(async () =>
    (await call(entry, { path: "/once/a" })).status === 200
  );
  await assertFollowing(t, { entry, store });
  putOddEntries(store, "later");
  await assertFollowing(t, { entry, store });
  store.compactHistory();
  store.put("servers", "early-0", { changed: true });
  await assertFollowing(t, { entry, store });

  const refused = listRefused(entry);
  const expected = [...store.createSnapshot().objects.values()]
    .filter(({ kind, name }) => kind === "servers" && isOdd(name))
    .map(({ name }) => name.slice(0, 128));
  assert.deepEqual(refused.toSorted(), expected.toSorted());
  const lengths = entry.loggedLines.map(({ length }) => length);
  assert.ok(Math.max(...lengths) < 2_000, "no line has a whole registration");
  const peakMb = entry.readPeakResidentBytes() / BYTES_PER_MB;
  t.diagnostic(`peak of ${Math.round(peakMb)} MB`);
  assert.ok(peakMb < ENTRY_LIMIT_MB, `peak of ${Math.round(peakMb)} MB`);
  assert.equal(engines.length, 2);
});

// Guards against agents that take more than the memory of their VM, one coordinator
// after another, while they parse a registration.
for (const [what, text] of [["deeply nested", NESTED], ["no JSON", "NaN"]]) {
  test(`The agents of a group follow the store past a registration that is ${what}`, async (t) => {
    const { store, group, agents } = await startGroup(t, (store) => {
      store.putText("servers", "early", text!);
    });
    await waitForMap(group, { version: 0, agents });
    store.putText("servers", "later", text!);
    await delay(APPLIED_MS);
    group.hotExpert = 3;
    await waitForMap(group, { version: group.model.mapVersion, agents });
    const coordinator = agents.find((agent) => hasCoordinated(agent));
    await coordinator!.stop("SIGKILL");
    const others = agents.filter((agent) => agent !== coordinator);
    await waitFor(() => others.some(hasCoordinated), { timeoutMs: 15_000 });
    await delay(APPLIED_MS);
    assertRunning(others);
    for (const { pid } of others) {
      const peakMb = readPeakResidentBytes(pid) / BYTES_PER_MB;
      t.diagnostic(`peak of ${Math.round(peakMb)} MB`);
      assert.ok(peakMb < AGENT_LIMIT_MB, `peak of ${Math.round(peakMb)} MB`);
    }
  });
}

function renderSpec(changes: Readonly<Record<string, string>>): string {
  const fields = Object.entries({ ...FIELDS, ...changes });
  return `{${fields.map(([name, text]) => `"${name}":${text}`).join(",")}}`;
}

function putOddEntries(store: SiteStore, prefix: string): void {
  ODD_SPECS.forEach((text, index) => {
    store.putText("servers", `${prefix}-${index}`, text);
  });
  for (const name of ODD_NAMES) {
    store.putText("servers", `${prefix}-${name}`, renderSpec({}));
  }
}

function isOdd(name: string): boolean {
  return name.startsWith("early-") || name.startsWith("later-");
}

/** Checks that a new engine is used, and no more once it is removed. */
async function assertFollowing(
  t: TestContext,
  { entry, store }: { readonly entry: EntryProgram; readonly store: SiteStore },
): Promise<void> {
  const engine = await SiteEngine.create(`e${store.revision}`);
  t.after(() => engine.close());
  store.put("servers", engine.id, engine.createServerSpec({ service: "s" }));
  await waitFor(async () => {
    assert.ok(entry.isRunning, entry.loggedLines.slice(-8).join("\n"));
    assert.equal((await call(entry, { path: "/once/a" })).status, 200);
    return engine.calls.length > 0;
  });
  store.remove("servers", engine.id);
  await delay(APPLIED_MS);
  const before = engine.calls.length;
  for (let count = 0; count < CALL_COUNT; count++) {
    assert.equal((await call(entry, { path: "/once/a" })).status, 200);
  }
  assert.equal(engine.calls.length, before);
}

/** Lists the registrations that the entry has logged as refused. */
function listRefused({ loggedLines }: EntryProgram): readonly string[] {
  return loggedLines
    .filter((line) => line.includes('"name":"registrationRefused"'))
    .map((line) => {
      const { fields } = JSON.parse(line) as {
        readonly fields: { readonly target: string };
      };
      return fields.target;
    });
}

function hasCoordinated({ lines }: ChildProgram): boolean {
  return lines.some((line) => line.includes('"name":"coordinatorStarted"'));
}

function waitForMap(
  group: SiteGroup,
  { version, agents }: {
    readonly version: number;
    readonly agents: readonly ChildProgram[];
  },
): Promise<void> {
  return waitFor(() => {
    assertRunning(agents);
    return group.model.mapVersion > version;
  }, { timeoutMs: 15_000 });
}

function assertRunning(agents: readonly ChildProgram[]): void {
  for (const { isRunning, lines } of agents) {
    assert.ok(isRunning, lines.slice(-8).join("\n"));
  }
}

async function startStore(t: TestContext) {
  const store = await SiteStore.create();
  t.after(() => store.close());
  store.put("config", "main", createConfiguration());
  const engines = await Promise.all(
    ["e0", "e1"].map((id) => SiteEngine.create(id)),
  );
  for (const engine of engines) {
    t.after(() => engine.close());
    store.put("servers", engine.id, engine.createServerSpec({ service: "s" }));
  }
  return { store, engines };
}

/** Starts a group and its agents as processes, with a store. */
async function startGroup(
  t: TestContext,
  prepare: (store: SiteStore) => void,
) {
  const store = await SiteStore.create();
  t.after(() => store.close());
  const group = await SiteGroup.create(GROUP_SHAPE);
  t.after(() => group.close());
  const { ranks, sets, expertsPerSet } = GROUP_SHAPE;
  const profile = {
    slots: 8,
    "layer_sets": sets,
    experts: expertsPerSet,
    placements: 3,
    reserve: 1,
    "expert_mb": 1,
    "expert_ratio": 0.85,
    "link_mbps": 1_000,
  };
  const services = [{ name: "s", "engine_profile": profile }];
  store.put("config", "main", { version: 1, routes: [], services });
  prepare(store);
  const folder = mkdtempSync(join(tmpdir(), "dandelionbank-"));
  t.after(() => rmSync(folder, { recursive: true }));
  const peerPort = await findFreePort();
  const agents = Array.from({ length: ranks }, (_, rank) => {
    const address = group.address(rank);
    const spec = { service: "s", address, zone: "a", slots: 8, state: "ready" };
    store.put("servers", `r${rank}`, spec);
    const file = join(folder, `${rank}.conf`);
    const settings = renderBootSettings({
      "node_name": `side-${rank}`,
      ip: group.host(rank),
      "port_range": `${peerPort},${peerPort}`,
      app: address,
      service: "s",
      "platform.address": store.address,
    });
    writeFileSync(file, settings);
    const agent = ChildProgram.start(`side-${rank}`, {
      script: SCRIPT,
      nodeArgs: AGENT_NODE_ARGS,
      args: ["rank"],
      environment: { DANDELIONBANK_CONFIG: file },
    });
    t.after(() => agent.stop("SIGKILL"));
    return agent;
  });
  return { store, group, agents };
}
