import assert from "node:assert/strict";
import { test } from "node:test";
import type { IngressConfiguration } from "@dandelionbank/types";
import {
  applyConfiguration,
  createActiveConfiguration,
  mayDeny,
  mayUseKeys,
  recordProof,
  recordRestore,
} from "./mod.ts";

const BOUNDS = {
  revocationMs: 5_000,
  configurationMs: 2_000,
  watchWaitMs: 1_500,
  rewriteMs: 2_000,
};
const OPTIONS = { bounds: BOUNDS, requiresKeys: true };

test("An older configuration never replaces a newer one", () => {
  const active = createActiveConfiguration(OPTIONS);
  assert.ok(
    applyConfiguration(active, createStored({ version: 3, revision: 30 })),
  );
  assert.ok(
    !applyConfiguration(active, createStored({ version: 2, revision: 20 })),
  );
  assert.ok(
    !applyConfiguration(active, createStored({ version: 2, revision: 31 })),
  );
  assert.equal(active.table?.configuration.version, 3);
});

test("API keys are used only while the proof is within the bound on revocations", () => {
  const active = createActiveConfiguration(OPTIONS);
  assert.ok(!mayUseKeys(active, createInstant(0)));
  applyConfiguration(active, createStored({ version: 1, revision: 1 }));
  recordProof(active, createInstant(1_000));
  assert.ok(mayUseKeys(active, createInstant(5_000)));
  assert.ok(!mayUseKeys(active, createInstant(5_600)));
});

test("The wall clock reveals that the VM was suspended", () => {
  const active = createActiveConfiguration(OPTIONS);
  applyConfiguration(active, createStored({ version: 1, revision: 1 }));
  recordProof(active, { monotonicMs: 1_000, wallMs: 1_000 });
  assert.ok(!mayUseKeys(active, { monotonicMs: 1_100, wallMs: 9_000 }));
  // Setting the wall clock back must not make the proof look younger.
  assert.ok(!mayUseKeys(active, { monotonicMs: 6_000, wallMs: 500 }));
});

test("Nothing is denied while a newer configuration could allow it", () => {
  const active = createActiveConfiguration(OPTIONS);
  assert.ok(!mayDeny(active, createInstant(0)));
  applyConfiguration(active, createStored({ version: 1, revision: 1 }));
  recordProof(active, createInstant(0));
  // With consecutive watch calls of 1.5 s each, a proof is at most 3 s old.
  assert.ok(mayDeny(active, createInstant(3_000)));
  assert.ok(!mayDeny(active, createInstant(3_600)));
});

test("A restored store proves nothing until lost changes could be written again", () => {
  const active = createActiveConfiguration(OPTIONS);
  applyConfiguration(active, createStored({ version: 3, revision: 30 }));
  recordProof(active, createInstant(0));
  recordRestore(active, createInstant(1_000));
  applyConfiguration(active, createStored({ version: 3, revision: 100 }));
  recordProof(active, createInstant(2_900));
  assert.equal(active.provenAt?.monotonicMs, 0);
  recordProof(active, createInstant(3_100));
  assert.equal(active.provenAt?.monotonicMs, 3_100);
});

test("A restored store with an older configuration proves nothing", () => {
  const active = createActiveConfiguration(OPTIONS);
  applyConfiguration(active, createStored({ version: 3, revision: 30 }));
  recordRestore(active, createInstant(1_000));
  applyConfiguration(active, createStored({ version: 2, revision: 100 }));
  recordProof(active, createInstant(5_000));
  assert.ok(!mayUseKeys(active, createInstant(5_000)));
  assert.equal(active.table?.configuration.version, 3);
  applyConfiguration(active, createStored({ version: 4, revision: 101 }));
  recordProof(active, createInstant(6_000));
  assert.equal(active.provenAt?.monotonicMs, 6_000);
});

test("A proof before the first configuration has no effect", () => {
  const active = createActiveConfiguration(OPTIONS);
  recordProof(active, createInstant(0));
  assert.ok(!mayDeny(active, createInstant(1)));
});

function createInstant(ms: number) {
  return { monotonicMs: ms, wallMs: ms };
}

function createStored(
  { version, revision }: {
    readonly version: number;
    readonly revision: number;
  },
) {
  const configuration: IngressConfiguration = {
    version,
    routes: [],
    services: new Map(),
    unreadableRoutes: [],
    keys: undefined,
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  };
  return { configuration, revision };
}
