/**
 * Tracks when each target of a service last sent data.
 *
 * Load pattern: the ranks of a group stall together when one of them is lost or
 * a pass is on hold. Retrying a stalled request at another rank then doesn't
 * help, since that rank would only process the prompt again and stall as well.
 */

/** Opaque; mutated in place. */
export interface ProgressTracker {
  /** Time of the last data, by service and then by target. */
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

/** Returns true if another target of the service sent data since `sinceMs`. */
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

/** Removes all targets but the given ones. */
export function retainTargets(
  { services }: ProgressTracker,
  targets: ReadonlySet<string>,
): void {
  for (const timeByTarget of services.values()) {
    for (const target of [...timeByTarget.keys()]) {
      if (!targets.has(target)) timeByTarget.delete(target);
    }
  }
}
