/** A client before a stand-in with one object, for the tests of this package. */

import assert from "node:assert/strict";
import type { TestContext } from "node:test";
import type { DandelionError } from "@dandelionbank/error";
import {
  type PlatformSettings,
  type StandinPlatform,
  startPlatform,
} from "@dandelionbank/standin-platform";
import { PlatformClient } from "./platform_client.ts";

export const STOP = { kind: "stop", name: "engine/1" } as const;
export const MINE = { expectedRevision: 1, changeId: "mine" };
export const CREATE = { expectedRevision: undefined, changeId: "mine" };
export const NEVER_PER_SECOND = 0.5;

export interface Case {
  readonly name: string;
  readonly faults?: Partial<PlatformSettings>;
  readonly timeoutMs?: number;
  /** Happens when the client first waits before it tries again. */
  readonly meanwhile?: (platform: StandinPlatform) => void;
  readonly call: (client: PlatformClient) => Promise<unknown>;
  readonly ends: string;
  /** Changes in the store that the calls caused. */
  readonly effects?: number;
}

/** A store with one object at revision 1, and a client that has connections open. */
export async function connect(context: TestContext, row: Partial<Case> = {}) {
  const platform = await startPlatform();
  platform.seed(STOP, "old");
  const logged: string[] = [];
  const hooks = row.meanwhile === undefined ? [] : [row.meanwhile];
  const client = PlatformClient.create({
    platformUrl: platform.listening,
    timeoutMs: row.timeoutMs ?? 200,
    logger: { log: (name) => logged.push(name) },
    random: () => 0,
    wait: () => Promise.resolve(hooks.shift()?.(platform)),
  });
  context.after(async () => {
    await client.close();
    await platform.close();
  });
  await Promise.all([client.list(), client.list(), client.list()]);
  await new Promise(setImmediate);
  platform.change(row.faults ?? {});
  return { platform, client, logged };
}

export function heal(faults: Partial<PlatformSettings>) {
  return (platform: StandinPlatform) => platform.change(faults);
}

export function write(client: PlatformClient) {
  return client.put(STOP, "new", MINE);
}

export function create(client: PlatformClient) {
  return client.put({ kind: "stop", name: "engine-2" }, "new", CREATE);
}

export function remove(client: PlatformClient) {
  return client.delete(STOP, 1);
}

export function get(client: PlatformClient) {
  return client.get(STOP.kind, STOP.name);
}

export function list(client: PlatformClient) {
  return client.list("stop");
}

export function listVms(client: PlatformClient) {
  return client.listVms();
}

/** Makes the row's call under its faults, and checks how it ends and what it changed. */
export async function checkCase(context: TestContext, row: Case) {
  const { platform, client } = await connect(context, row);
  const ended = await row.call(client).then(nameResult, nameError);
  assert.equal(ended, row.ends);
  if (row.faults?.delayMs) await settleLateWrites(platform);
  assert.equal(platform.objects.revision - 1, row.effects ?? 0);
}

/** Calls that wait for the delay in force take effect before this returns. */
async function settleLateWrites(platform: StandinPlatform): Promise<void> {
  platform.change({ delayMs: 300 });
  await (await fetch(`${platform.listening}/v1/objects`)).text();
}

function nameResult(result: unknown): string {
  if (typeof result !== "object" || result === null) return String(result);
  if ("value" in result) return String(result.value);
  return String("kind" in result ? result.kind : result);
}

export function nameError(error: DandelionError): string {
  return error.code;
}
