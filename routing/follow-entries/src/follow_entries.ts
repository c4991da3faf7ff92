/**
 * Keeps which entries run, from what they say of themselves a few times a
 * second. Callers are sent only to entries that were heard of lately and take
 * work; the load of the others counts when a group is nearly full.
 */

import type { SuspectReport } from "@dandelionbank/quarantine-requests";

/** Fewer near entries than this are not enough for callers to change over. */
const MIN_NEAR = 2;

/** What an entry says of itself. */
export interface EntryStatus {
  readonly name: string;
  /** Where callers connect, `IP:PORT`. */
  readonly callersAddress: string;
  /** Where its own kind reaches it, `IP:PORT`. */
  readonly peerAddress: string;
  readonly dataCentre: string;
  /** False before it has a configuration and from a stop signal on. */
  readonly takesCallers: boolean;
  /** False while the store is away for so long that a key may be revoked. */
  readonly mayUseKeys: boolean;
  /** Requests at targets, by service. */
  readonly activeByService: Readonly<Record<string, number>>;
  readonly suspects: SuspectReport;
}

interface KnownEntry {
  readonly status: EntryStatus;
  readonly heardAtMs: number;
}

/** Opaque; changed in place. */
export interface FollowedEntries {
  /** An entry not heard of for so long counts as gone. */
  silenceMs: number;
  readonly entries: Map<string, KnownEntry>;
}

export function createFollowedEntries(
  { silenceMs }: {
    /** An entry not heard of for so long counts as gone. */
    readonly silenceMs: number;
  },
): FollowedEntries {
  return { silenceMs, entries: new Map() };
}

export function noteEntry(
  state: FollowedEntries,
  { status, nowMs }: { readonly status: EntryStatus; readonly nowMs: number },
): void {
  state.entries.set(status.name, { status, heardAtMs: nowMs });
}

/** Entries heard of lately. */
export function listLiveEntries(
  state: FollowedEntries,
  nowMs: number,
): readonly EntryStatus[] {
  return [...state.entries.values()]
    .filter(({ heardAtMs }) => nowMs - heardAtMs < state.silenceMs)
    .map(({ status }) => status);
}

/**
 * Addresses for a caller: those of its own data centre first. Entries that may
 * not use keys are left out while others may, since they turn most callers away.
 */
export function listAddresses(
  entries: readonly EntryStatus[],
  { dataCentre, maxCount }: {
    readonly dataCentre: string | undefined;
    readonly maxCount: number;
  },
): readonly string[] {
  const taking = entries.filter(({ takesCallers }) => takesCallers);
  const able = taking.filter(({ mayUseKeys }) => mayUseKeys);
  const ready = able.length > 0 ? able : taking;
  const near = ready.filter((entry) => entry.dataCentre === dataCentre);
  const far = ready.filter((entry) => entry.dataCentre !== dataCentre);
  // One entry alone would leave its callers nowhere to go when it fails.
  const chosen = near.length >= MIN_NEAR ? near : [...near, ...far];
  return chosen.slice(0, maxCount).map(({ callersAddress }) => callersAddress);
}

/** Requests of the others at targets of a service. */
export function sumActive(
  entries: readonly EntryStatus[],
  service: string,
): number {
  return entries.reduce(
    (sum, { activeByService }) => sum + (activeByService[service] ?? 0),
    0,
  );
}
