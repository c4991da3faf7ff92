/** What one randomised run reports. */

export interface RunReport {
  /** How often each fault was brought about. */
  readonly faults: Record<string, number>;
  readonly outcomes: Record<string, number>;
  /** How often each invariant was checked where it could have failed. */
  readonly invariants: Record<string, number>;
  readonly violations: string[];
}

export function createRunReport(): RunReport {
  return { faults: {}, outcomes: {}, invariants: {}, violations: [] };
}

export function count(
  counts: Record<string, number>,
  name: string,
  by = 1,
): void {
  counts[name] = (counts[name] ?? 0) + by;
}
