import assert from "node:assert/strict";
import { test } from "node:test";
import type { IngressConfiguration } from "@dandelionbank/types";
import {
  applyConfiguration,
  createActiveConfiguration,
  mayDeny,
  mayUseKeys,
  recordProof,
} from "./mod.ts";

const BOUNDS = {
  revocationMs: 5_000,
  configurationMs: 2_000,
  watchWaitMs: 1_500,
};

test("An older configuration never comes back", () => {
  const held = createActiveConfiguration(BOUNDS);
  assert.ok(applyConfiguration(held, read({ version: 3, revision: 30 })));
  assert.ok(!applyConfiguration(held, read({ version: 2, revision: 20 })));
  assert.ok(!applyConfiguration(held, read({ version: 2, revision: 31 })));
  assert.equal(held.table?.configuration.version, 3);
});

test("Keys are used only while the proof is younger than a revocation may be", () => {
  const held = createActiveConfiguration(BOUNDS);
  assert.ok(!mayUseKeys(held, at(0)));
  applyConfiguration(held, read({ version: 1, revision: 1 }));
  recordProof(held, at(1_000));
  assert.ok(mayUseKeys(held, at(5_000)));
  assert.ok(!mayUseKeys(held, at(5_600)));
});

test("A VM that slept is known by the time of day", () => {
  const held = createActiveConfiguration(BOUNDS);
  applyConfiguration(held, read({ version: 1, revision: 1 }));
  recordProof(held, { steadyMs: 1_000, wallMs: 1_000 });
  assert.ok(!mayUseKeys(held, { steadyMs: 1_100, wallMs: 9_000 }));
  // A time of day that was set back must not make the proof younger.
  assert.ok(!mayUseKeys(held, { steadyMs: 6_000, wallMs: 500 }));
});

test("Nothing is denied while a newer configuration may allow it", () => {
  const held = createActiveConfiguration(BOUNDS);
  assert.ok(!mayDeny(held, at(0)));
  applyConfiguration(held, read({ version: 1, revision: 1 }));
  recordProof(held, at(0));
  // Watches that wait 1.5 s, one after another, prove a view 3 s old at worst.
  assert.ok(mayDeny(held, at(3_000)));
  assert.ok(!mayDeny(held, at(3_600)));
});

test("A proof before any configuration proves nothing", () => {
  const held = createActiveConfiguration(BOUNDS);
  recordProof(held, at(0));
  assert.ok(!mayDeny(held, at(1)));
});

function at(ms: number) {
  return { steadyMs: ms, wallMs: ms };
}

function read(
  { version, revision }: {
    readonly version: number;
    readonly revision: number;
  },
) {
  const configuration: IngressConfiguration = {
    version,
    routes: [],
    services: new Map(),
    usesKeys: false,
    keys: new Map(),
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  };
  return { configuration, revision };
}
