/**
 * Tracks the live entries from the statuses that they publish several times a
 * second. Callers are directed only to entries with a recent status that accept
 * requests. The active requests of the other entries count towards the capacity
 * of a group.
 */

import type { PromptReport } from "@dandelionbank/quarantine-prompts";
import type { SuspectReport } from "@dandelionbank/quarantine-requests";
import type { LimitReport } from "@dandelionbank/share-target-limits";

/** Fewer entries than this in a data centre leave no alternative for failover. */
const MIN_NEAR_ENTRIES = 2;

/** What an entry publishes about targets that crashed and the requests on them. */
export interface CrashStatus {
  readonly suspects: SuspectReport;
  readonly prompts: PromptReport;
  /** Runs of targets that refuse connections. */
  readonly downTargets: readonly string[];
}

/** Status that an entry publishes about itself. */
export interface EntryStatus extends CrashStatus {
  readonly name: string;
  /** Address for callers, `IP:PORT`. */
  readonly callersAddress: string;
  /** Address for other entries, `IP:PORT`. */
  readonly peerAddress: string;
  readonly dataCentre: string;
  /** False until the entry has a configuration, and once it is stopping. */
  readonly takesCallers: boolean;
  /** False while the store is unreachable for so long that API keys may be revoked. */
  readonly mayUseKeys: boolean;
  /** Requests in flight at targets, by service. */
  readonly activeByService: Readonly<Record<string, number>>;
  /** Limits that targets have named in answers to this entry. */
  readonly targetLimits: readonly LimitReport[];
  /** Targets that said in answers to this entry that they leave. */
  readonly leavingTargets: readonly string[];
}

interface KnownEntry {
  readonly status: EntryStatus;
  readonly receivedAtMs: number;
}

/** Opaque; mutated in place. */
export interface EntryTracker {
  /** An entry whose last status is older than this is not live. */
  livenessTimeoutMs: number;
  readonly entries: Map<string, KnownEntry>;
}

export function createEntryTracker(
  { livenessTimeoutMs }: {
    /** An entry whose last status is older than this is not live. */
    readonly livenessTimeoutMs: number;
  },
): EntryTracker {
  return { livenessTimeoutMs, entries: new Map() };
}

export function recordEntryStatus(
  state: EntryTracker,
  { status, nowMs }: { readonly status: EntryStatus; readonly nowMs: number },
): void {
  state.entries.set(status.name, { status, receivedAtMs: nowMs });
}

/** Lists the entries whose last status is recent enough. */
export function listLiveEntries(
  state: EntryTracker,
  nowMs: number,
): readonly EntryStatus[] {
  return [...state.entries.values()]
    .filter(({ receivedAtMs }) =>
      nowMs - receivedAtMs < state.livenessTimeoutMs
    )
    .map(({ status }) => status);
}

/**
 * Lists entry addresses for a caller. Entries of the caller's own data centre
 * are preferred. Entries that may not use API keys are left out as long as others
 * may, because they refuse most callers.
 */
export function listCallerAddresses(
  entries: readonly EntryStatus[],
  { dataCentre, maxCount }: {
    readonly dataCentre: string | undefined;
    readonly maxCount: number;
  },
): readonly string[] {
  const accepting = entries.filter(({ takesCallers }) => takesCallers);
  const withKeys = accepting.filter(({ mayUseKeys }) => mayUseKeys);
  const candidates = withKeys.length > 0 ? withKeys : accepting;
  const near = candidates.filter((entry) => entry.dataCentre === dataCentre);
  const far = candidates.filter((entry) => entry.dataCentre !== dataCentre);
  // With a single near entry, callers would have no entry to fail over to.
  const chosen = near.length >= MIN_NEAR_ENTRIES ? near : [...near, ...far];
  return chosen.slice(0, maxCount).map(({ callersAddress }) => callersAddress);
}

/** Sums the active requests of the entries at targets of a service. */
export function sumActiveRequests(
  entries: readonly EntryStatus[],
  service: string,
): number {
  return entries.reduce(
    (sum, { activeByService }) => sum + (activeByService[service] ?? 0),
    0,
  );
}
