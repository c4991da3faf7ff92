/**
 * Which targets of a service have shown a sign of life lately.
 *
 * Load pattern: ranks of a group stall together, when one of them is lost or a
 * pass is held. A request that is silent then is no better off at another rank,
 * which would only read its prompt again.
 */

/** Opaque; changed in place. */
export interface ProgressTracker {
  /** By service, then target: when it last sent something. */
  readonly services: Map<string, Map<string, number>>;
}

export function createProgressTracker(): ProgressTracker {
  return { services: new Map() };
}

export function recordProgress(
  { services }: ProgressTracker,
  { service, target, nowMs }: {
    readonly service: string;
    readonly target: string;
    readonly nowMs: number;
  },
): void {
  const targets = services.get(service) ?? new Map<string, number>();
  targets.set(target, nowMs);
  services.set(service, targets);
}

/** True if another target of the service has sent something since. */
export function hasProgressElsewhere(
  { services }: ProgressTracker,
  { service, target, sinceMs }: {
    readonly service: string;
    readonly target: string;
    readonly sinceMs: number;
  },
): boolean {
  for (const [other, atMs] of services.get(service) ?? []) {
    if (other !== target && atMs >= sinceMs) return true;
  }
  return false;
}

/** Forgets targets that are gone. */
export function retainTargets(
  { services }: ProgressTracker,
  targets: ReadonlySet<string>,
): void {
  for (const known of services.values()) {
    for (const target of [...known.keys()]) {
      if (!targets.has(target)) known.delete(target);
    }
  }
}
