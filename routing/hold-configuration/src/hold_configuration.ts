/**
 * Holds the newest configuration that this process has seen. It never goes
 * back to an older one, and says how long ago the store proved that it was
 * still the newest: a key may be used only while the proof is younger than the
 * bound on revocations, and an unknown route or key is denied only while no
 * newer configuration can be in force.
 */

import { createRouteTable, type RouteTable } from "@dandelionbank/match-route";
import { measureAgeMs } from "@dandelionbank/measure-age";
import type { IngressConfiguration, Instant } from "@dandelionbank/types";

/** Part of the bound kept for what passes until an engine begins to work. */
const REVOCATION_MARGIN = 0.1;

export interface FreshnessBounds {
  /** From the loss of a key to the last request with it. */
  readonly revocationMs: number;
  /** From an accepted configuration to its being in force. */
  readonly configurationMs: number;
  /** How long a watch waits: by so much a sound view's proof may be older. */
  readonly watchWaitMs: number;
}

/** Opaque; changed in place. */
export interface ActiveConfiguration {
  readonly bounds: FreshnessBounds;
  table: RouteTable | undefined;
  /** The store's revision of the configuration's last change. */
  revision: number;
  /** When the call that proved it the newest was sent. */
  provenAt: Instant | undefined;
}

export interface StoredConfiguration {
  readonly configuration: IngressConfiguration;
  readonly revision: number;
}

export function createActiveConfiguration(
  bounds: FreshnessBounds,
): ActiveConfiguration {
  return { bounds, table: undefined, revision: 0, provenAt: undefined };
}

/** Takes a configuration in if it is newer; true if it now is in force. */
export function applyConfiguration(
  held: ActiveConfiguration,
  { configuration, revision }: StoredConfiguration,
): boolean {
  if (revision <= held.revision) return false;
  const known = held.table?.configuration.version ?? -1;
  if (configuration.version < known) return false;
  held.revision = revision;
  held.table = createRouteTable(configuration);
  return true;
}

/** Notes that a call sent at `sentAt` proved the held one the newest. */
export function recordProof(held: ActiveConfiguration, sentAt: Instant): void {
  if (held.table === undefined) return;
  held.provenAt = sentAt;
}

/** Age of the proof in milliseconds; infinite before the first. */
export function computeProofAgeMs(
  held: ActiveConfiguration,
  now: Instant,
): number {
  const { provenAt } = held;
  if (provenAt === undefined) return Number.POSITIVE_INFINITY;
  return measureAgeMs(provenAt, now);
}

/** False once a key that is held here may have been revoked for too long. */
export function mayUseKeys(held: ActiveConfiguration, now: Instant): boolean {
  const limitMs = held.bounds.revocationMs * (1 - REVOCATION_MARGIN);
  return computeProofAgeMs(held, now) < limitMs;
}

/**
 * False while a newer configuration may know a route or key that this lacks. A
 * watch that waits on a sound connection tells a change at once, so its wait is
 * not counted.
 */
export function mayDeny(held: ActiveConfiguration, now: Instant): boolean {
  const { configurationMs, watchWaitMs } = held.bounds;
  return computeProofAgeMs(held, now) < configurationMs + watchWaitMs;
}
