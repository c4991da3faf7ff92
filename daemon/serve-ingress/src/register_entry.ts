/**
 * Registers this entry in the store once per start, and reads the addresses of
 * all registered entries. An entry keeps its name across restarts.
 */

import {
  KINDS,
  type StoreClient,
  type StoredItem,
} from "@dandelionbank/platform-adapter";
import { retryCall } from "./retry_call.ts";

export interface RegisteredEntry {
  readonly peerAddress: string;
}

/**
 * Registers the entry, retrying until the store answers, and resolves with the
 * peer addresses of all registered entries.
 */
export async function registerEntry(
  client: StoreClient,
  { name, peerAddress, isStopped }: {
    readonly name: string;
    readonly peerAddress: string;
    readonly isStopped: () => boolean;
  },
): Promise<readonly string[]> {
  const spec: RegisteredEntry = { peerAddress };
  const addresses = await retryCall(async () => {
    if (!await writeEntry(client, { name, spec })) return undefined;
    const result = await client.list(KINDS.entries);
    return result.kind === "ok"
      ? result.value.items.flatMap(readAddress)
      : undefined;
  }, isStopped);
  return addresses ?? [];
}

/** Writes the entry; returns true if the store holds it. */
async function writeEntry(
  client: StoreClient,
  { name, spec }: { readonly name: string; readonly spec: RegisteredEntry },
): Promise<boolean> {
  const created = await client.create(KINDS.entries, { name, spec });
  if (created.kind === "ok") return true;
  if (created.kind !== "conflict") return false;
  const stored = await client.read(KINDS.entries, name);
  if (stored.kind !== "ok") return false;
  if (readAddress(stored.value)[0] === spec.peerAddress) return true;
  const { revision } = stored.value;
  const replaced = await client.replace(KINDS.entries, {
    name,
    revision,
    spec,
  });
  return replaced.kind === "ok";
}

function readAddress({ spec }: StoredItem): readonly string[] {
  const address = (spec as Partial<RegisteredEntry> | null)?.peerAddress;
  return typeof address === "string" ? [address] : [];
}
