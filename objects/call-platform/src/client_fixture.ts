/** Test fixture: a client connected to a stand-in platform with one object. */

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
export const UPDATE = { expectedRevision: 1, changeId: "mine" };
export const CREATE = { expectedRevision: undefined, changeId: "mine" };
/** Rate limit that rejects every call made within a test. */
export const REJECTING_RATE = 0.5;

export interface Case {
  readonly name: string;
  readonly faults?: Partial<PlatformSettings>;
  readonly timeoutMs?: number;
  /** Runs during the client's first wait before a retry. */
  readonly beforeRetry?: (platform: StandinPlatform) => void;
  readonly call: (client: PlatformClient) => Promise<unknown>;
  /** Expected result or error code. */
  readonly expected: string;
  /** Expected number of changes in the store. */
  readonly effects?: number;
}

/** Starts a store with one object at revision 1, and a client with open connections. */
export async function connect(context: TestContext, row: Partial<Case> = {}) {
  const platform = await startPlatform();
  platform.seed(STOP, "old");
  const logged: string[] = [];
  const hooks = row.beforeRetry === undefined ? [] : [row.beforeRetry];
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
  platform.changeSettings(row.faults ?? {});
  return { platform, client, logged };
}

export function changeFaults(faults: Partial<PlatformSettings>) {
  return (platform: StandinPlatform) => platform.changeSettings(faults);
}

export function write(client: PlatformClient) {
  return client.put(STOP, "new", UPDATE);
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

/** Makes the case's call under its faults; checks the result and the effects. */
export async function checkCase(context: TestContext, row: Case) {
  const { platform, client } = await connect(context, row);
  const actual = await row.call(client).then(describeResult, getErrorCode);
  assert.equal(actual, row.expected);
  if (row.faults?.delayMs) await waitForDelayedWrites(platform);
  assert.equal(platform.objects.revision - 1, row.effects ?? 0);
}

/**
 * Waits until delayed writes have taken effect: this call is delayed as well, so
 * it is answered after them.
 */
async function waitForDelayedWrites(platform: StandinPlatform): Promise<void> {
  platform.changeSettings({ delayMs: 300 });
  await (await fetch(`${platform.listening}/v1/objects`)).text();
}

function describeResult(result: unknown): string {
  if (typeof result !== "object" || result === null) return String(result);
  if ("value" in result) return String(result.value);
  return String("kind" in result ? result.kind : result);
}

export function getErrorCode(error: DandelionError): string {
  return error.code;
}
