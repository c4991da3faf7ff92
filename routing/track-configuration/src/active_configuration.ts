/**
 * The configuration that this process uses: the newest one it has received. It
 * is never replaced by an older one.
 *
 * The freshness proof is the time at which the store last confirmed that this
 * configuration was the newest. An API key may be used only while the proof is
 * younger than the bound on revocations. An unknown route or API key is denied
 * only while no newer configuration can be in force.
 */

import { createRouteTable, type RouteTable } from "@dandelionbank/match-route";
import { measureAgeMs } from "@dandelionbank/measure-age";
import type { IngressConfiguration, Instant } from "@dandelionbank/types";

/** Share of the revocation bound kept for the time until an engine starts work. */
const REVOCATION_MARGIN = 0.1;

export interface FreshnessBounds {
  /** Maximum time from the revocation of an API key to the last request using it. */
  readonly revocationMs: number;
  /** Maximum time from the acceptance of a configuration until it is in force. */
  readonly configurationMs: number;
  /** Wait time of a watch call; a proof may be older by as much. */
  readonly watchWaitMs: number;
  /** Time in which lost changes are written again to a restored store. */
  readonly rewriteMs: number;
}

export interface ActiveConfigurationOptions {
  readonly bounds: FreshnessBounds;
  /** Whether the settings require API keys, whatever the configuration holds. */
  readonly requiresKeys: boolean;
}

/** Opaque; mutated in place. */
export interface ActiveConfiguration extends ActiveConfigurationOptions {
  table: RouteTable | undefined;
  /** Store revision at which the configuration last changed. */
  revision: number;
  /** Send time of the last call that confirmed this configuration. */
  provenAt: Instant | undefined;
  /**
   * True while the store holds another configuration than this one which cannot
   * replace it: an older one, one that cannot be read, or none.
   */
  hasDiverged: boolean;
  /** Calls sent before this time of the steady clock prove nothing. */
  provesFromMs: number;
}

/** A configuration with its revision in the store. */
export interface StoredConfiguration {
  readonly configuration: IngressConfiguration;
  readonly revision: number;
}

export function createActiveConfiguration(
  options: ActiveConfigurationOptions,
): ActiveConfiguration {
  return {
    ...options,
    table: undefined,
    revision: 0,
    provenAt: undefined,
    hasDiverged: false,
    provesFromMs: 0,
  };
}

/** Applies a configuration unless it is older; returns true if it was applied. */
export function applyConfiguration(
  active: ActiveConfiguration,
  { configuration, revision }: StoredConfiguration,
): boolean {
  if (revision === active.revision) active.hasDiverged = false;
  if (revision <= active.revision) return false;
  const currentVersion = active.table?.configuration.version ?? -1;
  if (configuration.version < currentVersion) return false;
  active.hasDiverged = false;
  active.revision = revision;
  active.table = createRouteTable(configuration);
  return true;
}

/**
 * Records that the store's configuration is missing or cannot be read. The active
 * one stays in force, but nothing proves that its keys are still valid.
 */
export function recordUnusable(active: ActiveConfiguration): void {
  active.hasDiverged = active.table !== undefined;
}

/** Records that the store has come back from an older copy. */
export function recordRestore(active: ActiveConfiguration, now: Instant): void {
  active.hasDiverged = active.table !== undefined;
  active.provesFromMs = now.monotonicMs + active.bounds.rewriteMs;
}

/** Records that a call sent at `sentAt` confirmed the active configuration. */
export function recordProof(
  active: ActiveConfiguration,
  sentAt: Instant,
): void {
  if (active.table === undefined || active.hasDiverged) return;
  if (sentAt.monotonicMs < active.provesFromMs) return;
  active.provenAt = sentAt;
}

/** Returns the age of the freshness proof; infinite before the first proof. */
export function computeProofAgeMs(
  active: ActiveConfiguration,
  now: Instant,
): number {
  const { provenAt } = active;
  if (provenAt === undefined) return Number.POSITIVE_INFINITY;
  return measureAgeMs(provenAt, now);
}

/**
 * Whether requests on routes that are not public need an API key. They do not only
 * where neither the settings nor the configuration mention keys: removing the last
 * key must not open the routes that it protected.
 */
export function areKeysRequired(
  { requiresKeys, table }: ActiveConfiguration,
): boolean {
  return requiresKeys || table === undefined ||
    table.configuration.keys !== undefined;
}

/** Returns false once an API key may have been revoked for longer than the bound. */
export function mayUseKeys(active: ActiveConfiguration, now: Instant): boolean {
  const limitMs = active.bounds.revocationMs * (1 - REVOCATION_MARGIN);
  return computeProofAgeMs(active, now) < limitMs;
}

/**
 * Returns false while a newer configuration may contain a route or API key that
 * this one lacks. A waiting watch call on a healthy connection reports a change
 * immediately, so its wait time does not count.
 */
export function mayDeny(active: ActiveConfiguration, now: Instant): boolean {
  const { configurationMs, watchWaitMs } = active.bounds;
  return computeProofAgeMs(active, now) < configurationMs + watchWaitMs;
}
